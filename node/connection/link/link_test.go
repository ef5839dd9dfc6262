package link_test

import (
	"context"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/link"
	"github.com/radishstand/radishstand/node/internal/membudget"
)

// testMemory is the memory for the frames of a node, in bytes.
const testMemory = 8 << 20

// handler answers calls with their target. A call to /wait is answered after its context has ended; one to /queue is refused then, and
// one to /run takes a second.
type handler struct {
	version   atomic.Uint64
	proofAge  atomic.Uint32
	hello     chan *linkpb.Hello
	cancelled chan struct{}
	// observed holds the version number that each address has sent last.
	observed sync.Map
}

func (h *handler) Serve(ctx context.Context, call *linkpb.Call, reply func(*linkpb.Frame)) {
	if call.Target == "/wait" {
		<-ctx.Done()
		close(h.cancelled)
	}
	switch call.Target {
	case "/queue":
		<-ctx.Done()
		reply(&linkpb.Frame{Body: &linkpb.Frame_Refusal{Refusal: &linkpb.Refusal{Reason: linkpb.Refusal_REASON_CANCELLED}}})
		return
	case "/run":
		time.Sleep(time.Second)
	}
	answer := &linkpb.Answer{Status: 200, Body: []byte(call.Target), Header: call.Header}
	if call.Target == "/unencodable" {
		answer.Header = []*linkpb.Header{{Name: "\xff"}}
	}
	reply(&linkpb.Frame{Body: &linkpb.Frame_Answer{Answer: answer}})
}

func (h *handler) Leaving(*linkpb.Leaving) {}

func (h *handler) Hello(hello *linkpb.Hello) { h.hello <- hello }
func (h *handler) State() *linkpb.State      { return &linkpb.State{Service: "quotes", Ready: true} }
func (h *handler) Routing() []byte           { return []byte("document") }
func (h *handler) LocalVersion() uint64      { return h.version.Load() }

func (h *handler) ProofAge(uint64) uint32                       { return h.proofAge.Load() }
func (h *handler) ObserveVersion(address string, number uint64) { h.observed.Store(address, number) }

// events collects what a client receives outside its calls.
type events struct {
	states   chan *linkpb.State
	versions chan uint64
	routing  chan []byte
}

func newEvents() *events {
	return &events{states: make(chan *linkpb.State, 10), versions: make(chan uint64, 100), routing: make(chan []byte, 10)}
}

