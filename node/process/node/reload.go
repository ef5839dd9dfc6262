package node

import (
	"sync"
	"time"
)

// reloadInterval is the maximum age of a loaded value before its files are read again.
const reloadInterval = 5 * time.Second

// reloadable is a value loaded from files that is reloaded after reloadInterval, so that replaced files take effect without
// a restart. It is safe for concurrent use.
type reloadable[T any] struct {
	load func() (T, error)
	// onError is called with the error of each failed reload; it may be nil.
	onError func(error)

	mu       sync.Mutex
	value    T
	loaded   bool
	loadedAt time.Time
}

// current returns the value, reloaded if it is older than reloadInterval. A failed reload keeps the old value, since files
// may be incomplete while they are replaced.
func (r *reloadable[T]) current() (T, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded && time.Since(r.loadedAt) < reloadInterval {
		return r.value, nil
	}
	fresh, err := r.load()
	switch {
	case err == nil:
		r.value, r.loaded = fresh, true
	case !r.loaded:
		return fresh, err
	case r.onError != nil:
		r.onError(err)
	}
	r.loadedAt = time.Now()
	return r.value, nil
}
