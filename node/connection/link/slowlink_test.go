package link_test

import (
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/link"
	"github.com/radishstand/radishstand/node/internal/membudget"
)

const (
	// slowBytesPerMs is the speed of a link of 10 Mbit/s.
	slowBytesPerMs = 1250
	// largeBody is the largest answer of the design page's deployment Moves.
	largeBody = 540 << 10
	// proxyBufferBytes is the receive buffer of the slow link, twice of which the kernel may use. A smaller one is acknowledged late.
	proxyBufferBytes = 32 << 10
	// maxSmallWait is the transfer time of two pieces (26 ms), of the unsent bytes in the kernel (39 ms) and of the receive buffer
	// (52 ms), with slack for the scheduler. A whole body takes 442 ms.
	maxSmallWait = 150 * time.Millisecond
	// maxCatchUp bounds the time for which the slow link is faster after it was idle.
	maxCatchUp = 10 * time.Millisecond
)

type testLog struct {
	mu    sync.Mutex
	lines []any
}

func (l *testLog) Warn(message any, keyvals ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, message)
}

func (l *testLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.lines)
}

func newEgress(log link.Log) *link.Egress {
	return link.NewEgress(link.EgressConfig{
		Chunks: func() bool { return true }, BitsPerSecond: func() float64 { return slowBytesPerMs * 8e3 }, Log: log,
	})
}

// answerWritten receives when a large answer was passed to the kernel.
var answerWritten = make(chan struct{}, 100)

// slowHandler answers a call to /large with a large body.
type slowHandler struct{ handler }

func (h *slowHandler) Serve(ctx context.Context, call *linkpb.Call, reply func(*linkpb.Frame)) {
	body := []byte("small")
	if call.Target == "/large" {
		body = []byte(strings.Repeat("x", largeBody))
	}
	reply(&linkpb.Frame{Body: &linkpb.Frame_Answer{Answer: &linkpb.Answer{Status: 200, Body: body}}})
	if len(body) == largeBody {
		answerWritten <- struct{}{}
	}
}

// startSlow returns a link on which the answers pass at the speed of a slow link.
func startSlow(t *testing.T, egress *link.Egress) (*link.Server, *linked) {
	t.Helper()
	h := &slowHandler{handler{hello: make(chan *linkpb.Hello, 10)}}
	server, listener := link.NewServer(h, membudget.New(8*testMemory)), listen(t)
	server.SendThrough(egress)
	go func() { _ = server.Serve(listener) }()
	events, received := newEvents(), make(chan struct{})
	linkEvents := events.link()
	linkEvents.State = func(*linkpb.State) { close(received) }
	linkEvents.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		far, err := net.Dial("tcp4", address)
		if err != nil {
			return nil, err
		}
		require.NoError(t, far.(*net.TCPConn).SetReadBuffer(proxyBufferBytes))
		near, proxied := net.Pipe()
		go func() {
			_, _ = io.Copy(far, proxied)
			_ = far.Close()
		}()
		go throttle(proxied, far)
		t.Cleanup(func() { _, _ = proxied.Close(), far.Close() })
		return near, nil
	}
	session := link.NewSession(listener.Addr().String(), &linkpb.Hello{Address: "me"}, linkEvents, membudget.New(8*testMemory))
	client, err := session.Dial(t.Context())
	require.NoError(t, err)
	t.Cleanup(session.Close)
	<-received
	return server, &linked{Client: client, session: session}
}

