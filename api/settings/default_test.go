package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a default tag that does not parse, which would panic at start.
func TestDefaultFillsNestedFields(t *testing.T) {
	v := Default()
	require.Equal(t, 2000, v.Call.TimeoutMs)
	require.Equal(t, []string{"GET", "HEAD", "OPTIONS"}, v.Call.IdempotentMethods)
}
