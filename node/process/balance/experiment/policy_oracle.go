package experiment

import "math"

// oracle knows the speed, the calls and the calls on the way of every server at once, but not the future. It picks the
// shortest expected completion time.
type oracle struct {
	plain
	w *world
}

func (p *oracle) pick(entry int, excluded []int) int {
	best, shortest := -1, math.Inf(1)
	for i, s := range p.w.servers {
		if contains(excluded, i) {
			continue
		}
		if t := p.completion(entry, s); t < shortest {
			best, shortest = i, t
		}
	}
	return best
}

// completion returns the expected completion time of a call in ns.
func (p *oracle) completion(entry int, s *server) float64 {
	load := s.admission.Load(p.w.clock())
	parallel := min(s.slots, s.cores)
	over := max(load.InProgress+load.Queued+s.incoming+1-parallel, 0)
	work := float64(serviceMean) * (1 + float64(over)/float64(parallel))
	took := work / s.speed
	if rest := float64(s.scenario.rest()); took > rest {
		took = rest + (work-rest*s.speed)/s.scenario.meanSpeed()
	}
	return took + float64(2*p.w.latency(entry, s.index))
}

func (p *oracle) started(_, server int) { p.w.servers[server].incoming++ }

func (p *oracle) hedge(entry, _ int, tried []int) int { return p.pick(entry, tried) }
