package exchange

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/radishstand/radishstand/node/internal/httpstatus"
	"github.com/radishstand/radishstand/node/internal/membudget"
)

const (
	// maxBodyBytes bounds the body of an answer.
	maxBodyBytes = 64 << 20
	// maxHeadBytes bounds the heads of an answer and of the interim answers before it together, and its trailer.
	maxHeadBytes = 64 << 10
)

// Errors of an answer that cannot be read. Their texts are sent to the entry node as the cause of a broken call.
var (
	errStatusLine = errors.New("malformed status line")
	errHeaderLine = errors.New("malformed header line")
	errFraming    = errors.New("ambiguous length of the body")
	errTooLong    = errors.New("headers or trailer are longer than allowed")
)

// answer is an answer as read from the connection.
type answer struct {
	status int
	header http.Header
	body   []byte
	// mustClose is set when the connection cannot be used for another request.
	mustClose bool
	// endsWithConnection is set when only the end of the connection marks that of the body.
	endsWithConnection bool
	// idleTimeout is the time for which the connection may be kept unused.
	idleTimeout time.Duration
	// memory holds the share of the body in the memory budget.
	memory *membudget.Reservation
}

// readAnswer reads the next final answer with its whole body. Interim answers (1xx) are skipped.
func readAnswer(c *conn, method string, memory *membudget.Budget) (*answer, error) {
	c.allowed = maxHeadBytes
	for {
		a, err := readHead(c.reader)
		if err != nil {
			return nil, err
		}
		if httpstatus.IsInterim(a.status) {
			continue
		}
		a.memory = memory.Reserve()
		if err := a.readBody(c, method); err != nil {
			a.memory.Release()
			return nil, err
		}
		return a, nil
	}
}

func readHead(r *bufio.Reader) (*answer, error) {
	reader := textproto.NewReader(r)
	line, err := reader.ReadLine()
	if err != nil {
		return nil, err
	}
	a := &answer{idleTimeout: maxIdleTime}
	if err := a.parseStatus(line); err != nil {
		return nil, err
	}
	if a.header, err = readHeader(reader); err != nil {
		return nil, err
	}
	a.parseConnection()
	return a, nil
}

// readHeader reads header lines and the empty line that ends them. Unlike ReadMIMEHeader, it refuses names that hold blanks, which other
// recipients may take for names without them, and folded lines, which may be lines whose name begins with a blank.
func readHeader(r *textproto.Reader) (http.Header, error) {
	header := http.Header{}
	for {
		line, err := r.ReadLine()
		if err != nil {
			return nil, err
		}
		if line == "" {
			return header, nil
		}
		name, value, found := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
			return nil, errHeaderLine
		}
		header.Add(name, value)
	}
}

func (a *answer) parseStatus(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	major, minor, ok := http.ParseHTTPVersion(version)
	if !ok || major != 1 {
		return fmt.Errorf("%w: %q", errStatusLine, line)
	}
	a.mustClose = minor == 0
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 16) // refuses signs
	a.status = int(status)
	if err != nil || len(code) != 3 || !httpstatus.IsFinal(a.status) && !httpstatus.IsInterim(a.status) {
		return fmt.Errorf("%w: %q", errStatusLine, line)
	}
	return nil
}

// parseConnection determines from the Connection and Keep-Alive headers whether and for how long the connection may be
// used again.
func (a *answer) parseConnection() {
	for _, value := range a.header.Values("Connection") {
		for token := range strings.SplitSeq(value, ",") {
			switch strings.ToLower(strings.TrimSpace(token)) {
			case "close":
				a.mustClose = true
			}
		}
	}
	for token := range strings.SplitSeq(a.header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(token), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			a.idleTimeout = min(a.idleTimeout, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
}

// readBody reads the body. Its end must be unambiguous: a single Content-Length, chunked encoding, or the orderly close of
// the connection.
func (a *answer) readBody(c *conn, method string) error {
	lengths := a.header.Values("Content-Length")
	encodings := a.header.Values("Transfer-Encoding")
	switch {
	case len(lengths) > 1 || len(encodings) > 1 || len(lengths) == 1 && len(encodings) == 1:
		return errFraming
	case method == http.MethodHead || a.status == http.StatusNoContent || a.status == http.StatusNotModified:
		return nil
	case len(encodings) == 1:
		return a.readChunks(c, encodings[0])
	case len(lengths) == 1:
		return a.readLength(c, lengths[0])
	default:
		a.mustClose, a.endsWithConnection = true, true
		return a.readAll(c, c.reader)
	}
}

func (a *answer) readLength(c *conn, value string) error {
	length, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		return fmt.Errorf("%w: %q", errFraming, value)
	}
	if length > maxBodyBytes {
		return membudget.ErrTooLarge
	}
	c.allowed = int64(length)
	a.body, err = membudget.ReadExactly(c.reader, int64(length), a.memory)
	return err
}

func (a *answer) readChunks(c *conn, encoding string) error {
	if !strings.EqualFold(encoding, "chunked") {
		return fmt.Errorf("%w: encoding %q", errFraming, encoding)
	}
	if err := a.readAll(c, httputil.NewChunkedReader(c.reader)); err != nil {
		return err
	}
	c.allowed = maxHeadBytes
	_, err := readHeader(textproto.NewReader(c.reader)) // the trailer
	return err
}

// readAll reads a body of unknown length. It is bounded by its decoded size; the chunked reader bounds what is added to that.
func (a *answer) readAll(c *conn, r io.Reader) (err error) {
	c.allowed = math.MaxInt64
	a.body, err = membudget.ReadAll(r, maxBodyBytes, a.memory)
	return err
}
