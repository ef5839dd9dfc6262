package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/connection/exchange"
	"github.com/radishstand/radishstand/node/internal/membudget"
)

const (
	idHeader = "X-Id"
	// testMemory is the memory for the bodies of answers, in bytes.
	testMemory = 8 << 20
)

// rawServer calls reply for each request on a connection; reply writes the answer. The connection is closed when reply
// returns false.
type rawServer struct {
	listener    net.Listener
	connections atomic.Int32
	requests    atomic.Int32
}

func startRaw(t *testing.T, reply func(n int32, r *http.Request, conn net.Conn) bool) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &rawServer{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(conn, reply)
		}
	}()
	return s
}

func (s *rawServer) serve(conn net.Conn, reply func(int32, *http.Request, net.Conn) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !reply(s.requests.Add(1), r, conn) {
			return
		}
	}
}

func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func (s *rawServer) client() *exchange.Client {
	return exchange.New(s.listener.Addr().String(), idHeader, membudget.New(testMemory))
}

func get(id string) *exchange.Request {
	return &exchange.Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{idHeader: {id}}, ID: id}
}

// longUpload returns a request whose body does not fit in the buffers of the sockets.
func longUpload(id string) *exchange.Request {
	upload := get(id)
	upload.Method, upload.Body = http.MethodPost, make([]byte, 8<<20)
	return upload
}

// status returns a complete answer with the given text for its status.
func status(text string) string {
	return "HTTP/1.1 " + text + " OK\r\nX-Id: a\r\nContent-Length: 1\r\n\r\nx"
}

// withLine returns a complete answer with another line in its head.
func withLine(line string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: a\r\n" + line + "\r\nContent-Length: 1\r\n\r\nx"
}

// Guards against an incomplete or ambiguous answer, or one to another request, that is returned as a success.
func TestIncompleteOrForeignAnswerIsBroken(t *testing.T) {
	cases := map[string]string{
		"the connection ends within the body":            "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\n\r\nhalf",
		"the connection ends within the chunks":          "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"a length and chunks":                            "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two lengths":                                    "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"a negative length":                              "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: -1\r\n\r\n",
		"another request's id":                           ok("b", "x"),
		"a success without an id":                        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
		"bytes that are not an HTTP answer":              "garbage\r\n\r\n",
		"an encoding that is not chunked":                "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: gzip\r\n\r\n",
		"no byte before the end of the connection":       "",
		"the status 000":                                 status("000"),
		"a status below those of HTTP":                   status("099"),
		"a switch to another protocol":                   "HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok("a", "x"),
		"a status above those of HTTP":                   status("600"),
		"a status of four digits":                        status("1000"),
		"a status with a sign":                           status("+20"),
		"a status behind two spaces":                     status(" 20"),
		"no status":                                      status(""),
		"the connection ends within the header":          "HTTP/1.1 200 OK\r\nX-Id: a\r\n",
		"a blank within a name":                          withLine("X Note: 1"),
		"a blank before the colon":                       withLine("X-Note : 1"),
		"a blank before the name":                        withLine("X-Other: 1\r\n X-Note: 1"),
		"a tab within a name":                            withLine("X\tNote: 1"),
		"a tab before the colon":                         withLine("X-Note\t: 1"),
		"a tab before the name":                          withLine("X-Other: 1\r\n\tX-Note: 1"),
		"a control byte within a name":                   withLine("X\x01Note: 1"),
		"a NUL before the colon":                         withLine("X-Note\x00: 1"),
		"a bare CR within a name":                        withLine("X\rNote: 1"),
		"a DEL within a name":                            withLine("X\x7fNote: 1"),
		"a name of no characters":                        withLine(": 1"),
		"a line without a colon":                         withLine("X-Note"),
		"a control byte within a value":                  withLine("X-Note: \x01"),
		"a length whose name ends with a blank":          "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length : 1\r\n\r\nxy",
		"chunks whose header name ends with a blank":     "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding : chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"chunks whose header name holds a blank":         "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer- Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n",
		"a blank in a name of an interim answer":         "HTTP/1.1 103 Early Hints\r\nX Note: 1\r\n\r\n" + ok("a", "x"),
		"a blank in a name of the trailer":               "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Note: 1\r\n\r\n",
		"a chunk whose size is not a hexadecimal number": "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	}
	for name, bytes := range cases {
		t.Run(name, func(t *testing.T) {
			s := startRaw(t, func(_ int32, _ *http.Request, conn net.Conn) bool {
				_, _ = conn.Write([]byte(bytes))
				return false
			})
			_, err := s.client().Do(context.Background(), get("a"))
			var broken *exchange.BrokenError
			assert.ErrorAs(t, err, &broken)
			assert.EqualValues(t, 1, s.requests.Load(), "the request must not be repeated")
		})
	}
}

func TestCompleteAnswersAreReturned(t *testing.T) {
	cases := map[string]string{
		"a length":                           ok("a", "body"),
		"chunks with a trailer":              "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\nT: 1\r\n\r\n",
		"the orderly end of the connection":  "HTTP/1.0 200 OK\r\nX-Id: a\r\n\r\nbody",
		"unusual names and values":           strings.Replace(ok("a", "body"), "\r\n", "\r\nx!#$%&'*+-.^_`|~9:\t caf\xe9 \t\r\nX-Empty:\r\n", 1),
		"an interim answer before":           "HTTP/1.1 103 Early Hints\r\n\r\n" + ok("a", "body"),
		"a late answer to another request":   ok("z", "late") + ok("a", "body"),
		"bytes after the end of the answer":  ok("a", "body") + ok("a", "second"),
		"a failure without an id is allowed": "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbody",
	}
	for name, bytes := range cases {
		t.Run(name, func(t *testing.T) {
			s := startRaw(t, func(_ int32, _ *http.Request, conn net.Conn) bool {
				_, _ = conn.Write([]byte(bytes))
				return false
			})
			response, err := s.client().Do(context.Background(), get("a"))
			require.NoError(t, err)
			assert.Equal(t, "body", string(response.Body))
		})
	}
}

// Guards against a second answer to a request that is returned for the next request on the same connection.
func TestLateSecondAnswerIsNotReturnedForNextRequest(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "while the connection is idle": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s := startRaw(t, func(n int32, r *http.Request, conn net.Conn) bool {
				id := r.Header.Get(idHeader)
				_, _ = conn.Write([]byte(ok(id, id)))
				time.Sleep(pause)
				_, _ = conn.Write([]byte(ok(id, "second answer")))
				return true
			})
			client := s.client()
			for _, id := range []string{"a", "b", "c"} {
				response, err := client.Do(context.Background(), get(id))
				require.NoError(t, err)
				assert.Equal(t, id, string(response.Body))
				time.Sleep(2 * pause)
			}
		})
	}
}

