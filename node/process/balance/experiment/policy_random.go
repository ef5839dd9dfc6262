package experiment

// random picks any server.
type random struct {
	plain
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
