package freshness

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const second = time.Second

// Guards against a lease that lasts too long, that holds for an older version than the proven one, or that ends early because a proof
// of a version that has not arrived yet replaced it.
func TestLeaseHoldsForTheProvenVersionAndLaterOnes(t *testing.T) {
	l := &Lease{}
	assert.False(t, l.ValidFor(9, 0, 5*second), "a process starts without a lease")
	l.Add(Proof{Version: 3, At: 100 * second})
	l.Add(Proof{Version: 4, At: 102 * second})
	l.Add(Proof{Version: 3, At: 99 * second}) // late
	assert.False(t, l.ValidFor(2, 101*second, 5*second))
	assert.True(t, l.ValidFor(3, 105*second-margin-1, 5*second))
	assert.False(t, l.ValidFor(3, 105*second-margin, 5*second))
	assert.True(t, l.ValidFor(4, 107*second-margin-1, 5*second))
	assert.True(t, l.ValidFor(9, 107*second-margin-1, 5*second))
	for v := range uint64(3 * maxProofs) {
		l.Add(Proof{Version: 10 + v, At: 103*second + time.Duration(v)})
	}
	assert.Len(t, l.proofs, maxProofs)
	assert.True(t, l.ValidFor(3, 105*second-margin-1, 5*second), "many versions that have not arrived yet")
	assert.True(t, l.ValidFor(10+3*maxProofs, 107*second, 5*second))
}

// Guards against polls of the feed that prove more than the feed shows, and against proofs by a store that has lost what it
// acknowledged.
func TestReadsProveOnlyWhatTheStoreHeld(t *testing.T) {
	l := &Lease{}
	proven := func(version uint64) time.Duration {
		at, ok := l.NewestFor(version)
		if !ok {
			return -1
		}
		return at
	}
	l.Read(0, 0, 10*second, false)
	l.Read(0, 0, 10*second, true)
	assert.EqualValues(t, -1, proven(math.MaxUint64), "nothing is known of the store's version")
	l.Read(3, 0, 20*second, true)
	assert.Equal(t, 20*second, proven(3))
	l.Read(0, 0, 30*second, false)
	assert.Equal(t, 30*second-FeedLag, proven(3))
	l.Read(5, 0, 40*second, false)
	assert.Equal(t, 40*second-FeedLag, proven(5))
	l.Read(0, 0, 50*second, false)
	assert.Equal(t, 30*second-FeedLag, proven(3), "the store has had version 5 since")

	l.SetEra(1, 60*second)
	l.Read(3, 1, 60*second, true)
	l.Read(3, 1, 61*second-1, true)
	assert.Equal(t, 30*second-FeedLag, proven(3))
	assert.Equal(t, 50*second-FeedLag, proven(5))
	l.SetEra(1, 61*second)
	l.SetEra(0, 61*second)
	l.Read(9, 0, 70*second, true)
	assert.Equal(t, 50*second-FeedLag, proven(9), "a late response of the era before")
	l.Read(0, 1, 61*second, false)
	assert.Equal(t, 50*second-FeedLag, proven(5), "the poll proves a time at which the store had not been written again")
	l.Read(4, 1, 61*second, true)
	assert.Equal(t, 61*second, proven(4))
}

// Guards against ages that are rounded down on each hop, and against an old proof whose age overflows.
func TestPassedAgesAreNeverTooLow(t *testing.T) {
	for _, age := range []time.Duration{0, 1, time.Millisecond, time.Millisecond + 1, 4 * second, maxPassedAge} {
		at, ok := DecodeAge(EncodeAge(100*second-age, 100*second), 100*second)
		assert.True(t, ok)
		assert.LessOrEqual(t, at, 100*second-age)
		assert.Greater(t, at, 100*second-age-time.Millisecond)
	}
	_, ok := DecodeAge(EncodeAge(0, math.MaxUint32*time.Millisecond+second), 0)
	assert.False(t, ok)
}

// Guards against questions and reads while the proof is young, and against reads by all nodes at once or more often than allowed.
func TestScheduleAsksOnlyWithoutYoungProof(t *testing.T) {
	const within = 5 * second
	s := &Schedule{}
	assert.Equal(t, Step{Wait: 700 * time.Millisecond}, s.Next(0, 300*time.Millisecond, within, false))
	assert.Equal(t, Step{Ask: true, Wait: askInterval}, s.Next(0, second, within, false))
	assert.Equal(t, Step{Ask: true, Others: 1, Wait: askInterval}, s.Next(0, second, within, false))
	assert.Equal(t, Step{Ask: true, First: 1, Others: 1, Wait: askInterval}, s.Next(0, second, within, false))

	poller := &Schedule{}
	assert.Equal(t, Step{Read: true, Wait: askInterval}, poller.Next(100*second, second, within, true))
	assert.Equal(t, Step{Wait: askInterval}, poller.Next(100*second+askInterval, second+askInterval, within, true))
	assert.True(t, poller.Next(100*second+2*askInterval, second+2*askInterval, within, true).Ask, "its read failed")

	first := map[time.Duration]bool{}
	for range 20 {
		s, reads := &Schedule{}, []time.Duration{}
		for age := second; age < 10*second; age += askInterval {
			if s.Next(100*second+age, age, within, false).Read {
				reads = append(reads, age)
			}
		}
		first[reads[0]] = true
		assert.GreaterOrEqual(t, reads[0], within/2)
		assert.LessOrEqual(t, reads[0], within/2+second)
		for i := range reads[1:] {
			assert.GreaterOrEqual(t, reads[i+1]-reads[i], maxReadInterval)
		}
	}
	assert.Greater(t, len(first), 1)
}
