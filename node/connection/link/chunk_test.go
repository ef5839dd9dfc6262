package link

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/internal/membudget"
)

const testBudget = 64 << 20

// discardLog is a Log that drops everything.
type discardLog struct{}

func (discardLog) Warn(any, ...any) {}

func chunkingEgress() *Egress {
	return NewEgress(EgressConfig{
		Chunks: func() bool { return true }, BitsPerSecond: func() float64 { return 0 }, Log: discardLog{},
	})
}

// pipeConns returns the two ends of a connection, of which the first one sends in pieces.
func pipeConns(t testing.TB) (sender, receiver *framedConn) {
	a, b := net.Pipe()
	sender = newFramedConn(a, membudget.New(testBudget), chunkingEgress())
	receiver = newFramedConn(b, membudget.New(testBudget), nil)
	sender.readsChunks.Store(true)
	sender.rawHeaders.Store(true)
	require.NoError(t, b.SetReadDeadline(time.Now().Add(20*time.Second)))
	t.Cleanup(sender.close)
	t.Cleanup(receiver.close)
	return sender, receiver
}

func answerFrame(stream uint64, size int) *linkpb.Frame {
	body := make([]byte, 0, size+8)
	for len(body) < size {
		body = binary.LittleEndian.AppendUint64(body, uint64(len(body))<<16|stream)
	}
	body = body[:size]
	header := []*linkpb.Header{{Name: "X", Value: []byte("\xe9")}}
	answer := &linkpb.Answer{Status: 200, Header: header, Body: body, Load: &linkpb.Load{Queued: 3}}
	return &linkpb.Frame{Stream: stream, Version: 7, ProofAgeMs: 5, Body: &linkpb.Frame_Answer{Answer: answer}}
}

// Guards against a field or byte that is lost between the pieces, for bodies, headers and documents around the limits.
func TestFrameInPiecesArrivesAsItWasSent(t *testing.T) {
	long := &linkpb.Header{Name: "X", Value: bytes.Repeat([]byte{0xe9}, 3*chunkBytes)}
	frames := []*linkpb.Frame{
		{Stream: 9, SentMs: 4, Body: &linkpb.Frame_Call{Call: &linkpb.Call{Target: "/x", Header: []*linkpb.Header{long}}}},
		{Stream: 9, SentMs: 4, Body: &linkpb.Frame_Call{Call: &linkpb.Call{
			Target: "/x", Header: []*linkpb.Header{long}, Body: make([]byte, 5*chunkBytes), LeftMs: 7,
		}}},
		{Body: &linkpb.Frame_Routing{Routing: &linkpb.Routing{Document: make([]byte, 4*chunkBytes)}}},
	}
	for _, size := range []int{0, 1, chunkBytes - 100, chunkBytes - 1, chunkBytes, chunkBytes + 1, 5 * chunkBytes, 540 << 10, 3 << 20} {
		frames = append(frames, answerFrame(300, size))
	}
	sender, receiver := pipeConns(t)
	for _, f := range frames {
		go func() { _ = sender.write(f) }()
		got, memory, err := receiver.read()
		require.NoError(t, err)
		assert.True(t, proto.Equal(f, got), "%d bytes", proto.Size(f))
		memory.Release()
		assert.Zero(t, receiver.memory.Held())
	}
	require.Eventually(t, func() bool { return sender.egress.WaitingBytes() == 0 }, time.Second, time.Millisecond)
}

// Guards against a frame that is delivered although some of its pieces are missing, belong to another frame or were not sent, and
// against memory that is kept for such a frame: random frames are cut into pieces, mixed, stopped and broken off.
func TestRandomPiecesDeliverExactlyTheWholeFrames(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 1))
		budget := membudget.New(512 << 10)
		r := reassembly{memory: budget, frames: map[uint64]*partialFrame{}}
		type sending struct {
			frame        *linkpb.Frame
			encoded      []byte
			sent, stopAt int
			hasNoMemory  bool
		}
		var open []*sending
		next, delivered, expected := uint64(1), 0, 0
		for step := range 400 {
			if step < 300 && len(open) < maxInterleaved && random.IntN(3) == 0 {
				f := answerFrame(next, random.IntN(6*chunkBytes)+chunkBytes)
				next++
				encoded, err := proto.Marshal(f)
				require.NoError(t, err)
				s := &sending{frame: f, encoded: encoded, stopAt: len(encoded)}
				if random.IntN(4) == 0 {
					s.stopAt = 1 + random.IntN(len(encoded)-1)
				}
				open = append(open, s)
			}
			if len(open) == 0 {
				continue
			}
			i := random.IntN(len(open))
			s := open[i]
			length := min(s.stopAt-s.sent, 1+random.IntN(2*chunkBytes))
			piece := &linkpb.Chunk{Data: s.encoded[s.sent : s.sent+length]}
			if s.sent == 0 {
				piece.TotalBytes = uint64(len(s.encoded))
			}
			s.sent += length
			piece.Last = s.sent == s.stopAt
			f, memory, err := r.add(s.frame.Stream, piece)
			if err != nil {
				var noMemory *noMemoryError
				require.ErrorAs(t, err, &noMemory)
				require.Equal(t, s.frame.Stream, noMemory.stream)
				s.hasNoMemory = true
			}
			whole := s.sent == len(s.encoded) && !s.hasNoMemory
			require.Equal(t, whole, f != nil)
			if whole {
				expected++
				delivered++
				require.True(t, proto.Equal(s.frame, f))
				memory.Release()
			}
			if piece.Last {
				open = append(open[:i], open[i+1:]...)
			}
		}
		require.Positive(t, delivered)
		require.Equal(t, expected, delivered)
		r.release()
		require.Zero(t, budget.Held(), "seed %d", seed)
	}
}

