package platform

import (
	"fmt"
	"time"
)

// Limits configures a Guard. The tags of each field state its meaning, default and unit.
type Limits struct {
	FleetWritesPerSec float64 `json:"fleetWritesPerSec" default:"400" unit:"items/s" doc:"Writes of the whole fleet, objects included."`
	FleetReadsPerSec  float64 `json:"fleetReadsPerSec" default:"2000" unit:"items/s" doc:"Reads of the whole fleet, objects included."`
	AssumedNodes      int     `json:"assumedNodes" default:"1" unit:"nodes" doc:"Least number of nodes that the budget is divided by; guards a large fleet while its nodes do not know each other yet."`
	BurstMs           int     `json:"burstMs" default:"2000" unit:"ms" doc:"Time over which an unused budget accumulates."`
	MinBurst          int     `json:"minBurst" default:"8" unit:"items" doc:"Least burst, whatever the share."`
	ReadTimeoutMs     int     `json:"readTimeoutMs" default:"1000" unit:"ms" doc:"Deadline of a read with its retries."`
	ReadAttemptMs     int     `json:"readAttemptMs" default:"400" unit:"ms" doc:"Deadline of one attempt of a read and of a probe."`
	WriteTimeoutMs    int     `json:"writeTimeoutMs" default:"2000" unit:"ms" doc:"Deadline of a write."`
	Attempts          int     `json:"attempts" default:"3" doc:"Most attempts of a read, and of a write that lost against another transaction."`
	BackoffMs         int     `json:"backoffMs" default:"20" unit:"ms" doc:"Longest pause before the second attempt; doubles with each further one."`
	MaxBackoffMs      int     `json:"maxBackoffMs" default:"300" unit:"ms" doc:"Longest pause before any attempt."`
	TripFailures      int     `json:"tripFailures" default:"5" doc:"Failures in a row that open the breaker."`
	ProbeMs           int     `json:"probeMs" default:"1000" unit:"ms" doc:"Mean time between probes of a small fleet while the breaker is open."`
	ProbeShare        float64 `json:"probeShare" default:"0.25" doc:"Share of the fleet's read budget that probes may use; lengthens the time between probes of a large fleet."`
}

// DefaultLimits returns the defaults stated in the tags of Limits.
func DefaultLimits() Limits {
	return Limits{
		FleetWritesPerSec: 400, FleetReadsPerSec: 2000, AssumedNodes: 1, BurstMs: 2000, MinBurst: 8,
		ReadTimeoutMs: 1000, ReadAttemptMs: 400, WriteTimeoutMs: 2000, Attempts: 3, BackoffMs: 20, MaxBackoffMs: 300,
		TripFailures: 5, ProbeMs: 1000, ProbeShare: 0.25,
	}
}

// Validate returns an error that names the first invalid field and its allowed range.
func (l *Limits) Validate() error {
	for _, f := range []struct {
		name            string
		value, min, max float64
	}{
		{"fleetWritesPerSec", l.FleetWritesPerSec, 1, 1e6},
		{"fleetReadsPerSec", l.FleetReadsPerSec, 1, 1e6},
		{"assumedNodes", float64(l.AssumedNodes), 1, 1e6},
		{"burstMs", float64(l.BurstMs), 0, 600000},
		{"minBurst", float64(l.MinBurst), 1, MaxTransactionWrites},
		{"readTimeoutMs", float64(l.ReadTimeoutMs), 1, 60000},
		{"readAttemptMs", float64(l.ReadAttemptMs), 1, 60000},
		{"writeTimeoutMs", float64(l.WriteTimeoutMs), 1, 60000},
		{"attempts", float64(l.Attempts), 1, 10},
		{"backoffMs", float64(l.BackoffMs), 0, 60000},
		{"maxBackoffMs", float64(l.MaxBackoffMs), 0, 60000},
		{"tripFailures", float64(l.TripFailures), 1, 1000},
		{"probeMs", float64(l.ProbeMs), 1, 600000},
		{"probeShare", l.ProbeShare, 0.001, 1},
	} {
		// The negated form also rejects NaN.
		if !(f.value >= f.min && f.value <= f.max) {
			return fmt.Errorf("platform.%s: %v is out of range %v to %v", f.name, f.value, f.min, f.max)
		}
	}
	return nil
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
