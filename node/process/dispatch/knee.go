package dispatch

import "time"

const (
	// kneeWindow is the length of an observation window. Observed times are kept for one to two windows.
	kneeWindow = 10 * time.Second
	// kneeHold is the time for which a limit is kept before more calls are allowed again.
	kneeHold = 30 * time.Second
	// kneeIndependentInterval is the time after the end of kneeHold in which no knee of another node is adopted. A knee
	// that still exists is detected again in this interval.
	kneeIndependentInterval = 5 * time.Minute
	// kneeRefutedInterval is the time after a refuted knee in which no knee of another node is adopted.
	kneeRefutedInterval = 10 * time.Second
	// minKneeSamples is the minimum number of calls on each side of a knee.
	minKneeSamples = 16
	// minLevelSamples is the minimum number of calls that show that the last call within a limit is not slow.
	minLevelSamples = 6
	// maxLevelSlowdown is the ratio to the time of other calls up to which the last call within a limit is not slow.
	maxLevelSlowdown = 1.25
	// trialLimitShare is the share of the slots that is used as a trial limit when there are no observations for numbers
	// of calls in progress near that limit.
	trialLimitShare = 0.75
	// kneeVerificationSamples is the number of calls that confirm or refute a knee.
	kneeVerificationSamples = 40
	// kneeSearchInterval is the number of calls between two searches.
	kneeSearchInterval = 8
	// minBaselineSamples is the minimum number of calls in the baseline of a route. An error in the baseline scales the
	// times on both sides of a knee alike.
	minBaselineSamples = 8
	// minKneeGain is the minimum ratio of the throughputs with and without a limit for which slots are left free.
	minKneeGain = 1.1
	// minKneeStandardErrors is the minimum difference between the mean times on both sides of a knee, in standard
	// errors.
	minKneeStandardErrors = 4
	// maxKneeRatio caps the ratio of a time to its baseline, so that single calls that took very long have a bounded
	// weight.
	maxKneeRatio = 4
	// maxKneeSlots bounds the memory for servers that announce very many slots; no knee is searched for at servers with
	// more.
	maxKneeSlots = 1024
)

// kneeDetector finds the knee of the server: the number of calls in progress above which the throughput falls, because
// each call is slowed down by more than the additional calls add. Servers do not report it, so it is detected from the
// times of calls, grouped by the number in progress at their start.
type kneeDetector struct {
	slots int
	// baseline is the average time of calls that started with at most half of the slots in use, by route. While a limit
	// is set and a route has too few of them, calls that started below the limit are included.
	baseline map[string]*ewma
	// current and previous hold the times of calls relative to the baseline. Index n-1 holds those that started with n
	// calls in progress.
	current, previous []sample
	windowStart       time.Time
	observations      int

	// limit is the number of calls that may be in progress; equal to slots when no knee is known.
	limit     int
	limitedAt time.Time
	// ceiling is the greatest limit that is not known to be too high.
	ceiling int
	// confirmedLimit is the limit when this node has detected and confirmed it; 0 when it was adopted from another node
	// or there is none.
	confirmedLimit int
	// independentUntil is the end of the interval in which no limit is adopted and no trial limit is set, so that each
	// node allows more calls from time to time.
	independentUntil time.Time
	// atLimit holds the times of the calls that started as the last ones within the limit.
	atLimit sample
	// verification holds the times since this node set the limit. A mean of refutingMean or more refutes the limit.
	verification sample
	refutingMean float64
	verified     bool
}

func newKneeDetector(slots int) *kneeDetector {
	k := &kneeDetector{slots: slots, limit: slots, baseline: map[string]*ewma{}}
	if slots <= maxKneeSlots {
		k.current, k.previous = make([]sample, slots), make([]sample, slots)
	}
	return k
}

