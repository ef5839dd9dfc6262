package settings

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// Edit sets or unsets the setting, group, service or place at a path, such as places.hue.services.quotes.call.timeoutMs.
// Setting a value at a place or service also adds the place or service if it does not exist. Unsetting a place or service
// removes it.
type Edit struct {
	Path string `json:"path"`
	// Value is the new value. It is absent if Unset is true.
	Value json.RawMessage `json:"value,omitempty"`
	Unset bool            `json:"unset,omitempty"`
}

// Set returns an edit that sets the value at a path. It replaces a group, service or place as a whole.
func Set(path string, value json.RawMessage) Edit { return Edit{Path: path, Value: value} }

// Unset returns an edit that unsets a setting or group, which then inherits again, or that removes a service or place.
func Unset(path string) Edit { return Edit{Path: path, Unset: true} }

// pathKind is the kind of object that a path names.
type pathKind int

const (
	atDefaults pathKind = iota
	atPlace
	atPlaceValues
	atServices
	atService
)

// location is a parsed path. The key is empty if the path names a whole level.
type location struct {
	kind           pathKind
	place, service string
	key            string
}

// parsePath parses a path and reports whether it is valid. It checks the names, but not the key.
func parsePath(path string) (location, bool) {
	head, rest, more := strings.Cut(path, ".")
	if head == "defaults" {
		return location{kind: atDefaults, key: rest}, rest != "" || !more
	}
	steps := strings.SplitN(path, ".", 5)
	if steps[0] != "places" || len(steps) < 2 || !namePattern.MatchString(steps[1]) {
		return location{}, false
	}
	l := location{kind: atPlace, place: steps[1]}
	if len(steps) == 2 {
		return l, true
	}
	switch steps[2] {
	case "values":
		l.kind, l.key = atPlaceValues, strings.Join(steps[3:], ".")
		return l, l.key != "" || len(steps) == 3
	case "services":
		l.kind = atServices
		if len(steps) == 3 {
			return l, true
		}
		l.kind, l.service = atService, steps[3]
		if len(steps) == 5 {
			l.key = steps[4]
		}
		return l, namePattern.MatchString(l.service) && (len(steps) == 4 || l.key != "")
	}
	return location{}, false
}

const pathRule = "defaults, places.<place>, places.<place>.values, places.<place>.services or " +
	"places.<place>.services.<service>, or a setting or group below a level of values"

// parsedEdit is an edit with its decoded value.
type parsedEdit struct {
	location
	unset    bool
	place    Place              // for atPlace
	services map[string]Partial // for atServices
	partial  Partial            // for all others; keys are relative to the level
}

// edit parses e. The result is valid only if no problem was added.
func (d *decoder) edit(e Edit) parsedEdit {
	l, ok := parsePath(e.Path)
	out := parsedEdit{location: l, unset: e.Unset}
	if !ok {
		d.addProblem(e.Path, "no such path", pathRule)
		return out
	}
	known := groupByKey[l.key] != nil || fieldByKey[l.key] != nil
	if !known && d.strict {
		d.unknownKey(e.Path, l.key)
		return out
	}
	if e.Unset {
		if len(e.Value) > 0 {
			d.addProblem(e.Path, "a value with unset", "either of the two")
		}
		return out
	}
	raw, ok := d.parseSyntax(e.Path, e.Value)
	if !ok {
		return out
	}
	c := newCursor(raw)
	switch l.kind {
	case atPlace:
		out.place = d.place(e.Path, c)
	case atServices:
		out.services = d.services(e.Path, c)
	default:
		out.partial = Partial{}
		if l.key == "" {
			d.group(out.partial, e.Path, "", c)
		} else {
			d.setting(out.partial, e.Path, l.key, c)
		}
	}
	return out
}

// unknownKey adds a problem with the keys of the deepest existing group that would contain key.
func (d *decoder) unknownKey(path, key string) {
	parent := key
	for parent != "" {
		cut := max(strings.LastIndexByte(parent, '.'), 0)
		parent = parent[:cut]
		if g := groupByKey[parent]; g != nil {
			d.addProblem(path, "unknown key", "one of "+strings.Join(g.names, ", "))
			return
		}
	}
}

// Apply returns the tree after the edits are applied in order. If edits are invalid, it returns an *InvalidError that lists
// all problems.
func (t *Tree) Apply(edits []Edit) (*Tree, error) {
	after, err := t.apply(edits, true)
	if err != nil {
		return nil, err
	}
	if problems := after.duplicateClaims(); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return after, nil
}

// ApplyStored returns the tree after edits that were accepted before, possibly by a newer version of this program. Like
// ParseStored, it keeps unknown settings.
func (t *Tree) ApplyStored(edits []Edit) (*Tree, error) { return t.apply(edits, false) }

func (t *Tree) apply(edits []Edit, strict bool) (*Tree, error) {
	parsed, err := parseEdits(edits, strict)
	if err != nil {
		return nil, err
	}
	return t.with(parsed), nil
}

