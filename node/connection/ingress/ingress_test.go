package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/connection/ingress"
)

// waitLimit is the time limit for what a test waits for.
const waitLimit = 5 * time.Second

// handler holds each request to /hold/ID until release(ID) is called, and answers others at once. Requests with the method GET
// are repeatable.
type handler struct {
	mu      sync.Mutex
	held    map[string]chan struct{}
	started chan string
	left    chan string
	// unreleased is the number of responses that are neither written nor dropped.
	unreleased atomic.Int64
}

func newHandler() *handler {
	return &handler{held: map[string]chan struct{}{}, started: make(chan string, 100), left: make(chan string, 100)}
}

func (h *handler) hold(path string) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held[path] == nil {
		h.held[path] = make(chan struct{})
	}
	return h.held[path]
}

func (h *handler) release(path string) { close(h.hold(path)) }

func (h *handler) Handle(r *http.Request) *ingress.Response {
	h.started <- r.URL.Path
	if r.URL.Path == "/panic" {
		panic("test")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return &ingress.Response{Status: http.StatusBadRequest, Close: true}
	}
	if strings.HasPrefix(r.URL.Path, "/hold/") {
		select {
		case <-h.hold(r.URL.Path):
		case <-r.Context().Done():
			h.left <- r.URL.Path
			return nil
		}
	}
	text := fmt.Sprintf("%s %s %d", r.Method, r.URL.Path, len(body))
	if r.URL.Path == "/written" { // the buffers of the kernel have room for it
		text = strings.Repeat("x", 1<<20)
	}
	if r.URL.Path == "/large" {
		text = strings.Repeat("x", 64<<20)
	}
	h.unreleased.Add(1)
	return &ingress.Response{
		Status: http.StatusOK, Header: http.Header{}, Body: []byte(text), Close: r.URL.Path == "/close",
		Release: sync.OnceFunc(func() { h.unreleased.Add(-1) }),
	}
}

func (h *handler) Repeatable(r *http.Request) bool {
	return r.Method == http.MethodGet && r.URL.Path != "/close"
}

type discardLog struct{}

func (discardLog) Info(any, ...any) {}
func (discardLog) Warn(any, ...any) {}

// fixture is a server with one connection of a caller.
type fixture struct {
	*handler
	server *ingress.Server
	conn   *net.TCPConn
	reader *bufio.Reader
}

func start(t *testing.T) *fixture {
	t.Helper()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	f := &fixture{handler: newHandler()}
	limits := ingress.Limits{HeaderBytes: 8 << 10, HeaderTimeout: waitLimit, IdleTimeout: waitLimit}
	f.server = ingress.NewServer(listener, f.handler, limits, discardLog{})
	go f.server.Serve()
	t.Cleanup(f.server.Close)
	f.conn, err = net.DialTCP("tcp4", nil, listener.Addr().(*net.TCPAddr))
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.conn.Close() })
	require.NoError(t, f.conn.SetDeadline(time.Now().Add(2*waitLimit)))
	f.reader = bufio.NewReader(f.conn)
	return f
}

func (f *fixture) send(t *testing.T, requests ...string) {
	t.Helper()
	var text strings.Builder
	for _, r := range requests {
		method, path, _ := strings.Cut(r, " ")
		fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: h\r\n\r\n", method, path)
	}
	_, err := io.WriteString(f.conn, text.String())
	require.NoError(t, err)
}

// next returns the body of the next response, and "closed" when the connection has ended.
func (f *fixture) next(t *testing.T) string {
	t.Helper()
	response, err := http.ReadResponse(f.reader, nil)
	if err != nil {
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, "the connection must end in order, without a reset")
		return "closed"
	}
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	if response.Close {
		return string(body) + " close"
	}
	return string(body)
}

func receive(t *testing.T, c chan string) string {
	t.Helper()
	select {
	case s := <-c:
		return s
	case <-time.After(waitLimit):
		t.Fatal("nothing received")
		return ""
	}
}

// Guards against a request that waits for the one ahead of it, and against responses in another order than the requests.
func TestRepeatableRequestsAreHandledTogetherAndAnsweredInOrder(t *testing.T) {
	f := start(t)
	f.send(t, "GET /hold/1", "GET /hold/2", "GET /3")
	started := []string{receive(t, f.started), receive(t, f.started), receive(t, f.started)}
	assert.ElementsMatch(t, []string{"/hold/1", "/hold/2", "/3"}, started)
	f.release("/hold/2")
	f.release("/hold/1")
	assert.Equal(t, "GET /hold/1 0", f.next(t))
	assert.Equal(t, "GET /hold/2 0", f.next(t))
	assert.Equal(t, "GET /3 0", f.next(t))
}

