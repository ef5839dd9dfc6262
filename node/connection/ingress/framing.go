package ingress

import (
	"bytes"
	"strconv"
	"sync/atomic"
)

// maxLine is the part of a line that is kept; the names and values that matter are shorter.
const maxLine = 128

// position is where in a request the next byte stands.
type position int

const (
	atRequestLine position = iota
	inHeaders
	inBody
	atChunkSize
	inChunk
	afterChunk
	inTrailer
	// lost means that the framing could not be followed. net/http refuses such a request and closes the connection.
	lost
)

// framing follows where requests begin and end on a connection.
type framing struct {
	// ambiguous is set when a request had both a length and chunks.
	ambiguous atomic.Bool

	position position
	line     []byte
	// remaining is the number of bytes up to the end of the body or chunk.
	remaining int64
	length    int64
	hasLength bool
	chunked   bool
}

// follow takes the next bytes of the connection.
func (f *framing) follow(p []byte) {
	for len(p) > 0 && f.position != lost {
		if f.position == inBody || f.position == inChunk {
			p = f.skip(p)
			continue
		}
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			f.keep(p)
			return
		}
		f.keep(p[:end])
		f.endLine(bytes.TrimSuffix(f.line, []byte{'\r'}))
		f.line = f.line[:0]
		p = p[end+1:]
	}
}

// keep adds to the present line.
func (f *framing) keep(p []byte) {
	f.line = append(f.line, p[:min(len(p), maxLine-len(f.line))]...)
}

// skip passes over the bytes of a body or chunk and returns the rest.
func (f *framing) skip(p []byte) []byte {
	n := min(int64(len(p)), f.remaining)
	f.remaining -= n
	if f.remaining == 0 {
		if f.position == inBody {
			f.nextRequest()
		} else {
			f.position = afterChunk
		}
	}
	return p[n:]
}

func (f *framing) nextRequest() {
	f.position, f.length, f.hasLength, f.chunked = atRequestLine, 0, false, false
}

// endLine takes a whole line.
func (f *framing) endLine(line []byte) {
	switch f.position {
	case atRequestLine:
		if len(line) > 0 {
			f.position = inHeaders
		}
	case inHeaders:
		if len(line) > 0 {
			f.header(line)
			return
		}
		f.endHeaders()
	case atChunkSize:
		f.chunkSize(line)
	case afterChunk:
		f.position = atChunkSize
	case inTrailer:
		if len(line) == 0 {
			f.nextRequest()
		}
	}
}

func (f *framing) header(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		length, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil || length < 0 {
			f.position = lost
			return
		}
		f.length, f.hasLength = length, true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.chunked = true
	}
}

func (f *framing) endHeaders() {
	if f.chunked && f.hasLength {
		f.ambiguous.Store(true)
	}
	switch {
	case f.chunked:
		f.position = atChunkSize
	case f.length > 0:
		f.position, f.remaining = inBody, f.length
	default:
		f.nextRequest()
	}
}

func (f *framing) chunkSize(line []byte) {
	digits, _, _ := bytes.Cut(line, []byte{';'})
	size, err := strconv.ParseInt(string(bytes.TrimSpace(digits)), 16, 64)
	switch {
	case err != nil || size < 0:
		f.position = lost
	case size == 0:
		f.position = inTrailer
	default:
		f.position, f.remaining = inChunk, size
	}
}
