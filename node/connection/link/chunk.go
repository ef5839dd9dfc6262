package link

import (
	"encoding/binary"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/radishstand/radishstand/api/linkpb"
)

const (
	// chunkBytes is the length of an encoded frame above which it is sent in pieces, and the length of the pieces.
	chunkBytes = 16 << 10
	// maxInterleaved bounds the large frames that are partly sent on a link at the same time.
	maxInterleaved = 32
	// frameChunkField and the chunk fields are field numbers in link.proto.
	frameChunkField = 21
	chunkDataField  = 1
	chunkLastField  = 2
	chunkTotalField = 3
)

// errStopped reports a frame that was not sent, or not all of its pieces, because nobody waits for it. The link stays open.
var errStopped = errors.New("sending stopped")

// largeFrame is an encoded frame: the concatenation of head and body. The body is that of the message and not copied.
type largeFrame struct {
	stream     uint64
	head, body []byte
}

func (l *largeFrame) size() int { return len(l.head) + len(l.body) }

// appendRange appends the bytes from a position up to another one.
func (l *largeFrame) appendRange(to []byte, from, until int) []byte {
	if from < len(l.head) {
		to = append(to, l.head[from:min(until, len(l.head))]...)
	}
	if until > len(l.head) {
		to = append(to, l.body[max(from-len(l.head), 0):until-len(l.head)]...)
	}
	return to
}

// bodyOf returns the field of a frame that may be large, the number of that field in its message, and the number of the message in
// the frame.
func bodyOf(f *linkpb.Frame) (body []byte, bodyField, messageField protowire.Number) {
	switch message := f.Body.(type) {
	case *linkpb.Frame_Call:
		return message.Call.GetBody(), callBodyField, frameCallField
	case *linkpb.Frame_Answer:
		return message.Answer.GetBody(), answerBodyField, frameAnswerField
	}
	return nil, 0, 0
}

// encodeLarge encodes a frame with a large body without copying the body. It encodes the message field twice, first without the body and
// then with the body only; protobuf decoders merge the two.
func encodeLarge(f *linkpb.Frame) (*largeFrame, error) {
	body, bodyField, messageField := bodyOf(f)
	rest := &linkpb.Frame{Stream: f.Stream, Version: f.Version, SentMs: f.SentMs, ProofAgeMs: f.ProofAgeMs}
	switch message := f.Body.(type) {
	case *linkpb.Frame_Call:
		rest.Body = &linkpb.Frame_Call{Call: withoutField(message.Call, bodyField)}
	case *linkpb.Frame_Answer:
		rest.Body = &linkpb.Frame_Answer{Answer: withoutField(message.Answer, bodyField)}
	}
	head, err := proto.Marshal(rest)
	if err != nil {
		return nil, &EncodeError{Cause: err}
	}
	head = protowire.AppendTag(head, messageField, protowire.BytesType)
	head = protowire.AppendVarint(head, uint64(protowire.SizeTag(bodyField)+protowire.SizeBytes(len(body))))
	head = protowire.AppendTag(head, bodyField, protowire.BytesType)
	head = protowire.AppendVarint(head, uint64(len(body)))
	return &largeFrame{stream: f.Stream, head: head, body: body}, nil
}

// withoutField returns a shallow copy of a message without a field.
func withoutField[M proto.Message](m M, number protowire.Number) M {
	source := m.ProtoReflect()
	copied := source.New()
	source.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if field.Number() != number {
			copied.Set(field, value)
		}
		return true
	})
	return copied.Interface().(M)
}

// pieceOrder orders the pieces of the large frames of a connection. Frames of different streams send pieces in turn; frames of the same
// stream are sent one after the other. It is safe for concurrent use.
type pieceOrder struct {
	// turn is held while a piece is written. It is a channel because waiting senders proceed in the order of their arrival.
	turn chan struct{}
	// admitted holds an element for each frame that is partly sent. Its capacity bounds their number.
	admitted chan struct{}

	mu      sync.Mutex
	streams map[uint64]chan struct{} // closed when the frame of a stream is sent
}

func newPieceOrder() *pieceOrder {
	return &pieceOrder{
		turn: make(chan struct{}, 1), admitted: make(chan struct{}, maxInterleaved), streams: map[uint64]chan struct{}{},
	}
}

// begin waits until pieces of a frame may be sent.
func (o *pieceOrder) begin(stream uint64) {
	for {
		o.mu.Lock()
		earlier := o.streams[stream]
		if earlier == nil {
			o.streams[stream] = make(chan struct{})
			o.mu.Unlock()
			o.admitted <- struct{}{}
			return
		}
		o.mu.Unlock()
		<-earlier
	}
}

// end records that no further piece of a frame is sent.
func (o *pieceOrder) end(stream uint64) {
	<-o.admitted
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.streams[stream])
	delete(o.streams, stream)
}

