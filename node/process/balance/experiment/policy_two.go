package experiment

import "github.com/radishstand/radishstand/node/process/balance"

// twoChoices draws two servers at random and picks the one with fewer calls of the entry node in progress.
type twoChoices struct {
	noFeedback
	w        *world
	inFlight [][]int // by entry node and server
}

func newTwoChoices(w *world) *twoChoices {
	p := &twoChoices{w: w}
	for range w.entries {
		p.inFlight = append(p.inFlight, make([]int, len(w.servers)))
	}
	return p
}

func (p *twoChoices) pick(entry int, excluded []int) int {
	single := random{w: p.w}
	a := single.pick(entry, excluded)
	if a < 0 {
		return a
	}
	b := single.pick(entry, append([]int{a}, excluded...))
	if b >= 0 && p.inFlight[entry][b] < p.inFlight[entry][a] {
		return b
	}
	return a
}

func (p *twoChoices) started(entry, server int) { p.inFlight[entry][server]++ }

func (p *twoChoices) finished(entry, server int, _ balance.Result) { p.inFlight[entry][server]-- }
