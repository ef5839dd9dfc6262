// Package link multiplexes calls between two nodes over one TCP connection. The node that opened the connection sends
// calls, the other one answers them.
//
// Links use a framing of their own instead of gRPC streams: on hosts with a third of a core, the HTTP/2 frames, flow control
// and goroutines per call of gRPC cost more than the rest of a call (docs/platform.md). The messages are those of package
// linkpb.
package link

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/internal/membudget"
)

const (
	headerBytes = 4
	// maxFrameBytes has room for the largest body that operators can configure, and its headers.
	maxFrameBytes   = 80 << 20
	readBufferBytes = 16 << 10
	// maxStreamBytes is the largest size of the stream number at the start of a frame.
	maxStreamBytes = 11
	// maxRetainedBufferBytes is the size up to which a write buffer is reused for the next frame.
	maxRetainedBufferBytes = 64 << 10
	// writeTimeout bounds the write of a frame. A link whose other node does not read is closed after this time.
	writeTimeout = 2 * time.Second
	// skipTimeout bounds the time until the first bytes of a frame that finds no memory.
	skipTimeout = 500 * time.Millisecond
)

// ErrClosed reports that the link is closed.
var ErrClosed = errors.New("link closed")

// EncodeError reports a frame that cannot be sent to the other node. Nothing of it was written, and the link stays open.
type EncodeError struct{ Cause error }

func (e *EncodeError) Error() string { return "frame cannot be encoded: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// Causes of an EncodeError besides those of the encoder.
var (
	errFrameTooLong = fmt.Errorf("longer than %d bytes", maxFrameBytes)
	errRawHeaders   = errors.New("header value is not UTF-8, and the other node does not read it")
)

// framedConn reads and writes frames on a connection. Writes are safe for concurrent use.
type framedConn struct {
	conn   net.Conn
	reader *bufio.Reader
	// memory bounds the frames that are received, until the call to which they belong has ended.
	memory *membudget.Budget
	// rawHeaders is set when the other node reads header values that are not UTF-8.
	rawHeaders atomic.Bool
	// readsChunks is set when the other node reads frames in pieces.
	readsChunks atomic.Bool
	// egress is nil if frames are sent whole.
	egress     *Egress
	boundOnce  sync.Once
	pieces     *pieceOrder
	reassembly reassembly
	// alive is called with each frame and piece that is read.
	alive func()

	// ending is set when nothing more is written.
	ending atomic.Bool
	// wholeWaiting is the number of frames that wait to be sent whole. They are sent before the next piece.
	wholeWaiting atomic.Int32

	mu     sync.Mutex
	buffer []byte
	err    error
}

func newFramedConn(conn net.Conn, memory *membudget.Budget, egress *Egress) *framedConn {
	return &framedConn{
		conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), memory: memory, egress: egress, pieces: newPieceOrder(),
		reassembly: reassembly{memory: memory, frames: map[uint64]*partialFrame{}}, alive: func() {},
	}
}

// write sends a frame. After a failed write it closes the connection and writes nothing more, so that the other node either
// reads a frame whole or does not read it. The error is an *EncodeError when the frame cannot be sent at all, and ErrClosed when nothing
// of it was written.
func (c *framedConn) write(f *linkpb.Frame) error { return c.writeUnless(f, nil) }

// writeUnless is like write. When stop returns true, it stops sending a frame that is sent in pieces; the error is then errStopped, and
// the other node does not get the frame.
func (c *framedConn) writeUnless(f *linkpb.Frame, stop func() bool) error {
	if !c.rawHeaders.Load() && hasRawHeaders(f) {
		return &EncodeError{Cause: errRawHeaders}
	}
	if body, _, _ := bodyOf(f); len(body) > chunkBytes && c.sendsChunks() {
		large, err := encodeLarge(f)
		if err != nil {
			return err
		}
		return c.writeLarge(large, stop)
	}
	large, err := c.writeWhole(f)
	if large == nil || err != nil {
		return err
	}
	return c.writeLarge(large, stop)
}

