package dispatch

import "time"

const (
	// kneeWindow is the time after which observed times are forgotten, once or twice as long.
	kneeWindow = 10 * time.Second
	// kneeHold is the time for which a found knee holds before more calls are tried again.
	kneeHold = 30 * time.Second
	// kneeAlone is the time after a hold, and kneeDoubt the time after a refuted knee, in which no other node's is taken over. A
	// knee that is still there has been found again by then.
	kneeAlone = 5 * time.Minute
	kneeDoubt = 10 * time.Second
	// kneeSamples is the least number of calls on each side of a knee.
	kneeSamples = 16
	// kneeLevel is the least number of calls that show that the last one within a limit is not slow, and kneeStep how much slower
	// than others it may be.
	kneeLevel = 6
	kneeStep  = 1.25
	// kneeTry is the share of the slots that is tried when nothing is known of numbers in progress near it.
	kneeTry = 0.75
	// kneeConfirm is the number of calls that confirm or refute a knee.
	kneeConfirm = 40
	// kneeEvery is the number of calls between two searches.
	kneeEvery = 8
	// kneeUnhurried is the least number of unhurried calls of a route. An error in their mean scales both sides of a knee alike.
	kneeUnhurried = 8
	// kneeGain is the least gain in calls a second for which slots are left free.
	kneeGain = 1.1
	// kneeErrors is the least difference between the times on both sides, in standard errors.
	kneeErrors = 4
	// maxKneeRatio bounds the weight of single calls that took very long.
	maxKneeRatio = 4
	// maxKneeSlots bounds the memory for servers that announce very many slots; no knee is looked for at those.
	maxKneeSlots = 1024
)

// knee finds the number of calls in progress above which the server is slowed so much that it gets less done: with more calls
// each of them takes longer than the additional ones are worth. Servers do not tell it, so that it is found from the times
// of calls by the number in progress at their start.
type knee struct {
	slots int
	// unhurried is the time of calls that started with at most half of the slots in use, by route.
	unhurried map[string]*estimate
	// current and previous hold the times of calls relative to unhurried, by the number in progress at the start less 1.
	current, previous []sample
	began             time.Time
	added             int

	// limit is the number of calls that may be in progress; slots when no knee is known.
	limit int
	since time.Time
	// ceiling is the greatest limit that is not known to be too much.
	ceiling int
	// found is the limit when this node has found and confirmed it, and 0 when it was learned from another one or there is none.
	found int
	// aloneUntil is the end of the time in which no limit is learned, so that each node tries more calls now and then.
	aloneUntil time.Time
	// last holds the times of the calls that started as the last ones within the limit.
	last sample
	// confirm holds the times since a limit was found here, and doubtful is the mean from which on they refute it.
	confirm   sample
	doubtful  float64
	confirmed bool
}

func newKnee(slots int) *knee {
	k := &knee{slots: slots, limit: slots, unhurried: map[string]*estimate{}}
	if slots <= maxKneeSlots {
		k.current, k.previous = make([]sample, slots), make([]sample, slots)
	}
	return k
}

// add takes the time of a call that started with a number of calls in progress, itself included, while the host was not slow.
func (k *knee) add(route string, inProgress int, took time.Duration, now time.Time) {
	if inProgress < 1 || inProgress > len(k.current) {
		return // it started before the server changed, or no knee is looked for
	}
	usual := k.unhurried[route]
	if usual == nil {
		usual = &estimate{}
		k.unhurried[route] = usual
	}
	if few := 2*inProgress <= k.slots; few || usual.count < kneeUnhurried && inProgress < k.limit && k.limit < k.slots {
		usual.add(took)
	}
	if usual.count < kneeUnhurried {
		return
	}
	k.rotate(now)
	ratio := min(float64(took)/usual.mean, maxKneeRatio)
	k.current[inProgress-1].add(ratio)
	if k.limit < k.slots {
		k.check(ratio, inProgress, now)
		k.adjust(ratio, inProgress)
		return
	}
	if k.added++; k.added%kneeEvery == 0 {
		k.find(now)
	}
}

func (k *knee) rotate(now time.Time) {
	if now.Sub(k.began) > kneeWindow {
		k.current, k.previous = k.previous, k.current
		clear(k.current)
		k.began = now
	}
}

// find sets the limit if the server gets clearly more done below some number of calls in progress than above it.
func (k *knee) find(now time.Time) {
	var below sample
	all := k.upTo(k.slots)
	best, bestSplit := 0, 0.0
	var atBest sample
	for n := 1; n < k.slots; n++ {
		below.join(k.at(n))
		if split := below.split(all); 2*n >= k.slots && split > bestSplit {
			best, bestSplit, atBest = n, split, below
		}
	}
	above := all.without(atBest)
	best = k.largestFast(best)
	gain := float64(best) / atBest.mean() / (float64(k.slots) / above.mean())
	known := 2*best >= k.slots && atBest.count >= kneeSamples && above.count >= kneeSamples
	if known && gain >= kneeGain && above.clearlyAbove(atBest) {
		k.set(best, best, (above.mean()+atBest.mean())/2, now)
		return
	}
	k.try(now)
}

