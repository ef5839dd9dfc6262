package localserver_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/internal/boottime"
	"github.com/radishstand/radishstand/node/internal/membudget"
	"github.com/radishstand/radishstand/node/process/localserver"
)

// Guards against a slot that is taken while an answer is sent on a slow link, so that the server idles.
func TestSlotIsFreeWhileTheAnswerIsSent(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.ID, r.Header.Get(names.ID))
		w.Header().Set(names.Signature, "s")
	}))
	defer backend.Close()
	address := backend.Listener.Addr().String()
	s := localserver.New(localserver.Config{
		Address: func() string { return address }, HasService: func(string) bool { return true },
		HealthPath: func(string) string { return "" }, Names: names, Memory: membudget.New(1 << 20), Now: time.Now, Boottime: boottime.Now,
		AnnounceInterval: func() time.Duration { return announceInterval }, Changed: func(localserver.Status) {},
		EgressBytes: func() int64 { return 7 },
	})
	require.NoError(t, s.Announce(localserver.Announcement{ID: "i-1", Service: "quotes", Address: address, Slots: 1}))
	call := func(id string) *linkpb.Call {
		return &linkpb.Call{Method: http.MethodGet, Target: "/", Host: "h", Id: id, ServerId: "i-1", LeftMs: 2000, Stay: true}
	}
	sending, sent := make(chan struct{}), make(chan struct{})
	defer close(sent)
	go s.Serve(context.Background(), call("first"), func(*linkpb.Frame) {
		close(sending)
		<-sent
	})
	<-sending
	assert.Zero(t, s.Load().InProgress)
	s.Serve(context.Background(), call("second"), func(f *linkpb.Frame) {
		assert.EqualValues(t, http.StatusOK, f.GetAnswer().GetStatus())
		assert.EqualValues(t, 7, f.GetAnswer().GetLoad().GetEgressBytes())
	})
}
