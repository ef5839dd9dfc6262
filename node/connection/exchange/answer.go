package exchange

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// maxBodyBytes bounds the body of an answer.
const maxBodyBytes = 64 << 20

// Errors of an answer that cannot be read. Their texts are sent to the entry node as the cause of a broken call.
var (
	errStatusLine   = errors.New("malformed status line")
	errFraming      = errors.New("ambiguous length of the body")
	errBodyTooLarge = errors.New("body is longer than allowed")
)

// answer is an answer as read from the connection.
type answer struct {
	status int
	header http.Header
	body   []byte
	// mustClose is set when the connection cannot be used for another request.
	mustClose bool
	// idleTimeout is the time for which the connection may be kept unused.
	idleTimeout time.Duration
}

// readAnswer reads the next final answer with its whole body. Interim answers (1xx) are skipped.
func readAnswer(r *bufio.Reader, method string) (*answer, error) {
	for {
		a, err := readHead(r)
		if err != nil {
			return nil, err
		}
		if a.status >= http.StatusOK {
			return a, a.readBody(r, method)
		}
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
	header, err := reader.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	a.header = http.Header(header)
	a.parseConnection()
	return a, nil
}

func (a *answer) parseStatus(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	major, minor, ok := http.ParseHTTPVersion(version)
	if !ok || major != 1 {
		return fmt.Errorf("%w: %q", errStatusLine, line)
	}
	a.mustClose = minor == 0
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 {
		return fmt.Errorf("%w: %q", errStatusLine, line)
	}
	a.status = status
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
func (a *answer) readBody(r *bufio.Reader, method string) error {
	lengths := a.header.Values("Content-Length")
	encodings := a.header.Values("Transfer-Encoding")
	switch {
	case len(lengths) > 1 || len(encodings) > 1 || len(lengths) == 1 && len(encodings) == 1:
		return errFraming
	case method == http.MethodHead || a.status == http.StatusNoContent || a.status == http.StatusNotModified:
		return nil
	case len(encodings) == 1:
		return a.readChunks(r, encodings[0])
	case len(lengths) == 1:
		return a.readLength(r, lengths[0])
	default:
		a.mustClose = true
		return a.readAll(r)
	}
}

func (a *answer) readLength(r *bufio.Reader, value string) error {
	length, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		return fmt.Errorf("%w: %q", errFraming, value)
	}
	if length > maxBodyBytes {
		return errBodyTooLarge
	}
	a.body = make([]byte, length)
	_, err = io.ReadFull(r, a.body)
	return err
}

func (a *answer) readChunks(r *bufio.Reader, encoding string) error {
	if !strings.EqualFold(encoding, "chunked") {
		return fmt.Errorf("%w: encoding %q", errFraming, encoding)
	}
	if err := a.readAll(httputil.NewChunkedReader(r)); err != nil {
		return err
	}
	_, err := textproto.NewReader(r).ReadMIMEHeader() // the trailer and the empty line that ends it
	return err
}

func (a *answer) readAll(r io.Reader) (err error) {
	a.body, err = io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
	if err == nil && len(a.body) > maxBodyBytes {
		return errBodyTooLarge
	}
	return err
}
