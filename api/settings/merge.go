package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Conflict is a key that an edit sets and that changed since the base of the edit. A value is nil where the key is not
// set; a listed place or service reads as {}.
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

// ConflictError lists every conflict of a refused change.
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

// Merge applies edits made on base to head. A key that the edits touch and that changed since the base is a conflict,
// reported with all others in a *ConflictError, unless both sides gave it the same value. Faulty edits are refused with
// an *InvalidError.
func Merge(base, head *Tree, edits []Edit) (*Tree, error) {
	parsed, err := parseEdits(edits, true)
	if err != nil {
		return nil, err
	}
	mine := base.with(parsed)
	before, yours, theirs := leaves{}, leaves{}, leaves{}
	for _, e := range parsed {
		before.touched(base, e)
		yours.touched(mine, e)
		theirs.touched(head, e)
	}
	if conflicts := compare(before, yours, theirs); len(conflicts) > 0 {
		return nil, &ConflictError{Conflicts: conflicts}
	}
	merged := head.with(parsed)
	if problems := merged.clashes(); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return merged, nil
}

// touched adds the leaves that an edit sets or removes: those at and below its path and, when it sets something, the
// place and service that contain it.
func (out leaves) touched(t *Tree, e parsedEdit) {
	out.add(t, e.location)
	if !e.unset {
		out.addAbove(t, e.location)
	}
}

// compare returns the keys that differ between all three of before, yours and theirs, or that only theirs changed.
func compare(before, yours, theirs leaves) []Conflict {
	var conflicts []Conflict
	for _, path := range sortedKeys(before, yours, theirs) {
		if same(before, theirs, path) || same(yours, theirs, path) {
			continue
		}
		conflicts = append(conflicts, Conflict{
			Path: path, Base: before.encode(path), Yours: yours.encode(path), Theirs: theirs.encode(path),
		})
	}
	return conflicts
}

func same(a, b leaves, path string) bool {
	x, inA := a[path]
	y, inB := b[path]
	return inA == inB && reflect.DeepEqual(x, y)
}

// Difference is a key with different values in two trees. A value is nil where the key is not set.
type Difference struct {
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old,omitempty"`
	New  json.RawMessage `json:"new,omitempty"`
}

// Diff returns the keys that differ between two trees, sorted by path.
func Diff(before, after *Tree) []Difference {
	a, b := allLeaves(before), allLeaves(after)
	var out []Difference
	for _, path := range sortedKeys(a, b) {
		if !same(a, b, path) {
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

// EditsBetween returns edits that turn one tree into another. It names single settings, so that the edits conflict with
// other edits of the same settings only; what lies below a removed place or service is left out.
func EditsBetween(before, after *Tree) []Edit {
	var edits []Edit
	for _, d := range Diff(before, after) {
		switch l, _ := locate(d.Path); {
		case d.New != nil:
			edits = append(edits, Set(d.Path, d.New))
		case !removedAbove(after, l):
			edits = append(edits, Unset(d.Path))
		}
	}
	return edits
}

// removedAbove reports whether the place or service that contains a location is not in the tree.
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
