package exchange_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/connection/exchange"
	"github.com/radishstand/radishstand/node/internal/membudget"
)

// Guards against a server whose answer never ends and takes all memory of the host.
func TestEndlessAnswerIsBrokenOffWithLittleMemory(t *testing.T) {
	const memory = 2 << 20          // bytes; small chunks take long to read
	const maxAllocated = 4 * memory // a growing buffer is copied, so that more is allocated than held
	for name, c := range map[string]struct{ first, repeated string }{
		"status line":     {"HTTP/1.1 200 ", "x"},
		"header line":     {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"headers":         {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"interim answers": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"body":            {"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n", "x"},
		"large length":    {"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 60000000\r\n\r\n", "x"},
		"chunks":          {"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		"chunk extension": {"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
		"trailer":         {"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n"},
		"other answers":   {"", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1\r\n\r\nx"},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			s := startRaw(t, func(_ int32, _ *http.Request, conn net.Conn) bool {
				defer close(closed)
				piece := []byte(strings.Repeat(c.repeated, 64<<10/len(c.repeated)))
				_, err := io.WriteString(conn, c.first)
				for err == nil {
					_, err = conn.Write(piece)
				}
				return false
			})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			client := exchange.New(s.listener.Addr().String(), idHeader, membudget.New(memory))
			_, err := client.Do(ctx, get("a"))
			runtime.ReadMemStats(&after)
			var broken *exchange.BrokenError
			require.ErrorAs(t, err, &broken)
			assert.NoError(t, ctx.Err(), "it must be broken off before its deadline")
			assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated))
			<-closed
		})
	}
}

// Guards against many answers without end that each stay within the bound of one answer, and against memory that is not
// returned.
func TestAnswersShareTheMemory(t *testing.T) {
	s := startRaw(t, func(_ int32, r *http.Request, conn net.Conn) bool {
		if r.URL.Path == "/small" {
			_, err := io.WriteString(conn, ok(r.Header.Get(idHeader), "small"))
			return err == nil
		}
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get(idHeader)+"\r\n\r\n")
		for err == nil {
			_, err = conn.Write(make([]byte, 64<<10))
		}
		return false
	})
	memory := membudget.New(testMemory)
	client := exchange.New(s.listener.Addr().String(), idHeader, memory)
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() {
			_, err := client.Do(context.Background(), get("endless"))
			assert.Error(t, err)
		})
	}
	small := get("small")
	small.Target = "/small"
	for range 20 {
		response, err := client.Do(context.Background(), small)
		if assert.NoError(t, err, "small answers must not fail because of endless ones") {
			response.Release()
		}
		assert.LessOrEqual(t, memory.Held(), int64(testMemory))
	}
	calls.Wait()
	assert.Zero(t, memory.Held())
}

// Guards against a late second copy of an answer without an id: a refusal by the server, which means that the request has not
// run, would be taken for the answer to the next request.
func TestSecondCopyOfARefusalIsNotTheAnswerToTheNextRequest(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	s := startRaw(t, func(n int32, r *http.Request, conn net.Conn) bool {
		text := refusal // the first is a refusal; its second copy arrives when the second request has been sent
		if n > 1 {
			text = refusal + ok(r.Header.Get(idHeader), "done")
		}
		_, err := io.WriteString(conn, text)
		return err == nil
	})
	client := s.client()
	first, err := client.Do(context.Background(), get("a"))
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, first.Status)
	second, err := client.Do(context.Background(), get("b"))
	if err == nil {
		assert.Equal(t, http.StatusOK, second.Status, "the second request has run")
		return
	}
	var broken *exchange.BrokenError
	assert.ErrorAs(t, err, &broken, "nothing is known of the second request")
}

// Guards against a second copy of the answer to a health check, which has no id, that is taken for the answer to a request.
func TestSecondCopyOfAHealthAnswerIsNotTheAnswerToARequest(t *testing.T) {
	health := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	s := startRaw(t, func(n int32, r *http.Request, conn net.Conn) bool {
		text := health
		if n > 1 {
			text = health + ok(r.Header.Get(idHeader), "done")
		}
		_, err := io.WriteString(conn, text)
		return err == nil
	})
	client := s.client()
	check := &exchange.Request{Method: http.MethodGet, Target: "/health", Host: "h"}
	_, err := client.Do(context.Background(), check)
	require.NoError(t, err)
	_, err = client.Do(context.Background(), get("b"))
	var broken *exchange.BrokenError
	assert.ErrorAs(t, err, &broken, "nothing is known of the request")
}

// Guards against a late second copy of an answer with an id.
func TestSecondCopyOfAnAnswerIsSkipped(t *testing.T) {
	s := startRaw(t, func(n int32, r *http.Request, conn net.Conn) bool {
		id := r.Header.Get(idHeader)
		text := ok(id, "answer to "+id)
		if n > 1 {
			text = ok("a", "answer to a") + text
		}
		_, err := io.WriteString(conn, text)
		return err == nil
	})
	client := s.client()
	for _, id := range []string{"a", "b"} {
		response, err := client.Do(context.Background(), get(id))
		require.NoError(t, err)
		assert.Equal(t, "answer to "+id, string(response.Body))
	}
}
