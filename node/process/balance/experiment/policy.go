package experiment

import "github.com/radishstand/radishstand/node/process/balance"

// policy picks servers for all entry nodes. An entry node uses only the information that it has received, except with the
// oracle.
type policy interface {
	// pick returns the index of a server that is not excluded, or -1.
	pick(entry int, excluded []int) int
	// hedge returns the index of a server for a second attempt in parallel to one at the given server, or -1.
	hedge(entry, server int, tried []int) int
	started(entry, server int)
	finished(entry, server int, r balance.Result)
	// observe passes load reports from the node of a server to an entry node.
	observe(entry, server int, loads []balance.Load)
	// piggyback returns the load reports of other servers that the node of a server adds to an answer.
	piggyback(server int) []balance.Load
}

// options are the mechanisms that are enabled in addition to a policy.
type options struct {
	redirect     bool // admission redirects calls to free siblings
	limitReports bool // reports to the same node are rate limited
	hedge        bool // idempotent calls are hedged
	limit        int  // maximum number of servers that an entry node sends calls to; zero for all
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

// noFeedback provides the methods of a policy that ignores results and load reports and never hedges.
type noFeedback struct{}

func (noFeedback) started(int, int)                  {}
func (noFeedback) finished(int, int, balance.Result) {}
func (noFeedback) observe(int, int, []balance.Load)  {}
func (noFeedback) piggyback(int) []balance.Load      { return nil }
func (noFeedback) hedge(int, int, []int) int         { return -1 }
