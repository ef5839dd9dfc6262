package choice

// HasRoom reports whether a call that is sent now is expected to start without waiting.
func (c *Candidate) HasRoom() bool {
	return !c.Suspect && c.InProgress+c.Queued+c.SentSinceReport < c.Limit && c.rateWait() == 0 && c.Slowness <= normalSlowness
}
