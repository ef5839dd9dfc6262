package choice

import (
	"math"
	"time"
)

// Transfer holds the properties of a call that determine how long its answer takes on the links of the hosts.
type Transfer struct {
	// AnswerBytes is the average size of an answer on the route.
	AnswerBytes int
	// LargeBytes is the average size of an answer on the route of the service that has the largest ones.
	LargeBytes int
	// LinkBytesPerSecond is the speed of the link of this host; 0 if unknown. EgressBytes is the number of bytes that wait for it.
	LinkBytesPerSecond float64
	EgressBytes        int

	// slowest is the speed of the slowest known link of the candidates; infinity if none is known.
	slowest float64
}

// transferTime returns the expected time for which an answer waits for links and is sent on them. The answer passes the links of both
// hosts at the same time, so that the slower one determines it.
func (c *Candidate) transferTime(t Transfer) time.Duration {
	if t.AnswerBytes == 0 {
		return 0
	}
	own := linkTime(t.EgressBytes+t.AnswerBytes, t.LinkBytesPerSecond)
	if c.Local {
		return own
	}
	waiting := max(float64(c.EgressBytes)-c.ReportAge.Seconds()*c.LinkBytesPerSecond, 0)
	return max(own, linkTime(int(waiting)+c.BytesSinceReport+t.AnswerBytes, c.LinkBytesPerSecond))
}

// displacement returns the time that larger answers lose if the call takes a slot of the server. They are assumed to go to the host with
// the slowest link instead, with a probability that is the utilization of the server. It keeps hosts with fast links free for large
// answers.
func (c *Candidate) displacement(t Transfer) time.Duration {
	larger := t.LargeBytes - t.AnswerBytes
	if larger <= 0 || c.LinkBytesPerSecond <= t.slowest {
		return 0
	}
	busy := c.InProgress + c.Queued + c.SentSinceReport + 1
	utilization := min(float64(busy)/float64(max(c.Limit, 1)), 1)
	lost := linkTime(larger, t.slowest) - linkTime(larger, c.LinkBytesPerSecond)
	return time.Duration(utilization * float64(lost))
}

// slowestLink returns the speed of the slowest known link of the candidates, or infinity if none is known.
func slowestLink(candidates []Candidate) float64 {
	slowest := math.Inf(1)
	for i := range candidates {
		if speed := candidates[i].LinkBytesPerSecond; speed > 0 {
			slowest = min(slowest, speed)
		}
	}
	return slowest
}

// linkTime returns the time that bytes take on a link; 0 if its speed is unknown.
func linkTime(bytes int, bytesPerSecond float64) time.Duration {
	if bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / bytesPerSecond * float64(time.Second))
}
