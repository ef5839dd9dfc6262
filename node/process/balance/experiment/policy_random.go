package experiment

// random picks a server uniformly at random.
type random struct {
	noFeedback
	w *world
}

func (p *random) pick(_ int, excluded []int) int {
	for range 100 {
		if i := p.w.rand.IntN(len(p.w.servers)); !contains(excluded, i) {
			return i
		}
	}
	return -1
}
