package link_test

import (
	"context"
	"net"
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

const waitLimit = 5 * time.Second

// proxy passes connections on to a node, until it loses what one side sends or cuts all connections.
type proxy struct {
	listener net.Listener
	target   atomic.Pointer[string]
	// loseCalls and loseResults discard what the opener and the other node send.
	loseCalls, loseResults atomic.Bool
	// holdCalls delays what the opener sends.
	holdCalls atomic.Bool

	mu    sync.Mutex
	conns []net.Conn
}

func startProxy(t *testing.T, target string) *proxy {
	t.Helper()
	p := &proxy{listener: listen(t)}
	p.target.Store(&target)
	go func() {
		for {
			from, err := p.listener.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp4", *p.target.Load())
			if err != nil {
				_ = from.Close()
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, from, to)
			p.mu.Unlock()
			go pipe(to, from, &p.loseCalls, &p.holdCalls)
			go pipe(from, to, &p.loseResults, &atomic.Bool{})
		}
	}()
	t.Cleanup(p.cut)
	return p
}

func pipe(to, from net.Conn, lose, hold *atomic.Bool) {
	defer to.Close()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if lose.Load() {
			continue
		}
		for hold.Load() {
			time.Sleep(time.Millisecond)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}

// worker runs calls until release is called, and counts them.
type worker struct {
	handler
	started   chan context.Context
	left      atomic.Uint32 // LeftMs of the last call
	released  chan struct{}
	runs      atomic.Int32
	finished  atomic.Int32
	releaseMu sync.Once
}

func (w *worker) release() { w.releaseMu.Do(func() { close(w.released) }) }

func (w *worker) Serve(ctx context.Context, call *linkpb.Call, reply func(*linkpb.Frame)) {
	w.runs.Add(1)
	w.left.Store(call.LeftMs)
	w.started <- ctx
	select {
	case <-w.released:
	case <-ctx.Done():
	}
	reply(&linkpb.Frame{Body: &linkpb.Frame_Answer{Answer: &linkpb.Answer{Status: 200, Body: []byte(call.Target)}}})
	w.finished.Add(1)
}

// resumeFixture is a session over a proxy with a call in progress.
type resumeFixture struct {
	*worker
	proxy   *proxy
	session *link.Session
	client  *link.Client
}

func startResumable(t *testing.T) *resumeFixture {
	t.Helper()
	f := &resumeFixture{worker: &worker{
		handler: handler{hello: make(chan *linkpb.Hello, 10)}, started: make(chan context.Context, 10), released: make(chan struct{}),
	}}
	t.Cleanup(f.release)
	f.proxy = startProxy(t, f.serve(t))
	received := newEvents()
	f.session = link.NewSession(f.proxy.listener.Addr().String(), &linkpb.Hello{Address: "me"}, received.link(), membudget.New(testMemory))
	t.Cleanup(f.session.Close)
	f.dial(t)
	<-received.states
	return f
}

// serve starts a link server of the worker's node and returns its address.
func (f *resumeFixture) serve(t *testing.T) string {
	t.Helper()
	listener := listen(t)
	go func() { _ = link.NewServer(f.worker, membudget.New(testMemory)).Serve(listener) }()
	return listener.Addr().String()
}

func (f *resumeFixture) dial(t *testing.T) {
	t.Helper()
	var err error
	f.client, err = f.session.Dial(context.Background())
	require.NoError(t, err)
}

// relink cuts the link and opens another one.
func (f *resumeFixture) relink(t *testing.T) {
	t.Helper()
	f.proxy.cut()
	<-f.client.Done()
	f.proxy.loseCalls.Store(false)
	f.proxy.loseResults.Store(false)
	f.dial(t)
}

type outcome struct {
	frame *link.Result
	err   error
}

// call starts a call and returns the channel of its outcome.
func (f *resumeFixture) call(idempotent, wait bool) <-chan outcome {
	done := make(chan outcome, 1)
	client := f.client
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		message := &linkpb.Call{Target: "/book", Idempotent: idempotent, LeftMs: uint32(waitLimit.Milliseconds())}
		frame, err := f.session.Do(ctx, client, message, func() bool { return wait })
		done <- outcome{frame, err}
	}()
	return done
}

// Guards against a call that is given up because its link broke, although its answer is ready, and against one that is run
// again for it.
func TestCallGetsItsAnswerOnTheNextLink(t *testing.T) {
	f := startResumable(t)
	result := f.call(false, true)
	<-f.started
	f.relink(t)
	f.release()
	o := <-result
	require.NoError(t, o.err)
	assert.Equal(t, "/book", string(o.frame.GetAnswer().GetBody()))
	assert.EqualValues(t, 1, f.runs.Load())
}

// Guards against an answer that is lost with the link although it was written to it.
func TestAnswerThatWasLostWithTheLinkIsSentAgain(t *testing.T) {
	f := startResumable(t)
	f.proxy.loseResults.Store(true)
	result := f.call(false, true)
	<-f.started
	f.release()
	require.Eventually(t, func() bool { return f.finished.Load() == 1 }, waitLimit, time.Millisecond)
	f.relink(t)
	o := <-result
	require.NoError(t, o.err)
	assert.Equal(t, "/book", string(o.frame.GetAnswer().GetBody()))
	assert.EqualValues(t, 1, f.runs.Load())
}

// Guards against a call that was lost with the link and is reported as possibly run, so that it cannot be sent elsewhere.
func TestCallThatWasLostWithTheLinkIsRefused(t *testing.T) {
	f := startResumable(t)
	f.proxy.loseCalls.Store(true)
	result := f.call(false, true)
	require.Eventually(t, func() bool { return f.session.InProgress() == 1 }, waitLimit, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	f.relink(t)
	o := <-result
	require.NoError(t, o.err)
	assert.Equal(t, linkpb.Refusal_REASON_NOT_RECEIVED, o.frame.GetRefusal().GetReason())
	assert.Zero(t, f.runs.Load())
}

// Guards against a refusal of a call that has run: the other node was started again and knows nothing of it.
func TestCallOfAnEarlierProcessIsNotRefused(t *testing.T) {
	f := startResumable(t)
	result := f.call(false, true)
	<-f.started
	restarted := f.serve(t)
	f.proxy.target.Store(&restarted)
	f.relink(t)
	o := <-result
	require.NoError(t, o.err)
	assert.NotNil(t, o.frame.GetBroken())
}

// Guards against calls that wait until their deadline for a node whose process has ended.
func TestCallFailsWhenTheOtherProcessHasEnded(t *testing.T) {
	f := startResumable(t)
	result := f.call(false, true)
	<-f.started
	require.NoError(t, f.proxy.listener.Close())
	f.proxy.cut()
	<-f.client.Done()
	started := time.Now()
	_, err := f.session.Dial(context.Background())
	require.Error(t, err)
	assert.ErrorIs(t, (<-result).err, link.ErrClosed)
	assert.Less(t, time.Since(started), waitLimit/2)
}

// Guards against idempotent work that goes on after another attempt was made, and against work that is cancelled although its
// caller waits for it.
func TestOnlyCallsThatAreNotAwaitedAreCancelled(t *testing.T) {
	f := startResumable(t)
	abandoned := f.call(true, false)
	abandonedCtx := <-f.started
	awaited := f.call(true, true)
	awaitedCtx := <-f.started
	f.relink(t)
	assert.ErrorIs(t, (<-abandoned).err, link.ErrClosed)
	select {
	case <-abandonedCtx.Done():
	case <-time.After(waitLimit):
		t.Error("the abandoned call runs on")
	}
	assert.NoError(t, awaitedCtx.Err())
	f.release()
	o := <-awaited
	require.NoError(t, o.err)
	assert.Equal(t, "/book", string(o.frame.GetAnswer().GetBody()))
}

// Guards against idempotent work that goes on for a node that does not return, and against non-idempotent work that is
// cancelled although its outcome must be known.
func TestOnlyIdempotentCallsEndWithoutALink(t *testing.T) {
	f := startResumable(t)
	f.call(true, true)
	idempotent := <-f.started
	f.call(false, true)
	other := <-f.started
	f.proxy.cut()
	select {
	case <-idempotent.Done():
	case <-time.After(waitLimit):
		t.Error("the idempotent call runs on")
	}
	assert.NoError(t, other.Err())
}

// Guards against a call that runs after its deadline, or with more time than is left: it has waited on a link that was cut or at
// a host that was paused.
func TestTimeThatACallHasWaitedIsTakenOff(t *testing.T) {
	f := startResumable(t)
	f.release()
	assert.NoError(t, (<-f.call(false, true)).err)
	<-f.started
	assert.Equal(t, uint32(waitLimit.Milliseconds()), f.left.Load(), "a call on a working link keeps its time")
	const held = 300 * time.Millisecond
	f.proxy.holdCalls.Store(true)
	time.AfterFunc(held, func() { f.proxy.holdCalls.Store(false) })
	assert.NoError(t, (<-f.call(false, true)).err)
	<-f.started
	assert.InDelta(t, (waitLimit - held).Milliseconds(), f.left.Load(), 100)
}
