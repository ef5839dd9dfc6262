package localserver_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/node/process/localserver"
)

const (
	address          = "127.0.0.1:9"
	announceInterval = time.Second
)

func newServer(changed *[]localserver.Status) *localserver.Server {
	return localserver.New(localserver.Config{
		Address:    func() string { return address },
		HasService: func(service string) bool { return service == "quotes" || service == "crews" },
		Now:        time.Now, AnnounceInterval: func() time.Duration { return announceInterval },
		Changed: func(s localserver.Status) { *changed = append(*changed, s) },
	})
}

func announcement(change func(*localserver.Announcement)) localserver.Announcement {
	a := localserver.Announcement{ID: "i-1", Service: "quotes", Address: address, Slots: 4, Sequence: 5, StartedAtMs: 100}
	if change != nil {
		change(&a)
	}
	return a
}

func draining(a *localserver.Announcement) { a.Draining, a.Sequence = true, a.Sequence+1 }

// Each case is a series of announcements and the expected state after it.
func TestStateAfterAnnouncements(t *testing.T) {
	type step = func(*localserver.Announcement)
	cases := map[string]struct {
		steps []step
		id    string
		ready bool
	}{
		"announced": {[]step{nil}, "i-1", true},
		"draining":  {[]step{nil, draining}, "i-1", false},
		"a late announcement does not end a drain": {[]step{nil, draining, func(a *localserver.Announcement) { a.Sequence = 4 }}, "i-1", false},
		"a drain is final for a start":             {[]step{nil, draining, func(a *localserver.Announcement) { a.Sequence = 9 }}, "i-1", false},
		"the same id after a restart":              {[]step{nil, draining, func(a *localserver.Announcement) { a.StartedAtMs, a.Sequence = 200, 1 }}, "i-1", true},
		"another server has started":               {[]step{nil, func(a *localserver.Announcement) { a.ID, a.StartedAtMs, a.Sequence = "i-2", 200, 1 }}, "i-2", true},
		"a late announcement of an earlier server": {[]step{nil, func(a *localserver.Announcement) { a.ID, a.StartedAtMs, a.Sequence = "i-0", 50, 99 }}, "i-1", true},
		"a late drain of an earlier server":        {[]step{nil, func(a *localserver.Announcement) { a.ID, a.StartedAtMs, a.Draining = "i-0", 50, true }}, "i-1", true},
		"found by a health check, then announced":  {[]step{func(a *localserver.Announcement) { a.StartedAtMs, a.Sequence = 0, -1 }, nil}, "i-1", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var changed []localserver.Status
			s := newServer(&changed)
			for _, step := range c.steps {
				assert.NoError(t, s.Announce(announcement(step)))
			}
			assert.Equal(t, c.id, s.Status().ID)
			assert.Equal(t, c.ready, s.Status().Ready)
		})
	}
}

// Guards against a server that is ended by the leave of another one, and against one that a late announcement brings
// back.
func TestLeaveEndsOnlyTheServerThatAnnouncesIt(t *testing.T) {
	var changed []localserver.Status
	s := newServer(&changed)
	assert.NoError(t, s.Announce(announcement(nil)))
	assert.NoError(t, s.Leave(localserver.Leave{ID: "i-0"}))
	assert.True(t, s.Status().Ready)
	assert.NoError(t, s.Leave(localserver.Leave{ID: "i-1"}))
	assert.False(t, s.Status().Ready)
	assert.NoError(t, s.Announce(announcement(func(a *localserver.Announcement) { a.Sequence = 99 })))
	assert.False(t, s.Status().Ready, "a late announcement must not bring the server back")
	assert.Len(t, changed, 2)
}

// Guards against an invalid announcement that changes which server is used: other programs may send requests to the node.
func TestInvalidAnnouncementIsRefused(t *testing.T) {
	for name, change := range map[string]func(*localserver.Announcement){
		"no id":              func(a *localserver.Announcement) { a.ID = "" },
		"another address":    func(a *localserver.Announcement) { a.Address = "127.0.0.1:10" },
		"an unknown service": func(a *localserver.Announcement) { a.Service = "tills" },
		"no slots":           func(a *localserver.Announcement) { a.Slots = 0 },
		"too many slots":     func(a *localserver.Announcement) { a.Slots = 1 << 30 },
	} {
		t.Run(name, func(t *testing.T) {
			var changed []localserver.Status
			s := newServer(&changed)
			assert.NoError(t, s.Announce(announcement(nil)))
			assert.ErrorIs(t, s.Announce(announcement(change)), localserver.ErrInvalid)
			assert.Len(t, changed, 1)
		})
	}
}