// Guards against a request that must run at most once and is run although a response ahead of it may close the connection, so
// that the caller sends it again.
func TestOtherRequestsWaitForTheResponsesAheadOfThem(t *testing.T) {
	for name, requests := range map[string][]string{
		"it may run once":               {"GET /hold/1", "POST /2"},
		"the one ahead may run once":    {"POST /hold/1", "GET /2"},
		"one between them may run once": {"GET /hold/1", "POST /2", "GET /3"},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			f.send(t, requests...)
			assert.Equal(t, "/hold/1", receive(t, f.started))
			select {
			case path := <-f.started:
				t.Errorf("%s has started", path)
			case <-time.After(50 * time.Millisecond):
			}
			f.release("/hold/1")
			for range requests {
				assert.NotEqual(t, "closed", f.next(t))
			}
		})
	}
}

// Guards against requests that are run although they were sent behind a response that closes the connection: their callers
// send them again.
func TestRequestsBehindAClosingResponseAreNotHandled(t *testing.T) {
	f := start(t)
	f.send(t, "GET /close", "GET /2", "POST /3")
	assert.Equal(t, "GET /close 0 close", f.next(t))
	assert.Equal(t, "closed", f.next(t))
	assert.Equal(t, "/close", receive(t, f.started))
	assert.Empty(t, f.started)
	assert.Eventually(t, func() bool { n, _ := f.server.InProgress(); return n == 0 }, waitLimit, time.Millisecond)
}

// Guards against a call that runs on after its caller has left: once bytes of a further request have arrived, the end of the
// connection was not noticed.
func TestCallerThatLeavesCancelsAllItsRequests(t *testing.T) {
	for name, further := range map[string]string{
		"one request":                    "",
		"a further one is held":          "GET /hold/2 HTTP/1.1\r\nHost: h\r\n\r\n",
		"a further one waits":            "POST /2 HTTP/1.1\r\nHost: h\r\n\r\n",
		"a further one is incomplete":    "GET /2 HTTP/1.1\r\n",
		"bytes that are not a request":   "\x01\x02\r\n\r\n",
		"a further one cannot be parsed": "GET /2 HTTP/9.9\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			f.send(t, "GET /hold/1")
			assert.Equal(t, "/hold/1", receive(t, f.started))
			_, err := io.WriteString(f.conn, further)
			require.NoError(t, err)
			time.Sleep(20 * time.Millisecond)
			require.NoError(t, f.conn.Close())
			assert.Contains(t, []string{"/hold/1", "/hold/2"}, receive(t, f.left))
			assert.Eventually(t, func() bool { n, _ := f.server.InProgress(); return n == 0 }, waitLimit, time.Millisecond)
		})
	}
}

// Guards against requests that are accepted during a planned stop and cut off, and against a stop that runs requests that the
// caller sends again.
func TestShutdownAnswersWhatItHasRead(t *testing.T) {
	f := start(t)
	f.send(t, "GET /hold/1", "GET /hold/2")
	receive(t, f.started)
	receive(t, f.started)
	f.server.Drain()
	f.send(t, "GET /3", "POST /4")
	time.Sleep(20 * time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		f.server.Shutdown(ctx)
	}()
	time.Sleep(20 * time.Millisecond)
	f.release("/hold/2")
	f.release("/hold/1")
	assert.Equal(t, "GET /hold/1 0", f.next(t), "the connection must stay open for the second response")
	assert.Equal(t, "GET /hold/2 0 close", f.next(t))
	assert.Equal(t, "closed", f.next(t))
	require.NoError(t, f.conn.Close())
	select {
	case <-stopped:
	case <-time.After(waitLimit):
		t.Error("the server has not stopped")
	}
	assert.Empty(t, f.started, "requests behind the last response must not be handled")
}

// Guards against a fault in the handler that ends the process and with it the calls of all other callers.
func TestPanicEndsOnlyItsConnection(t *testing.T) {
	f := start(t)
	other, err := net.DialTCP("tcp4", nil, f.conn.RemoteAddr().(*net.TCPAddr))
	require.NoError(t, err)
	defer other.Close()
	f.send(t, "GET /panic")
	assert.Equal(t, "closed", f.next(t))
	f.conn, f.reader = other, bufio.NewReader(other)
	f.send(t, "GET /1")
	assert.Equal(t, "GET /1 0", f.next(t))
}

