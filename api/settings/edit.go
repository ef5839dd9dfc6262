package settings

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// Edit sets or unsets the setting, group, service or place at a path, such as places.hue.services.quotes.call.timeoutMs.
// Setting anything at a place or service also lists the place or service. Unsetting a place or service removes it.
type Edit struct {
	Path string `json:"path"`
	// Value is the new value; it is absent when Unset is true.
	Value json.RawMessage `json:"value,omitempty"`
	Unset bool            `json:"unset,omitempty"`
}

// Set returns an edit that sets a path. A group, service or place is replaced as a whole.
func Set(path string, value json.RawMessage) Edit { return Edit{Path: path, Value: value} }

// Unset returns an edit that makes a path inherit again, or removes a service or place.
func Unset(path string) Edit { return Edit{Path: path, Unset: true} }

// Kinds of objects that a path can name.
type pathKind int

const (
	atDefaults pathKind = iota
	atPlace
	atPlaceValues
	atServices
	atService
)

// location is a parsed path. The key is empty when the path names a whole level.
type location struct {
	kind           pathKind
	place, service string
	key            string
}

// locate parses a path. It checks the names, but not the key.
func locate(path string) (location, bool) {
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

// edit parses e. The result is only meaningful when it adds no problem.
func (d *decoder) edit(e Edit) parsedEdit {
	l, ok := locate(e.Path)
	out := parsedEdit{location: l, unset: e.Unset}
	if !ok {
		d.fault(e.Path, "no such path", pathRule)
		return out
	}
	known := groupByKey[l.key] != nil || fieldByKey[l.key] != nil
	if !known && d.strict {
		d.unknownKey(e.Path, l.key)
		return out
	}
	if e.Unset {
		if len(e.Value) > 0 {
			d.fault(e.Path, "a value with unset", "either of the two")
		}
		return out
	}
	raw, ok := d.syntax(e.Path, e.Value)
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

// unknownKey reports the keys of the deepest group that exists on the way to key.
func (d *decoder) unknownKey(path, key string) {
	parent := key
	for parent != "" {
		cut := max(strings.LastIndexByte(parent, '.'), 0)
		parent = parent[:cut]
		if g := groupByKey[parent]; g != nil {
			d.fault(path, "unknown key", "one of "+strings.Join(g.names, ", "))
			return
		}
	}
}

// Apply returns the tree after the edits, in order. It refuses faulty edits with an *InvalidError that lists all faults.
func (t *Tree) Apply(edits []Edit) (*Tree, error) {
	after, err := t.apply(edits, true)
	if err != nil {
		return nil, err
	}
	if problems := after.clashes(); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return after, nil
}

// ApplyStored returns the tree after edits that were accepted before, perhaps by a newer program. See ParseStored.
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

// with applies parsed edits to a copy that shares the unchanged parts.
func (t *Tree) with(edits []parsedEdit) *Tree {
	b := builder{tree: &Tree{Defaults: t.Defaults, Places: maps.Clone(t.Places)}, own: map[string]bool{}}
	if b.tree.Places == nil {
		b.tree.Places = map[string]Place{}
	}
	for _, e := range edits {
		b.apply(e)
	}
	return b.tree
}

// builder edits a copy of a tree. It copies the services of a place when it first changes them.
type builder struct {
	tree *Tree
	own  map[string]bool
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
		b.own[e.location.place] = true
	}
	b.tree.Places[e.location.place] = place
}

func (b *builder) applyService(place *Place, e parsedEdit) {
	if !b.own[e.location.place] || place.Services == nil {
		place.Services = maps.Clone(place.Services)
		b.own[e.location.place] = true
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

// replaceIn returns the settings of a level after the edit.
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

// within reports whether key is the group or setting named by prefix, or lies below it.
func within(key, prefix string) bool {
	return prefix == "" || key == prefix || strings.HasPrefix(key, prefix) && key[len(prefix)] == '.'
}

// leaves maps full paths to values. A listed place or service is a leaf of its own, with a value of type listed.
type leaves map[string]any

// listed is the value of the leaf of a place or service.
type listed struct{}

// add adds the leaves of the tree at and below a location.
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

// addAbove adds the leaves of the place and service that contain a location.
func (out leaves) addAbove(t *Tree, l location) {
	place, ok := t.Places[l.place]
	if l.kind == atDefaults || l.kind == atPlace || !ok {
		return
	}
	out["places."+l.place] = listed{}
	if _, ok := place.Services[l.service]; ok && l.kind == atService && l.key != "" {
		out["places."+l.place+".services."+l.service] = listed{}
	}
}

// encode returns the JSON of a leaf, or nil where it is absent.
func (out leaves) encode(path string) json.RawMessage {
	value, ok := out[path]
	if !ok {
		return nil
	}
	return encode(value)
}

// sortedKeys returns the keys of all maps, sorted.
func sortedKeys[V any](sets ...map[string]V) []string {
	all := map[string]struct{}{}
	for _, set := range sets {
		for key := range set {
			all[key] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(all))
}
