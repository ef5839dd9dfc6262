package commit

import (
	"sync"

	"github.com/radishstand/radishstand/api/settings"
)

// cache keeps the trees of the most recently added versions, at most cachedTrees.
type cache struct {
	mu       sync.Mutex
	versions []int64 // in insertion order
	trees    map[int64]*settings.Tree
}

func (c *cache) add(version int64, tree *settings.Tree) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.trees == nil {
		c.trees = map[int64]*settings.Tree{}
	}
	if c.trees[version] != nil {
		return
	}
	c.trees[version] = tree
	c.versions = append(c.versions, version)
	if len(c.versions) > cachedTrees {
		delete(c.trees, c.versions[0])
		c.versions = c.versions[1:]
	}
}

// nearest returns the highest cached version that is not above the given one, or a nil tree if there is none.
func (c *cache) nearest(version int64) (int64, *settings.Tree) {
	c.mu.Lock()
	defer c.mu.Unlock()
	best, tree := int64(-1), (*settings.Tree)(nil)
	for v, t := range c.trees {
		if v <= version && v > best {
			best, tree = v, t
		}
	}
	return best, tree
}
