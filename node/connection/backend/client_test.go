package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/node/connection/backend"
	"github.com/radishstand/radishstand/node/request/attempt"
)

// startRaw starts a server that answers the n-th request of each connection, beginning with 1, with reply, until
// that returns an error. It returns the server's address.
func startRaw(t *testing.T, reply func(n int, r *http.Request, conn net.Conn) error) string {
	t.Helper()
	return startUnread(t, func(n int, r *http.Request, conn net.Conn) error {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return err
		}
		return reply(n, r, conn)
	})
}

// startUnread is like startRaw, but does not read the bodies of requests.
func startUnread(t *testing.T, reply func(n int, r *http.Request, conn net.Conn) error) string {
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
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for n := 1; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if reply(n, r, conn) != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// answer returns an answer that names an attempt.
func answer(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", contract.HeaderContext, id, len(id), id)
}

func request(id string) *attempt.Request {
	return &attempt.Request{
		AttemptID: id, Method: http.MethodPost, Target: "/book", Host: "h", Header: http.Header{contract.HeaderContext: {id}},
	}
}

// Guards against a late second copy of an answer that is taken for the answer to the next call on the connection.
func TestSecondCopyOfAnAnswerIsNotTheAnswerToTheNextCall(t *testing.T) {
	address := startRaw(t, func(n int, r *http.Request, conn net.Conn) error {
		text := answer(r.Header.Get(contract.HeaderContext))
		if n > 1 {
			text = answer("a") + text // the copy arrives when the next request has been sent
		}
		_, err := io.WriteString(conn, text)
		return err
	})
	client := backend.New(address, 1)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	first, err := client.Send(ctx, request("a"))
	require.NoError(t, err)
	assert.Empty(t, first.Header.Get(contract.HeaderContext), "the id is internal")
	_, err = io.Copy(io.Discard, first.Rest)
	require.NoError(t, err)
	first.Close()
	_, err = client.Send(ctx, request("b"))
	assert.ErrorIs(t, err, backend.ErrForeignAnswer)
	third, err := client.Send(ctx, request("c"))
	require.NoError(t, err, "the connection must not be used again")
	third.Close()
}

// Guards against a refusal without an id that the server writes once more on a kept connection, and that is taken for the answer to
// the next call: the caller is told that a call has not run which the server has run.
func TestSecondCopyOfARefusalWithoutIDIsNotTheAnswerToTheNextCall(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
	address := startRaw(t, func(n int, r *http.Request, conn net.Conn) error {
		text := answer(r.Header.Get(contract.HeaderContext))
		switch {
		case r.Header.Get(contract.HeaderContext) == "a":
			text = refusal
		case n > 1:
			text = refusal + text // the copy arrives when the next request has been sent
		}
		_, err := io.WriteString(conn, text)
		return err
	})
	client := backend.New(address, 1)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	first, err := client.Send(ctx, request("a"))
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, first.Status)
	first.Close()
	second, err := client.Send(ctx, request("b"))
	require.NoError(t, err)
	defer second.Close()
	assert.Equal(t, http.StatusOK, second.Status)
}

// Guards against a target that the server gets in another form than the one by which its service was chosen.
func TestTargetIsSentAsItIs(t *testing.T) {
	for sent, want := range map[string]string{
		"/a%2Fb?c=%20d": "/a%2Fb?c=%20d", "/a|b": "/a|b", `/a"b`: `/a"b`, "/a%7cb": "/a%7cb", "/a;v=1/../b": "/a;v=1/../b", "/a?": "/a?",
		"//a//b": "//a//b", "/a?b?c": "/a?b?c",
	} {
		received := make(chan string, 1)
		address := startRaw(t, func(_ int, r *http.Request, conn net.Conn) error {
			received <- r.RequestURI
			_, err := io.WriteString(conn, answer(r.Header.Get(contract.HeaderContext)))
			return err
		})
		client := backend.New(address, 1)
		r := request("a")
		r.Target = sent
		a, err := client.Send(t.Context(), r)
		require.NoError(t, err, sent)
		a.Close()
		assert.Equal(t, want, <-received)
		client.Close()
	}
	r := request("a")
	r.Target = "//a|b"
	_, err := backend.New("127.0.0.1:1", 1).Send(t.Context(), r)
	var notRun *attempt.NotRun
	assert.ErrorAs(t, err, &notRun, "it cannot be sent unchanged")
}

