package choice_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/node/process/choice"
)

// Guards against previews that change the decisions about real calls. The reference is a Leaver without previews.
func TestPreviewsDoNotChangeDecisions(t *testing.T) {
	now := time.Unix(0, 0)
	newLeaver := func() *choice.Leaver {
		return choice.NewLeaver(choice.LeaverConfig{Now: func() time.Time { return now }, Random: rand.New(rand.NewPCG(7, 7)).Float64})
	}
	plain, previewed := newLeaver(), newLeaver()
	random := rand.New(rand.NewPCG(8, 8))
	left, shared := 0, false
	for range 3000 {
		now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
		candidates := []choice.Candidate{
			server(queued(random.IntN(60))), server(queued(random.IntN(60))),
			remote(func(c *choice.Candidate) { c.Place, c.InProgress = "p", random.IntN(12) }),
		}
		c := call
		c.Service, c.Route, c.Rank = "s", "r", uint32(random.IntN(2))
		for range random.IntN(3) {
			_, shares := previewed.Preview(candidates, c)
			shared = shared || shares["p"] > 0
		}
		want := plain.Pick(candidates, c)
		assert.Equal(t, want, previewed.Pick(candidates, c))
		if want.Index == 2 {
			left++
		}
	}
	assert.Equal(t, plain.Shares("s"), previewed.Shares("s"))
	assert.Positive(t, left, "no call has left the place")
	assert.True(t, shared, "no preview has shown a share")
}

// Guards against a preview that differs from the choice when the estimates differ clearly, and against terms that do not add up to it.
func TestPreviewAndTermsShowTheChoice(t *testing.T) {
	random := rand.New(rand.NewPCG(9, 9))
	for range 500 {
		candidates := []choice.Candidate{server(queued(random.IntN(40))), server(queued(random.IntN(40))), server(queued(random.IntN(40)))}
		terms := choice.AllTerms(candidates, call, false)
		least := 0
		for i := range terms {
			if terms[i].Total() < terms[least].Total() {
				least = i
			}
		}
		assert.Equal(t, least, choice.Preview(candidates, call))
		if picked := choice.Pick(candidates, call); picked != least {
			assert.InDelta(t, terms[least].Total(), terms[picked].Total(), float64(service)/10, "more than the random variation")
		}
	}
}