func TestConnectionIsReusedUnlessServerForbidsIt(t *testing.T) {
	cases := map[string]struct {
		header      string
		connections int32
	}{
		"kept":                          {"", 1},
		"the server closes":             {"Connection: close\r\n", 2},
		"the idle timeout is too short": {"Keep-Alive: timeout=1\r\n", 2},
		"the idle timeout is long":      {"Keep-Alive: timeout=5, max=100\r\n", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := startRaw(t, func(_ int32, r *http.Request, conn net.Conn) bool {
				id := r.Header.Get(idHeader)
				_, _ = conn.Write([]byte(strings.Replace(ok(id, id), "\r\n", "\r\n"+c.header, 1)))
				return true
			})
			client := s.client()
			for _, id := range []string{"a", "b"} {
				_, err := client.Do(context.Background(), get(id))
				require.NoError(t, err)
			}
			assert.Equal(t, c.connections, s.connections.Load())
		})
	}
}

// Guards against a NotSentError for a request that was sent and may have run.
func TestErrorReportsWhetherRequestWasSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = exchange.New(address, idHeader, membudget.New(testMemory)).Do(context.Background(), get("a"))
	var notSent *exchange.NotSentError
	assert.ErrorAs(t, err, &notSent, "no server listens at the address")

	s := startRaw(t, func(int32, *http.Request, net.Conn) bool { time.Sleep(time.Second); return false })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = s.client().Do(ctx, get("a"))
	var broken *exchange.BrokenError
	require.ErrorAs(t, err, &broken, "the server does not answer")
	assert.True(t, errors.Is(err, context.DeadlineExceeded))
}

// Guards against reuse of a connection whose server answered before it had read the body: it could parse the rest of the
// body as the next request.
func TestEarlyAnswerClosesConnection(t *testing.T) {
	s := startRaw(t, func(_ int32, r *http.Request, conn net.Conn) bool {
		_, _ = conn.Write([]byte(ok(r.Header.Get(idHeader), "early")))
		time.Sleep(50 * time.Millisecond)
		return r.ContentLength == 0
	})
	client := s.client()
	response, err := client.Do(context.Background(), longUpload("a"))
	require.NoError(t, err)
	assert.Equal(t, "early", string(response.Body))
	_, err = client.Do(context.Background(), get("b"))
	require.NoError(t, err)
	assert.EqualValues(t, 2, s.connections.Load())
}

