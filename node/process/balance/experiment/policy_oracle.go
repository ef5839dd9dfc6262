package experiment

import "math"

// oracle uses the exact current state of every server: its speed, its calls and the calls in transit to it, but not future
// events. It picks the server with the shortest expected completion time.
type oracle struct {
	noFeedback
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
	work := float64(meanServiceTime) * (1 + float64(over)/float64(parallel))
	serviceTime := work / s.speed
	if remaining := float64(s.scenario.meanRemainingPhase()); serviceTime > remaining {
		serviceTime = remaining + (work-remaining*s.speed)/s.scenario.meanSpeed()
	}
	return serviceTime + float64(2*p.w.latency(entry, s.index))
}

func (p *oracle) started(_, server int) { p.w.servers[server].incoming++ }

func (p *oracle) hedge(entry, _ int, tried []int) int { return p.pick(entry, tried) }
