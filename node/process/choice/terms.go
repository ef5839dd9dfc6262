package choice

import "time"

// Terms are the parts of the expected time until the answer of a call.
type Terms struct {
	RoundTrip time.Duration
	Work      time.Duration
	// Wait is the time until the call starts.
	Wait time.Duration
	// Utilization is the penalty for a busy server, and Failures that for one that fails more calls than the best one.
	Utilization time.Duration
	Failures    time.Duration
	// Slowness is the time lost because the host is slow, and WarmUp that lost because the server has just started.
	Slowness time.Duration
	WarmUp   time.Duration
	// Transfer is the time of the answer on the links, and Displacement the price of using a fast link that larger answers need more.
	Transfer     time.Duration
	Displacement time.Duration
}

// Total returns the sum of the terms.
func (t Terms) Total() time.Duration {
	return t.RoundTrip + t.Work + t.Wait + t.Utilization + t.Failures + t.Slowness + t.WarmUp + t.Transfer + t.Displacement
}

// slowerTerms returns the terms of a server at which calls take longer than at the fastest one.
func (c *Candidate) slowerTerms(call Call, failures float64, slower time.Duration) Terms {
	t := c.terms(call, failures)
	t.Work += slower
	return t
}

// AllTerms returns the terms of each candidate: as Pick compares them, or if aged is set as a Leaver does, with aged load reports.
func AllTerms(candidates []Candidate, call Call, aged bool) []Terms {
	leastFailures, leastService := minFailures(candidates), minService(candidates)
	call.Transfer.slowest = slowestLink(candidates)
	terms := make([]Terms, len(candidates))
	for i := range candidates {
		c, failures := &candidates[i], candidates[i].Failures-leastFailures
		if !aged {
			terms[i] = c.terms(call, failures)
			continue
		}
		expected := c.aged()
		terms[i] = expected.slowerTerms(call, failures, c.slower(leastService))
	}
	return terms
}
