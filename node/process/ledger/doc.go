// Package ledger is the idempotency ledger: it grants keyed non-idempotent work to at most one call.
//
// The key space is split into RangeCount ranges, each held by one node. The holder keeps the entries of its ranges in
// memory and groups changes into segment rows of the platform's table. Every segment is written in one transaction with
// a check of the range row's epoch, and a take-over of the range raises that epoch before it reads the segments.
// Therefore, the next write of a node that was paused, or whose view of the membership is stale, fails, and it grants
// nothing.
//
// A record in a segment is the complete state of its key. The last record of a key by (epoch, sequence) is the live one.
// Only the oldest rows are deleted, after their live records were rewritten.
//
// A write whose answer is lost is repeated with the same row until its outcome is certain. It is never reported as a
// definite failure, since it may take effect after a read that did not show it. If no request waits for a claim any more
// when its write is known to have taken effect, the claim was never granted, and the holder releases it.
//
// Nodes exchange durations only, not times. The holder's clock decides whether a claim without outcome is reported as in
// progress or as unknown. Neither is ever granted to another call, so a wrong clock changes the answer but causes no
// second run. Entries are kept for clockErrorAllowance longer than the retention, so that a clock that is fast by less
// than that expires no key early.
package ledger
