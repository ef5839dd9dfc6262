package node

import (
	"sync"
	"time"
)

// reloadAfter is how long loaded files are used before they are looked at again.
const reloadAfter = 5 * time.Second

// reloaded is a value that is made from files, and made again when it is old, so that files are replaced without a
// restart. It is safe for concurrent use.
type reloaded[T any] struct {
	load func() (T, error)
	// failed is told of every reload that failed; it may be nil.
	failed func(error)

	mu    sync.Mutex
	value T
	known bool
	at    time.Time
}

// current returns the value, loaded again if it is old. A failed reload keeps the old value, since files may be half
// written while they are replaced.
func (r *reloaded[T]) current() (T, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known && time.Since(r.at) < reloadAfter {
		return r.value, nil
	}
	fresh, err := r.load()
	switch {
	case err == nil:
		r.value, r.known = fresh, true
	case !r.known:
		return fresh, err
	case r.failed != nil:
		r.failed(err)
	}
	r.at = time.Now()
	return r.value, nil
}
