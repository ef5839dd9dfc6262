// Package link carries calls between two nodes over one TCP connection. Frames of many calls share the connection; the
// node that opened it sends calls, the other one answers them.
//
// A gRPC stream does the same with HTTP/2 frames, flow control and several goroutines a call. On hosts with a third of a
// core that costs more than the rest of a call (docs/platform.md), so links have a framing of their own. The messages are
// those of package linkpb.
package link

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishstand/radishstand/api/linkpb"
)

const (
	headerBytes = 4
	// maxFrameBytes bounds a frame: the largest body that operators allow, and its headers.
	maxFrameBytes = 80 << 20
	readBuffer    = 16 << 10
	// keptBuffer is the largest write buffer that is kept for the next frame.
	keptBuffer = 64 << 10
	// writeTimeout is the time after which a node that does not read is given up.
	writeTimeout = 2 * time.Second
	// userTimeout is the time after which the kernel gives up a connection whose data is not acknowledged. It has to be
	// longer than a few retransmissions on a link that loses packets.
	userTimeout = 1500 * time.Millisecond
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 0x12
)

// ErrClosed means that the link is closed.
var ErrClosed = errors.New("link closed")

// wire reads and writes the frames of one connection. Writes are safe for concurrent use.
type wire struct {
	conn   net.Conn
	reader *bufio.Reader

	mu     sync.Mutex
	buffer []byte
	err    error
}

func newWire(conn net.Conn) *wire {
	return &wire{conn: conn, reader: bufio.NewReaderSize(conn, readBuffer)}
}

// write sends a frame. After an error nothing more is written, so that a frame is either whole at the other node or
// never read there.
func (w *wire) write(f *linkpb.Frame) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return w.err
	}
	encoded, err := proto.MarshalOptions{}.MarshalAppend(append(w.buffer[:0], 0, 0, 0, 0), f)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	binary.BigEndian.PutUint32(encoded, uint32(len(encoded)-headerBytes))
	if cap(encoded) <= keptBuffer {
		w.buffer = encoded
	}
	_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.conn.Write(encoded); err != nil {
		w.err = fmt.Errorf("write frame: %w", err)
		_ = w.conn.Close()
		return w.err
	}
	return nil
}

// read returns the next frame.
func (w *wire) read() (*linkpb.Frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(w.reader, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameBytes {
		return nil, fmt.Errorf("frame of %d bytes is longer than %d", size, maxFrameBytes)
	}
	encoded := make([]byte, size)
	if _, err := io.ReadFull(w.reader, encoded); err != nil {
		return nil, err
	}
	f := &linkpb.Frame{}
	if err := proto.Unmarshal(encoded, f); err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	return f, nil
}

// close ends the connection.
func (w *wire) close() {
	_ = w.conn.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = ErrClosed
	}
}

// control sets the socket options of a link before it is connected.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}
