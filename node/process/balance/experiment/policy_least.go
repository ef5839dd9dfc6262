package experiment

import "github.com/radishstand/radishstand/node/process/balance"

// leastReported picks the server with the lowest load in its last report, which is piggybacked on answers and refusals.
type leastReported struct {
	noFeedback
	w    *world
	load [][]float64 // by entry node and server
}

func newLeastReported(w *world) *leastReported {
	p := &leastReported{w: w}
	for range w.entries {
		p.load = append(p.load, make([]float64, len(w.servers)))
	}
	return p
}

func (p *leastReported) pick(entry int, excluded []int) int {
	best, ties := -1, 0
	for i, load := range p.load[entry] {
		switch {
		case contains(excluded, i):
		case best < 0 || load < p.load[entry][best]:
			best, ties = i, 1
		case load == p.load[entry][best]:
			if ties++; p.w.rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

func (p *leastReported) observe(entry, server int, loads []balance.Load) {
	for _, l := range loads {
		if l.ServerID == serverID(server) {
			p.load[entry][server] = float64(l.InProgress+l.Queued) / float64(l.Limit)
		}
	}
}
