package experiment

import "github.com/radishstand/radishstand/node/process/balance"

// policy chooses servers for all entry nodes; each entry node knows only what it is told.
type policy interface {
	// pick returns the index of a server that is not excluded, or -1.
	pick(entry int, excluded []int) int
	// hedge returns the index of a server for a hedge of an attempt at a server, or -1 for none.
	hedge(entry, server int, tried []int) int
	started(entry, server int)
	finished(entry, server int, r balance.Result)
	// observe gives an entry node load reports that came from the node of a server.
	observe(entry, server int, loads []balance.Load)
	// piggyback returns the reports of other servers that the node of a server sends along.
	piggyback(server int) []balance.Load
}

// options tell which corrections go with a policy.
type options struct {
	refer bool // admission refers calls to free siblings
	pace  bool // reports to the same node keep their distance
	hedge bool // idempotent calls are hedged
	limit int  // servers that an entry node sends calls to; zero for all
}

// contains reports whether a server is excluded.
func contains(excluded []int, server int) bool {
	for _, e := range excluded {
		if e == server {
			return true
		}
	}
	return false
}

// plain is a policy that takes no notice of what happens.
type plain struct{}

func (plain) started(int, int)                  {}
func (plain) finished(int, int, balance.Result) {}
func (plain) observe(int, int, []balance.Load)  {}
func (plain) piggyback(int) []balance.Load      { return nil }
func (plain) hedge(int, int, []int) int         { return -1 }