// throttle copies at the speed of a slow link.
func throttle(to, from net.Conn) {
	started, copied := time.Now(), 0
	buffer := make([]byte, 2<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		due := started.Add(time.Duration(copied+n) * time.Millisecond / slowBytesPerMs)
		if time.Since(due) > maxCatchUp { // the link was idle
			started, copied, due = time.Now(), 0, time.Now().Add(time.Duration(n)*time.Millisecond/slowBytesPerMs)
		}
		copied += n
		time.Sleep(time.Until(due))
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// smallTimes returns the times of small calls while large answers are sent, and whether the link was suspect meanwhile.
func smallTimes(t *testing.T, l *linked, large int) (times []time.Duration, suspect bool) {
	t.Helper()
	var answers sync.WaitGroup
	for range large {
		answers.Go(func() {
			f, err := l.Do(context.Background(), &linkpb.Call{Target: "/large"})
			if assert.NoError(t, err) {
				assert.Len(t, f.GetAnswer().GetBody(), largeBody)
				f.Release()
			}
		})
	}
	time.Sleep(30 * time.Millisecond)
	ended := make(chan struct{})
	go func() { answers.Wait(); close(ended) }()
	for {
		select {
		case <-ended:
			slices.Sort(times)
			return times, suspect
		case <-time.After(10 * time.Millisecond):
		}
		started := time.Now()
		f, err := l.Do(context.Background(), &linkpb.Call{Target: "/small"})
		require.NoError(t, err)
		f.Release()
		times = append(times, time.Since(started))
		suspect = suspect || l.Suspect()
	}
}

// Guards against small frames that wait behind large bodies on a slow link, and against a link that counts as dead while pieces arrive.
func TestSmallFramesDoNotWaitBehindLargeOnesOnASlowLink(t *testing.T) {
	log := &testLog{}
	_, l := startSlow(t, newEgress(log))
	times, suspect := smallTimes(t, l, 3)
	require.NotEmpty(t, times)
	t.Logf("%d small calls: median %v, longest %v", len(times), times[len(times)/2], times[len(times)-1])
	assert.Less(t, times[len(times)/2], maxSmallWait)
	assert.False(t, suspect)
	assert.Zero(t, log.count(), "the kernel bounds the unsent bytes")
}

// Guards against an answer that occupies a slow link although its caller no longer waits for it.
func TestAnswerOfACancelledCallIsNotSentFurther(t *testing.T) {
	egress := newEgress(&testLog{})
	_, l := startSlow(t, egress)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		_, err := l.Do(ctx, &linkpb.Call{Target: "/large"})
		assert.Error(t, err)
		close(ended)
	}()
	require.Eventually(t, func() bool { return egress.WaitingBytes() > largeBody/2 }, time.Second, time.Millisecond)
	cancel()
	<-ended
	require.Eventually(t, func() bool { return egress.WaitingBytes() == 0 }, 200*time.Millisecond, time.Millisecond)
	f, err := l.Do(t.Context(), &linkpb.Call{Target: "/large"})
	require.NoError(t, err, "the link stays open")
	assert.Len(t, f.GetAnswer().GetBody(), largeBody)
	f.Release()
}

// Guards against a result that is lost because the process ends while it is in the kernel's buffers: the node of the caller has sent
// something meanwhile, which makes the kernel drop them.
func TestShutdownDeliversWhatWasSent(t *testing.T) {
	for name, egress := range map[string]*link.Egress{"in pieces": newEgress(&testLog{}), "whole": nil} {
		t.Run(name, func(t *testing.T) {
			for len(answerWritten) > 0 {
				<-answerWritten
			}
			server, l := startSlow(t, egress)
			answered := make(chan int, 1)
			go func() {
				f, err := l.Do(context.Background(), &linkpb.Call{Target: "/large"})
				if err != nil {
					answered <- 0
					return
				}
				answered <- len(f.GetAnswer().GetBody())
				f.Release()
			}()
			<-answerWritten
			l.Ask()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			assert.Zero(t, server.Shutdown(ctx))
			server.Close()
			assert.Equal(t, largeBody, <-answered)
		})
	}
}

// Guards against a link that fails, or a log line for each link, where the deployment does not let the node set socket options.
func TestFailedSocketOptionIsLoggedOnceAndIgnored(t *testing.T) {
	listener, log := listen(t), &testLog{}
	egress := newEgress(log)
	for range 3 {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		link.BoundUnsent(egress, conn)
	}
	near, far := net.Pipe() // it has no socket
	defer far.Close()
	link.BoundUnsent(egress, near)
	assert.Equal(t, 1, log.count())
}