// add records the time of a call that started while the host was not slow. The call itself is included in inProgress.
func (k *kneeDetector) add(route string, inProgress int, elapsed time.Duration, now time.Time) {
	if inProgress < 1 || inProgress > len(k.current) {
		return // it started before the server changed, or no knee is searched for
	}
	baseline := k.baseline[route]
	if baseline == nil {
		baseline = &ewma{}
		k.baseline[route] = baseline
	}
	if lightlyLoaded := 2*inProgress <= k.slots; lightlyLoaded ||
		baseline.count < minBaselineSamples && inProgress < k.limit && k.limit < k.slots {
		baseline.add(elapsed)
	}
	if baseline.count < minBaselineSamples {
		return
	}
	k.rotate(now)
	ratio := min(float64(elapsed)/baseline.mean, maxKneeRatio)
	k.current[inProgress-1].add(ratio)
	if k.limit < k.slots {
		k.verify(ratio, inProgress, now)
		k.adjust(ratio, inProgress)
		return
	}
	if k.observations++; k.observations%kneeSearchInterval == 0 {
		k.search(now)
	}
}

func (k *kneeDetector) rotate(now time.Time) {
	if now.Sub(k.windowStart) > kneeWindow {
		k.current, k.previous = k.previous, k.current
		clear(k.current)
		k.windowStart = now
	}
}

// search sets a limit if the throughput up to some number of calls in progress is clearly higher than above it.
func (k *kneeDetector) search(now time.Time) {
	var below sample
	all := k.samplesUpTo(k.slots)
	best, bestVariance := 0, 0.0
	var atBest sample
	for n := 1; n < k.slots; n++ {
		below.merge(k.samplesAt(n))
		if variance := below.betweenVariance(all); 2*n >= k.slots && variance > bestVariance {
			best, bestVariance, atBest = n, variance, below
		}
	}
	above := all.without(atBest)
	best = k.largestFastLimit(best)
	gain := float64(best) / atBest.mean() / (float64(k.slots) / above.mean())
	sufficient := 2*best >= k.slots && atBest.count >= minKneeSamples && above.count >= minKneeSamples
	if sufficient && gain >= minKneeGain && above.significantlyAbove(atBest) {
		k.setLimit(best, best, (above.mean()+atBest.mean())/2, now)
		return
	}
	k.tryLimit(now)
}

// tryLimit sets a trial limit at a server that is slow with all slots in use and has no observations between half and all
// of the slots: a load that rises at once skips the numbers in between.
func (k *kneeDetector) tryLimit(now time.Time) {
	full, half := k.samplesAt(k.slots), k.samplesUpTo(k.slots/2)
	limit := int(trialLimitShare * float64(k.slots))
	gain := float64(limit) / half.mean() / (float64(k.slots) / full.mean())
	if now.Before(k.independentUntil) || full.count < minKneeSamples || half.count < minLevelSamples || gain < minKneeGain {
		return
	}
	k.setLimit(limit, k.slots-1, (full.mean()+half.mean())/2, now)
}

// setLimit starts to limit the calls in progress. A mean time of refutingMean or more refutes the limit.
func (k *kneeDetector) setLimit(limit, ceiling int, refutingMean float64, now time.Time) {
	k.limit, k.ceiling, k.limitedAt, k.atLimit = limit, ceiling, now, sample{}
	k.verification, k.verified, k.refutingMean = sample{}, false, refutingMean
}

// largestFastLimit returns the largest number in progress, up to limit, at which calls are known to be as fast as those
// with few in progress. One call too many makes all of them slow, since a busy server always runs as many as the limit
// allows.
func (k *kneeDetector) largestFastLimit(limit int) int {
	baseline := k.samplesUpTo(k.slots / 2)
	if baseline.count < minLevelSamples {
		baseline = k.samplesUpTo(limit)
	}
	for ; 2*limit > k.slots; limit-- {
		if s := k.samplesAt(limit); s.count >= minLevelSamples && s.mean() < maxLevelSlowdown*baseline.mean() {
			break
		}
	}
	return limit
}

// samplesAt returns the times of calls that started with the given number in progress.
func (k *kneeDetector) samplesAt(inProgress int) sample {
	s := k.current[inProgress-1]
	s.merge(k.previous[inProgress-1])
	return s
}

// samplesUpTo returns the times of calls that started with at most the given number in progress.
func (k *kneeDetector) samplesUpTo(inProgress int) (s sample) {
	for n := 1; n <= inProgress; n++ {
		s.merge(k.samplesAt(n))
	}
	return s
}

