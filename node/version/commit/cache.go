package commit

import (
	"sync"

	"github.com/radishstand/radishstand/api/settings"
)

// cache keeps the trees of a few versions, the most recently added ones.
type cache struct {
	mu       sync.Mutex
	versions []int64 // in the order of adding
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

// nearest returns the highest kept version that is not above version, or no tree.
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
