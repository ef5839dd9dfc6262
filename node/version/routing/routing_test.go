package routing_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishstand/radishstand/node/version/routing"
)

func split(t require.TestingT, parts ...routing.Part) routing.Split {
	s, err := routing.NewSplit(parts...)
	require.NoError(t, err)
	return s
}

func route(t *testing.T, name, prefix string) *routing.Route {
	return &routing.Route{Name: name, Host: "Co-op.example", Prefix: prefix, Split: split(t, routing.Part{Service: "s", Weight: 1})}
}

func TestMatchUsesLongestPrefixOfHost(t *testing.T) {
	v, err := routing.New(routing.Definition{Number: 1, Routes: []*routing.Route{route(t, "short", "/a/"), route(t, "long", "/a/b/"), route(t, "other", "/c/")}})
	require.NoError(t, err)
	cases := map[string]struct{ host, path, want string }{
		"a short prefix":         {"co-op.example", "/a/x", "short"},
		"the longer prefix":      {"co-op.example", "/a/b/x", "long"},
		"a host with a port":     {"co-op.example:8080", "/c/", "other"},
		"a host in capitals":     {"CO-OP.EXAMPLE", "/c/", "other"},
		"no prefix":              {"co-op.example", "/d/", ""},
		"a prefix without slash": {"co-op.example", "/a", ""},
		"another host":           {"yatai.example", "/a/x", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := v.Match(c.host, c.path); r != nil {
				got = r.Name
			}
			assert.Equal(t, c.want, got)
		})
	}
}

// Guards against shares that drift from the weights: after any number of calls, the count of each part must be within one
// call per part, plus one, of its exact share.
func TestSplitSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 1, 5).Draw(t, "weights")
		weights[0] = max(weights[0], 1)
		parts, total := make([]routing.Part, len(weights)), 0
		for i, w := range weights {
			parts[i] = routing.Part{Service: string(rune('a' + i)), Weight: float64(w)}
			total += w
		}
		s := split(t, parts...)
		calls := rapid.IntRange(1, 500).Draw(t, "calls")
		got := map[string]int{}
		for range calls {
			got[s.Next()]++
		}
		for i, p := range parts {
			want := float64(calls) * float64(p.Weight) / float64(total)
			assert.InDelta(t, want, got[p.Service], float64(len(parts))+1, "part %d of %v", i, weights)
		}
	})
}

func TestSplitWithoutPositiveWeightIsRejected(t *testing.T) {
	for name, parts := range map[string][]routing.Part{
		"no part": nil, "no weight": {{Service: "a"}}, "a negative weight": {{Service: "a", Weight: -1}, {Service: "b", Weight: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := routing.NewSplit(parts...)
			assert.Error(t, err)
		})
	}
}

// Guards against a lower version that replaces a higher one when several are offered concurrently.
func TestCurrentVersionNumberNeverDecreases(t *testing.T) {
	var h routing.Holder
	var group sync.WaitGroup
	for number := range uint64(100) {
		group.Go(func() {
			v, err := routing.New(routing.Definition{Number: number})
			assert.NoError(t, err)
			h.Offer(v)
		})
	}
	group.Wait()
	assert.EqualValues(t, 99, h.Number())
	v, err := routing.New(routing.Definition{Number: 42})
	require.NoError(t, err)
	assert.False(t, h.Offer(v))
}
