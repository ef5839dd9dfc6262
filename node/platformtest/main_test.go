package platformtest_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed rapid seed unless one is given, so that failures in CI are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}
