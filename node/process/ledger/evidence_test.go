package ledger

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/platformtest"
	"github.com/stretchr/testify/require"
)

// isolate disconnects a node from the store and makes calls of other nodes to it fail.
func (f *fleet) isolate(node string) {
	f.gates[node].set(true)
	f.set(f.unreachable, node, true)
}

// newLongRunningFleet returns a fleet whose processes have run for long enough to be witnesses.
func newLongRunningFleet(t *testing.T, nodes ...string) *fleet {
	f := newFleet(t, Limits{}, nodes...)
	time.Sleep(time.Minute)
	return f
}

// setStoreDown starts or ends an outage of the store.
func (f *fleet) setStoreDown(down bool) {
	f.store.SetFault(func(platformtest.Operation) platformtest.Fault { return platformtest.Fault{Down: down} })
}

// Guards against a second run of work: a holder that has not noticed the loss of its range refuses a claim as not-run,
// although the work ran at the new holder. Each case disables all safeguards but the one that it names.
func TestStaleHolderNeverRefusesAsNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		beforeClaim, beforeTakeOver, afterTakeOver func(f *fleet)
	}{
		"the new holder notifies it": {beforeTakeOver: func(f *fleet) { f.gates["a"].set(true) }},
		"the new holder cannot be reached": {beforeTakeOver: func(f *fleet) {
			f.isolate("a")
			f.set(f.unreachable, "b", true)
		}},
		"the new holder answers its epochs request": {beforeTakeOver: func(f *fleet) { f.isolate("a") }},
		"a witness knows the epoch of a new holder that is not in its membership view": {
			beforeClaim:    func(f *fleet) { f.set(f.hidden, "b", true) },
			beforeTakeOver: func(f *fleet) { f.isolate("a") },
		},
		"it no longer knows any member": {beforeTakeOver: func(f *fleet) {
			f.isolate("a")
			f.set(f.hidden, "b", true)
			f.set(f.hidden, "c", true)
		}},
		"no member can be reached": {beforeTakeOver: func(f *fleet) {
			f.isolate("a")
			f.set(f.unreachable, "b", true)
			f.set(f.unreachable, "c", true)
		}},
		"the new holder crashed and restarted": {
			beforeTakeOver: func(f *fleet) { f.isolate("a"); f.set(f.unreachable, "c", true) },
			afterTakeOver: func(f *fleet) {
				f.isolate("b")
				f.start("b", Limits{})
				f.set(f.unreachable, "b", false)
				f.set(f.unreachable, "c", false)
			},
		},
		"it was paused and resumes during an outage": {
			beforeTakeOver: func(f *fleet) { f.isolate("a"); f.set(f.unreachable, "b", true) },
			afterTakeOver: func(f *fleet) {
				f.setStoreDown(true)
				f.gates["a"].set(false)
				f.set(f.unreachable, "a", false)
				f.set(f.unreachable, "b", false)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLongRunningFleet(t, "a", "b", "c")
				if c.beforeClaim != nil {
					c.beforeClaim(f)
				}
				keys := sameRange(2)
				require.Equal(t, "granted", f.claim("a", keys[0], "first"))
				c.beforeTakeOver(f)
				f.setHolder("b", "b")
				require.Equal(t, "granted", f.claim("b", keys[1], "ran"))
				if c.afterTakeOver != nil {
					c.afterTakeOver(f)
				}
				for range 30 {
					r, err := f.servers["a"].HandleClaim(bg, request(keys[1], "repeat"))
					require.NoError(t, err)
					require.NotEqual(t, peerpb.ClaimState_CLAIM_STATE_REFUSED, r.GetState(), "the work ran at b")
					require.NotEqual(t, peerpb.ClaimState_CLAIM_STATE_GRANTED, r.GetState())
					time.Sleep(100 * time.Millisecond)
				}
			})
		})
	}
}

// Guards against a grant by the new holder while the evidence of the last holder is still valid. Claims arrive at the last
// holder every millisecond around the take-over; its last refusal as not-run must come before the first grant.
func TestNewHolderGrantsAfterLastNotRunRefusal(t *testing.T) {
	for name, prepare := range map[string]func(f *fleet){
		"evidence from the store only": func(f *fleet) {
			f.set(f.unreachable, "b", true)
			f.set(f.unreachable, "c", true)
		},
		"evidence from all members":                            func(*fleet) {},
		"evidence from a witness that the new holder notifies": func(f *fleet) { f.set(f.hidden, "b", true) },
		"evidence that arrives late":                           func(f *fleet) { f.replyDelay = 200 * time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			for _, wait := range []time.Duration{300, 550, 777, 1000, 1300} {
				synctest.Test(t, func(t *testing.T) { checkGrantAfterNotRun(t, prepare, wait*time.Millisecond) })
			}
		})
	}
}

