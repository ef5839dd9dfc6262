package ingress

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testHeaderBytes = 1 << 10

// drawRequest draws a request with a body that contains bytes which look like headers.
func drawRequest(t *rapid.T) (request, body string, ambiguous bool) {
	body = strings.Repeat("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", rapid.IntRange(0, 4).Draw(t, "body"))
	chunks := ""
	if len(body) > 0 {
		cut := rapid.IntRange(1, len(body)).Draw(t, "cut")
		for _, part := range []string{body[:cut], body[cut:]} {
			if len(part) > 0 {
				chunks += fmt.Sprintf("%x;x=1\r\n%s\r\n", len(part), part)
			}
		}
	}
	chunks += "0\r\n" + rapid.SampledFrom([]string{"", "Content-Length: 9\r\n"}).Draw(t, "trailer") + "\r\n"
	head := "\r\nPOST /a/?Content-Length:1 HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", testHeaderBytes/2) + "\r\n"
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		return head + "Content-Length: 5\r\nTRANSFER-encoding: chunked\r\n\r\n" + chunks, "", true
	case 1, 2, 3, 4:
		return head + fmt.Sprintf("content-length:%d\r\n\r\n", len(body)) + body, body, false
	default:
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks, body, false
	}
}

// Guards against body bytes that are parsed as headers, against headers that are missed because they arrive in several
// pieces, and against an ambiguous request that is accepted.
func TestRequestsAreSeparatedExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent strings.Builder
		var bodies []string
		ambiguous := false
		for range rapid.IntRange(1, 6).Draw(t, "requests") {
			request, body, bad := drawRequest(t)
			sent.WriteString(request)
			if ambiguous = bad; ambiguous {
				break
			}
			bodies = append(bodies, body)
		}
		var source io.Reader = strings.NewReader(sent.String())
		if rapid.Bool().Draw(t, "in pieces") {
			source = iotest.OneByteReader(source)
		}
		reader := bufio.NewReaderSize(source, 64)
		for _, want := range bodies {
			request, err := readHead(reader, testHeaderBytes)
			require.NoError(t, err)
			assert.Equal(t, "/a/?Content-Length:1", request.RequestURI)
			got := ""
			if b := newBody(request, reader, nil); b != nil {
				read, err := io.ReadAll(b)
				require.NoError(t, err)
				got = string(read)
			}
			assert.Equal(t, want, got)
		}
		_, err := readHead(reader, testHeaderBytes)
		if ambiguous {
			assert.ErrorIs(t, err, errAmbiguous)
		} else {
			assert.ErrorIs(t, err, io.EOF)
		}
	})
}

// Guards against heads that recipients may read differently.
func TestMalformedHeadIsRejected(t *testing.T) {
	for name, head := range map[string]string{
		"no host":              "GET / HTTP/1.1\r\n\r\n",
		"two hosts":            "GET / HTTP/1.1\r\nHost: a\r\nhost: b\r\n\r\n",
		"a folded header":      "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n 2\r\n\r\n",
		"a space in a name":    "GET / HTTP/1.1\r\nHost: a\r\nX : 1\r\n\r\n",
		"a lone return":        "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r2\r\n\r\n",
		"a zero byte":          "GET / HTTP/1.1\r\nHost: a\r\nX: \x00\r\n\r\n",
		"an unknown protocol":  "GET / HTTP/2.0\r\nHost: a\r\n\r\n",
		"a space in the path":  "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n",
		"a line without colon": "GET / HTTP/1.1\r\nHost: a\r\nX\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readHead(bufio.NewReader(strings.NewReader(head)), testHeaderBytes)
			assert.ErrorIs(t, err, errMalformed)
		})
	}
}