// try limits a server that is slow with all slots in use and of which nothing is known between that and half of them: a load
// that rises at once passes over the numbers in between.
func (k *knee) try(now time.Time) {
	top, low := k.at(k.slots), k.upTo(k.slots/2)
	limit := int(kneeTry * float64(k.slots))
	gain := float64(limit) / low.mean() / (float64(k.slots) / top.mean())
	if now.Before(k.aloneUntil) || top.count < kneeSamples || low.count < kneeLevel || gain < kneeGain {
		return
	}
	k.set(limit, k.slots-1, (top.mean()+low.mean())/2, now)
}

// set begins to limit the calls in progress. A mean time of doubtful or more refutes the limit.
func (k *knee) set(limit, ceiling int, doubtful float64, now time.Time) {
	k.limit, k.ceiling, k.since, k.last = limit, ceiling, now, sample{}
	k.confirm, k.confirmed, k.doubtful = sample{}, false, doubtful
}

// largestFast returns the largest number in progress, up to a limit, of which calls are known to be as fast as those with few in
// progress. One call too many makes all of them slow, since a busy server always has as many as it may.
func (k *knee) largestFast(limit int) int {
	usual := k.upTo(k.slots / 2)
	if usual.count < kneeLevel {
		usual = k.upTo(limit)
	}
	for ; 2*limit > k.slots; limit-- {
		if at := k.at(limit); at.count >= kneeLevel && at.mean() < kneeStep*usual.mean() {
			break
		}
	}
	return limit
}

// at returns the times of calls that started with a number in progress.
func (k *knee) at(inProgress int) sample {
	s := k.current[inProgress-1]
	s.join(k.previous[inProgress-1])
	return s
}

// upTo returns the times of calls that started with at most a number in progress.
func (k *knee) upTo(inProgress int) (s sample) {
	for n := 1; n <= inProgress; n++ {
		s.join(k.at(n))
	}
	return s
}

// learns reports whether a limit that others have found is of use.
func (k *knee) learns(inProgress int, now time.Time) bool {
	return k.limit == k.slots && 2*inProgress > k.slots && !now.Before(k.aloneUntil)
}

// learn takes the limit that the node of a server with as many slots has found.
func (k *knee) learn(limit int, now time.Time) {
	if limit >= k.slots || 2*limit < k.slots || k.slots > maxKneeSlots {
		return
	}
	k.limit, k.ceiling, k.since, k.confirmed, k.last = limit, limit, now, true, sample{}
}

// check lifts the limit when it has not made calls faster: something else than the number in progress has slowed them.
func (k *knee) check(ratio float64, inProgress int, now time.Time) {
	if k.confirmed || inProgress > k.limit || 2*inProgress <= k.slots {
		return
	}
	k.confirm.add(ratio)
	if k.confirm.count < kneeConfirm {
		return
	}
	if k.confirm.mean() >= k.doubtful || k.confirm.mean() >= kneeStep*k.upTo(k.slots/2).mean() {
		k.lift(0, now.Add(kneeDoubt))
		return
	}
	k.confirmed, k.found = true, k.limit
}

// adjust reduces the limit when the calls that start as the last ones within it are slow, and raises it up to its ceiling
// while they are fast.
func (k *knee) adjust(ratio float64, inProgress int) {
	if inProgress != k.limit || 2*k.limit <= k.slots {
		return
	}
	k.last.add(ratio)
	if k.last.count < kneeSamples {
		return
	}
	fewer := k.upTo(k.limit - 1)
	switch {
	case fewer.count < kneeSamples:
	case k.last.mean() <= kneeStep*fewer.mean():
		k.limit = min(k.limit+1, k.ceiling)
	case k.last.clearlyAbove(fewer):
		k.limit = k.largestFast(k.limit - 1)
		k.ceiling = k.limit
	default:
		return
	}
	if k.found > 0 {
		k.found = k.limit
	}
	k.last = sample{}
}

// expire lifts the limit after a time, as servers change.
func (k *knee) expire(now time.Time) {
	if k.limit < k.slots && now.Sub(k.since) > kneeHold {
		k.lift(k.limit, now.Add(kneeAlone))
	}
}

// lift ends the limit and forgets the times of calls with more than a number in progress.
func (k *knee) lift(kept int, aloneUntil time.Time) {
	clear(k.current[kept:])
	clear(k.previous[kept:])
	k.limit, k.found, k.aloneUntil = k.slots, 0, aloneUntil
}

// learnKnee adds the time of a call to what is known of the knee.
func (d *Dispatcher) learnKnee(j *Job, took time.Duration, now time.Time) {
	if j.slow {
		return
	}
	before := d.knee.found
	d.knee.add(j.Route, j.inProgress, took, now)
	d.knee.expire(now)
	if d.knee.found != before {
		d.decided = append(d.decided, d.kneeFound)
	}
}

// ShareKnee makes the dispatcher learn the knee that the nodes of other servers of the same kind have found. The function others
// returns it for a number of slots, or 0; found is called when this node has found a knee or given it up. The dispatcher is
// locked while others runs.
func (d *Dispatcher) ShareKnee(others func(slots int) int, found func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.othersKnee, d.kneeFound = others, found
}

// Knee returns the number of calls in progress above which the server gets less done, as found here; 0 when none is known.
func (d *Dispatcher) Knee() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.knee.found
}
