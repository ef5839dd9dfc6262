package localserver_test

import (
	"context"
	"net/http"
	"net/http/httptest"
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
	frames := make(chan *linkpb.Frame, 2)
	serve := func(id string) {
		call := &linkpb.Call{Method: http.MethodPost, Target: "/", Host: "h", Id: id, ServerId: "i-1", LeftMs: 3000, ObjectiveMs: 3000, Stay: true}
		s.Serve(context.Background(), call, func(f *linkpb.Frame) { frames <- f })
	}
	go serve("first")
	assert.Equal(t, "first", <-running)
	go serve("second")
	require.Eventually(t, func() bool { return s.Load().Queued == 1 }, time.Second, time.Millisecond)
	suspended.Store(int64(5 * time.Second))
	close(release)
	assert.NotNil(t, (<-frames).GetAnswer(), "the call in progress gets its answer")
	assert.Equal(t, linkpb.Refusal_REASON_LATE, (<-frames).GetRefusal().GetReason())
	assert.Empty(t, running)
}
