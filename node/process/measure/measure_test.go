package measure_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/process/measure"
)

// startRaw starts a server whose answers are written by answer; their connections are closed. It returns the server's address.
func startRaw(t *testing.T, answer func(conn net.Conn)) string {
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
				answer(conn)
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
			address := startRaw(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Status\r\nContent-Length: 0\r\n\r\n")
			})
			meter := measure.New(address, settings.Measure{PerSecond: 1, BytesPerSecond: 4096}, time.Now)
			report, err := meter.Probe(t.Context(), "/health")
			assert.Equal(t, healthy, err == nil && report.Healthy, "error: %v", err)
		})
	}
}

// Guards against a health check whose answer has no end and takes all memory of the host.
func TestEndlessAnswerTakesLittleMemory(t *testing.T) {
	const maxAllocated = 4 << 20 // bytes
	for name, c := range map[string]struct{ first, repeated string }{
		"status line": {"HTTP/1.1 200 ", "x"},
		"header line": {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"headers":     {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"body":        {"HTTP/1.1 200 OK\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			piece := []byte(strings.Repeat(c.repeated, 64<<10/len(c.repeated)))
			address := startRaw(t, func(conn net.Conn) {
				_, err := io.WriteString(conn, c.first)
				for err == nil {
					_, err = conn.Write(piece)
				}
			})
			meter := measure.New(address, settings.Measure{PerSecond: 1, BytesPerSecond: 4096}, time.Now)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := meter.Probe(t.Context(), "/health")
			runtime.ReadMemStats(&after)
			if name != "body" { // what is behind the report is not read
				assert.Error(t, err)
			}
			assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated))
		})
	}
}
