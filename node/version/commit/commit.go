// Package commit validates, merges and commits edits of the settings, and reads accepted versions and their history.
//
// A commit is one conditional transaction. It advances the head row from the version that the edit was merged with to the
// next one, and adds the row of the new version and the row of the change id. The condition on the head row makes versions a
// single sequence, and the row of the change id makes repeated submissions idempotent.
package commit

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/connection/platform"
	"github.com/radishstand/radishstand/node/internal/wait"
)

// Change is an edit that an operator submits.
type Change struct {
	// ID names the change; submitting it again has no further effect.
	ID     string
	Author string
	// BaseVersion is the version that the author saw.
	BaseVersion int64
	Edits       []settings.Edit
}

// Rollback is a request to restore the settings of an earlier version as a new version.
type Rollback struct {
	ID, Author  string
	BaseVersion int64
	ToVersion   int64
}

// Result is the outcome of an accepted change.
type Result struct {
	Version int64
	// Repeated is true when an earlier submission of the change was accepted.
	Repeated bool
	// Accepted and Tree are the new version, to be distributed. They are nil when Repeated is true.
	Accepted *Version
	Tree     *settings.Tree
}

// Errors of a submission, in addition to *settings.InvalidError, *settings.ConflictError and those of Store. After any of
// them except ErrOutcomeUnknown, the change has no effect.
var (
	// ErrOutcomeUnknown means that the change may have been accepted or may still be. Submitting it again with the same id
	// shows the outcome.
	ErrOutcomeUnknown = eris.New("outcome of the settings change is unknown")
	// ErrBadChange means that the change or rollback request is invalid, for example in its id, author, size or versions.
	ErrBadChange = eris.New("bad settings change")
	// ErrChangeIDReused means that another change was accepted under the same id.
	ErrChangeIDReused = eris.New("change id belongs to another settings change")
	// ErrBusy means that other changes were accepted first too many times.
	ErrBusy = eris.New("too many settings changes at once")
)

const (
	// MaxChangeBytes limits the edits of a change. A row of the table holds at most 400 KB.
	MaxChangeBytes = 256 << 10
	// MaxTreeBytes limits the JSON form of the tree, which must fit in one message between nodes of at most 4 MiB.
	MaxTreeBytes = 3 << 20
	// maxNameBytes limits the id and the author of a change.
	maxNameBytes = 128
	// maxAttempts limits the transactions for one submission. Each lost race means that another change was accepted.
	maxAttempts = 32
	// changeIDRetention is how long a repeated submission is recognized.
	changeIDRetention = 30 * 24 * time.Hour
	// snapshotTimeout limits the writing of a snapshot, which runs concurrently with submissions.
	snapshotTimeout = 10 * time.Second
)

// Backoff between attempts after a lost race or an unknown outcome. The delay is random between half and all of the backoff.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Editor commits changes. It is safe for concurrent use.
type Editor struct {
	*Store
	now func() time.Time

	snapshots sync.WaitGroup
	writing   sync.Mutex // locked while a snapshot is written
}

// NewEditor returns an Editor that writes to the table and the object store of a Store.
func NewEditor(store *Store, now func() time.Time) *Editor {
	return &Editor{Store: store, now: now}
}

// Close waits until snapshots in progress are written.
func (e *Editor) Close() { e.snapshots.Wait() }

// Rollback commits the difference between the base version and an earlier one as a new version. Keys that changed since
// the base version conflict as in any other change.
func (e *Editor) Rollback(ctx context.Context, r Rollback) (Result, error) {
	if r.ToVersion < 0 || r.ToVersion >= r.BaseVersion {
		return Result{}, eris.Wrapf(ErrBadChange, "version %d is not before the base version %d", r.ToVersion, r.BaseVersion)
	}
	base, err := e.Load(ctx, r.BaseVersion)
	if err != nil {
		return Result{}, err
	}
	target, err := e.Load(ctx, r.ToVersion)
	if err != nil {
		return Result{}, err
	}
	edits := settings.EditsBetween(base, target)
	return e.Commit(ctx, Change{ID: r.ID, Author: r.Author, BaseVersion: r.BaseVersion, Edits: edits})
}

