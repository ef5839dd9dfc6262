package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Conflict is a key that an edit sets or removes and that changed since the base of the edit. A value is nil if the key is
// not set. The value of a listed place or service is {}.
type Conflict struct {
	Path   string          `json:"path"`
	Base   json.RawMessage `json:"base,omitempty"`
	Yours  json.RawMessage `json:"yours,omitempty"`
	Theirs json.RawMessage `json:"theirs,omitempty"`
}

func (c Conflict) String() string {
	return fmt.Sprintf("%s: yours %s, theirs %s", c.Path, orUnset(c.Yours), orUnset(c.Theirs))
}

func orUnset(value json.RawMessage) string {
	if value == nil {
		return "unset"
	}
	return string(value)
}

// ConflictError lists all conflicts of a refused change.
type ConflictError struct {
	Conflicts []Conflict
}

func (e *ConflictError) Error() string {
	lines := make([]string, len(e.Conflicts))
	for i, c := range e.Conflicts {
		lines[i] = c.String()
	}
	return "settings changed since the base: " + strings.Join(lines, "; ")
}

// Merge applies edits that were based on base to head. A key that the edits touch and that changed since the base is a
// conflict, unless both sides set it to the same value. Merge returns all conflicts in a *ConflictError. If edits are
// invalid, it returns an *InvalidError.
func Merge(base, head *Tree, edits []Edit) (*Tree, error) {
	parsed, err := parseEdits(edits, true)
	if err != nil {
		return nil, err
	}
	edited := base.with(parsed)
	before, yours, theirs := leaves{}, leaves{}, leaves{}
	for _, e := range parsed {
		before.addTouched(base, e)
		yours.addTouched(edited, e)
		theirs.addTouched(head, e)
	}
	if conflicts := findConflicts(before, yours, theirs); len(conflicts) > 0 {
		return nil, &ConflictError{Conflicts: conflicts}
	}
	merged := head.with(parsed)
	if problems := merged.duplicateClaims(); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return merged, nil
}

// addTouched adds the leaves of a tree that an edit sets or removes: those at and below its path and, if it sets a value,
// the place and the service that contain the path.
func (out leaves) addTouched(t *Tree, e parsedEdit) {
	out.add(t, e.location)
	if !e.unset {
		out.addContaining(t, e.location)
	}
}

// findConflicts returns the keys whose value in theirs differs both from that in before and from that in yours.
func findConflicts(before, yours, theirs leaves) []Conflict {
	var conflicts []Conflict
	for _, path := range sortedKeys(before, yours, theirs) {
		if sameLeaf(before, theirs, path) || sameLeaf(yours, theirs, path) {
			continue
		}
		conflicts = append(conflicts, Conflict{
			Path: path, Base: before.encode(path), Yours: yours.encode(path), Theirs: theirs.encode(path),
		})
	}
	return conflicts
}

func sameLeaf(a, b leaves, path string) bool {
	x, inA := a[path]
	y, inB := b[path]
	return inA == inB && reflect.DeepEqual(x, y)
}

// Difference is a key with different values in two trees. A value is nil if the key is not set.
type Difference struct {
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old,omitempty"`
	New  json.RawMessage `json:"new,omitempty"`
}

// Diff returns the keys whose values differ between two trees, sorted by path.
func Diff(before, after *Tree) []Difference {
	a, b := allLeaves(before), allLeaves(after)
	var out []Difference
	for _, path := range sortedKeys(a, b) {
		if !sameLeaf(a, b, path) {
			out = append(out, Difference{Path: path, Old: a.encode(path), New: b.encode(path)})
		}
	}
	return out
}

func allLeaves(t *Tree) leaves {
	out := leaves{}
	out.add(t, location{kind: atDefaults})
	for name := range t.Places {
		out.add(t, location{kind: atPlace, place: name})
	}
	return out
}

// EditsBetween returns edits that turn one tree into another. They edit single settings, so that they conflict only with
// other edits of the same settings. Settings below a removed place or service are omitted.
func EditsBetween(before, after *Tree) []Edit {
	var edits []Edit
	for _, d := range Diff(before, after) {
		switch l, _ := parsePath(d.Path); {
		case d.New != nil:
			edits = append(edits, Set(d.Path, d.New))
		case !removedAbove(after, l):
			edits = append(edits, Unset(d.Path))
		}
	}
	return edits
}

// removedAbove reports whether the place or service that contains a location is missing in the tree.
func removedAbove(t *Tree, l location) bool {
	if l.kind == atDefaults || l.kind == atPlace {
		return false
	}
	place, ok := t.Places[l.place]
	if !ok || l.kind != atService || l.key == "" {
		return !ok
	}
	_, ok = place.Services[l.service]
	return !ok
}
