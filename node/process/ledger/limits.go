package ledger

import "time"

// Limits bounds the memory, the store operations and the waits of a server. A zero field means its default.
type Limits struct {
	// MaxEntries is the number of entries of all held ranges above which claims of new keys are refused. A take-over loads
	// the entries of its range even beyond it. Default DefaultMaxEntries.
	MaxEntries int
	// WriteInterval is the mean time between segment writes of a busy range. Default 50 ms.
	WriteInterval time.Duration
	// Linger is how long the record of an outcome or release waits for a claim to share its segment. At 50 claims/s, 500 ms
	// result in 1.2 writes per call and 100 ms in 1.6. Default 500 ms.
	Linger time.Duration
	// HandlerTimeout bounds the time that a handler waits for the store. Default 2 s.
	HandlerTimeout time.Duration
	// MaxRows is the number of rows, beyond those allowed for its live bytes, above which a range is compacted. Default 64.
	MaxRows int
}

// DefaultMaxEntries uses 12 MB at 186 bytes per entry (BenchmarkTakeOver), of the 32 MB that a node may use. With a
// retention of 24 h and a holder for each range, it allows 12 claims/s on average for the whole fleet.
const DefaultMaxEntries = 65536

const (
	// writeBurst is the number of segment writes in a row that do not wait for WriteInterval.
	writeBurst = 4
	// segmentBytes is the maximum size of a segment with more than one record: a third of the 400 KB limit of a row.
	segmentBytes = 128 << 10
	// maxRecordedAnswer is the maximum size of an answer in bytes, whatever the settings allow. It keeps a row with one
	// answer below the size limit of a row.
	maxRecordedAnswer = 256 << 10
	// maxCallID is the maximum length of a call id in bytes, which bounds the memory of an entry. Call ids are UUIDs of 36
	// bytes.
	maxCallID = 128
	// maxPendingBytes is the size of the records of a range waiting for the store above which new records are refused.
	maxPendingBytes = 512 << 10

	// stallTimeout is how long a write may fail before new claims of the range are refused without waiting.
	stallTimeout = 250 * time.Millisecond
	// releaseRetention is how long a released key refuses claims of the call that released it, since they may arrive late.
	releaseRetention = 2 * time.Minute
	// maxClaimTimeout bounds the timeout of a claim.
	maxClaimTimeout = 24 * time.Hour
	// clockErrorAllowance is far above the clock error of hosts that synchronize their clocks.
	clockErrorAllowance = 5 * time.Minute

	// maxEvidenceAge is the maximum age of the evidence with which a holder refuses claims as not-run. Keyed work of a range
	// waits this long after its holder failed. Longer waits would exceed HandlerTimeout, and callers would be refused.
	// Shorter ones leave no room for checkRoundInterval and epochsTimeout.
	maxEvidenceAge = time.Second
	// evidenceClockMargin covers the difference between the rates of two clocks, which is far below 5 %.
	evidenceClockMargin = 50 * time.Millisecond
	// clockDriftDivisor is the fraction 1/n of an elapsed time by which two clocks may differ: 1 ms/s is twice the rate at
	// which clocks are slewed.
	clockDriftDivisor = 1000
	// checkRoundInterval is the minimum time between the starts of two rounds of checks of a node.
	checkRoundInterval = maxEvidenceAge / 2
	// epochsTimeout bounds a request for epochs.
	epochsTimeout = 250 * time.Millisecond
	// lastHolderPollInterval is the interval at which a take-over asks the last holder to end its ownership.
	lastHolderPollInterval = 50 * time.Millisecond
	// rangeRowCheckInterval is the interval at which an idle holder reads its range row: 1.6 reads/s for the whole fleet. The
	// shorter the time since the last check, the fewer witnesses have restarted since then.
	rangeRowCheckInterval = 10 * time.Second

	storeTimeout        = time.Second
	minBackoff          = 20 * time.Millisecond
	maxBackoff          = time.Second
	maxRangeLostBackoff = 5 * time.Second
	sweepInterval       = time.Minute
	// takeOverTimeout bounds a take-over. 65,536 entries load in 0.3 s at 5 ms per read; the rest is for a slow store.
	takeOverTimeout = 30 * time.Second
	// raiseEpochTimeout bounds raising the epoch, so that callers are refused promptly while the store is unavailable.
	raiseEpochTimeout = time.Second
	loadPageRows      = 32

	// maxRewriteRows and maxRewriteBytes bound the rows that one run of compaction rewrites.
	maxRewriteRows  = 64
	maxRewriteBytes = 512 << 10
	// maxDeleteRows leaves room for the range row in a transaction of platform.MaxTransactionWrites.
	maxDeleteRows = 90
)

func (l Limits) withDefaults() Limits {
	setDefault(&l.MaxEntries, DefaultMaxEntries)
	setDefault(&l.WriteInterval, 50*time.Millisecond)
	setDefault(&l.Linger, 500*time.Millisecond)
	setDefault(&l.HandlerTimeout, 2*time.Second)
	setDefault(&l.MaxRows, 64)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