func parseEdits(edits []Edit, strict bool) ([]parsedEdit, error) {
	d := &decoder{strict: strict}
	parsed := make([]parsedEdit, len(edits))
	for i, e := range edits {
		parsed[i] = d.edit(e)
	}
	return parsed, d.err()
}

// with applies parsed edits to a copy of the tree that shares the unchanged parts.
func (t *Tree) with(edits []parsedEdit) *Tree {
	b := builder{tree: &Tree{Defaults: t.Defaults, Places: maps.Clone(t.Places)}, ownServices: map[string]bool{}}
	if b.tree.Places == nil {
		b.tree.Places = map[string]Place{}
	}
	for _, e := range edits {
		b.apply(e)
	}
	return b.tree
}

// builder edits a copy of a tree. It copies the services of a place before it changes them for the first time.
type builder struct {
	tree *Tree
	// ownServices contains the places whose services are already copied.
	ownServices map[string]bool
}

func (b *builder) apply(e parsedEdit) {
	if e.kind == atDefaults {
		b.tree.Defaults = e.replaceIn(b.tree.Defaults)
		return
	}
	place, listed := b.tree.Places[e.location.place]
	if e.unset && (!listed || e.kind == atPlace) {
		delete(b.tree.Places, e.location.place)
		return
	}
	switch e.kind {
	case atPlace:
		place = Place{Values: e.place.Values, Services: maps.Clone(e.place.Services)}
	case atPlaceValues:
		place.Values = e.replaceIn(place.Values)
	case atServices:
		place.Services = maps.Clone(e.services)
	case atService:
		b.applyService(&place, e)
	}
	if e.kind == atPlace || e.kind == atServices {
		b.ownServices[e.location.place] = true
	}
	b.tree.Places[e.location.place] = place
}

func (b *builder) applyService(place *Place, e parsedEdit) {
	if !b.ownServices[e.location.place] || place.Services == nil {
		place.Services = maps.Clone(place.Services)
		b.ownServices[e.location.place] = true
	}
	if place.Services == nil {
		place.Services = map[string]Partial{}
	}
	service, listed := place.Services[e.service]
	if e.unset && (!listed || e.key == "") {
		delete(place.Services, e.service)
		return
	}
	place.Services[e.service] = e.replaceIn(service)
}

// replaceIn returns the settings p of a level after the edit.
func (e parsedEdit) replaceIn(p Partial) Partial {
	out := Partial{}
	for key, value := range p {
		if !within(key, e.key) {
			out[key] = value
		}
	}
	maps.Copy(out, e.partial)
	return out
}

// within reports whether key is the group or setting named by prefix or a part of that group.
func within(key, prefix string) bool {
	return prefix == "" || key == prefix || strings.HasPrefix(key, prefix) && key[len(prefix)] == '.'
}

// leaves maps full paths to values. A listed place or service is itself a leaf with a value of type listed.
type leaves map[string]any

// listed is the value of the leaf of a place or service.
type listed struct{}

// add adds the leaves at and below a location of the tree.
func (out leaves) add(t *Tree, l location) {
	if l.kind == atDefaults {
		out.addPartial("defaults", t.Defaults, l.key)
		return
	}
	place, ok := t.Places[l.place]
	if !ok {
		return
	}
	path := "places." + l.place
	if l.kind == atPlace {
		out[path] = listed{}
	}
	if l.kind == atPlace || l.kind == atPlaceValues {
		out.addPartial(path+".values", place.Values, l.key)
	}
	if l.kind == atPlace || l.kind == atServices {
		for name, service := range place.Services {
			out[path+".services."+name] = listed{}
			out.addPartial(path+".services."+name, service, "")
		}
	}
	if service, ok := place.Services[l.service]; ok && l.kind == atService {
		if l.key == "" {
			out[path+".services."+l.service] = listed{}
		}
		out.addPartial(path+".services."+l.service, service, l.key)
	}
}

func (out leaves) addPartial(path string, p Partial, prefix string) {
	for key, value := range p {
		if within(key, prefix) {
			out[path+"."+key] = value
		}
	}
}

// addContaining adds the leaves of the place and the service that contain a location of the tree.
func (out leaves) addContaining(t *Tree, l location) {
	place, ok := t.Places[l.place]
	if l.kind == atDefaults || l.kind == atPlace || !ok {
		return
	}
	out["places."+l.place] = listed{}
	if _, ok := place.Services[l.service]; ok && l.kind == atService && l.key != "" {
		out["places."+l.place+".services."+l.service] = listed{}
	}
}

// encode returns the JSON encoding of a leaf, or nil if it is absent.
func (out leaves) encode(path string) json.RawMessage {
	value, ok := out[path]
	if !ok {
		return nil
	}
	return encode(value)
}

// sortedKeys returns the sorted union of the keys of all maps.
func sortedKeys[V any](sets ...map[string]V) []string {
	all := map[string]struct{}{}
	for _, set := range sets {
		for key := range set {
			all[key] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(all))
}
