package experiment

// roundRobin picks the servers in turn, independently at each entry node.
type roundRobin struct {
	noFeedback
	servers int
	next    []int
}

func newRoundRobin(w *world) *roundRobin {
	p := &roundRobin{servers: len(w.servers)}
	for range w.entries {
		p.next = append(p.next, w.rand.IntN(p.servers))
	}
	return p
}

func (p *roundRobin) pick(entry int, excluded []int) int {
	for range p.servers {
		p.next[entry] = (p.next[entry] + 1) % p.servers
		if !contains(excluded, p.next[entry]) {
			return p.next[entry]
		}
	}
	return -1
}
