package distribution

import (
	"encoding/json"

	"google.golang.org/protobuf/proto"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/version/commit"
	"github.com/radishstand/radishstand/node/version/current"
)

// changeLog keeps the latest changes up to the held version, without gaps, for peers that lag by a few versions.
type changeLog struct {
	base    int64 // the version that the first change applies to
	changes []*peerpb.SettingsVersion
	bytes   int
}

// restart empties the log and sets its base.
func (l *changeLog) restart(version int64) { *l = changeLog{base: version} }

// add appends the change that leads to the next version, and drops the oldest changes beyond maxLogBytes.
func (l *changeLog) add(v *peerpb.SettingsVersion) {
	l.changes = append(l.changes, v)
	l.bytes += proto.Size(v)
	for l.bytes > maxLogBytes {
		l.bytes -= proto.Size(l.changes[0])
		l.base = l.changes[0].Version
		l.changes[0] = nil
		l.changes = l.changes[1:]
	}
}

// after returns the first changes above a version that fit in maxBytes, and whether the log reaches back that far.
func (l *changeLog) after(version int64, maxBytes int) ([]*peerpb.SettingsVersion, bool) {
	if version < l.base {
		return nil, false
	}
	skip := min(version-l.base, int64(len(l.changes)))
	var out []*peerpb.SettingsVersion
	for _, v := range l.changes[skip:] {
		if maxBytes -= proto.Size(v); maxBytes < 0 {
			break
		}
		out = append(out, v)
	}
	return out, true
}

// encodeVersion returns the message that carries an accepted version between nodes.
func encodeVersion(v commit.Version) *peerpb.SettingsVersion {
	change, err := json.Marshal(v.Edits)
	if err != nil {
		panic("distribution: encoding a change: " + err.Error()) // an accepted change is valid JSON
	}
	return &peerpb.SettingsVersion{
		Version: v.Version, ChangeId: v.ChangeID, Author: v.Author, CommittedUnixMs: v.CommittedUnixMs, Change: change,
	}
}

// treeVersion is a settings tree and its version, to which messages from peers are applied. Version -1 means that none is
// known.
type treeVersion struct {
	version int64
	tree    *settings.Tree
}

func treeVersionOf(s *current.Snapshot) treeVersion {
	if s == nil {
		return treeVersion{version: -1}
	}
	return treeVersion{version: s.Version, tree: s.Tree}
}

// apply applies a message with a newer snapshot or the next change, and reports whether it did. It ignores old versions and
// changes after a gap.
func (n *treeVersion) apply(v *peerpb.SettingsVersion) (bool, error) {
	switch {
	case v.Version <= n.version:
		return false, nil
	case v.Snapshot:
		tree, err := settings.ParseStored(v.Change)
		if err != nil {
			return false, err
		}
		n.version, n.tree = v.Version, tree
		return true, nil
	case n.tree == nil || v.Version != n.version+1:
		return false, nil
	}
	var edits []settings.Edit
	if err := json.Unmarshal(v.Change, &edits); err != nil {
		return false, err
	}
	tree, err := n.tree.ApplyStored(edits)
	if err != nil {
		return false, err
	}
	n.version, n.tree = v.Version, tree
	return true, nil
}
