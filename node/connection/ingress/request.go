package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"sync"

	"golang.org/x/net/http/httpguts"
)

// headSlackBytes is the number of bytes by which a request's head may exceed Limits.HeaderBytes, for the request line and the
// line ends.
const headSlackBytes = 4 << 10

// Errors of a request that cannot be read.
var (
	errHeadTooLarge = errors.New("headers are longer than allowed")
	errAmbiguous    = errors.New("ambiguous length")
	errMalformed    = errors.New("malformed request")
)

// parsers holds the readers that http.ReadRequest needs for a request's head.
var parsers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// readHead reads the request line and the headers. The body of the returned request is empty.
func readHead(r *bufio.Reader, limit int) (*http.Request, error) {
	head, err := readHeadBytes(r, limit+headSlackBytes)
	if err != nil {
		return nil, err
	}
	if err := checkHead(head); err != nil {
		return nil, err
	}
	parser := parsers.Get().(*bufio.Reader)
	defer parsers.Put(parser)
	parser.Reset(bytes.NewReader(head))
	request, err := http.ReadRequest(parser)
	if err != nil {
		return nil, fmt.Errorf("%w: unreadable head", errMalformed) // the parser's error quotes lines, which may hold a key
	}
	if request.ProtoMajor != 1 {
		return nil, fmt.Errorf("%w: protocol %s", errMalformed, request.Proto)
	}
	request.Body = http.NoBody
	return request, nil
}

// readHeadBytes reads up to and including the empty line that ends the head.
func readHeadBytes(r *bufio.Reader, limit int) ([]byte, error) {
	var head []byte
	for lineStart := 0; ; {
		part, err := r.ReadSlice('\n')
		if len(head)+len(part) > limit {
			return nil, errHeadTooLarge
		}
		head = append(head, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return nil, err
		}
		line := bytes.TrimRight(head[lineStart:], "\r\n")
		switch {
		case len(line) > 0:
			lineStart = len(head)
		case lineStart > 0:
			return head, nil
		default: // an empty line before the request line
			head, limit = head[:0], limit-len(part)
		}
	}
}

// checkHead rejects heads that http.ReadRequest accepts although recipients may disagree on what they mean.
func checkHead(head []byte) error {
	var hosts, lengths, encodings int
	for i, line := range bytes.Split(head, []byte{'\n'}) {
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if bytes.IndexFunc(line, isForbidden) >= 0 {
			return fmt.Errorf("%w: control character", errMalformed)
		}
		if i == 0 || len(line) == 0 {
			continue
		}
		if line[0] == ' ' || line[0] == '\t' {
			return fmt.Errorf("%w: folded header", errMalformed)
		}
		name, _, _ := bytes.Cut(line, []byte{':'})
		if !httpguts.ValidHeaderFieldName(string(name)) {
			return fmt.Errorf("%w: header name", errMalformed)
		}
		switch {
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		}
	}
	switch {
	case lengths+encodings > 1:
		return errAmbiguous
	case hosts != 1:
		return fmt.Errorf("%w: %d Host headers", errMalformed, hosts)
	}
	return nil
}

// isForbidden reports whether a character must not occur in a head.
func isForbidden(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// body is the body of a request. Its first read asks a caller that waits for it to send the body.
type body struct {
	reader io.Reader
	// sendContinue writes the interim response; nil when the caller does not wait for it.
	sendContinue func() error
	// ended is closed when the whole body has been read.
	ended chan struct{}
}

// newBody returns the body of a request, or nil when it has none.
func newBody(r *http.Request, connection *bufio.Reader, sendContinue func() error) *body {
	b := &body{ended: make(chan struct{})}
	switch {
	case len(r.TransferEncoding) > 0:
		b.reader = &chunkedBody{chunks: httputil.NewChunkedReader(connection), connection: connection}
	case r.ContentLength > 0:
		b.reader = &exactReader{reader: connection, remaining: r.ContentLength}
	default:
		return nil
	}
	if r.ProtoAtLeast(1, 1) && r.Header.Get("Expect") == "100-continue" {
		b.sendContinue = sendContinue
	}
	return b
}

// Read reads bytes of the body.
func (b *body) Read(p []byte) (int, error) {
	if send := b.sendContinue; send != nil {
		b.sendContinue = nil
		if err := send(); err != nil {
			return 0, err
		}
	}
	n, err := b.reader.Read(p)
	if errors.Is(err, io.EOF) && !b.hasEnded() {
		close(b.ended)
	}
	return n, err
}

func (b *body) hasEnded() bool {
	select {
	case <-b.ended:
		return true
	default:
		return false
	}
}

// Close does nothing; a body that is not read whole closes its connection.
func (b *body) Close() error { return nil }

// exactReader reads a number of bytes. An earlier end is an error.
type exactReader struct {
	reader    io.Reader
	remaining int64
}

// Read reads bytes up to the end.
func (e *exactReader) Read(p []byte) (int, error) {
	if e.remaining == 0 {
		return 0, io.EOF
	}
	n, err := e.reader.Read(p[:min(int64(len(p)), e.remaining)])
	e.remaining -= int64(n)
	switch {
	case e.remaining == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// maxTrailerBytes bounds the trailer of a body in chunks.
const maxTrailerBytes = 4 << 10

// chunkedBody reads chunks and the trailer behind them.
type chunkedBody struct {
	chunks     io.Reader
	connection *bufio.Reader
	ended      bool
}

// Read reads bytes of the chunks.
func (c *chunkedBody) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.chunks.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := c.skipTrailer(); err != nil {
		return n, err
	}
	c.ended = true
	return n, io.EOF
}

func (c *chunkedBody) skipTrailer() error {
	for left := maxTrailerBytes; left > 0; {
		line, err := c.connection.ReadSlice('\n')
		if err != nil {
			return fmt.Errorf("%w: trailer: %w", errMalformed, err)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		left -= len(line)
	}
	return errHeadTooLarge
}

// withContext returns the request with a context and a body.
func withContext(ctx context.Context, r *http.Request, b *body) *http.Request {
	r = r.WithContext(ctx)
	if b != nil {
		r.Body = b
	}
	return r
}
