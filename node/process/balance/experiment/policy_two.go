package experiment

import "github.com/radishstand/radishstand/node/process/balance"

// twoChoices picks the server with the fewer own calls in progress out of two drawn at random.
type twoChoices struct {
	plain
	w   *world
	own [][]int // by entry node and server
}

func newTwoChoices(w *world) *twoChoices {
	p := &twoChoices{w: w}
	for range w.entries {
		p.own = append(p.own, make([]int, len(w.servers)))
	}
	return p
}

func (p *twoChoices) pick(entry int, excluded []int) int {
	one := random{w: p.w}
	a := one.pick(entry, excluded)
	if a < 0 {
		return a
	}
	b := one.pick(entry, append([]int{a}, excluded...))
	if b >= 0 && p.own[entry][b] < p.own[entry][a] {
		return b
	}
	return a
}

func (p *twoChoices) started(entry, server int) { p.own[entry][server]++ }

func (p *twoChoices) finished(entry, server int, _ balance.Result) { p.own[entry][server]-- }
