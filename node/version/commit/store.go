package commit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/connection/platform"
)

// Version is an accepted version of the settings with the change that created it.
type Version struct {
	Version         int64           `json:"version"`
	ChangeID        string          `json:"changeId"`
	Author          string          `json:"author"`
	CommittedUnixMs int64           `json:"committedUnixMs"`
	Edits           []settings.Edit `json:"edits"`
}

// Errors of Store and Editor. Errors of the platform are mapped to these.
var (
	// ErrUnavailable means that the platform did not answer. A submission that fails with this error has no effect.
	ErrUnavailable = eris.New("settings store is unavailable")
	// ErrNoVersion means that the version does not exist.
	ErrNoVersion = eris.New("settings version does not exist")
	// ErrCorrupt means that a row of the store is missing or does not contain what was written.
	ErrCorrupt = eris.New("settings store holds an unreadable row")
)

const (
	// SnapshotEvery is the number of versions between snapshots. At 32,000 versions per day, 64 snapshots of about 1 MB are
	// written per day. A load reads at most this many rows after the snapshot.
	SnapshotEvery = 500
	// pageRows is the number of version rows read per query.
	pageRows = 100
	// maxReplayRows limits the replay from the first version while the object store does not answer.
	maxReplayRows = 10 * SnapshotEvery
	// cachedTrees is the number of recently used trees kept in memory. The trees share their unchanged parts.
	cachedTrees = 16
)

// Partitions of the table, and the name of the number that holds the version in a row.
const (
	partitionMain     = "settings"
	partitionVersions = "settings-version"
	partitionChanges  = "settings-change"
	numberVersion     = "version"
)

var (
	headKey     = platform.Key{Partition: partitionMain, Sort: "head"}
	snapshotKey = platform.Key{Partition: partitionMain, Sort: "snapshot"}
)

// versionSort returns a sort key whose text order is the numeric order of versions.
func versionSort(version int64) string { return fmt.Sprintf("%019d", version) }

func versionKey(version int64) platform.Key {
	return platform.Key{Partition: partitionVersions, Sort: versionSort(version)}
}

func changeKey(id string) platform.Key {
	return platform.Key{Partition: partitionChanges, Sort: id}
}

func objectKey(version int64) string { return "settings/snapshot/" + versionSort(version) }

// Store reads accepted versions from the table and the object store of the platform. It is safe for concurrent use.
type Store struct {
	table   platform.Table
	objects platform.Objects
	cache   cache
}

// NewStore returns a Store that reads versions from a table and snapshots from an object store.
func NewStore(table platform.Table, objects platform.Objects) *Store {
	return &Store{table: table, objects: objects}
}

// HeadVersion returns the highest accepted version, or 0 if no change was accepted yet.
func (s *Store) HeadVersion(ctx context.Context) (int64, error) {
	return s.number(ctx, headKey)
}

// number returns the version number in a row, or 0 if the row is missing.
func (s *Store) number(ctx context.Context, key platform.Key) (int64, error) {
	item, err := s.table.Get(ctx, key)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return 0, nil
	case err != nil:
		return 0, eris.Wrapf(ErrUnavailable, "read row %s: %v", key.Sort, err)
	}
	return item.Numbers[numberVersion], nil
}

// Versions returns at most limit accepted versions above a version, in ascending order.
func (s *Store) Versions(ctx context.Context, after int64, limit int) ([]Version, error) {
	items, err := s.table.Query(ctx, partitionVersions, versionSort(after+1), limit)
	if err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "read versions after %d: %v", after, err)
	}
	versions := make([]Version, len(items))
	for i, item := range items {
		if err := json.Unmarshal(item.Data, &versions[i]); err != nil {
			return nil, eris.Wrapf(ErrCorrupt, "version row %s: %v", item.Key.Sort, err)
		}
	}
	return versions, nil
}

// Load returns the tree of a version. It starts from the nearest earlier tree in the cache, or else from a snapshot, and
// applies the versions after it.
func (s *Store) Load(ctx context.Context, version int64) (*settings.Tree, error) {
	from, tree := s.cache.nearest(version)
	if tree == nil || version-from > SnapshotEvery {
		var err error
		if from, tree, err = s.snapshot(ctx, version); err != nil {
			return nil, err
		}
	}
	tree, err := s.replay(ctx, from, tree, version)
	if err != nil {
		return nil, err
	}
	s.cache.add(version, tree)
	return tree, nil
}

// snapshot returns the highest snapshot that is not above a version. If a snapshot is missing or damaged, it falls back to
// an earlier one and finally to the empty tree before the first version, since the rows of the table hold every version.
func (s *Store) snapshot(ctx context.Context, version int64) (int64, *settings.Tree, error) {
	for at := version - version%SnapshotEvery; at > 0; at -= SnapshotEvery {
		body, err := s.objects.GetObject(ctx, objectKey(at))
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			if version <= maxReplayRows {
				break
			}
			return 0, nil, eris.Wrapf(ErrUnavailable, "read snapshot %d: %v", at, err)
		}
		if tree, ok := decodeSnapshot(at, body); err == nil && ok {
			return at, tree, nil
		}
	}
	return 0, &settings.Tree{}, nil
}

// replay applies the versions above from, up to and including to, to the tree of version from.
func (s *Store) replay(ctx context.Context, from int64, tree *settings.Tree, to int64) (*settings.Tree, error) {
	for from < to {
		page, err := s.Versions(ctx, from, int(min(to-from, pageRows)))
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			return nil, eris.Wrapf(ErrNoVersion, "version %d", from+1)
		}
		for _, v := range page {
			if v.Version != from+1 {
				return nil, eris.Wrapf(ErrCorrupt, "version row %d is missing", from+1)
			}
			if tree, err = tree.ApplyStored(v.Edits); err != nil {
				return nil, eris.Wrapf(ErrCorrupt, "version row %d: %v", v.Version, err)
			}
			from = v.Version
		}
	}
	return tree, nil
}
