package localserver_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/protocol"
	"github.com/radishstand/radishstand/node/internal/boottime"
	"github.com/radishstand/radishstand/node/internal/membudget"
	"github.com/radishstand/radishstand/node/process/localserver"
)

var names = protocol.Names{
	ID: "X-Id", DeadlineMs: "X-Deadline", ServerID: "X-Server", CallerService: "X-Caller", Signature: "X-Signature",
	NotExecuted: "X-Not-Executed", ServerLoad: "X-Load", RunningID: "X-Running",
	ParseLoad: func(string) (protocol.ServerLoad, bool) { return protocol.ServerLoad{}, false },
}

// serveOnce runs a call at a server that answers with a status and headers, and returns the frame that ends it.
func serveOnce(t *testing.T, status int, header map[string]string) *linkpb.Frame {
	t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.ID, r.Header.Get(names.ID))
		for name, value := range header {
			w.Header().Set(name, value)
		}
		w.WriteHeader(status)
	}))
	defer backend.Close()
	backendAddress := backend.Listener.Addr().String()
	s := localserver.New(localserver.Config{
		Address: func() string { return backendAddress }, HasService: func(string) bool { return true },
		HealthPath: func(string) string { return "" }, Names: names, Memory: membudget.New(1 << 20), Now: time.Now, Boottime: boottime.Now,
		AnnounceInterval: func() time.Duration { return announceInterval }, Changed: func(localserver.Status) {},
	})
	require.NoError(t, s.Announce(localserver.Announcement{ID: "i-1", Service: "quotes", Address: backendAddress, Slots: 1}))
	var frame *linkpb.Frame
	call := &linkpb.Call{Method: http.MethodGet, Target: "/", Host: "h", Id: "id-1", ServerId: "i-1", LeftMs: 2000, Stay: true}
	s.Serve(context.Background(), call, func(f *linkpb.Frame) { frame = f })
	return frame
}

// Guards against a status that promises callers that their request has not run although the server has not said so, and against
// a success that the server has not signed.
func TestOnlyTheServersWordIsAPromiseThatARequestHasNotRun(t *testing.T) {
	signed := map[string]string{names.Signature: "s"}
	notRun := map[string]string{names.NotExecuted: "1"}
	cases := map[string]struct {
		status int
		header map[string]string
		want   any
	}{
		"signed success":                {http.StatusOK, signed, &linkpb.Frame_Answer{}},
		"unsigned success":              {http.StatusOK, nil, &linkpb.Frame_Broken{}},
		"refusal":                       {http.StatusServiceUnavailable, notRun, &linkpb.Frame_Refusal{}},
		"refusal with another status":   {http.StatusBadRequest, notRun, &linkpb.Frame_Refusal{}},
		"another server runs there":     {http.StatusMisdirectedRequest, nil, &linkpb.Frame_Refusal{}},
		"unavailable without a word":    {http.StatusServiceUnavailable, nil, &linkpb.Frame_Broken{}},
		"unavailable, signed":           {http.StatusServiceUnavailable, signed, &linkpb.Frame_Broken{}},
		"too many requests, no word":    {http.StatusTooManyRequests, nil, &linkpb.Frame_Broken{}},
		"request timeout, no word":      {http.StatusRequestTimeout, nil, &linkpb.Frame_Broken{}},
		"failure of the server, signed": {http.StatusInternalServerError, signed, &linkpb.Frame_Answer{}},
		"not found, signed":             {http.StatusNotFound, signed, &linkpb.Frame_Answer{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.IsType(t, c.want, serveOnce(t, c.status, c.header).Body)
		})
	}
}

// Guards against a call that runs although its deadline has passed while the host was suspended: the monotonic clock does not
// count that time.
func TestCallThatWaitedWhileTheHostWasSuspendedIsNotSentAfterItsDeadline(t *testing.T) {
	running, release := make(chan string, 2), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		running <- r.Header.Get(names.ID)
		<-release
		w.Header().Set(names.ID, r.Header.Get(names.ID))
		w.Header().Set(names.Signature, "s")
	}))
	defer backend.Close()
	backendAddress := backend.Listener.Addr().String()
	var suspended atomic.Int64
	s := localserver.New(localserver.Config{
		Address: func() string { return backendAddress }, HasService: func(string) bool { return true },
		HealthPath: func(string) string { return "" }, Names: names, Memory: membudget.New(1 << 20), Now: time.Now,
		Boottime:         func() time.Duration { return boottime.Now() + time.Duration(suspended.Load()) },
		AnnounceInterval: func() time.Duration { return announceInterval }, Changed: func(localserver.Status) {},
	})
	require.NoError(t, s.Announce(localserver.Announcement{ID: "i-1", Service: "quotes", Address: backendAddress, Slots: 1}))
	serve := func(id string) <-chan *linkpb.Frame {
		frame := make(chan *linkpb.Frame, 1)
		call := &linkpb.Call{Method: http.MethodPost, Target: "/", Host: "h", Id: id, ServerId: "i-1", LeftMs: 3000, ObjectiveMs: 3000, Stay: true}
		go s.Serve(context.Background(), call, func(f *linkpb.Frame) { frame <- f })
		return frame
	}
	first := serve("first")
	assert.Equal(t, "first", <-running)
	second := serve("second")
	require.Eventually(t, func() bool { return s.Load().Queued == 1 }, time.Second, time.Millisecond)
	suspended.Store(int64(5 * time.Second))
	close(release)
	assert.NotNil(t, (<-first).GetAnswer(), "the call in progress gets its answer")
	assert.Equal(t, linkpb.Refusal_REASON_LATE, (<-second).GetRefusal().GetReason())
	assert.Empty(t, running)
}