// canAdopt reports whether a limit that another node has found may be adopted: none is set, more than half of the slots
// are in use, and the independent interval is over.
func (k *kneeDetector) canAdopt(inProgress int, now time.Time) bool {
	return k.limit == k.slots && 2*inProgress > k.slots && !now.Before(k.independentUntil)
}

// adopt sets the limit that the node of another server with the same number of slots has found. Limits below half of the
// slots or not below all of them are ignored.
func (k *kneeDetector) adopt(limit int, now time.Time) {
	if limit >= k.slots || 2*limit < k.slots || k.slots > maxKneeSlots {
		return
	}
	k.limit, k.ceiling, k.limitedAt, k.verified, k.atLimit = limit, limit, now, true, sample{}
}

// verify removes the limit when it has not made calls faster: they were slowed by something other than the number in
// progress.
func (k *kneeDetector) verify(ratio float64, inProgress int, now time.Time) {
	if k.verified || inProgress > k.limit || 2*inProgress <= k.slots {
		return
	}
	k.verification.add(ratio)
	if k.verification.count < kneeVerificationSamples {
		return
	}
	if k.verification.mean() >= k.refutingMean || k.verification.mean() >= maxLevelSlowdown*k.samplesUpTo(k.slots/2).mean() {
		k.removeLimit(0, now.Add(kneeRefutedInterval))
		return
	}
	k.verified, k.confirmedLimit = true, k.limit
}

// adjust reduces the limit when the calls that start as the last ones within it are slow, and raises it up to its
// ceiling while they are fast.
func (k *kneeDetector) adjust(ratio float64, inProgress int) {
	if inProgress != k.limit || 2*k.limit <= k.slots {
		return
	}
	k.atLimit.add(ratio)
	if k.atLimit.count < minKneeSamples {
		return
	}
	fewer := k.samplesUpTo(k.limit - 1)
	switch {
	case fewer.count < minKneeSamples:
	case k.atLimit.mean() <= maxLevelSlowdown*fewer.mean():
		k.limit = min(k.limit+1, k.ceiling)
	case k.atLimit.significantlyAbove(fewer):
		k.limit = k.largestFastLimit(k.limit - 1)
		k.ceiling = k.limit
	default:
		return
	}
	if k.confirmedLimit > 0 {
		k.confirmedLimit = k.limit
	}
	k.atLimit = sample{}
}

// expire removes the limit after kneeHold, since the server may have changed.
func (k *kneeDetector) expire(now time.Time) {
	if k.limit < k.slots && now.Sub(k.limitedAt) > kneeHold {
		k.removeLimit(k.limit, now.Add(kneeIndependentInterval))
	}
}

// removeLimit removes the limit and discards the times of calls that started with more than keepUpTo in progress.
func (k *kneeDetector) removeLimit(keepUpTo int, independentUntil time.Time) {
	clear(k.current[keepUpTo:])
	clear(k.previous[keepUpTo:])
	k.limit, k.confirmedLimit, k.independentUntil = k.slots, 0, independentUntil
}

// recordKneeSample adds the time of a call to the knee detection, unless the host was slow or the server cold at its start.
func (d *Dispatcher) recordKneeSample(j *Job, elapsed time.Duration, now time.Time) {
	if j.slow {
		return
	}
	before := d.knee.confirmedLimit
	d.knee.add(j.Route, j.inProgress, elapsed, now)
	d.knee.expire(now)
	if d.knee.confirmedLimit != before {
		d.callbacks = append(d.callbacks, d.kneeChanged)
	}
}

// ShareKnee shares knees with the nodes of other servers of the same kind. The function peerKnee returns the knee that
// they have found for a number of slots, or 0; the dispatcher is locked while it runs. The function changed is called
// when the confirmed knee of this node changes.
func (d *Dispatcher) ShareKnee(peerKnee func(slots int) int, changed func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peerKnee, d.kneeChanged = peerKnee, changed
}

// Knee returns the number of calls in progress above which the throughput of the server falls, if this node has
// confirmed one, and 0 otherwise.
func (d *Dispatcher) Knee() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.knee.confirmedLimit
}
