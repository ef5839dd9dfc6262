package experiment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// variantByName returns the variant with the given name.
func variantByName(name string) variant {
	for _, v := range variants {
		if v.name == name {
			return v
		}
	}
	panic("no variant " + name)
}

// Guards against a regression of the production policy at 85 % load: its p99 must be lower than that of each baseline and
// less than 1.25 times that of the oracle. The complete comparison runs with -sweep.
func TestProductIsFasterThanBaselines(t *testing.T) {
	for _, d := range []deployment{coop, yatai} {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			run := func(name string) result {
				return mergeResults([]result{runVariant(variantByName(name), d, 1, 0.85, 2*time.Second)})
			}
			product := run("product")
			require.Less(t, product.quantile(0.99), 1.25*run("oracle").quantile(0.99))
			for _, name := range []string{"random", "round robin", "least reported", "two choices"} {
				baseline := run(name)
				require.Less(t, product.quantile(0.99), baseline.quantile(0.99), name)
				require.Less(t, float64(product.refused), 0.005*float64(product.calls))
				if name == "least reported" {
					require.Less(t, product.bytes, baseline.bytes, "the production policy must send fewer report bytes than one report per answer")
				}
			}
		})
	}
}

// Guards against runs that are not reproducible with the same seed.
func TestRunsOfTheSameSeedAreEqual(t *testing.T) {
	first, second := runVariant(variantByName("product"), yatai, 7, 0.85, time.Second), runVariant(variantByName("product"), yatai, 7, 0.85, time.Second)
	require.Equal(t, first, second)
}
