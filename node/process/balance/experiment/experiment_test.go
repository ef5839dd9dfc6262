package experiment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// find returns the variant with a name.
func find(name string) variant {
	for _, v := range variants {
		if v.name == name {
			return v
		}
	}
	panic("no variant " + name)
}

// Guards against a change that makes the product worse than a baseline, or its tail more than 1.25 times that of the
// oracle, at 85 % load; the whole comparison runs with -sweep.
func TestProductIsAheadOfTheBaselines(t *testing.T) {
	for _, d := range []deployment{coop, yatai} {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			run := func(name string) result { return merge([]result{play(find(name), d, 1, 0.85, 2*time.Second)}) }
			product := run("product")
			require.Less(t, product.quantile(0.99), 1.25*run("oracle").quantile(0.99))
			for _, name := range []string{"random", "round robin", "least reported", "two choices"} {
				baseline := run(name)
				require.Less(t, product.quantile(0.99), baseline.quantile(0.99), name)
				require.Less(t, float64(product.refused), 0.005*float64(product.calls))
				if name == "least reported" {
					require.Less(t, product.bytes, baseline.bytes*115/100, "no more reports than one for each answer")
				}
			}
		})
	}
}

// Guards against figures that cannot be repeated.
func TestRunsOfTheSameSeedAreEqual(t *testing.T) {
	first, second := play(find("product"), yatai, 7, 0.85, time.Second), play(find("product"), yatai, 7, 0.85, time.Second)
	require.Equal(t, first, second)
}