// Guards against a stop that cuts off a response which is in the buffers of the kernel, because its caller reads it slowly.
func TestShutdownWaitsForAResponseThatArrivesSlowly(t *testing.T) {
	f := start(t)
	require.NoError(t, f.conn.SetReadBuffer(256<<10))
	f.send(t, "GET /hold/1", "GET /written")
	receive(t, f.started)
	receive(t, f.started) // a request that the server reads after Drain is not handled behind another one
	f.server.Drain()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		f.server.Shutdown(ctx)
	}()
	f.release("/hold/1")
	require.Eventually(t, func() bool { requests, _ := f.server.InProgress(); return requests == 0 }, waitLimit, time.Millisecond)
	select {
	case <-stopped:
		t.Fatal("the server has stopped before the response has arrived")
	case <-time.After(1500 * time.Millisecond):
	}
	assert.Equal(t, "GET /hold/1 0", f.next(t))
	assert.Len(t, f.next(t), 1<<20+len(" close"))
	require.NoError(t, f.conn.Close())
	<-stopped
}

// Guards against idle connections that keep a stop from ending.
func TestShutdownClosesIdleConnections(t *testing.T) {
	f := start(t)
	f.send(t, "GET /1")
	assert.Equal(t, "GET /1 0", f.next(t))
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	f.server.Shutdown(ctx)
	assert.NoError(t, ctx.Err())
	assert.Equal(t, "closed", f.next(t))
}

// Guards against a stop that waits for the idle timeout of a connection whose response was written just when the stop began.
func TestShutdownRightAfterAResponseClosesTheConnection(t *testing.T) {
	for range 500 {
		f := start(t)
		f.send(t, "GET /1")
		assert.Equal(t, "GET /1 0", f.next(t))
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		f.server.Shutdown(ctx)
		require.NoError(t, ctx.Err())
		cancel()
	}
}

// Guards against responses that are in no memory budget while callers read them slowly, and against responses that stay in it for
// ever because their caller has left.
func TestResponseIsReleasedWhenItIsWrittenOrDropped(t *testing.T) {
	f := start(t)
	f.send(t, "GET /1")
	assert.Equal(t, "GET /1 0", f.next(t))
	require.Eventually(t, func() bool { return f.unreleased.Load() == 0 }, waitLimit, time.Millisecond)
	f.send(t, "GET /large")
	require.Eventually(t, func() bool { return f.unreleased.Load() == 1 }, waitLimit, time.Millisecond)
	f.send(t, "GET /2") // its response waits behind the one that is not read
	require.Eventually(t, func() bool { return f.unreleased.Load() == 2 }, waitLimit, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	assert.EqualValues(t, 2, f.unreleased.Load(), "the caller has not read them")
	require.NoError(t, f.conn.Close())
	require.Eventually(t, func() bool { return f.unreleased.Load() == 0 }, waitLimit, time.Millisecond)
}

// Guards against bodies that are parsed as requests and requests that are lost behind a body.
func TestBodiesAreReadExactly(t *testing.T) {
	f := start(t)
	inner := "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	chunks := fmt.Sprintf("%x;a=b\r\n%s\r\n0\r\nTrailer: 1\r\n\r\n", len(inner), inner)
	go func() {
		fmt.Fprintf(f.conn, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner)
		fmt.Fprintf(f.conn, "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%s", chunks)
		fmt.Fprint(f.conn, "POST /3 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok")
		fmt.Fprint(f.conn, "HEAD /4 HTTP/1.1\r\nHost: h\r\n\r\n")
	}()
	assert.Equal(t, fmt.Sprintf("POST /1 %d", len(inner)), f.next(t))
	assert.Equal(t, fmt.Sprintf("POST /2 %d", len(inner)), f.next(t))
	interim, err := http.ReadResponse(f.reader, nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusContinue, interim.StatusCode)
	assert.Equal(t, "POST /3 2", f.next(t))
	last, err := http.ReadResponse(f.reader, &http.Request{Method: http.MethodHead})
	require.NoError(t, err)
	assert.EqualValues(t, len("HEAD /4 0"), last.ContentLength)
}

// Guards against callers that make a node hold endless bytes.
func TestEndlessInputIsRejected(t *testing.T) {
	for name, c := range map[string]struct{ first, repeated string }{
		"a request line": {"GET /", "x"},
		"a header":       {"GET / HTTP/1.1\r\nHost: h\r\nX: ", "x"},
		"many headers":   {"GET / HTTP/1.1\r\nHost: h\r\n", "X: x\r\n"},
		"empty lines":    {"", "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			go func() {
				_, _ = io.WriteString(f.conn, c.first)
				piece := []byte(strings.Repeat(c.repeated, 1000))
				for range 1000 {
					if _, err := f.conn.Write(piece); err != nil {
						return
					}
				}
			}()
			response, err := http.ReadResponse(f.reader, nil)
			require.NoError(t, err)
			assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
		})
	}
}
