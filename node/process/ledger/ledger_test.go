package ledger

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a second run of a repeated call, and against a state other than the one that the first call left, at the
// same node, at another node, and after a change of the holder.
func TestRepeatOfACallInEachState(t *testing.T) {
	cases := []struct {
		name   string
		before func(t *testing.T, f *fleet)
		want   string
	}{
		{"a free key is granted", func(*testing.T, *fleet) {}, "granted"},
		{"a claim before its deadline is in progress", func(t *testing.T, f *fleet) {
			require.Equal(t, "granted", f.claim("a", "k", "first"))
		}, "in-progress"},
		{"a claim past its deadline is unknown", func(t *testing.T, f *fleet) {
			require.Equal(t, "granted", f.claim("a", "k", "first"))
			time.Sleep(11 * time.Second)
		}, "unknown"},
		{"a completed key is replayed", func(t *testing.T, f *fleet) {
			require.Equal(t, "granted", f.claim("a", "k", "first"))
			require.NoError(t, f.complete("a", "k", "first", "booked"))
		}, "replay"},
		{"an answer that is too large is not recorded", func(t *testing.T, f *fleet) {
			require.Equal(t, "granted", f.claim("a", "k", "first"))
			require.NoError(t, f.complete("a", "k", "first", string(make([]byte, 17<<10))))
		}, "replay-without-answer"},
		{"an outcome after the deadline is replayed", func(t *testing.T, f *fleet) {
			require.Equal(t, "granted", f.claim("a", "k", "first"))
			time.Sleep(11 * time.Second)
			require.NoError(t, f.complete("a", "k", "first", "booked"))
		}, "replay"},
		{"a released key is granted", func(t *testing.T, f *fleet) {
			require.Equal(t, "granted", f.claim("a", "k", "first"))
			require.NoError(t, f.release("a", "k", "first"))
		}, "granted"},
		{"another body is a mismatch", func(t *testing.T, f *fleet) {
			require.Equal(t, "granted", f.claimBody("a", "k", "first", HashOf([]byte("other"))))
		}, "mismatch"},
		{"another body after completion is a mismatch", func(t *testing.T, f *fleet) {
			require.Equal(t, "granted", f.claimBody("a", "k", "first", HashOf([]byte("other"))))
			require.NoError(t, f.complete("a", "k", "first", "booked"))
		}, "mismatch"},
		{"an expired key is granted", func(t *testing.T, f *fleet) {
			require.Equal(t, "granted", f.claim("a", "k", "first"))
			require.NoError(t, f.complete("a", "k", "first", "booked"))
			time.Sleep(24*time.Hour + 2*clockErrorAllowance)
		}, "granted"},
	}
	steps := map[string]func(f *fleet){
		"at the same node":          func(*fleet) {},
		"after a take-over":         func(f *fleet) { f.setHolder("b") },
		"after all nodes restarted": func(f *fleet) { f.start("a", Limits{}); f.start("b", Limits{}) },
	}
	for _, c := range cases {
		for step, do := range steps {
			for _, node := range []string{"a", "b"} {
				t.Run(c.name+" "+step+" from "+node, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newFleet(t, Limits{}, "a", "b")
						c.before(t, f)
						do(f)
						require.Equal(t, c.want, f.claim(node, "k", "second"))
					})
				})
			}
		}
	}
}
