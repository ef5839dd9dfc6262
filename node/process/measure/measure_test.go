package measure_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/process/measure"
)

// startRaw starts a server that answers each request with text and closes its connection. It returns the server's address.
func startRaw(t *testing.T, text string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// Guards against a server in trouble whose health check passes although its answer has a status that is none of HTTP.
func TestHealthCheckFailsOnAnInvalidStatus(t *testing.T) {
	for status, healthy := range map[string]bool{
		"200": true, "404": true, "500": false, "503": false, "000": false, "099": false, "101": false, "600": false,
	} {
		t.Run(status, func(t *testing.T) {
			address := startRaw(t, "HTTP/1.1 "+status+" Status\r\nContent-Length: 0\r\n\r\n")
			meter := measure.New(address, settings.Measure{PerSecond: 1, BytesPerSecond: 4096}, time.Now)
			report, err := meter.Probe(t.Context(), "/health")
			assert.Equal(t, healthy, err == nil && report.Healthy, "error: %v", err)
		})
	}
}
