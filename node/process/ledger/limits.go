package ledger

import "time"

// Limits of a server. The zero value of a field means its default.
type Limits struct {
	// MaxEntries is the number of entries that a holder keeps over all its ranges. Beyond it, claims of new keys are
	// refused; taking over a range loads its entries even so. Default DefaultMaxEntries.
	MaxEntries int
	// WriteInterval is the mean time between segment writes of a range that is busy. Default 50 ms.
	WriteInterval time.Duration
	// Linger is how long a complete or release waits for a claim to share its segment. At 50 claims/s, 500 ms
	// take 1.2 writes per call and 100 ms take 1.6. Default 500 ms.
	Linger time.Duration
	// MaxWait is the longest that a handler waits for the store. Default 2 s.
	MaxWait time.Duration
	// MaxRows is the number of rows of a range above those that its live bytes need at which rows are merged. Default 64.
	MaxRows int
}

// DefaultMaxEntries takes 12 MB at the measured 186 bytes per entry (BenchmarkTakeOver), of the 32 MB that a node may
// use. With a retention of 24 h and a holder for each range, it allows 12 claims/s for the whole fleet on average.
const DefaultMaxEntries = 65536

const (
	// writeBurst lets a few claims in a row go without waiting for WriteInterval.
	writeBurst = 4
	// segmentBytes is a third of the 400 KB that a row may have. A larger segment holds a single record.
	segmentBytes = 128 << 10
	// maxRecordedAnswer keeps a row with one answer below the limit of a row whatever the settings say.
	maxRecordedAnswer = 256 << 10
	// maxCallID bounds the memory of an entry; call ids are UUIDs of 36 bytes.
	maxCallID = 128
	// maxPendingBytes of a range wait for the store before new records are refused.
	maxPendingBytes = 512 << 10

	// stallLimit is how long a write may fail before new claims of the range are refused without waiting.
	stallLimit = 250 * time.Millisecond
	// releaseMemory is how long a released key refuses claims of the call that released it, which may arrive late.
	releaseMemory = 2 * time.Minute
	// maxTimeout bounds the deadline of a claim.
	maxTimeout = 24 * time.Hour
	// clockAllowance is far above the clock error of hosts that synchronize their clocks.
	clockAllowance = 5 * time.Minute

	// evidenceBound is the greatest age of evidence by which a holder refuses as not-run, and so the time that keyed work
	// of a range waits after its holder failed. Longer waits exceed MaxWait, and callers would be refused. Shorter ones
	// leave no room for roundInterval and askTimeout.
	evidenceBound = time.Second
	// evidenceMargin covers the difference in the rates of two clocks, which is far below 5 %.
	evidenceMargin = 50 * time.Millisecond
	// clockRate is the part of a running time by which clocks may differ: 1 ms/s is twice what clocks are slewed by.
	clockRate = 1000
	// roundInterval is the shortest time between two rounds of checks of a node.
	roundInterval = evidenceBound / 2
	// askTimeout bounds a message about epochs.
	askTimeout = 250 * time.Millisecond
	// askEvery is how often the last holder is asked to give a range up.
	askEvery = 50 * time.Millisecond
	// checkInterval is how often an idle holder reads its range row: 1.6 reads/s for the whole fleet. A shorter time since
	// the last check means that fewer witnesses have restarted since.
	checkInterval = 10 * time.Second

	storeTimeout  = time.Second
	minBackoff    = 20 * time.Millisecond
	maxBackoff    = time.Second
	maxCoolDown   = 5 * time.Second
	sweepInterval = time.Minute
	// takeOverTimeout bounds raising the epoch and loading. 65,536 entries load in 0.3 s at 5 ms per read; the rest is for
	// a slow store.
	takeOverTimeout = 30 * time.Second
	// raiseTimeout bounds raising the epoch alone, so that callers are refused promptly while the store is down.
	raiseTimeout = time.Second
	loadPage     = 32

	// maxMoveRows and maxMoveBytes bound the rows that one round of compaction reads.
	maxMoveRows  = 64
	maxMoveBytes = 512 << 10
	// maxDropRows leaves room for the range row in a transaction of platform.MaxTransactionWrites.
	maxDropRows = 90
)

func (l Limits) withDefaults() Limits {
	setDefault(&l.MaxEntries, DefaultMaxEntries)
	setDefault(&l.WriteInterval, 50*time.Millisecond)
	setDefault(&l.Linger, 500*time.Millisecond)
	setDefault(&l.MaxWait, 2*time.Second)
	setDefault(&l.MaxRows, 64)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
