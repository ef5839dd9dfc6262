package platformtest_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid unless one is given, so that a failure in CI repeats.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}
