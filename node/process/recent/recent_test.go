package recent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against quantiles of too few latencies, and of latencies outside the window.
func TestQuantileCoversRecentLatenciesOnly(t *testing.T) {
	var l Latencies
	_, ok := l.Quantile(0, 0.5, 1)
	require.False(t, ok)
	for range 100 {
		l.Record(0, 100*time.Millisecond)
	}
	_, ok = l.Quantile(0, 0.9, 101)
	require.False(t, ok)
	q, ok := l.Quantile(time.Second, 0.5, 100)
	require.True(t, ok)
	require.InDelta(t, 100, q.Milliseconds(), 10)
	for i := range 100 {
		l.Record(5*time.Second+time.Duration(i), 10*time.Millisecond)
	}
	q, ok = l.Quantile(5*time.Second+time.Millisecond, 0.99, 100)
	require.True(t, ok)
	require.InDelta(t, 10, q.Milliseconds(), 1)
	l.Record(6*time.Second, 24*time.Hour)
	q, _ = l.Quantile(6*time.Second, 1, 1)
	require.LessOrEqual(t, q, 11*time.Minute)
}
