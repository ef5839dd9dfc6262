package backpressure_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"golang.org/x/time/rate"

	"github.com/radishstand/radishstand/node/internal/virtualtime"
	"github.com/radishstand/radishstand/node/process/backpressure"
)

// offer makes calls of a route in turn for a period, one each interval, and returns the share of each team's calls that was admitted.
// The function outcome says whether an admitted call makes nested calls and fails.
func offer(
	clock *virtualtime.Clock, c *backpressure.Controller, period time.Duration, teams []string, outcome func(n int) (nested, failed bool),
) map[string]float64 {
	const interval = 20 * time.Millisecond
	offered, admitted := map[string]float64{}, map[string]float64{}
	for n := range int(period / interval) {
		team := teams[n%len(teams)]
		offered[team]++
		if _, ok := c.Admit(backpressure.Call{ID: fmt.Sprint(clock.Now().UnixNano()), Route: "r", Team: team}); ok {
			admitted[team]++
			nested, failed := outcome(n)
			c.Ended("r", nested, failed)
		}
		clock.RunFor(interval)
	}
	for team := range offered {
		admitted[team] /= offered[team]
	}
	return admitted
}

// Guards against a team whose excess causes calls of other teams to be refused.
func TestExcessOfATeamIsRefusedFirst(t *testing.T) {
	clock := virtualtime.New()
	c := backpressure.New(clock.Now, nil)
	teams := []string{"large", "large", "large", "large", "large", "large", "large", "large", "small", "other"}
	capacity := rate.NewLimiter(25, 5) // half of what the teams offer
	admitted := offer(clock, c, 30*time.Second, teams, func(int) (bool, bool) { return true, !capacity.AllowN(clock.Now(), 1) })
	assert.Less(t, admitted["large"], 0.7)
	assert.GreaterOrEqual(t, admitted["small"], 0.9)
	assert.GreaterOrEqual(t, admitted["other"], 0.9)
}

// Guards against calls that are refused although most calls of their route make no nested call.
func TestCallsOfARouteThatSeldomNestsAreNotStarved(t *testing.T) {
	clock := virtualtime.New()
	c := backpressure.New(clock.Now, nil)
	rare := func(n int) (bool, bool) { return n%10 == 0, n%10 == 0 }
	offer(clock, c, 10*time.Second, []string{""}, func(n int) (bool, bool) { return n%10 == 0, false })
	assert.GreaterOrEqual(t, offer(clock, c, 10*time.Second, []string{""}, rare)[""], 0.75)
}

// Guards against a shortage whose end is never detected, and against refusals of calls of the highest rank and of nested calls.
func TestSomeCallsAreAdmittedUntilTheShortageEnds(t *testing.T) {
	clock := virtualtime.New()
	var reports []float64
	c := backpressure.New(clock.Now, func(_ string, s backpressure.Share) { reports = append(reports, s.Admitted) })
	failing := offer(clock, c, 10*time.Second, []string{""}, func(int) (bool, bool) { return true, true })[""]
	assert.Greater(t, failing, 0.05)
	assert.Less(t, failing, 0.25)
	for n := range 100 {
		_, ok := c.Admit(backpressure.Call{ID: fmt.Sprint(n), Route: "r", Spared: true})
		assert.True(t, ok)
	}
	fine := func(int) (bool, bool) { return true, false }
	offer(clock, c, 3*time.Second, []string{""}, fine)
	assert.Equal(t, 1.0, offer(clock, c, time.Second, []string{""}, fine)[""])
	assert.Empty(t, c.Shares())
	assert.Len(t, reports, 2)
}

// Guards against a call that one server admits and redirects, and the next refuses.
func TestServersWithTheSameSharesDecideAlike(t *testing.T) {
	clock := virtualtime.New()
	a, b := backpressure.New(clock.Now, nil), backpressure.New(clock.Now, nil)
	for range 20 {
		clock.RunFor(20 * time.Millisecond)
		a.Ended("r", true, true)
		b.Ended("r", true, true)
	}
	for n := range 200 {
		call := backpressure.Call{ID: fmt.Sprint(n), Route: "r"}
		afterA, okA := a.Admit(call)
		afterB, okB := b.Admit(call)
		assert.Equal(t, okA, okB)
		assert.Equal(t, afterA, afterB)
		assert.Equal(t, okA, afterA == 0)
	}
	assert.Equal(t, a.Refused(), b.Refused())
}