func (e *events) link() link.Events {
	return link.Events{
		State:        func(s *linkpb.State) { e.states <- s },
		Version:      func(v uint64) { e.versions <- v },
		Routing:      func(d []byte) { e.routing <- d },
		LocalVersion: func() uint64 { return 1 },
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func start(t *testing.T) (*handler, *link.Server, *linked, *events) {
	t.Helper()
	h := &handler{hello: make(chan *linkpb.Hello, 10), cancelled: make(chan struct{})}
	server, listener, received := link.NewServer(h, membudget.New(testMemory)), listen(t), newEvents()
	go func() { _ = server.Serve(listener) }()
	return h, server, dial(t, listener.Addr().String(), received.link()), received
}

// linked is a session with its first link.
type linked struct {
	*link.Client
	session *link.Session
}

func dial(t *testing.T, address string, events link.Events) *linked {
	t.Helper()
	session := link.NewSession(address, &linkpb.Hello{Address: "me"}, events, membudget.New(testMemory))
	client, err := session.Dial(context.Background())
	require.NoError(t, err)
	t.Cleanup(session.Close)
	return &linked{Client: client, session: session}
}

func (l *linked) Do(ctx context.Context, call *linkpb.Call) (*link.Result, error) {
	return l.session.Do(ctx, l.Client, call, func() bool { return false })
}

func (l *linked) InProgress() int { return l.session.InProgress() }

func TestDialSendsHelloAndReceivesState(t *testing.T) {
	h, server, _, received := start(t)
	assert.Equal(t, "me", (<-h.hello).Address)
	assert.Equal(t, "quotes", (<-received.states).Service)
	server.Broadcast()
	assert.True(t, (<-received.states).Ready)
}

// Guards against answers that are delivered to another call of the same link.
func TestConcurrentCallsReceiveTheirOwnAnswers(t *testing.T) {
	_, _, client, _ := start(t)
	errs := make(chan error, 100)
	for i := range cap(errs) {
		go func() {
			target := "/" + string(rune('a'+i%26))
			f, err := client.Do(context.Background(), &linkpb.Call{Target: target})
			if err == nil && string(f.GetAnswer().GetBody()) != target {
				err = io.ErrUnexpectedEOF
			}
			errs <- err
		}()
	}
	for range cap(errs) {
		assert.NoError(t, <-errs)
	}
}

// Guards against work that continues at the other node after the context of the call has ended.
func TestContextEndCancelsCallAtOtherNode(t *testing.T) {
	h, _, client, _ := start(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := client.Do(ctx, &linkpb.Call{Target: "/wait"})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	<-h.cancelled
}

// Guards against a response that says a call may have run although it reached no server, and against callers that wait for longer than
// ConfirmationTimeout, or wait for a call that they may repeat.
func TestCancelledCallIsConfirmedAfterItsDeadline(t *testing.T) {
	_, _, client, _ := start(t)
	do := func(call *linkpb.Call) (*link.Result, time.Duration, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		started := time.Now()
		f, err := client.Do(ctx, call)
		return f, time.Since(started), err
	}
	f, _, err := do(&linkpb.Call{Target: "/queue"})
	require.NoError(t, err)
	assert.Equal(t, linkpb.Refusal_REASON_CANCELLED, f.GetRefusal().GetReason())
	_, took, err := do(&linkpb.Call{Target: "/run"})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.GreaterOrEqual(t, took, 30*time.Millisecond+link.ConfirmationTimeout)
	assert.Less(t, took, time.Second)
	_, took, err = do(&linkpb.Call{Target: "/run", Idempotent: true})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Less(t, took, link.ConfirmationTimeout)
	assert.Zero(t, client.InProgress())
}

// Guards against a NotSentError for a call that was in progress when the link broke, since such a call may have run, and
// against a call on a closed link that waits instead of failing.
func TestBrokenLinkReportsWhetherCallWasSent(t *testing.T) {
	h, server, client, _ := start(t)
	broken := make(chan error, 1)
	go func() {
		_, err := client.Do(context.Background(), &linkpb.Call{Target: "/wait", Idempotent: true})
		broken <- err
	}()
	require.Eventually(t, func() bool { return client.InProgress() == 1 }, time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	server.Close()
	var notSent *link.NotSentError
	assert.NotErrorAs(t, <-broken, &notSent)
	<-h.cancelled
	<-client.Done()
	_, err := client.Do(context.Background(), &linkpb.Call{Target: "/x"})
	assert.ErrorAs(t, err, &notSent)
}

// Guards against calls that wait on a link to a frozen node: its kernel still acknowledges data, so TCP reports no error.
func TestUnresponsiveNodeBecomesSuspectAndLinkIsClosed(t *testing.T) {
	listener := listen(t)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
	}()
	client := dial(t, listener.Addr().String(), newEvents().link())
	ended := make(chan error, 1)
	go func() {
		_, err := client.Do(context.Background(), &linkpb.Call{})
		ended <- err
	}()
	require.Eventually(t, client.Suspect, 2*time.Second, 10*time.Millisecond)
	select {
	case err := <-ended:
		assert.ErrorIs(t, err, link.ErrClosed)
	case <-time.After(5 * time.Second):
		t.Fatal("the link to the unresponsive node was not closed")
	}
}

func TestFramesCarryVersionAndRoutingIsSentOnRequest(t *testing.T) {
	h, _, client, received := start(t)
	h.version.Store(7)
	_, err := client.Do(context.Background(), &linkpb.Call{Target: "/x"})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return <-received.versions == 7 }, time.Second, time.Millisecond)
	client.RequestRouting()
	assert.Equal(t, "document", string(<-received.routing))
}

// Guards against a node that keeps an old routing version although the frames of the nodes that call it carry a newer one.
func TestVersionOfTheNodeThatOpenedTheLinkIsObserved(t *testing.T) {
	h, _, client, _ := start(t)
	_, err := client.Do(context.Background(), &linkpb.Call{Target: "/x"})
	require.NoError(t, err)
	number, _ := h.observed.Load("me")
	assert.EqualValues(t, 1, number)
}

// Guards against a node without calls that does not hear of a newer routing version.
func TestVersionIsBroadcastWithoutACall(t *testing.T) {
	h, server, _, received := start(t)
	<-received.states
	h.version.Store(7)
	server.BroadcastVersion()
	require.Eventually(t, func() bool { return <-received.versions == 7 }, time.Second, time.Millisecond)
}

// Guards against calls and answers that never arrive because a header value holds bytes which are not UTF-8, as HTTP allows.
func TestHeaderValuesAreBytes(t *testing.T) {
	_, _, client, received := start(t)
	<-received.states
	value := []byte("caf\xe9")
	f, err := client.Do(t.Context(), &linkpb.Call{Target: "/x", Header: []*linkpb.Header{{Name: "X", Value: value}}})
	require.NoError(t, err)
	require.Len(t, f.GetAnswer().GetHeader(), 1)
	assert.Equal(t, value, f.GetAnswer().Header[0].Value)
}

// Guards against a call that waits until its deadline because its answer cannot be encoded. It may have run.
func TestAnswerThatCannotBeEncodedEndsItsCallAtOnce(t *testing.T) {
	_, _, client, received := start(t)
	<-received.states
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	f, err := client.Do(ctx, &linkpb.Call{Target: "/unencodable"})
	require.NoError(t, err)
	assert.Contains(t, f.GetBroken().GetCause(), "cannot be encoded")
	_, err = client.Do(ctx, &linkpb.Call{Target: "/x"})
	assert.NoError(t, err, "the link must stay open")
}

// Guards against a call that is taken for one that may have run, although it cannot be encoded and nothing of it was sent.
func TestCallThatCannotBeEncodedIsNotSent(t *testing.T) {
	_, _, client, received := start(t)
	<-received.states
	var notSent *link.NotSentError
	var encode *link.EncodeError
	_, err := client.Do(t.Context(), &linkpb.Call{Target: "\xff"})
	assert.ErrorAs(t, err, &notSent)
	assert.ErrorAs(t, err, &encode)
	_, err = client.Do(t.Context(), &linkpb.Call{Target: "/x"})
	assert.NoError(t, err, "the link must stay open")
}

// Guards against a link that a node of an earlier build closes because it cannot decode a header value.
func TestBytesAreNotSentToANodeThatReadsOnlyText(t *testing.T) {
	listener := listen(t)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _ = io.Copy(io.Discard, conn) // its state has not arrived, or does not say that it reads them
		}
	}()
	client := dial(t, listener.Addr().String(), newEvents().link())
	var notSent *link.NotSentError
	_, err := client.Do(t.Context(), &linkpb.Call{Target: "/x", Header: []*linkpb.Header{{Name: "X", Value: []byte("caf\xe9")}}})
	assert.ErrorAs(t, err, &notSent)
}

