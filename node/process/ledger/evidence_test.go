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

// isolate cuts a node off from the store and keeps others from calling it.
func (f *fleet) isolate(node string) {
	f.gates[node].set(true)
	f.set(f.cut, node, true)
}

// newOldFleet returns a fleet whose processes have run for long enough to be witnesses.
func newOldFleet(t *testing.T, nodes ...string) *fleet {
	f := newFleet(t, Limits{}, nodes...)
	time.Sleep(time.Minute)
	return f
}

func (f *fleet) down(down bool) {
	f.store.SetFault(func(platformtest.Operation) platformtest.Fault { return platformtest.Fault{Down: down} })
}

// Guards against a holder that does not know that its range was taken and refuses work as not run although it ran at the
// new holder. Each case takes away all guards but the one that it names.
func TestStaleHolderNeverSaysNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		before, prepare, wake func(f *fleet)
	}{
		"the new holder tells it": {prepare: func(f *fleet) { f.gates["a"].set(true) }},
		"the new holder cannot be reached": {prepare: func(f *fleet) {
			f.isolate("a")
			f.set(f.cut, "b", true)
		}},
		"the new holder answers its question": {prepare: func(f *fleet) { f.isolate("a") }},
		"a witness knows of a new holder that it does not know": {
			before:  func(f *fleet) { f.set(f.hidden, "b", true) },
			prepare: func(f *fleet) { f.isolate("a") },
		},
		"it has forgotten all members": {prepare: func(f *fleet) {
			f.isolate("a")
			f.set(f.hidden, "b", true)
			f.set(f.hidden, "c", true)
		}},
		"nobody can be reached": {prepare: func(f *fleet) {
			f.isolate("a")
			f.set(f.cut, "b", true)
			f.set(f.cut, "c", true)
		}},
		"the new holder crashed and restarted": {
			prepare: func(f *fleet) { f.isolate("a"); f.set(f.cut, "c", true) },
			wake: func(f *fleet) {
				f.isolate("b")
				f.start("b", Limits{})
				f.set(f.cut, "b", false)
				f.set(f.cut, "c", false)
			},
		},
		"it was paused and wakes during an outage": {
			prepare: func(f *fleet) { f.isolate("a"); f.set(f.cut, "b", true) },
			wake: func(f *fleet) {
				f.down(true)
				f.gates["a"].set(false)
				f.set(f.cut, "a", false)
				f.set(f.cut, "b", false)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newOldFleet(t, "a", "b", "c")
				if c.before != nil {
					c.before(f)
				}
				keys := sameRange(2)
				require.Equal(t, "granted", f.claim("a", keys[0], "first"))
				c.prepare(f)
				f.setHolder("b", "b")
				require.Equal(t, "granted", f.claim("b", keys[1], "ran"))
				if c.wake != nil {
					c.wake(f)
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

// Guards against a grant elsewhere while the evidence of the last holder still holds: claims come to it every millisecond
// around the take-over, and its last refusal as not-run must come before the first grant.
func TestGrantElsewhereComesAfterTheLastNotRun(t *testing.T) {
	for name, prepare := range map[string]func(f *fleet){
		"evidence from the store alone":                     func(f *fleet) { f.set(f.cut, "b", true); f.set(f.cut, "c", true) },
		"evidence from all members":                         func(*fleet) {},
		"evidence from a witness that the new holder tells": func(f *fleet) { f.set(f.hidden, "b", true) },
		"evidence that comes late":                          func(f *fleet) { f.slow = 200 * time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			for _, wait := range []time.Duration{300, 550, 777, 1000, 1300} {
				synctest.Test(t, func(t *testing.T) { checkGrantAfterNotRun(t, prepare, wait*time.Millisecond) })
			}
		})
	}
}

func checkGrantAfterNotRun(t *testing.T, prepare func(f *fleet), wait time.Duration) {
	f := newOldFleet(t, "a", "b", "c")
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
	require.False(t, refused.IsZero(), "not-run was true before the take-over")
	require.Less(t, refused, grant)
}

// Guards against an ordinary outage, in which all nodes reach each other, that refuses first calls as unknown or slowly.
func TestOrdinaryOutageSaysNotRunPromptly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newOldFleet(t, "a", "b", "c")
		require.Equal(t, "granted", f.claim("a", sameRange(1)[0], "first"))
		time.Sleep(time.Hour)
		f.down(true)
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
		f.down(false)
		time.Sleep(3 * time.Second)
		require.Equal(t, "granted", f.claim("b", sameRange(2)[1], "third"))
	})
}

// Guards against a wait where none is needed, and against none where an earlier holder may still have evidence.
func TestTakeOverWaitsOnlyForAHolderThatMayHaveEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		end   func(f *fleet)
		waits bool
	}{
		"the holder crashed":          {func(f *fleet) { f.isolate("a"); f.servers["a"].Close() }, true},
		"the holder is cut off":       {func(f *fleet) { f.isolate("a") }, true},
		"the holder restarted":        {func(f *fleet) { f.isolate("a"); f.start("a", Limits{}); f.set(f.cut, "a", false) }, true},
		"the holder left":             {func(f *fleet) { f.servers["a"].Close(); f.set(f.cut, "a", true) }, false},
		"the holder gives it up":      {func(*fleet) {}, false},
		"the holder lost the store":   {func(f *fleet) { f.gates["a"].set(true) }, false},
		"the holder gave it up early": {func(f *fleet) { f.setHolder("b", "a"); f.servers["a"].Refresh() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newOldFleet(t, "a", "b")
				require.Equal(t, "granted", f.claim("a", "k", "first"))
				c.end(f)
				f.setHolder("b")
				start := time.Now()
				require.Equal(t, "in-progress", f.claim("b", "k", "second"))
				t.Log("take-over after ", time.Since(start))
				if c.waits {
					require.Greater(t, time.Since(start), evidenceBound)
				} else {
					require.Less(t, time.Since(start), 50*time.Millisecond)
				}
			})
		})
	}
}

// Guards against a holder that goes on at once because the last one gave the range up, although that one was itself
// still waiting for the evidence of the one before it.
func TestTakeOverFromAWaitingHolderWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newOldFleet(t, "a", "b", "c")
		require.Equal(t, "granted", f.claim("a", sameRange(1)[0], "first"))
		f.isolate("a")
		raised := time.Now()
		f.setHolder("b", "b")
		f.servers["b"].Refresh()
		time.Sleep(300 * time.Millisecond)
		f.setHolder("c", "b", "c")
		require.Equal(t, "granted", f.claim("c", sameRange(2)[1], "second"))
		require.Greater(t, time.Since(raised), evidenceBound)
	})
}
