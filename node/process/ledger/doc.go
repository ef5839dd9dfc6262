// Package ledger is the idempotency ledger: it makes sure that keyed non-idempotent work is granted to one call at most.
//
// The key space is split into RangeCount ranges, each held by one node. The holder keeps the entries of its ranges in
// memory and groups changes into segment rows of the platform's table. Every segment is written in one transaction with
// a check of the range row's epoch, and taking over a range raises that epoch before it reads the segments. A node that
// was paused, or whose view of the membership is stale, therefore fails its next write and grants nothing.
//
// A record in a segment is the whole state of its key, and the last record of a key by (epoch, sequence) decides. Only
// the oldest rows are ever removed, after the records in them that still decide were written again.
//
// A write whose answer is lost is repeated with the same row until its fate is certain. It is never reported as failed
// for certain, since it may take effect after a read that did not show it. A claim that nobody waits for any more when
// its write becomes certain was never granted, and the holder releases it.
//
// Nodes exchange durations only. The holder's clock decides whether a claim without outcome reads as in progress or as
// unknown; neither is ever granted to another call, so a wrong clock changes the answer but starts no second run. Entries
// are kept for clockAllowance longer than the retention, so that a clock that is fast by less forgets no key early.
package ledger