func checkGrantAfterNotRun(t *testing.T, prepare func(f *fleet), wait time.Duration) {
	f := newLongRunningFleet(t, "a", "b", "c")
	prepare(f)
	keys := sameRange(4000)
	require.Equal(t, "granted", f.claim("a", keys[0], "first"))
	f.isolate("a")
	granted := make(chan time.Time, 1)
	time.AfterFunc(wait, func() {
		f.setHolder("b", "b")
		for i := 0; f.claim("b", keys[1], fmt.Sprint("ran", i)) != "granted"; i++ {
		}
		granted <- time.Now()
	})
	var refused time.Time
	for _, k := range keys[2:] {
		r, err := f.servers["a"].HandleClaim(bg, request(k, "first"))
		require.NoError(t, err)
		if r.GetState() == peerpb.ClaimState_CLAIM_STATE_REFUSED {
			refused = time.Now()
		}
		time.Sleep(time.Millisecond)
	}
	grant := <-granted
	t.Log("last not-run ", grant.Sub(refused), " before the grant")
	require.False(t, refused.IsZero(), "claims before the take-over are refused as not-run")
	require.Less(t, refused, grant)
}

// Guards against first calls that are refused slowly or as possibly run during an outage of the store in which all nodes
// reach each other.
func TestStoreOutageRefusesFirstCallsPromptly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLongRunningFleet(t, "a", "b", "c")
		require.Equal(t, "granted", f.claim("a", sameRange(1)[0], "first"))
		time.Sleep(time.Hour)
		f.setStoreDown(true)
		for i, k := range sameRange(400)[1:] {
			start := time.Now()
			_, err := f.client([]string{"a", "b", "c"}[i%3]).Claim(bg, Claim{
				Key: KeyOf("pay", k), Body: testBody, CallID: "second", Timeout: 10 * time.Second,
			})
			require.ErrorIs(t, err, ErrUnavailable, "%d s into the outage", 30*i)
			if i > 0 {
				require.Less(t, time.Since(start), 20*time.Millisecond, "only the first claim of a range waits for the store")
			}
			time.Sleep(time.Duration(i%7) * 10 * time.Second)
		}
		f.setStoreDown(false)
		time.Sleep(3 * time.Second)
		require.Equal(t, "granted", f.claim("b", sameRange(2)[1], "third"))
	})
}

// Guards against a take-over that waits although no earlier holder can have valid evidence, and against one that does not
// wait although one may have it.
func TestTakeOverWaitsOnlyForAHolderThatMayHaveEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		endHolder func(f *fleet)
		waits     bool
	}{
		"the holder crashed":     {func(f *fleet) { f.isolate("a"); f.servers["a"].Close() }, true},
		"the holder is isolated": {func(f *fleet) { f.isolate("a") }, true},
		"the holder restarted": {func(f *fleet) {
			f.isolate("a")
			f.start("a", Limits{})
			f.set(f.unreachable, "a", false)
		}, true},
		"the holder left":                   {func(f *fleet) { f.servers["a"].Close(); f.set(f.unreachable, "a", true) }, false},
		"the holder releases it on request": {func(*fleet) {}, false},
		"the holder lost the store":         {func(f *fleet) { f.gates["a"].set(true) }, false},
		"the holder released it earlier":    {func(f *fleet) { f.setHolder("b", "a"); f.servers["a"].Refresh() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLongRunningFleet(t, "a", "b")
				require.Equal(t, "granted", f.claim("a", "k", "first"))
				c.endHolder(f)
				f.setHolder("b")
				start := time.Now()
				require.Equal(t, "in-progress", f.claim("b", "k", "second"))
				t.Log("take-over after ", time.Since(start))
				if c.waits {
					require.Greater(t, time.Since(start), maxEvidenceAge)
				} else {
					require.Less(t, time.Since(start), 50*time.Millisecond)
				}
			})
		})
	}
}

// Guards against a holder that grants at once because the last one released the range, although that one was itself still
// waiting for the evidence of the holder before it to expire.
func TestTakeOverFromAWaitingHolderWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLongRunningFleet(t, "a", "b", "c")
		require.Equal(t, "granted", f.claim("a", sameRange(1)[0], "first"))
		f.isolate("a")
		raised := time.Now()
		f.setHolder("b", "b")
		f.servers["b"].Refresh()
		time.Sleep(300 * time.Millisecond)
		f.setHolder("c", "b", "c")
		require.Equal(t, "granted", f.claim("c", sameRange(2)[1], "second"))
		require.Greater(t, time.Since(raised), maxEvidenceAge)
	})
}
