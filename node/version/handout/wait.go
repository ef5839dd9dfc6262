package handout

import (
	"context"
	"time"
)

// Seen is the version that a live node is known to have.
type Seen struct {
	Place   string
	Version int64
}

// Coverage says how far a version is in force. A place counts when all its live nodes have the version or a higher one.
type Coverage struct {
	Version       int64 `json:"version"`
	Nodes         int   `json:"nodes"`
	NodesInForce  int   `json:"nodesInForce"`
	Places        int   `json:"places"`
	PlacesInForce int   `json:"placesInForce"`
}

// Complete reports whether the version is in force everywhere.
func (c Coverage) Complete() bool { return c.Nodes > 0 && c.NodesInForce == c.Nodes }

// CoverageOf counts the nodes and places in which a version is in force.
func CoverageOf(version int64, nodes []Seen) Coverage {
	c := Coverage{Version: version, Nodes: len(nodes)}
	missing := map[string]int{}
	for _, n := range nodes {
		if n.Version >= version {
			c.NodesInForce++
			missing[n.Place] += 0
		} else {
			missing[n.Place]++
		}
	}
	c.Places = len(missing)
	for _, n := range missing {
		if n == 0 {
			c.PlacesInForce++
		}
	}
	return c
}

// coveragePeriod is the time between counts while an operator waits.
const coveragePeriod = 100 * time.Millisecond

// Wait counts until the version is in force everywhere or the context ends, and returns the last count.
func Wait(ctx context.Context, version int64, nodes func() []Seen) Coverage {
	for {
		c := CoverageOf(version, nodes())
		if c.Complete() || !pause(ctx, coveragePeriod) {
			return c
		}
	}
}