// writeWhole sends a frame whole. If the encoded frame must be sent in pieces, it sends nothing and returns it.
func (c *framedConn) writeWhole(f *linkpb.Frame) (*largeFrame, error) {
	c.lockForWhole()
	defer c.mu.Unlock()
	if c.err != nil { // nothing of this frame is written
		return nil, ErrClosed
	}
	encoded, err := proto.MarshalOptions{}.MarshalAppend(append(c.buffer[:0], 0, 0, 0, 0), f)
	if err != nil {
		return nil, &EncodeError{Cause: err}
	}
	if len(encoded)-headerBytes > maxFrameBytes {
		return nil, &EncodeError{Cause: errFrameTooLong}
	}
	if len(encoded)-headerBytes > chunkBytes && c.sendsChunks() {
		c.buffer = nil // it holds the frame
		return &largeFrame{stream: f.Stream, head: encoded[headerBytes:]}, nil
	}
	binary.BigEndian.PutUint32(encoded, uint32(len(encoded)-headerBytes))
	if cap(encoded) <= maxRetainedBufferBytes {
		c.buffer = encoded
	}
	return nil, c.writeEncoded(encoded)
}

// writeOrClose sends a frame of the link itself, which belongs to no call that could be told of an error. After any error the
// connection is closed, which both nodes notice, unless the node stops writing while the other one still reads.
func (c *framedConn) writeOrClose(f *linkpb.Frame) {
	if err := c.write(f); err != nil && !c.ending.Load() {
		c.close()
	}
}

// hasRawHeaders reports whether a header value in a frame is not UTF-8.
func hasRawHeaders(f *linkpb.Frame) bool {
	isRaw := func(h *linkpb.Header) bool { return !utf8.Valid(h.Value) }
	return slices.ContainsFunc(f.GetCall().GetHeader(), isRaw) || slices.ContainsFunc(f.GetAnswer().GetHeader(), isRaw)
}

// noMemoryError reports a frame of a call that was skipped, since it found no memory. The link stays open.
type noMemoryError struct{ stream uint64 }

func (e *noMemoryError) Error() string { return "no memory for a frame" }

// read returns the next frame and the reservation of its memory. A frame in pieces is returned when all have arrived. It fails on a frame
// that is longer than maxFrameBytes or cannot be decoded, and with a *noMemoryError on one that finds no memory.
func (c *framedConn) read() (*linkpb.Frame, *membudget.Reservation, error) {
	f, memory, err := c.readWhole()
	for err == nil && f.GetChunk() != nil {
		piece := f
		f, memory, err = c.reassembly.add(piece.Stream, piece.GetChunk())
		if f == nil && err == nil {
			f, memory, err = c.readWhole()
		}
	}
	var noMemory *noMemoryError
	if err != nil && !errors.As(err, &noMemory) {
		c.reassembly.release()
	}
	return f, memory, err
}

// readWhole returns the next frame, which may be a piece of another one.
func (c *framedConn) readWhole() (*linkpb.Frame, *membudget.Reservation, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return nil, nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameBytes {
		return nil, nil, fmt.Errorf("frame of %d bytes is longer than %d", size, maxFrameBytes)
	}
	reservation := c.memory.Reserve()
	f, err := c.readBody(int64(size), reservation)
	if err != nil {
		reservation.Release()
		return nil, nil, err
	}
	c.alive()
	if f.GetChunk() != nil {
		reservation.Release() // the reassembled frame has its own
	}
	return f, reservation, nil
}

// readBody reads and decodes a frame of a given size.
func (c *framedConn) readBody(size int64, reservation *membudget.Reservation) (*linkpb.Frame, error) {
	if err := reservation.Grow(size); err != nil {
		return nil, c.skip(size, err)
	}
	encoded, err := membudget.ReadIncrementally(c.reader, size)
	if err != nil {
		return nil, err
	}
	f, err := decodeFrame(encoded)
	if err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	return f, nil
}

// skip reads and drops a frame that found no memory. One that belongs to no call ends the link with the cause.
func (c *framedConn) skip(size int64, cause error) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(skipTimeout)) // the length alone may be all that comes
	start, err := c.reader.Peek(int(min(size, maxStreamBytes)))
	if err != nil {
		return err
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	stream := streamOf(start)
	if stream == 0 {
		return cause
	}
	if _, err := io.CopyN(io.Discard, c.reader, size); err != nil {
		return err
	}
	return &noMemoryError{stream: stream}
}

// close closes the connection. Later writes fail with ErrClosed unless an earlier write has failed.
func (c *framedConn) close() {
	_ = c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = ErrClosed
	}
}