// Guards against a deadlock: an announcement opens the dispatcher while a call waits, the dispatcher asks for the slowness of the
// host, and that needs the state of the server.
func TestAnnouncementWhileACallWaitsForASlowHost(t *testing.T) {
	var slowness atomic.Int64
	slowness.Store(100)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.ID, r.Header.Get(names.ID))
		w.Header().Set(names.Signature, "s")
		w.Header().Set(names.ServerLoad, strconv.FormatInt(slowness.Load(), 10))
	}))
	defer backend.Close()
	backendAddress := backend.Listener.Addr().String()
	reporting := names
	reporting.ParseLoad = func(value string) (protocol.ServerLoad, bool) {
		reported, err := strconv.Atoi(value)
		return protocol.ServerLoad{Slots: 4, Slowness: reported}, err == nil
	}
	s := localserver.New(localserver.Config{
		Address: func() string { return backendAddress }, HasService: func(string) bool { return true },
		HealthPath: func(string) string { return "/health" }, Names: reporting, Memory: membudget.New(1 << 20), Now: time.Now,
		Boottime: boottime.Now, AnnounceInterval: func() time.Duration { return announceInterval }, Changed: func(localserver.Status) {},
	})
	a := localserver.Announcement{ID: "i-1", Service: "quotes", Address: backendAddress, Slots: 4, Sequence: -1}
	require.NoError(t, s.HandleProbeResult(a))
	frames := make(chan *linkpb.Frame, 1)
	serve := func() {
		call := &linkpb.Call{Method: http.MethodGet, Target: "/", Host: "h", Id: "id-1", ServerId: "i-1", LeftMs: 5000, ObjectiveMs: 5000, Stay: true}
		s.Serve(context.Background(), call, func(f *linkpb.Frame) { frames <- f })
	}
	serve()
	require.NotNil(t, (<-frames).GetAnswer())
	slowness.Store(500)
	time.Sleep(20 * time.Millisecond) // the last report of the slowness is too old to start a call
	go serve()
	require.Eventually(t, func() bool { return s.Load().Queued == 1 }, time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	announced := make(chan error, 1)
	go func() {
		var failed error
		for i := range 30 { // the dispatcher asks for the slowness only at some of them
			time.Sleep(3 * time.Millisecond)
			a.Sequence, a.StartedAtMs, a.Slots = int64(i), 100, 4+i%2
			failed = errors.Join(failed, s.Announce(a))
		}
		announced <- failed
	}()
	select {
	case err := <-announced:
		require.NoError(t, err)
	case <-time.After(2 * time.Second):
		t.Fatal("an announcement is not handled")
	}
	assert.NotNil(t, (<-frames).GetAnswer())
}

// Guards against a server that never answers a request that it cannot queue, nor any later one on that connection: the connection
// must not be used again, and the call must not hold a slot after its deadline.
func TestCallWithoutAnswerFreesItsSlotAndItsConnectionIsNotUsedAgain(t *testing.T) {
	var mu sync.Mutex
	mute := map[string]bool{} // remote addresses of connections on which nothing is answered any more
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		silent := mute[r.RemoteAddr] || r.Header.Get(names.ID) == "unanswered"
		mute[r.RemoteAddr] = silent
		mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		w.Header().Set(names.ID, r.Header.Get(names.ID))
		w.Header().Set(names.Signature, "s")
	}))
	defer backend.Close()
	backendAddress := backend.Listener.Addr().String()
	s := localserver.New(localserver.Config{
		Address: func() string { return backendAddress }, HasService: func(string) bool { return true },
		HealthPath: func(string) string { return "" }, Names: names, Memory: membudget.New(1 << 20), Now: time.Now, Boottime: boottime.Now,
		AnnounceInterval: func() time.Duration { return announceInterval }, Changed: func(localserver.Status) {},
	})
	require.NoError(t, s.Announce(localserver.Announcement{ID: "i-1", Service: "quotes", Address: backendAddress, Slots: 1}))
	serve := func(id string, leftMs uint32) (frame *linkpb.Frame) {
		call := &linkpb.Call{Method: http.MethodPost, Target: "/", Host: "h", Id: id, ServerId: "i-1", LeftMs: leftMs, Stay: true}
		s.Serve(context.Background(), call, func(f *linkpb.Frame) { frame = f })
		return frame
	}
	require.NotNil(t, serve("first", 2000).GetAnswer())
	assert.True(t, serve("unanswered", 100).GetBroken().GetTimeout(), "it may have run")
	assert.Zero(t, s.Load().InProgress)
	assert.NotNil(t, serve("next", 2000).GetAnswer())
}

// Guards against a request that is sent although its call was cancelled before: the caller may be told that it has not run.
func TestCancelledCallIsNotSent(t *testing.T) {
	var requests atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer backend.Close()
	backendAddress := backend.Listener.Addr().String()
	s := localserver.New(localserver.Config{
		Address: func() string { return backendAddress }, HasService: func(string) bool { return true },
		HealthPath: func(string) string { return "" }, Names: names, Memory: membudget.New(1 << 20), Now: time.Now, Boottime: boottime.Now,
		AnnounceInterval: func() time.Duration { return announceInterval }, Changed: func(localserver.Status) {},
	})
	require.NoError(t, s.Announce(localserver.Announcement{ID: "i-1", Service: "quotes", Address: backendAddress, Slots: 1}))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	call := &linkpb.Call{Method: http.MethodPost, Target: "/", Host: "h", Id: "id-1", ServerId: "i-1", LeftMs: 2000, Stay: true}
	s.Serve(ctx, call, func(f *linkpb.Frame) { assert.Equal(t, linkpb.Refusal_REASON_CANCELLED, f.GetRefusal().GetReason()) })
	assert.Zero(t, requests.Load())
	assert.Zero(t, s.Load().InProgress)
}
