package link

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// unsentBytes bounds the bytes of a link that its kernel has not sent yet, before the next piece is passed to it. It is large
	// enough that fast links do not idle until the next piece.
	unsentBytes = 16 << 10
	// sendBufferTime is the transfer time that the kernel's send buffer of a link holds if the kernel cannot bound the unsent bytes.
	// The buffer must hold the bytes that are not acknowledged yet, or the link would not be used to its speed.
	sendBufferTime = 20 * time.Millisecond
	// minSendBufferBytes and maxSendBufferBytes bound that buffer.
	minSendBufferBytes = 32 << 10
	maxSendBufferBytes = 1 << 20
	// tcpNotSentLowWater is the Linux socket option TCP_NOTSENT_LOWAT.
	tcpNotSentLowWater = 0x19
)

// Log is a structured logger; keyvals are alternating keys and values.
type Log interface {
	Warn(message any, keyvals ...any)
}

// EgressConfig configures an Egress.
type EgressConfig struct {
	// Chunks reports whether large frames are sent in pieces to nodes that read them.
	Chunks func() bool
	// BitsPerSecond returns the speed of the host's link; 0 if unknown.
	BitsPerSecond func() float64
	Log           Log
}

// Egress is shared by the links of this host. It decides whether large frames are sent in pieces and counts the bytes that wait to be
// written. A nil Egress sends all frames whole. It is safe for concurrent
// use.
type Egress struct {
	config  EgressConfig
	waiting atomic.Int64
	// frames is the number of frames that were sent in pieces, and stopped the number of those whose sending ended before the last piece.
	frames, stopped atomic.Int64
	// logFailure limits the log to the first socket option that fails, since the same option fails for each link.
	logFailure sync.Once
}

// NewEgress returns an Egress.
func NewEgress(c EgressConfig) *Egress { return &Egress{config: c} }

// WaitingBytes returns the number of bytes of large frames, and of large answers to callers, that wait to be written at this host.
func (e *Egress) WaitingBytes() int64 {
	if e == nil {
		return 0
	}
	return max(e.waiting.Load(), 0)
}

// FramesInPieces returns the number of frames that were sent in pieces, and the number of those whose sending ended before the last
// piece because nobody waited for them any more or the link broke.
func (e *Egress) FramesInPieces() (frames, stopped int64) { return e.frames.Load(), e.stopped.Load() }

// BytesPerSecond returns the speed of the host's link; 0 if unknown.
func (e *Egress) BytesPerSecond() float64 {
	if e == nil {
		return 0
	}
	return e.config.BitsPerSecond() / 8
}

// Hold adds the bytes of a response to a caller to WaitingBytes until release is called. It does nothing for bytes of at most chunkBytes
// or if large frames are sent whole.
func (e *Egress) Hold(bytes int) (release func()) {
	if bytes <= chunkBytes || !e.sendsChunks() {
		return func() {}
	}
	e.waiting.Add(int64(bytes))
	return sync.OnceFunc(func() { e.waiting.Add(-int64(bytes)) })
}

// sendsChunks reports whether large frames are sent in pieces.
func (e *Egress) sendsChunks() bool { return e != nil && e.config.Chunks() }

// boundUnsent bounds the bytes that the kernel holds for a connection, so that small frames do not wait behind many pieces there.
// A connection on which this fails works without the bound.
func (e *Egress) boundUnsent(conn net.Conn) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		e.optionFailed("SyscallConn", err)
		return
	}
	if err := setOption(raw, syscall.IPPROTO_TCP, tcpNotSentLowWater, unsentBytes); err == nil {
		return
	} else if size := e.sendBufferBytes(); size == 0 {
		e.optionFailed("TCP_NOTSENT_LOWAT", err)
	} else if bufferErr := setOption(raw, syscall.SOL_SOCKET, syscall.SO_SNDBUF, size); bufferErr != nil {
		e.optionFailed("TCP_NOTSENT_LOWAT, SO_SNDBUF", errors.Join(err, bufferErr))
	}
}

// sendBufferBytes returns the size of a link's send buffer, or 0 if the speed of the host's link is unknown.
func (e *Egress) sendBufferBytes() int {
	speed := e.config.BitsPerSecond()
	if speed <= 0 {
		return 0
	}
	return int(min(max(speed/8*sendBufferTime.Seconds(), minSendBufferBytes), maxSendBufferBytes))
}

// optionFailed logs the first failure of a socket option.
func (e *Egress) optionFailed(option string, err error) {
	e.logFailure.Do(func() { e.config.Log.Warn("socket option failed, ignored", "option", option, "error", err) })
}

// setOption sets an integer option of a socket.
func setOption(raw syscall.RawConn, level, option, value int) error {
	var optErr error
	err := raw.Control(func(fd uintptr) { optErr = syscall.SetsockoptInt(int(fd), level, option, value) })
	return errors.Join(err, optErr)
}
