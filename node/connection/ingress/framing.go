package ingress

import (
	"bytes"
	"strconv"
	"sync/atomic"
)

// maxLineBytes is the length to which buffered lines are cut. The header names and values that are parsed are shorter.
const maxLineBytes = 128

// parseState is the part of a request that the next byte belongs to.
type parseState int

const (
	stateRequestLine parseState = iota
	stateHeaders
	stateBody
	stateChunkSize
	stateChunk
	stateChunkEnd
	stateTrailer
	// stateInvalid is entered when the framing cannot be parsed. net/http rejects such a request and closes the connection.
	stateInvalid
)

// framingParser parses where requests begin and end on a connection, and detects those with an ambiguous length.
type framingParser struct {
	// ambiguous is set when a request had both a Content-Length and a Transfer-Encoding header.
	ambiguous atomic.Bool

	state parseState
	line  []byte
	// remaining is the number of bytes left in the body or chunk.
	remaining int64
	length    int64
	hasLength bool
	chunked   bool
}

// parse processes the next bytes of the connection.
func (p *framingParser) parse(data []byte) {
	for len(data) > 0 && p.state != stateInvalid {
		if p.state == stateBody || p.state == stateChunk {
			data = p.skipBody(data)
			continue
		}
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			p.appendLine(data)
			return
		}
		p.appendLine(data[:end])
		p.parseLine(bytes.TrimSuffix(p.line, []byte{'\r'}))
		p.line = p.line[:0]
		data = data[end+1:]
	}
}

// appendLine adds data to the current line, up to maxLineBytes.
func (p *framingParser) appendLine(data []byte) {
	p.line = append(p.line, data[:min(len(data), maxLineBytes-len(p.line))]...)
}

// skipBody skips the bytes that belong to the body or chunk and returns the rest.
func (p *framingParser) skipBody(data []byte) []byte {
	n := min(int64(len(data)), p.remaining)
	p.remaining -= n
	if p.remaining == 0 {
		if p.state == stateBody {
			p.startRequest()
		} else {
			p.state = stateChunkEnd
		}
	}
	return data[n:]
}

func (p *framingParser) startRequest() {
	p.state, p.length, p.hasLength, p.chunked = stateRequestLine, 0, false, false
}

// parseLine processes a complete line without its line end.
func (p *framingParser) parseLine(line []byte) {
	switch p.state {
	case stateRequestLine:
		if len(line) > 0 {
			p.state = stateHeaders
		}
	case stateHeaders:
		if len(line) > 0 {
			p.parseHeader(line)
			return
		}
		p.parseHeadersEnd()
	case stateChunkSize:
		p.parseChunkSize(line)
	case stateChunkEnd:
		p.state = stateChunkSize
	case stateTrailer:
		if len(line) == 0 {
			p.startRequest()
		}
	}
}

func (p *framingParser) parseHeader(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		length, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil || length < 0 {
			p.state = stateInvalid
			return
		}
		p.length, p.hasLength = length, true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		p.chunked = true
	}
}

func (p *framingParser) parseHeadersEnd() {
	if p.chunked && p.hasLength {
		p.ambiguous.Store(true)
	}
	switch {
	case p.chunked:
		p.state = stateChunkSize
	case p.length > 0:
		p.state, p.remaining = stateBody, p.length
	default:
		p.startRequest()
	}
}

func (p *framingParser) parseChunkSize(line []byte) {
	digits, _, _ := bytes.Cut(line, []byte{';'})
	size, err := strconv.ParseInt(string(bytes.TrimSpace(digits)), 16, 64)
	switch {
	case err != nil || size < 0:
		p.state = stateInvalid
	case size == 0:
		p.state = stateTrailer
	default:
		p.state, p.remaining = stateChunk, size
	}
}