// Guards against pieces that make the node hold more memory than it has reserved, or join the pieces of two frames.
func TestPiecesAgainstTheProtocolEndTheLink(t *testing.T) {
	first := func(stream, total uint64) *linkpb.Frame {
		return &linkpb.Frame{Stream: stream, Body: &linkpb.Frame_Chunk{Chunk: &linkpb.Chunk{Data: []byte("ab"), TotalBytes: total}}}
	}
	later := func(stream uint64, last bool) *linkpb.Frame {
		return &linkpb.Frame{Stream: stream, Body: &linkpb.Frame_Chunk{Chunk: &linkpb.Chunk{Data: []byte("ab"), Last: last}}}
	}
	var tooMany []*linkpb.Frame
	for i := range uint64(maxInterleaved + 1) {
		tooMany = append(tooMany, first(i+1, 1000))
	}
	cases := map[string]struct {
		frames []*linkpb.Frame
		want   error
	}{
		"a piece without a first one":     {[]*linkpb.Frame{later(1, false)}, errChunkTotal},
		"two first pieces":                {[]*linkpb.Frame{first(1, 100), first(1, 100)}, errChunkTotal},
		"more bytes than announced":       {[]*linkpb.Frame{first(1, 3), later(1, true)}, errChunkOverrun},
		"too many frames at once":         {tooMany, errTooManyFrames},
		"no memory for the link's frames": {[]*linkpb.Frame{first(0, testBudget+1)}, membudget.ErrExhausted},
		"a length that no frame has":      {[]*linkpb.Frame{first(1, maxFrameBytes+1)}, nil},
		"another stream inside":           {pieceOf(t, 1, &linkpb.Frame{Stream: 2}), errChunkContent},
		"a piece inside":                  {pieceOf(t, 1, later(1, false)), errChunkContent},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sender, receiver := pipeConns(t)
			go func() {
				for _, f := range c.frames {
					if sender.write(f) != nil {
						return
					}
				}
			}()
			_, _, err := receiver.read()
			var noMemory *noMemoryError
			assert.NotErrorAs(t, err, &noMemory)
			require.Error(t, err)
			if c.want != nil {
				assert.ErrorIs(t, err, c.want)
			}
			assert.Zero(t, receiver.memory.Held())
		})
	}
}

// pieceOf returns the only piece of a frame, on a stream.
func pieceOf(t *testing.T, stream uint64, f *linkpb.Frame) []*linkpb.Frame {
	encoded, err := proto.Marshal(f)
	require.NoError(t, err)
	chunk := &linkpb.Chunk{Data: encoded, Last: true, TotalBytes: uint64(len(encoded))}
	return []*linkpb.Frame{{Stream: stream, Body: &linkpb.Frame_Chunk{Chunk: chunk}}}
}

// Guards against a large frame for which memory is reserved only as its bytes arrive, so that many large frames together take more than
// there is, and against a first piece without memory that ends the link.
func TestMemoryOfTheWholeFrameIsReservedAtItsFirstPiece(t *testing.T) {
	r := reassembly{memory: membudget.New(1 << 20), frames: map[uint64]*partialFrame{}}
	piece := func(first, last bool) *linkpb.Chunk {
		c := &linkpb.Chunk{Data: make([]byte, chunkBytes), Last: last}
		if first {
			c.TotalBytes = 700 << 10
		}
		return c
	}
	_, _, err := r.add(1, piece(true, false))
	require.NoError(t, err)
	assert.EqualValues(t, 700<<10, r.memory.Held())
	_, _, err = r.add(2, piece(true, false))
	var noMemory *noMemoryError
	require.ErrorAs(t, err, &noMemory)
	_, _, err = r.add(2, piece(false, false))
	require.NoError(t, err, "the later pieces are skipped")
	_, _, err = r.add(1, piece(false, true))
	require.NoError(t, err)
	assert.Zero(t, r.memory.Held(), "the sender has stopped")
	_, _, err = r.add(2, piece(false, true))
	require.NoError(t, err)
	assert.Empty(t, r.frames)
}

