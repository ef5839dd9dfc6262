package localserver_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/protocol"
	"github.com/radishstand/radishstand/node/internal/boottime"
	"github.com/radishstand/radishstand/node/internal/membudget"
	"github.com/radishstand/radishstand/node/process/dispatch"
	"github.com/radishstand/radishstand/node/process/localserver"
)

const coldPerSecond = 14

// coldBackend is a server that states in the responses to health checks whether it is cold.
type coldBackend struct {
	*httptest.Server
	mu         sync.Mutex
	coldMs     int
	checkDelay time.Duration
	checks     int
	breaks     bool // breaks the connections of calls
}

func (b *coldBackend) set(coldMs int, checkDelay time.Duration, breaks bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldMs, b.checkDelay, b.breaks = coldMs, checkDelay, breaks
}

func (b *coldBackend) serve(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	coldMs, delay, breaks := b.coldMs, b.checkDelay, b.breaks
	if r.URL.Path == "/health" {
		b.checks++
	}
	b.mu.Unlock()
	if r.URL.Path != "/health" {
		if breaks {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(names.ID, r.Header.Get(names.ID))
		w.Header().Set(names.Signature, "s")
		return
	}
	time.Sleep(delay)
	w.Header().Set(names.RunningID, "i-1")
	w.Header().Set(names.ServerLoad, "100")
	if coldMs > 0 {
		w.Header().Set("X-Cold", strconv.Itoa(coldMs))
	}
}

// newColdServer returns a server beside a backend, and the changes of its limit for cold servers.
func newColdServer(t *testing.T) (*localserver.Server, *coldBackend, <-chan dispatch.ColdChange) {
	b := &coldBackend{}
	b.Server = httptest.NewServer(http.HandlerFunc(b.serve))
	t.Cleanup(b.Close)
	address := b.Listener.Addr().String()
	coldNames := names
	coldNames.ColdMs = "X-Cold"
	coldNames.ParseLoad = func(value string) (protocol.ServerLoad, bool) {
		slowness, err := strconv.Atoi(value)
		return protocol.ServerLoad{Slots: 4, Slowness: slowness}, err == nil
	}
	changes := make(chan dispatch.ColdChange, 10)
	s := localserver.New(localserver.Config{
		Address: func() string { return address }, HasService: func(string) bool { return true },
		HealthPath: func(string) string { return "/health" }, Names: coldNames, Memory: membudget.New(1 << 20), Now: time.Now,
		Boottime: boottime.Now, AnnounceInterval: func() time.Duration { return announceInterval }, Changed: func(localserver.Status) {},
		ColdLimit: func(string) dispatch.ColdLimit {
			return dispatch.ColdLimit{Duration: 3 * time.Second, PerSecond: coldPerSecond}
		},
		ColdChanged: func(c dispatch.ColdChange) { changes <- c },
	})
	return s, b, changes
}

func serveColdCall(s *localserver.Server, change func(*linkpb.Call)) (frame *linkpb.Frame) {
	call := &linkpb.Call{Method: http.MethodGet, Target: "/", Host: "h", Id: "id-1", ServerId: "i-1", LeftMs: 2000, ObjectiveMs: 2000, Stay: true}
	if change != nil {
		change(call)
	}
	s.Serve(context.Background(), call, func(f *linkpb.Frame) { frame = f })
	return frame
}

func announce(t *testing.T, s *localserver.Server, b *coldBackend, change func(*localserver.Announcement)) {
	t.Helper()
	a := announcement(change)
	a.Address = b.Listener.Addr().String()
	require.NoError(t, s.Announce(a))
}

func nextChange(t *testing.T, changes <-chan dispatch.ColdChange) dispatch.ColdChange {
	t.Helper()
	select {
	case c := <-changes:
		return c
	case <-time.After(5 * time.Second):
		require.Fail(t, "no change")
		return dispatch.ColdChange{}
	}
}

// Guards against a cold server that gets its normal load: it says in announcements or health checks that it is cold.
func TestServerStatementDeterminesWhetherItIsCold(t *testing.T) {
	s, b, changes := newColdServer(t)
	announce(t, s, b, func(a *localserver.Announcement) { a.WarmUp = 2 * time.Second })
	c := nextChange(t, changes)
	assert.True(t, c.Cold)
	assert.Equal(t, dispatch.SourceAnnouncement, c.Source)
	assert.EqualValues(t, coldPerSecond, s.Load().RateLimit, "other nodes learn of it")
	time.Sleep(150 * time.Millisecond) // the next announcement was not on its way yet
	announce(t, s, b, func(a *localserver.Announcement) { a.Sequence = 6 })
	assert.False(t, nextChange(t, changes).Cold)
	assert.Zero(t, s.Load().RateLimit)
	b.set(1500, 0, false)
	time.Sleep(600 * time.Millisecond) // silence
	assert.NotNil(t, serveColdCall(s, nil).GetAnswer())
	c = nextChange(t, changes)
	assert.True(t, c.Cold)
	assert.Equal(t, dispatch.SourceHealthCheck, c.Source)
	assert.InDelta(t, 1500, s.Status().WarmUpLeft.Milliseconds(), 300)
	assert.Equal(t, dispatch.SourceTime, nextChange(t, changes).Source, "the end is noticed without a call")
}

// Guards against a server that restarted unnoticed: it broke a connection, and its health check is late. The late answer counts.
func TestServerThatBrokeAConnectionIsCheckedBeforeTheNextCall(t *testing.T) {
	s, b, changes := newColdServer(t)
	announce(t, s, b, nil)
	assert.NotNil(t, serveColdCall(s, nil).GetAnswer())
	b.set(0, 0, true)
	assert.NotNil(t, serveColdCall(s, nil).GetBroken())
	b.set(0, 60*time.Millisecond, false)
	assert.NotNil(t, serveColdCall(s, nil).GetAnswer())
	c := nextChange(t, changes)
	assert.True(t, c.Cold)
	assert.Equal(t, dispatch.SourceNoReport, c.Source)
	c = nextChange(t, changes)
	assert.False(t, c.Cold)
	assert.Equal(t, dispatch.SourceHealthCheck, c.Source)
}

// Guards against the limit for a cold server that other nodes pass on and that is then taken for a limit that the server has named.
func TestColdLimitOfLoadReportsIsNotAdopted(t *testing.T) {
	s, b, _ := newColdServer(t)
	announce(t, s, b, nil)
	serveColdCall(s, func(c *linkpb.Call) { c.RateLimit, c.LeftMs = coldPerSecond, 0 })
	assert.Zero(t, s.Load().RateLimit)
	serveColdCall(s, func(c *linkpb.Call) { c.RateLimit, c.LeftMs = 20, 0 })
	assert.EqualValues(t, 20, s.Load().RateLimit)
}

// Guards against a server that crashed and gets its normal load when it is back under its id, before it has announced itself.
func TestServerThatIsBackUnderItsIDIsCold(t *testing.T) {
	s, b, _ := newColdServer(t)
	announce(t, s, b, nil)
	assert.NotNil(t, serveColdCall(s, nil).GetAnswer())
	address := b.Listener.Addr().String()
	b.Close()
	assert.Equal(t, linkpb.Refusal_REASON_NO_SERVER, serveColdCall(s, nil).GetRefusal().GetReason())
	assert.True(t, s.NeedsProbe(), "the node looks for it")
	listener, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	b.set(2000, 0, false)
	b.Server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(b.serve)}}
	b.Start()
	t.Cleanup(b.Close)
	require.NoError(t, s.Probe(context.Background(), "/health", func(string) (string, bool) { return "", false }))
	assert.True(t, s.Status().Ready)
	assert.EqualValues(t, coldPerSecond, s.ColdLimit())
	assert.NotNil(t, serveColdCall(s, nil).GetAnswer())
}

// Guards against a server that turned cold while its place was evacuated and gets its normal load when the evacuation ends.
func TestServerIsCheckedAfterAnEvacuation(t *testing.T) {
	s, b, _ := newColdServer(t)
	announce(t, s, b, nil)
	assert.NotNil(t, serveColdCall(s, nil).GetAnswer())
	assert.True(t, s.SetEvacuated(true))
	b.set(2000, 0, false)
	assert.True(t, s.SetEvacuated(false))
	assert.NotNil(t, serveColdCall(s, nil).GetAnswer())
	assert.EqualValues(t, coldPerSecond, s.ColdLimit())
}