// Guards against requests and answers that are in no memory budget while they are held, and against a frame without memory that ends
// the link of all other calls or leaves its own call without an end.
func TestFramesHoldTheirMemoryUntilTheCallHasEnded(t *testing.T) {
	const bodySize = testMemory * 3 / 4
	h := &handler{hello: make(chan *linkpb.Hello, 10), cancelled: make(chan struct{})}
	serverMemory, clientMemory := membudget.New(testMemory), membudget.New(testMemory)
	listener := listen(t)
	go func() { _ = link.NewServer(h, serverMemory).Serve(listener) }()
	session := link.NewSession(listener.Addr().String(), &linkpb.Hello{Address: "me"}, newEvents().link(), clientMemory)
	client, err := session.Dial(t.Context())
	require.NoError(t, err)
	t.Cleanup(session.Close)
	do := func(ctx context.Context, call *linkpb.Call) (*link.Result, error) {
		return session.Do(ctx, client, call, func() bool { return false })
	}

	waiting, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = do(waiting, &linkpb.Call{Target: "/wait", Body: make([]byte, bodySize)}) }()
	require.Eventually(t, func() bool { return serverMemory.Held() >= bodySize }, time.Second, time.Millisecond)
	f, err := do(t.Context(), &linkpb.Call{Target: "/large", Body: make([]byte, bodySize)})
	require.NoError(t, err)
	assert.Equal(t, linkpb.Refusal_REASON_NOT_RECEIVED, f.GetRefusal().GetReason())
	_, err = do(t.Context(), &linkpb.Call{Target: "/small"})
	assert.NoError(t, err, "the link must stay open")
	cancel()
	<-h.cancelled
	require.Eventually(t, func() bool { return serverMemory.Held() == 0 }, time.Second, time.Millisecond)

	large := strings.Repeat("x", bodySize)
	// The server releases the memory of a call after it has sent the result, so a call that follows at once could find none there.
	serverIsFree := func() bool { return serverMemory.Held() == 0 }
	first, err := do(t.Context(), &linkpb.Call{Target: large})
	require.NoError(t, err)
	assert.Len(t, first.GetAnswer().GetBody(), bodySize)
	require.Eventually(t, serverIsFree, time.Second, time.Millisecond)
	second, err := do(t.Context(), &linkpb.Call{Target: large})
	require.NoError(t, err)
	assert.NotNil(t, second.GetBroken(), "the first answer is held")
	first.Release()
	require.Eventually(t, serverIsFree, time.Second, time.Millisecond)
	third, err := do(t.Context(), &linkpb.Call{Target: large})
	require.NoError(t, err)
	assert.Len(t, third.GetAnswer().GetBody(), bodySize)
	third.Release()
	assert.Zero(t, clientMemory.Held())
}