// Commit merges a change into the highest version and commits the result as the next one.
func (e *Editor) Commit(ctx context.Context, c Change) (Result, error) {
	if err := validate(c); err != nil {
		return Result{}, err
	}
	s := submission{editor: e, change: c, digest: digest(c), pendingHead: noPending}
	backoff := minBackoff
	for range maxAttempts {
		result, retry, err := s.attempt(ctx)
		if !retry {
			if err == nil {
				e.startSnapshot(result)
			}
			return result, err
		}
		if wait.Backoff(ctx, backoff) != nil {
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	if s.pendingHead != noPending {
		return Result{}, eris.Wrapf(ErrOutcomeUnknown, "change %s", c.ID)
	}
	if ctx.Err() != nil {
		return Result{}, eris.Wrapf(ErrUnavailable, "change %s: %v", c.ID, ctx.Err())
	}
	return Result{}, eris.Wrapf(ErrBusy, "change %s: %d attempts lost to other changes", c.ID, maxAttempts)
}

func validate(c Change) error {
	if c.ID == "" || len(c.ID) > maxNameBytes || c.Author == "" || len(c.Author) > maxNameBytes {
		return eris.Wrapf(ErrBadChange, "id of %d and author of %d bytes, allowed 1 to %d", len(c.ID), len(c.Author), maxNameBytes)
	}
	size := 0
	for _, edit := range c.Edits {
		size += len(edit.Path) + len(edit.Value)
	}
	if len(c.Edits) == 0 || size > MaxChangeBytes {
		return eris.Wrapf(ErrBadChange, "%d edits with %d bytes, allowed at least one edit and at most %d bytes",
			len(c.Edits), size, MaxChangeBytes)
	}
	return nil
}

// digest distinguishes changes with the same id. It has 63 bits, so that it fits in a number of a row.
func digest(c Change) int64 {
	data, err := json.Marshal(c)
	if err != nil {
		data = fmt.Appendf(nil, "%+v", c) // a value is not valid JSON; the merge rejects the change
	}
	sum := sha256.Sum256(data)
	return int64(binary.BigEndian.Uint64(sum[:8]) >> 1)
}

// noPending means that no write of the submission can still take effect.
const noPending = -1

// submission is the state of one call of Commit.
type submission struct {
	editor *Editor
	change Change
	digest int64
	// pendingHead is the head version that is the condition of a write with unknown outcome, or noPending. The write can
	// take effect as long as the head is at that version, and not once the head has advanced.
	pendingHead int64
}

// attempt makes one transaction. It reports in retry whether the submission needs another attempt.
//
// It reads the head before the row of the change id: if the head has advanced past the condition of a write with unknown
// outcome and the row is still missing afterwards, that write did not take effect and never will.
func (s *submission) attempt(ctx context.Context) (result Result, retry bool, err error) {
	e := s.editor
	head, err := e.HeadVersion(ctx)
	if err != nil {
		return Result{}, s.pendingHead != noPending, err
	}
	result, found, err := s.findAccepted(ctx)
	if err != nil && !errors.Is(err, ErrChangeIDReused) {
		return Result{}, s.pendingHead != noPending, err
	}
	if found || err != nil {
		return result, false, err
	}
	if s.pendingHead != head {
		s.pendingHead = noPending
	}
	tree, err := s.merge(ctx, head)
	if err != nil {
		return Result{}, s.pendingHead != noPending, err
	}
	return s.write(ctx, head, tree)
}

// findAccepted looks up an accepted submission of the same change.
func (s *submission) findAccepted(ctx context.Context) (Result, bool, error) {
	item, err := s.editor.table.Get(ctx, changeKey(s.change.ID))
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return Result{}, false, nil
	case err != nil:
		return Result{}, false, eris.Wrapf(ErrUnavailable, "read change id %s: %v", s.change.ID, err)
	case item.Numbers[numberDigest] != s.digest:
		return Result{}, false, eris.Wrapf(ErrChangeIDReused, "change id %s belongs to version %d",
			s.change.ID, item.Numbers[numberVersion])
	}
	return Result{Version: item.Numbers[numberVersion], Repeated: true}, true, nil
}

// numberDigest is the name of the number that holds the digest of the change in a change-id row.
const numberDigest = "digest"

// merge returns the tree that results from applying the change to the head version.
func (s *submission) merge(ctx context.Context, head int64) (*settings.Tree, error) {
	base := s.change.BaseVersion
	if base < 0 || base > head {
		return nil, eris.Wrapf(ErrNoVersion, "base version %d, highest version %d", base, head)
	}
	baseTree, err := s.editor.Load(ctx, base)
	if err != nil {
		return nil, err
	}
	headTree, err := s.editor.Load(ctx, head)
	if err != nil {
		return nil, err
	}
	merged, err := settings.Merge(baseTree, headTree, s.change.Edits)
	if err != nil {
		return nil, err
	}
	if merged.EncodedBound() > MaxTreeBytes {
		if size := len(merged.Encode()); size > MaxTreeBytes {
			return nil, eris.Wrapf(ErrBadChange, "the resulting settings have %d bytes, allowed %d", size, MaxTreeBytes)
		}
	}
	return merged, nil
}

// write makes one transaction on top of head. A failed condition or an unknown outcome requires another attempt.
func (s *submission) write(ctx context.Context, head int64, tree *settings.Tree) (Result, bool, error) {
	now := s.editor.now()
	version := Version{
		Version: head + 1, ChangeID: s.change.ID, Author: s.change.Author, CommittedUnixMs: now.UnixMilli(), Edits: s.change.Edits,
	}
	err := s.editor.table.Transact(ctx, s.transaction(head, version, now)...)
	switch {
	case err == nil:
		s.editor.cache.add(version.Version, tree)
		return Result{Version: version.Version, Accepted: &version, Tree: tree}, false, nil
	case errors.Is(err, platform.ErrCondition):
		return Result{}, true, nil
	case errors.Is(err, platform.ErrUnavailable):
		return Result{}, s.pendingHead != noPending, eris.Wrapf(ErrUnavailable, "commit version %d: %v", version.Version, err)
	}
	s.pendingHead = head
	return Result{}, true, nil
}

// transaction returns the writes that make head+1 the highest version.
func (s *submission) transaction(head int64, version Version, now time.Time) []platform.Write {
	data, err := json.Marshal(version)
	if err != nil {
		panic("commit: encoding a version: " + err.Error()) // the merge accepted the edits, so their values are JSON
	}
	headCondition := platform.Condition{Equal: map[string]int64{numberVersion: head}}
	if head == 0 {
		headCondition = platform.Condition{Absent: true}
	}
	number := map[string]int64{numberVersion: version.Version}
	return []platform.Write{
		{Item: platform.Item{Key: headKey, Numbers: number}, Condition: headCondition},
		{Item: platform.Item{Key: versionKey(version.Version), Numbers: number, Data: data}, Condition: platform.Condition{Absent: true}},
		{
			Item: platform.Item{
				Key:         changeKey(s.change.ID),
				Numbers:     map[string]int64{numberVersion: version.Version, numberDigest: s.digest},
				ExpiresUnix: now.Add(changeIDRetention).Unix(),
			},
			Condition: platform.Condition{Absent: true},
		},
	}
}

// startSnapshot writes the latest due snapshot in the background, unless another one is being written or the table records
// that it exists. A snapshot that fails is due again after the next change at any node.
func (e *Editor) startSnapshot(r Result) {
	due := r.Version - r.Version%SnapshotEvery
	if due == 0 || !e.writing.TryLock() {
		return
	}
	e.snapshots.Go(func() {
		defer e.writing.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
		defer cancel()
		_ = e.writeSnapshot(ctx, due) // errors are ignored: the rows hold all versions, a snapshot only speeds up loading
	})
}

func (e *Editor) writeSnapshot(ctx context.Context, due int64) error {
	written, err := e.number(ctx, snapshotKey)
	if err != nil || written >= due {
		return err
	}
	tree, err := e.Load(ctx, due)
	if err != nil {
		return err
	}
	if err := e.objects.PutObject(ctx, objectKey(due), encodeSnapshot(due, tree)); err != nil {
		return eris.Wrapf(ErrUnavailable, "write snapshot %d: %v", due, err)
	}
	item := platform.Item{Key: snapshotKey, Numbers: map[string]int64{numberVersion: due}}
	if err := e.table.Transact(ctx, platform.Write{Item: item}); err != nil {
		return eris.Wrapf(ErrUnavailable, "record snapshot %d: %v", due, err)
	}
	return nil
}
