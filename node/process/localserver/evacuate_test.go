package localserver

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
)

// Guards against a call that waits in an evacuated place or is sent there, against an aborted call, and against a server that gets calls
// after the evacuation before it counts as cold.
func TestEvacuationRefusesWaitingAndNewCallsOnly(t *testing.T) {
	running, release := make(chan string, 3), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		running <- r.Header.Get("X-Id")
		<-release
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signature", "s")
	}))
	defer backend.Close()
	address := backend.Listener.Addr().String()
	var changes atomic.Int64
	s := New(Config{
		Address: func() string { return address }, HasService: func(string) bool { return true },
		HealthPath: func(string) string { return "" }, Memory: membudget.New(1 << 20), Now: time.Now, Boottime: boottime.Now,
		Names: protocol.Names{
			ID: "X-Id", DeadlineMs: "X-Deadline", ServerID: "X-Server", CallerService: "X-Caller", Signature: "X-Signature",
			ParseLoad: func(string) (protocol.ServerLoad, bool) { return protocol.ServerLoad{}, false },
		},
		AnnounceInterval: func() time.Duration { return 0 }, Changed: func(Status) { changes.Add(1) },
	})
	resumed := 0
	s.afterEvacuation = func() {
		resumed++
		assert.Empty(t, running, "no call before")
	}
	require.NoError(t, s.Announce(Announcement{ID: "i-1", Service: "quotes", Address: address, Slots: 1}))
	serve := func(id string) <-chan *linkpb.Frame {
		frame := make(chan *linkpb.Frame, 1)
		call := &linkpb.Call{Method: http.MethodPost, Target: "/", Host: "h", Id: id, ServerId: "i-1", LeftMs: 9000, ObjectiveMs: 9000, Stay: true}
		go s.Serve(context.Background(), call, func(f *linkpb.Frame) { frame <- f })
		return frame
	}
	inProgress := serve("in progress")
	assert.Equal(t, "in progress", <-running)
	waiting := serve("waiting")
	require.Eventually(t, func() bool { return s.Load().Queued == 1 }, time.Second, time.Millisecond)

	assert.True(t, s.SetEvacuated(true))
	assert.False(t, s.SetEvacuated(true))
	assert.Equal(t, linkpb.Refusal_REASON_NO_SERVER, (<-waiting).GetRefusal().GetReason())
	assert.Equal(t, linkpb.Refusal_REASON_NO_SERVER, (<-serve("new")).GetRefusal().GetReason())
	assert.False(t, s.Status().Ready)
	s.markUnreachable("i-1")
	assert.False(t, s.NeedsProbe(), "no health check either")
	require.NoError(t, s.HandleProbeResult(Announcement{ID: "i-1", Service: "quotes", Address: address, Slots: 1}))
	release <- struct{}{}
	assert.NotNil(t, (<-inProgress).GetAnswer())
	assert.Zero(t, resumed)

	assert.True(t, s.SetEvacuated(false))
	assert.Equal(t, 1, resumed)
	after := serve("after")
	assert.Equal(t, "after", <-running)
	release <- struct{}{}
	assert.NotNil(t, (<-after).GetAnswer())
}
