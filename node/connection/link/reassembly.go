package link

import (
	"errors"
	"fmt"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/internal/membudget"
)

// maxInitialBytes is the length up to which the buffer of an arriving frame has its final size at once. The buffer of a
// longer one grows with the data, so the other node cannot cause a large allocation by stating a length.
const maxInitialBytes = 1 << 20

// Violations of the protocol, which end the link.
var (
	errTooManyFrames = fmt.Errorf("more than %d frames in pieces at once", maxInterleaved)
	errChunkTotal    = errors.New("first piece without the length of the frame, or a later one with it")
	errChunkOverrun  = errors.New("pieces are longer than the frame")
	errChunkContent  = errors.New("frame in pieces is itself a piece or has another stream")
)

// reassembly joins the pieces of the frames that arrive on a connection. It is not safe for concurrent use.
type reassembly struct {
	memory *membudget.Budget
	frames map[uint64]*partialFrame
}

// partialFrame is a frame of which pieces have arrived.
type partialFrame struct {
	total    int
	received int
	encoded  []byte
	memory   *membudget.Reservation
	// dropped is set if there was no memory for the frame. Its further pieces are counted and discarded.
	dropped bool
}

// add adds a piece. It returns the frame if the piece completes it, and nil if it does not or if the sender has stopped. The error is a
// *noMemoryError if the frame finds no memory; other errors end the link.
func (r *reassembly) add(stream uint64, piece *linkpb.Chunk) (*linkpb.Frame, *membudget.Reservation, error) {
	p := r.frames[stream]
	if (p == nil) != (piece.TotalBytes > 0) {
		return nil, nil, errChunkTotal
	}
	if p == nil {
		var err error
		if p, err = r.begin(stream, piece); err != nil {
			return nil, nil, err
		}
	}
	if len(piece.Data) > p.total-p.received {
		return nil, nil, errChunkOverrun
	}
	p.received += len(piece.Data)
	if !p.dropped {
		p.encoded = append(p.encoded, piece.Data...)
	}
	if !piece.Last {
		return nil, nil, nil
	}
	delete(r.frames, stream)
	if p.dropped || p.received < p.total {
		p.memory.Release()
		return nil, nil, nil
	}
	f, err := decodePieces(stream, p.encoded)
	if err != nil {
		p.memory.Release()
		return nil, nil, err
	}
	return f, p.memory, nil
}

// begin reserves the memory of a frame whose first piece has arrived.
func (r *reassembly) begin(stream uint64, piece *linkpb.Chunk) (*partialFrame, error) {
	if piece.TotalBytes > maxFrameBytes {
		return nil, fmt.Errorf("frame of %d bytes is longer than %d", piece.TotalBytes, maxFrameBytes)
	}
	if len(r.frames) >= maxInterleaved {
		return nil, errTooManyFrames
	}
	p := &partialFrame{total: int(piece.TotalBytes), memory: r.memory.Reserve()}
	if err := p.memory.Grow(int64(p.total)); err != nil {
		if stream == 0 {
			return nil, err
		}
		p.dropped, p.received = true, len(piece.Data)
		if !piece.Last {
			r.frames[stream] = p
		}
		return nil, &noMemoryError{stream: stream}
	}
	p.encoded = make([]byte, 0, min(p.total, maxInitialBytes))
	r.frames[stream] = p
	return p, nil
}

// release drops the incomplete frames and releases their memory.
func (r *reassembly) release() {
	for _, p := range r.frames {
		p.memory.Release()
	}
	clear(r.frames)
}

// decodePieces decodes a frame that has arrived in pieces of a stream.
func decodePieces(stream uint64, encoded []byte) (*linkpb.Frame, error) {
	f, err := decodeFrame(encoded)
	if err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	if f.Stream != stream || f.GetChunk() != nil {
		return nil, errChunkContent
	}
	return f, nil
}