// Guards against a large frame that takes the whole link while others wait, and against small frames behind large ones: the order of
// the frames on the connection is observed.
func TestLargeFramesShareTheLinkAndSmallOnesGoBetween(t *testing.T) {
	sender, receiver := pipeConns(t)
	for stream := range uint64(3) {
		go func() { _ = sender.write(answerFrame(stream+1, 20*chunkBytes)) }()
	}
	require.Eventually(t, func() bool { return sender.egress.WaitingBytes() > 60*chunkBytes }, time.Second, time.Millisecond)
	time.Sleep(10 * time.Millisecond) // all of them wait for their turn
	var order []uint64
	for i := range 62 {
		if i == 9 {
			go func() { _ = sender.write(&linkpb.Frame{Body: &linkpb.Frame_Pong{Pong: &linkpb.Pong{}}}) }()
			time.Sleep(10 * time.Millisecond)
		}
		f, memory, err := receiver.readWhole()
		require.NoError(t, err)
		memory.Release()
		order = append(order, f.Stream)
	}
	for i := 3; i < 9; i++ {
		assert.NotEqual(t, order[i], order[i-1], "%v", order)
	}
	assert.Contains(t, order[9:12], uint64(0), "%v", order)
}

// Guards against a large frame that fails as a whole because the link takes longer for it than for a small one, and against a link
// whose other node has stopped reading and that stays open.
func TestWriteTimeoutHoldsForAPiece(t *testing.T) {
	sender, receiver := pipeConns(t)
	written := make(chan error, 1)
	go func() { written <- sender.write(answerFrame(1, 5*chunkBytes)) }()
	started := time.Now()
	for range 6 {
		time.Sleep(writeTimeout / 5)
		_, memory, err := receiver.readWhole()
		require.NoError(t, err)
		memory.Release()
	}
	assert.Greater(t, time.Since(started), writeTimeout)
	assert.NoError(t, <-written)
	go func() { written <- sender.write(answerFrame(1, 5*chunkBytes)) }()
	_, _, err := receiver.readWhole()
	require.NoError(t, err)
	assert.ErrorIs(t, <-written, ErrClosed, "the frame was not sent")
}

// Guards against pieces that are sent to a node of an earlier build, and against pieces where the configuration does not ask for them.
func TestFramesAreSentWholeToANodeThatReadsNoPieces(t *testing.T) {
	for name, change := range map[string]func(c *framedConn){
		"the other node has announced nothing": func(c *framedConn) { c.readsChunks.Store(false) },
		"the configuration has no downloads":   func(c *framedConn) { c.egress.config.Chunks = func() bool { return false } },
		"the link has no egress":               func(c *framedConn) { c.egress = nil },
	} {
		t.Run(name, func(t *testing.T) {
			sender, receiver := pipeConns(t)
			change(sender)
			want := answerFrame(1, 5*chunkBytes)
			go func() { _ = sender.write(want) }()
			f, _, err := receiver.readWhole()
			require.NoError(t, err)
			assert.True(t, proto.Equal(want, f))
		})
	}
}

// BenchmarkSmallFrames measures what small frames cost on a link with and without pieces.
func BenchmarkSmallFrames(b *testing.B) {
	for name, egress := range map[string]*Egress{"whole": nil, "chunks": chunkingEgress()} {
		b.Run(name, func(b *testing.B) {
			near, far := net.Pipe()
			defer near.Close()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			c := newFramedConn(discardConn{near}, membudget.New(testBudget), egress)
			c.readsChunks.Store(true)
			f := answerFrame(1, 800)
			f.GetAnswer().Header = nil
			b.ReportAllocs()
			for b.Loop() {
				if err := c.write(f); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// discardConn is a connection that discards what is written.
type discardConn struct{ net.Conn }

func (discardConn) Write(p []byte) (int, error)      { return len(p), nil }
func (discardConn) SetWriteDeadline(time.Time) error { return nil }

// FuzzPieces checks that bytes of another node which claim to be pieces neither panic nor leave memory reserved.
func FuzzPieces(f *testing.F) {
	encoded, err := proto.Marshal(answerFrame(3, 60))
	require.NoError(f, err)
	large := &largeFrame{stream: 3, head: encoded}
	f.Add(append(appendPiece(nil, large, 0, 20, false), appendPiece(nil, large, 20, len(encoded)-20, true)...))
	f.Add(binary.BigEndian.AppendUint32(nil, 0))
	f.Fuzz(func(t *testing.T, stream []byte) {
		c := newFramedConn(readConn{Reader: bytes.NewReader(stream)}, membudget.New(1<<20), nil)
		for {
			_, memory, err := c.read()
			var noMemory *noMemoryError
			switch {
			case err == nil:
				memory.Release()
			case !errors.As(err, &noMemory):
				require.Zero(t, c.memory.Held())
				return
			}
		}
	})
}

// readConn is a connection on which the other node has sent some bytes and ended it.
type readConn struct {
	net.Conn
	*bytes.Reader
}

func (c readConn) Read(p []byte) (int, error)    { return c.Reader.Read(p) }
func (readConn) SetReadDeadline(time.Time) error { return nil }
