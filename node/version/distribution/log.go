package distribution

import (
	"encoding/json"

	"google.golang.org/protobuf/proto"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/version/commit"
	"github.com/radishstand/radishstand/node/version/current"
)

// log holds the latest changes that led to the held version, without gaps, for peers that lag a little.
type log struct {
	base    int64 // the version before the first change
	changes []*peerpb.SettingsVersion
	bytes   int
}

// restart empties the log at a version.
func (l *log) restart(version int64) { *l = log{base: version} }

// add appends the change that made the next version, and drops the oldest ones beyond maxLogBytes.
func (l *log) add(v *peerpb.SettingsVersion) {
	l.changes = append(l.changes, v)
	l.bytes += proto.Size(v)
	for l.bytes > maxLogBytes {
		l.bytes -= proto.Size(l.changes[0])
		l.base = l.changes[0].Version
		l.changes[0] = nil
		l.changes = l.changes[1:]
	}
}

// after returns the changes above a version that fit in maxBytes, and whether the log reaches back that far.
func (l *log) after(version int64, maxBytes int) ([]*peerpb.SettingsVersion, bool) {
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

// messageOf is the form of an accepted version between nodes.
func messageOf(v commit.Version) *peerpb.SettingsVersion {
	change, err := json.Marshal(v.Edits)
	if err != nil {
		panic("distribution: encoding a change: " + err.Error()) // an accepted change is valid JSON
	}
	return &peerpb.SettingsVersion{
		Version: v.Version, ChangeId: v.ChangeID, Author: v.Author, CommittedUnixMs: v.CommittedUnixMs, Change: change,
	}
}

// next is the version that a node builds from messages before it holds it. Version -1 means that none is known.
type next struct {
	version int64
	tree    *settings.Tree
}

func nextOf(s *current.Snapshot) next {
	if s == nil {
		return next{version: -1}
	}
	return next{version: s.Version, tree: s.Tree}
}

// apply takes a message that continues the version and reports whether it did.
func (n *next) apply(v *peerpb.SettingsVersion) (bool, error) {
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
