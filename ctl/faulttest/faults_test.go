//go:build linux

package faulttest

import (
	"testing"
	"time"
)

// Guards against a second run or a false not-run when a node dies with calls and ledger ranges in its hands.
func TestKilledNodeIsReplacedUnderLoad(t *testing.T) {
	f := newFleet(t, 8)
	stop := f.load(1)
	time.Sleep(time.Second)
	for _, i := range []int{0, 4} {
		f.nodes[i].kill()
		time.Sleep(1500 * time.Millisecond)
		f.nodes[i].start()
		time.Sleep(500 * time.Millisecond)
	}
	stop()
	f.settle()
}