// Guards against a server that has left and is used again: after the leave, a health check finds it or a late announcement
// arrives. A later start under the same ID is used.
func TestServerThatHasLeftIsNotUsedAgain(t *testing.T) {
	found := announcement(func(a *localserver.Announcement) { a.StartedAtMs, a.Sequence = 0, -1 })
	late := announcement(nil)
	restarted := announcement(func(a *localserver.Announcement) { a.StartedAtMs, a.Sequence = 200, 1 })
	cases := map[string]struct {
		leave  localserver.Leave
		before *localserver.Announcement
		after  func(*localserver.Server) error
		ready  bool
	}{
		"unknown, found by a health check":    {localserver.Leave{ID: "i-1"}, nil, func(s *localserver.Server) error { return s.HandleProbeResult(found) }, false},
		"unknown, announced late":             {localserver.Leave{ID: "i-1"}, nil, func(s *localserver.Server) error { return s.Announce(late) }, false},
		"its start is known, announced late":  {localserver.Leave{ID: "i-1", StartedAtMs: 100}, nil, func(s *localserver.Server) error { return s.Announce(late) }, false},
		"its start is known, started again":   {localserver.Leave{ID: "i-1", StartedAtMs: 100}, nil, func(s *localserver.Server) error { return s.Announce(restarted) }, true},
		"the current one, started again":      {localserver.Leave{ID: "i-1"}, &late, func(s *localserver.Server) error { return s.Announce(restarted) }, true},
		"the current one, found afterwards":   {localserver.Leave{ID: "i-1"}, &late, func(s *localserver.Server) error { return s.HandleProbeResult(found) }, false},
		"an earlier start, by a late request": {localserver.Leave{ID: "i-1", StartedAtMs: 100}, &restarted, func(*localserver.Server) error { return nil }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var changed []localserver.Status
			s := newServer(&changed)
			if c.before != nil {
				assert.NoError(t, s.Announce(*c.before))
			}
			assert.NoError(t, s.Leave(c.leave))
			assert.NoError(t, c.after(s))
			assert.Equal(t, c.ready, s.Status().Ready)
		})
	}
}

// Guards against a server that is unusable for ever because its leave did not tell which start it ended.
func TestLeaveOfAnUnknownStartDoesNotBlockALaterOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var changed []localserver.Status
		s := newServer(&changed)
		assert.NoError(t, s.Leave(localserver.Leave{ID: "i-1"}))
		time.Sleep(11 * time.Second)
		assert.NoError(t, s.Announce(announcement(nil)))
		assert.True(t, s.Status().Ready)
	})
}

// Guards against a server that was found by a health check and is used although it announces nothing: its leave may have
// been acknowledged by an earlier process of the node.
func TestFoundServerMustAnnounceItself(t *testing.T) {
	found := announcement(func(a *localserver.Announcement) { a.StartedAtMs, a.Sequence = 0, -1 })
	synctest.Test(t, func(t *testing.T) {
		var changed []localserver.Status
		s := newServer(&changed)
		assert.NoError(t, s.HandleProbeResult(found))
		time.Sleep(announceInterval)
		s.CheckAnnounced()
		assert.True(t, s.Status().Ready, "its announcement may still come")
		time.Sleep(announceInterval)
		s.CheckAnnounced()
		assert.False(t, s.Status().Ready)
		assert.NoError(t, s.HandleProbeResult(found))
		assert.False(t, s.Status().Ready, "a health check does not show whether it has left")
		assert.NoError(t, s.Announce(announcement(nil)))
		time.Sleep(10 * announceInterval)
		s.CheckAnnounced()
		assert.True(t, s.Status().Ready)
	})
}
