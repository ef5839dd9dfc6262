package membudget_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/internal/membudget"
)

const limit = 1 << 20

// Guards against large bodies that together take more memory than the process has, and against small ones that fail because
// of them.
func TestLargeBodiesShareTheBudget(t *testing.T) {
	budget := membudget.New(limit)
	first, second, small := budget.Reserve(), budget.Reserve(), budget.Reserve()
	require.NoError(t, first.Grow(limit*3/4))
	assert.ErrorIs(t, second.Grow(limit/2), membudget.ErrExhausted)
	assert.NoError(t, small.Grow(1000))
	first.Release()
	first.Release()
	assert.NoError(t, second.Grow(limit/2))
	second.Release()
	small.Release()
	assert.Zero(t, budget.Held())
}

// Guards against a body without end, and against one that ends early and is taken for complete.
func TestReadAllStopsAtTheLimitsAndReportsTruncation(t *testing.T) {
	body := strings.Repeat("x", 200<<10)
	cases := map[string]struct {
		reader io.Reader
		want   error
	}{
		"complete":         {strings.NewReader(body), nil},
		"in small pieces":  {iotest.OneByteReader(strings.NewReader(body)), nil},
		"empty":            {strings.NewReader(""), nil},
		"endless":          {endless{}, membudget.ErrTooLarge},
		"truncated":        {io.MultiReader(strings.NewReader(body), iotest.ErrReader(io.ErrUnexpectedEOF)), io.ErrUnexpectedEOF},
		"connection reset": {io.MultiReader(strings.NewReader(body), iotest.ErrReader(io.ErrClosedPipe)), io.ErrClosedPipe},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			budget := membudget.New(limit)
			reservation := budget.Reserve()
			read, err := membudget.ReadAll(c.reader, limit/4, reservation)
			assert.ErrorIs(t, err, c.want)
			if err == nil {
				assert.Contains(t, []int{0, len(body)}, len(read))
			}
			assert.LessOrEqual(t, budget.Held(), int64(limit))
			reservation.Release()
			assert.Zero(t, budget.Held())
		})
	}
}

// Guards against memory that is allocated for a length that was only claimed.
func TestAClaimedLengthAllocatesNothing(t *testing.T) {
	const claimed = 1 << 40
	_, err := membudget.ReadIncrementally(strings.NewReader("short"), claimed)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	body := bytes.Repeat([]byte("0123456789"), limit/2)
	read, err := membudget.ReadIncrementally(bytes.NewReader(body), int64(len(body)))
	require.NoError(t, err)
	assert.Equal(t, body, read)
}

// endless is a reader without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }
