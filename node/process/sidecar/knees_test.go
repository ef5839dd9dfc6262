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

// kneeStore is a store that refuses writes for a time.
type kneeStore struct {
	Store
	mu     sync.Mutex
	downTo time.Time
	knees  map[ServerKind]int
	tries  int
}

func (s *kneeStore) PutKnee(_ context.Context, kind ServerKind, knee int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tries++
	if time.Now().Before(s.downTo) {
		return errors.New("store unavailable")
	}
	s.knees[kind] = knee
	return nil
}

// kneeAdapter is an adapter for nodes of which only the knees matter.
type kneeAdapter struct{ store *kneeStore }

func (a kneeAdapter) Names() protocol.Names                          { return protocol.Names{} }
func (a kneeAdapter) ParseRouting([]byte) (*routing.Version, error)  { return nil, errors.New("none") }
func (a kneeAdapter) Announcements(AnnouncementHandler) http.Handler { return http.NotFoundHandler() }
func (a kneeAdapter) Store() Store                                   { return a.store }

type noLog struct{}

func (noLog) Info(any, ...any) {}
func (noLog) Warn(any, ...any) {}

// Guards against a knee that is found while the store is away and is not known after all nodes have started anew.
func TestKneeIsWrittenAgainUntilTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &kneeStore{downTo: time.Now().Add(7 * time.Second), knees: map[ServerKind]int{}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := New(ctx, Config{Service: "quotes"}, kneeAdapter{store}, noLog{})
		kind := ServerKind{Service: "quotes", Slots: 17}
		n.keepKnee(kind, func() int { return 13 })
		assert.Equal(t, map[ServerKind]int{kind: 13}, store.knees)
		assert.LessOrEqual(t, store.tries, 9, "each try is a call to a store that is in trouble")
	})
}
