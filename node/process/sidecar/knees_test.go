package sidecar

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/node/connection/protocol"
	"github.com/radishstand/radishstand/node/version/routing"
)

// kneeStore is a store that fails writes until unavailableUntil.
type kneeStore struct {
	Store
	mu               sync.Mutex
	unavailableUntil time.Time
	knees            map[ServerKind]int
	attempts         int
}

func (s *kneeStore) PutKnee(_ context.Context, kind ServerKind, knee int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts++
	if time.Now().Before(s.unavailableUntil) {
		return errors.New("store unavailable")
	}
	s.knees[kind] = knee
	return nil
}

// kneeAdapter is an adapter for tests that use the knees only.
type kneeAdapter struct{ store *kneeStore }

func (a kneeAdapter) Names() protocol.Names                          { return protocol.Names{} }
func (a kneeAdapter) ParseRouting([]byte) (*routing.Version, error)  { return nil, errors.New("none") }
func (a kneeAdapter) Announcements(AnnouncementHandler) http.Handler { return http.NotFoundHandler() }
func (a kneeAdapter) Store() Store                                   { return a.store }

type discardLog struct{}

func (discardLog) Info(any, ...any) {}
func (discardLog) Warn(any, ...any) {}

// Guards against a knee that is lost when all nodes restart: it was found while the store was unavailable and never written.
func TestKneeWriteIsRetriedUntilTheStoreIsAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &kneeStore{unavailableUntil: time.Now().Add(7 * time.Second), knees: map[ServerKind]int{}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := New(ctx, Config{Service: "quotes"}, kneeAdapter{store}, discardLog{})
		kind := ServerKind{Service: "quotes", Slots: 17}
		n.storeKnee(kind, func() int { return 13 })
		assert.Equal(t, map[ServerKind]int{kind: 13}, store.knees)
		assert.LessOrEqual(t, store.attempts, 9, "each attempt adds load to a failing store")
	})
}
