package membudget

import (
	"errors"
	"io"
)

const (
	// minReadBytes is the first size of the buffer for a body of unknown length.
	minReadBytes = 4 << 10
	// maxInitialBytes is the size up to which a body of a known length is read into a buffer of its final size.
	maxInitialBytes = 1 << 20
)

// ErrTooLarge reports that a body is longer than allowed.
var ErrTooLarge = errors.New("body is longer than allowed")

// ReadAll reads a body of unknown length, which may have up to limit bytes, within a reservation.
func ReadAll(r io.Reader, limit int64, reservation *Reservation) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := grow(body, reservation)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a copy of a full buffer with twice the capacity.
func grow(body []byte, reservation *Reservation) ([]byte, error) {
	size := max(2*cap(body), minReadBytes)
	if err := reservation.Grow(int64(size)); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, nil
}

// ReadExactly reads a body of a known length within a reservation.
func ReadExactly(r io.Reader, length int64, reservation *Reservation) ([]byte, error) {
	if err := reservation.Grow(length); err != nil {
		return nil, err
	}
	return ReadIncrementally(r, length)
}

// ReadIncrementally reads length bytes into a buffer that grows with the bytes that arrive, since the length is only a claim of
// the other side.
func ReadIncrementally(r io.Reader, length int64) ([]byte, error) {
	body := make([]byte, min(length, maxInitialBytes))
	for read := 0; ; {
		n, err := io.ReadFull(r, body[read:])
		read += n
		if err != nil {
			return nil, err
		}
		if int64(read) == length {
			return body, nil
		}
		grown := make([]byte, min(length, 2*int64(read)))
		copy(grown, body)
		body = grown
	}
}