// sendsChunks reports whether large frames are sent in pieces on this connection.
func (c *framedConn) sendsChunks() bool { return c.readsChunks.Load() && c.egress.sendsChunks() }

// writeLarge sends a frame in pieces, between which other frames are sent. It stops between two pieces when stop returns true. After a
// failure before the last piece the error is ErrClosed, since the other node does not have the frame.
func (c *framedConn) writeLarge(l *largeFrame, stop func() bool) error {
	if l.size() > maxFrameBytes {
		return &EncodeError{Cause: errFrameTooLong}
	}
	c.boundOnce.Do(func() { c.egress.boundUnsent(c.conn) })
	left := l.size()
	c.egress.waiting.Add(int64(left))
	c.egress.frames.Add(1)
	defer func() {
		c.egress.waiting.Add(-int64(left))
		if left > 0 {
			c.egress.stopped.Add(1)
		}
	}()
	c.pieces.begin(l.stream)
	defer c.pieces.end(l.stream)
	for left > 0 {
		sent, err := c.writeNextPiece(l, left, stop != nil && stop())
		if err != nil {
			return err
		}
		left -= sent
		c.egress.waiting.Add(-int64(sent))
	}
	return nil
}

// writeNextPiece sends the next piece of a frame of which the given number of bytes is left, and returns the length of the piece. If the
// frame is stopped, it sends an empty last piece, unless none was sent before, and returns errStopped.
func (c *framedConn) writeNextPiece(l *largeFrame, left int, stopped bool) (int, error) {
	from := l.size() - left
	length := min(left, chunkBytes)
	if stopped && from == 0 {
		return 0, errStopped
	}
	if stopped {
		length = 0
	}
	if err := c.writePiece(l, from, length, stopped || length == left); err != nil {
		if length < left && !errors.Is(err, ErrClosed) {
			err = fmt.Errorf("%w: %w", ErrClosed, err)
		}
		return 0, err
	}
	if stopped {
		return 0, errStopped
	}
	return length, nil
}

// writePiece sends a piece of a frame when it is the turn of that frame. The last piece of a frame that is not complete makes the
// other node drop it.
func (c *framedConn) writePiece(l *largeFrame, from, length int, last bool) error {
	c.pieces.turn <- struct{}{}
	defer func() { <-c.pieces.turn }()
	c.lockForPiece()
	defer c.mu.Unlock()
	if c.err != nil {
		return ErrClosed
	}
	c.buffer = appendPiece(c.buffer[:0], l, from, length, last)
	return c.writeEncoded(c.buffer)
}

// lockForWhole locks the connection for a frame that is sent whole.
func (c *framedConn) lockForWhole() {
	if c.mu.TryLock() {
		return
	}
	c.wholeWaiting.Add(1)
	c.mu.Lock()
	c.wholeWaiting.Add(-1)
}

// lockForPiece locks the connection for a piece, after the frames that wait to be sent whole. With the
// mutex alone, the writer of pieces could lock it again before they wake up.
func (c *framedConn) lockForPiece() {
	c.mu.Lock()
	for c.wholeWaiting.Load() > 0 {
		c.mu.Unlock()
		runtime.Gosched()
		c.mu.Lock()
	}
}

// appendPiece appends the frame with a piece, preceded by its length.
func appendPiece(to []byte, l *largeFrame, from, length int, last bool) []byte {
	var fields []byte
	if from == 0 {
		fields = protowire.AppendTag(fields, chunkTotalField, protowire.VarintType)
		fields = protowire.AppendVarint(fields, uint64(l.size()))
	}
	if last {
		fields = protowire.AppendTag(fields, chunkLastField, protowire.VarintType)
		fields = protowire.AppendVarint(fields, protowire.EncodeBool(true))
	}
	start := len(to)
	to = append(to, 0, 0, 0, 0)
	if l.stream != 0 {
		to = protowire.AppendTag(to, frameStreamField, protowire.VarintType)
		to = protowire.AppendVarint(to, l.stream)
	}
	to = protowire.AppendTag(to, frameChunkField, protowire.BytesType)
	to = protowire.AppendVarint(to, uint64(len(fields)+protowire.SizeTag(chunkDataField)+protowire.SizeBytes(length)))
	to = append(to, fields...)
	to = protowire.AppendTag(to, chunkDataField, protowire.BytesType)
	to = protowire.AppendVarint(to, uint64(length))
	to = l.appendRange(to, from, from+length)
	binary.BigEndian.PutUint32(to[start:], uint32(len(to)-start-headerBytes))
	return to
}

// writeEncoded writes an encoded frame with its length. The error is ErrClosed when nothing of it was written. The lock must be held.
func (c *framedConn) writeEncoded(encoded []byte) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if written, err := c.conn.Write(encoded); err != nil {
		c.err = fmt.Errorf("write frame: %w", err)
		_ = c.conn.Close()
		if written == 0 {
			return ErrClosed
		}
		return c.err
	}
	return nil
}