// Guards against an error of a write that nobody handles: a call would wait for its deadline.
func TestNoErrorOfAWriteIsIgnored(t *testing.T) {
	sources, err := filepath.Glob("*.go")
	require.NoError(t, err)
	for _, name := range sources {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		require.NoError(t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			var call ast.Expr
			switch n := n.(type) {
			case *ast.ExprStmt:
				call = n.X
			case *ast.AssignStmt:
				if id, ok := n.Lhs[0].(*ast.Ident); ok && id.Name == "_" && len(n.Lhs) == 1 {
					call = n.Rhs[0]
				}
			}
			if c, ok := call.(*ast.CallExpr); ok {
				if method, ok := c.Fun.(*ast.SelectorExpr); ok && !strings.HasSuffix(name, "_test.go") {
					assert.NotContains(t, []string{"write", "Write"}, method.Sel.Name, name)
				}
			}
			return true
		})
	}
}

// Guards against a frame length that makes the node allocate memory for data that is not sent.
func TestTooLongOrUnreadableFrameClosesLink(t *testing.T) {
	for name, bytes := range map[string][]byte{"too long": {0xff, 0xff, 0xff, 0xff}, "too long for the memory": {4, 0, 0, 0}, "unreadable": {0, 0, 0, 2, 0xff, 0xff}} {
		t.Run(name, func(t *testing.T) {
			h := &handler{hello: make(chan *linkpb.Hello, 1)}
			listener := listen(t)
			go func() { _ = link.NewServer(h, membudget.New(testMemory)).Serve(listener) }()
			conn, err := net.Dial("tcp4", listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			_, err = conn.Write(bytes)
			require.NoError(t, err)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
			_, err = conn.Read(make([]byte, 1))
			assert.Error(t, err)
			assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the node must close the link")
		})
	}
}