// Guards against a server whose answer has no end and takes all memory of the host.
func TestHeadWithoutEndIsBrokenOffWithLittleMemory(t *testing.T) {
	const maxAllocated = 8 << 20 // bytes
	for name, c := range map[string]struct{ first, repeated string }{
		"status line":     {"HTTP/1.1 200 ", "x"},
		"header line":     {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"headers":         {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"interim answers": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address := startRaw(t, func(_ int, _ *http.Request, conn net.Conn) error {
				piece := []byte(strings.Repeat(c.repeated, 64<<10/len(c.repeated)))
				_, err := io.WriteString(conn, c.first)
				for err == nil {
					_, err = conn.Write(piece)
				}
				return err
			})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			client := backend.New(address, 1)
			defer client.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := client.Send(ctx, request("a"))
			runtime.ReadMemStats(&after)
			assert.Error(t, err)
			assert.NoError(t, ctx.Err(), "it must be broken off before its deadline")
			assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated))
		})
	}
}

// Guards against an answer whose head is cut short and that is passed on as a whole one with an empty or a short body.
func TestAnswerCutAnywhereInItsHeadIsBroken(t *testing.T) {
	for name, whole := range map[string]string{
		"a length":  "HTTP/1.1 200 OK\r\n" + contract.HeaderContext + ": a\r\nContent-Length: 10\r\n\r\n",
		"chunks":    "HTTP/1.1 200 OK\r\n" + contract.HeaderContext + ": a\r\nTransfer-Encoding: chunked\r\n\r\n",
		"no length": "HTTP/1.1 200 OK\r\n" + contract.HeaderContext + ": a\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(whole) + 1 {
				address := startRaw(t, func(_ int, _ *http.Request, conn net.Conn) error {
					_, _ = io.WriteString(conn, whole[:cut])
					return io.EOF
				})
				client := backend.New(address, 1)
				answer, err := client.Send(t.Context(), request("a"))
				if err == nil { // the head is whole
					_, err = io.Copy(io.Discard, answer.Rest)
					answer.Close()
				}
				require.Error(t, err, "cut after %q", whole[:cut])
				client.Close()
			}
		})
	}
}

// Guards against a part of an answer that is taken for the whole one: the answer has no length, and the server resets the connection
// while the body of the request is still being written.
func TestAnswerWithoutLengthOnAResetConnectionIsBroken(t *testing.T) {
	address := startUnread(t, func(_ int, _ *http.Request, conn net.Conn) error {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: a\r\n\r\npart of the bo", contract.HeaderContext)
		time.Sleep(5 * time.Millisecond) // the client has read the part
		_ = conn.(*net.TCPConn).SetLinger(0)
		return io.EOF
	})
	client := backend.New(address, 1)
	t.Cleanup(client.Close)
	for range 10 {
		upload := request("a")
		upload.Body = make([]byte, 8<<20)
		_, err := client.Send(t.Context(), upload)
		var broken *attempt.Broken
		require.ErrorAs(t, err, &broken)
	}
}

// Guards against a status line that is no valid answer reaching a caller as one: net/http takes 000 for the status 0 and 600 for a
// status, although neither is in the range of HTTP.
func TestInvalidStatusIsBroken(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999", "1000", "+20", "-20", " 20", "20", "2OO", ""} {
		t.Run("status "+strconv.Quote(status), func(t *testing.T) {
			address := startRaw(t, func(_ int, r *http.Request, conn net.Conn) error {
				_, err := fmt.Fprintf(conn, "HTTP/1.1 %s OK\r\n%s: a1\r\nContent-Length: 2\r\n\r\nok", status, contract.HeaderContext)
				return err
			})
			client := backend.New(address, 1)
			t.Cleanup(client.Close)
			_, err := client.Send(t.Context(), request("a1"))
			var broken *attempt.Broken
			require.ErrorAs(t, err, &broken)
		})
	}
}

// Guards against an answer with a header name that holds a blank or a control byte. net/http takes blanks in names, so that a length or
// an encoding under such a name does not count and the body is not that of the server.
func TestInvalidHeaderNameIsBroken(t *testing.T) {
	for _, line := range []string{
		"X Note: 1", "X-Note : 1", "X-Note\t: 1", "X\x01Note: 1", "X-Note\x00: 1", "X\x7fNote: 1", ": 1", "X-Note",
		"Transfer-Encoding : chunked", "Transfer- Encoding: chunked",
	} {
		t.Run(strconv.Quote(line), func(t *testing.T) {
			address := startRaw(t, func(_ int, _ *http.Request, conn net.Conn) error {
				_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: a\r\n%s\r\nContent-Length: 2\r\n\r\nok", contract.HeaderContext, line)
				return err
			})
			client := backend.New(address, 1)
			t.Cleanup(client.Close)
			_, err := client.Send(t.Context(), request("a"))
			var broken *attempt.Broken
			require.ErrorAs(t, err, &broken)
		})
	}
}
