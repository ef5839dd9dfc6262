package ingress

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// maxCopiedBodyBytes is the size up to which a body is copied behind the head, so that both are written at once.
const maxCopiedBodyBytes = 16 << 10

// newlines replaces the characters that would end a header line.
var newlines = strings.NewReplacer("\r", " ", "\n", " ")

// write writes a response to a request.
func (r *Response) write(conn net.Conn, request *http.Request) error {
	head := r.encodeHead(request)
	body := r.Body
	if request.Method == http.MethodHead || !bodyAllowed(r.Status) {
		body = nil
	}
	if len(body) <= maxCopiedBodyBytes {
		_, err := conn.Write(append(head, body...))
		return err
	}
	buffers := net.Buffers{head, body}
	_, err := buffers.WriteTo(conn)
	return err
}

func (r *Response) encodeHead(request *http.Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), maxCopiedBodyBytes))
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(r.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(r.Status))
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			writeHeader(&b, name, newlines.Replace(value))
		}
	}
	if bodyAllowed(r.Status) {
		writeHeader(&b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	switch {
	case r.Close:
		writeHeader(&b, "Connection", "close")
	case !request.ProtoAtLeast(1, 1):
		writeHeader(&b, "Connection", "keep-alive")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func writeHeader(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// bodyAllowed reports whether a response with a status has a body.
func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
