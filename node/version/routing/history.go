package routing

import (
	"slices"
	"sync"
	"time"
)

// maxHistory bounds the versions whose time of application is remembered.
const maxHistory = 64

// History remembers when versions came into force in this process. It is safe for concurrent use.
type History struct {
	mu sync.Mutex
	// applied holds the latest versions in ascending order of their numbers and times.
	applied []appliedVersion
}

type appliedVersion struct {
	number uint64
	at     time.Time
}

// Add records that a version came into force at a time. A version that is not newer than the latest one has no effect.
func (h *History) Add(number uint64, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.applied); n > 0 && number <= h.applied[n-1].number {
		return
	}
	if len(h.applied) == maxHistory {
		h.applied = slices.Delete(h.applied, 0, 1)
	}
	h.applied = append(h.applied, appliedVersion{number: number, at: at})
}

// ReplacedFor returns the time since a version newer than the given one came into force here; 0 if none has. For a version that was
// replaced before all remembered ones came into force, the result is too short.
func (h *History) ReplacedFor(number uint64, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := slices.IndexFunc(h.applied, func(v appliedVersion) bool { return v.number > number })
	if i < 0 {
		return 0
	}
	return now.Sub(h.applied[i].at)
}
