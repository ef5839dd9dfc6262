package ingress

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// drawRequest draws a request whose body contains bytes that look like headers.
func drawRequest(t *rapid.T) (request string, ambiguous bool) {
	body := strings.Repeat("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", rapid.IntRange(0, 4).Draw(t, "body"))
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
	head := "\r\nPOST /a/?Content-Length:1 HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", 3*maxLineBytes) + "\r\n"
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		return head + "Content-Length: 5\r\nTRANSFER-encoding: chunked\r\n\r\n" + chunks, true
	case 1, 2, 3, 4:
		return head + fmt.Sprintf("content-length:%d\r\n\r\n", len(body)) + body, false
	default:
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks, false
	}
}

// Guards against body bytes that are parsed as headers, and against headers that are missed because they are split over
// several reads.
func TestFramingParserDetectsExactlyAmbiguousRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parser := &framingParser{}
		for range rapid.IntRange(1, 6).Draw(t, "requests") {
			request, ambiguous := drawRequest(t)
			for len(request) > 0 {
				n := rapid.IntRange(1, min(len(request), 60)).Draw(t, "piece")
				parser.parse([]byte(request[:n]))
				request = request[n:]
			}
			assert.Equal(t, ambiguous, parser.ambiguous.Load())
			assert.Equal(t, stateRequestLine, parser.state)
			parser.ambiguous.Store(false)
		}
	})
}