// Guards against a part of an answer that is returned as the whole one: the answer has no length, and the server resets the connection
// while the body of the request is still being written. The write then takes the error of the socket, and the read sees an orderly end.
func TestAnswerWithoutLengthOnAResetConnectionIsBroken(t *testing.T) {
	const attempts = 20 // either the write or the read takes the error
	s := startRaw(t, func(_ int32, r *http.Request, conn net.Conn) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\npart of the bo", idHeader, r.Header.Get(idHeader))
		time.Sleep(5 * time.Millisecond) // the client has read the part
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	client, upload := s.client(), longUpload("a")
	for range attempts {
		_, err := client.Do(context.Background(), upload)
		var broken *exchange.BrokenError
		require.ErrorAs(t, err, &broken)
	}
}

// Guards against an answer that is refused although the server ended it in an orderly way before it had read the request's body.
func TestAnswerWithoutLengthMayEndBeforeTheBodyIsRead(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn){
		"the rest is not read": func(*net.TCPConn) {},
		"a reset follows":      func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			upload := longUpload("a")
			for range 10 {
				answered := make(chan struct{})
				s := startRaw(t, func(_ int32, r *http.Request, conn net.Conn) bool {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nbody", idHeader, r.Header.Get(idHeader))
					_ = conn.(*net.TCPConn).CloseWrite()
					end(conn.(*net.TCPConn))
					<-answered
					return false
				})
				response, err := s.client().Do(context.Background(), upload)
				close(answered)
				require.NoError(t, err)
				assert.Equal(t, "body", string(response.Body))
			}
		})
	}
}

// refused returns a server's refusal, with an id unless it is empty.
func refused(id string) string {
	line := ""
	if id != "" {
		line = idHeader + ": " + id + "\r\n"
	}
	return "HTTP/1.1 503 Busy\r\n" + line + "Content-Length: 0\r\n\r\n"
}

// Guards against a refusal that the server writes once more on a kept connection, and that is taken for the answer to a later
// request there: the caller is told that a request has not run which the server has run, or the request runs at a second server.
func TestSecondCopyOfARefusalIsNotTheAnswerToALaterRequest(t *testing.T) {
	for name, c := range map[string]struct{ refusal, later string }{
		"another request":                  {refused("a"), "b"},
		"the same request, sent again":     {refused("a"), "a"},
		"another request, without an id":   {refused(""), "b"},
		"the same request, without an id":  {refused(""), "a"},
		"after a refusal of another shape": {strings.Replace(refused("a"), "503 Busy", "429 Limited", 1), "a"},
	} {
		t.Run(name, func(t *testing.T) {
			var first atomic.Value // the connection of the first request
			s := startRaw(t, func(n int32, r *http.Request, conn net.Conn) bool {
				text := ok(r.Header.Get(idHeader), "done")
				switch {
				case n == 1:
					first.Store(conn)
					text = c.refusal
				case first.Load() == conn:
					text = c.refusal + text // the copy arrives when the later request has been sent
				}
				_, _ = conn.Write([]byte(text))
				return true
			})
			client := s.client()
			response, err := client.Do(context.Background(), get("a"))
			require.NoError(t, err)
			require.GreaterOrEqual(t, response.Status, http.StatusBadRequest)
			response, err = client.Do(context.Background(), get(c.later))
			var broken *exchange.BrokenError
			if !errors.As(err, &broken) {
				require.NoError(t, err)
				assert.Equal(t, http.StatusOK, response.Status)
			}
		})
	}
}

// Guards against an answer whose head is cut short and that is passed on as a whole one with an empty or a short body.
func TestAnswerCutAnywhereInItsHeadIsBroken(t *testing.T) {
	for name, whole := range map[string]string{
		"a length":       "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 10\r\nX-Signature: 3e1b.07\r\n\r\n",
		"chunks":         "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: 3e1b.07\r\nTransfer-Encoding: chunked\r\n\r\n",
		"a folded line":  "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: 3e1b\r\n  .07\r\nContent-Length: 10\r\n\r\n",
		"an empty line":  "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: \r\nContent-Length: 10\r\n\r\n",
		"interim answer": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 10\r\n\r\n",
		"bare newlines":  "HTTP/1.1 200 OK\nX-Id: a\nContent-Length: 10\n\n",
		"no length":      "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: 3e1b.07\r\nConnection: close\r\n\r",
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(whole) + 1 {
				s := startRaw(t, func(_ int32, _ *http.Request, conn net.Conn) bool {
					_, _ = conn.Write([]byte(whole[:cut]))
					return false
				})
				_, err := s.client().Do(context.Background(), get("a"))
				var broken *exchange.BrokenError
				require.ErrorAs(t, err, &broken, "cut after %q", whole[:cut])
			}
		})
	}
}
