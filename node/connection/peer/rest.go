package peer

import (
	"bytes"
	"errors"
	"io"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/request/attempt"
)

// Rest implements peerpb.PeerServer.
func (s *Service) Rest(r *peerpb.RestRequest, stream grpc.ServerStreamingServer[peerpb.CallPart]) error {
	answer := s.pending.take(r.AttemptId)
	if answer == nil {
		return status.Error(codes.NotFound, "no answer of this attempt waits to be fetched")
	}
	defer answer.Close()
	var rest io.Reader = bytes.NewReader(answer.Body)
	if answer.Rest != nil {
		rest = io.MultiReader(rest, answer.Rest)
	}
	return sendRest(r.AttemptId, rest, stream)
}

// sendRest sends the body in parts of up to partBytes. A read error is sent as a truncated body.
func sendRest(attemptID string, rest io.Reader, stream grpc.ServerStreamingServer[peerpb.CallPart]) error {
	buffer := make([]byte, partBytes)
	for {
		n, err := fill(rest, buffer)
		part := &peerpb.CallPart{AttemptId: attemptID, Body: buffer[:n]}
		switch {
		case err == nil:
		case err == io.EOF:
			part.Last = true
		default:
			part.Part, part.Last = failurePart(attempt.KindTruncated), true
		}
		if sendErr := stream.Send(part); sendErr != nil || part.Last {
			return sendErr
		}
	}
}

// fill reads until the buffer is full or the reader returns an error. Unlike io.ReadFull, it returns the reader's error
// unchanged, since io.ErrUnexpectedEOF from the reader means a truncated body.
func fill(r io.Reader, buffer []byte) (int, error) {
	n := 0
	for n < len(buffer) {
		m, err := r.Read(buffer[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// restReader reads the parts after the first one. It returns io.EOF only after the part that is marked as the last.
type restReader struct {
	attemptID string
	stream    grpc.ServerStreamingClient[peerpb.CallPart]
	cancel    func()
	pending   []byte
	last      bool
}

// Read implements io.Reader.
func (r *restReader) Read(p []byte) (int, error) {
	for len(r.pending) == 0 {
		if r.last {
			return 0, io.EOF
		}
		if err := r.next(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// next receives the next part.
func (r *restReader) next() error {
	part, err := r.stream.Recv()
	switch {
	case errors.Is(err, io.EOF):
		// The stream ended without a part marked as the last.
		return io.ErrUnexpectedEOF
	case err != nil:
		return &attempt.Broken{Kind: attempt.KindFromContext(r.stream.Context()), Cause: err}
	case part.AttemptId != r.attemptID:
		return ErrWrongAttempt
	case part.GetFailure() != nil:
		return &attempt.Broken{Kind: failureFromWire(part.GetFailure())}
	}
	r.pending, r.last = part.Body, part.Last
	return nil
}

// Close implements io.Closer.
func (r *restReader) Close() error {
	r.cancel()
	return nil
}
