package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"
)

// Problem is one fault in a tree or an edit.
type Problem struct {
	Path    string `json:"path"`
	Found   string `json:"found"`
	Allowed string `json:"allowed"`
}

func (p Problem) String() string {
	return fmt.Sprintf("%s: found %s, allowed: %s", p.Path, p.Found, p.Allowed)
}

// InvalidError lists every fault of a refused tree or edit.
type InvalidError struct {
	Problems []Problem
}

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return "invalid settings: " + strings.Join(lines, "; ")
}

// namePattern is the rule for names of places and services: a DNS label, since the first label of a Host may name a
// service, and since a name is one step of a path.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const nameRule = "a name of 1 to 63 lower-case letters, digits and hyphens that neither begins nor ends with a hyphen"

// Parse reads a tree and refuses every fault with an *InvalidError that lists all of them.
func Parse(data []byte) (*Tree, error) { return parse(data, true) }

// ParseStored reads a tree that was accepted before, perhaps by a newer program. It keeps settings that it does not
// know, and values that it cannot read, without using them.
func ParseStored(data []byte) (*Tree, error) { return parse(data, false) }

func parse(data []byte, strict bool) (*Tree, error) {
	d := &decoder{strict: strict}
	tree := &Tree{Places: map[string]Place{}}
	raw, ok := d.syntax("", data)
	if !ok {
		return nil, d.err()
	}
	d.object("", newCursor(raw), func(name, path string, c *cursor) bool {
		switch name {
		case "defaults":
			tree.Defaults = d.partial(path, "", c)
		case "places":
			d.named(path, c, func(name, path string, c *cursor) { tree.Places[name] = d.place(path, c) })
		default:
			return false
		}
		return true
	}, "defaults", "places")
	if strict {
		d.problems = append(d.problems, tree.clashes()...)
	}
	return tree, d.err()
}

// decoder gathers the problems of a document. When it is not strict, it keeps unreadable settings as they are.
type decoder struct {
	strict   bool
	problems []Problem
}

func (d *decoder) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: d.problems}
}

// maxFoundBytes bounds the part of a faulty value that an error shows.
const maxFoundBytes = 80

func (d *decoder) fault(path, found, allowed string) {
	if len(found) > maxFoundBytes {
		found = strings.ToValidUTF8(found[:maxFoundBytes], "") + "..."
	}
	d.problems = append(d.problems, Problem{Path: path, Found: found, Allowed: allowed})
}

func (d *decoder) syntax(path string, data []byte) (json.RawMessage, bool) {
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		found := err.Error()
		if syntax := (*json.SyntaxError)(nil); errors.As(err, &syntax) {
			found = fmt.Sprintf("%s at byte %d", found, syntax.Offset)
		}
		d.fault(path, found, "one JSON value")
		return nil, false
	}
	return bytes.TrimSpace(raw), true
}

// cursor reads a JSON document whose syntax was checked, without copying its objects.
type cursor struct {
	data []byte
	dec  *json.Decoder
}

func newCursor(data []byte) *cursor {
	return &cursor{data: data, dec: json.NewDecoder(bytes.NewReader(data))}
}

// atObject reports whether the next value is an object.
func (c *cursor) atObject() bool {
	rest := bytes.TrimLeft(c.data[c.dec.InputOffset():], " \t\r\n:,")
	return len(rest) > 0 && rest[0] == '{'
}

// raw reads the next value.
func (c *cursor) raw() json.RawMessage {
	var value json.RawMessage
	_ = c.dec.Decode(&value) // the syntax was checked
	return value
}

// object calls member for each member of a JSON object; member reports whether it knows the name. It may leave the value
// unread.
func (d *decoder) object(path string, c *cursor, member func(name, path string, c *cursor) bool, known ...string) {
	if !c.atObject() {
		allowed := "object"
		if known != nil {
			allowed = "object with the keys " + strings.Join(known, ", ")
		}
		d.fault(path, string(c.raw()), allowed)
		return
	}
	_, _ = c.dec.Token() // the opening brace
	seen := map[string]bool{}
	for c.dec.More() {
		t, _ := c.dec.Token()
		name, _ := t.(string)
		child, before := join(path, name), c.dec.InputOffset()
		switch {
		case seen[name]:
			d.fault(child, "the key twice", "each key once")
		case !member(name, child, c) && d.strict:
			d.fault(child, "unknown key", "one of "+strings.Join(known, ", "))
		}
		seen[name] = true
		if c.dec.InputOffset() == before {
			c.raw()
		}
	}
	_, _ = c.dec.Token() // the closing brace
}

// named reads an object whose keys are names of places or services.
func (d *decoder) named(path string, c *cursor, member func(name, path string, c *cursor)) {
	d.object(path, c, func(name, path string, c *cursor) bool {
		if !namePattern.MatchString(name) {
			d.fault(path, fmt.Sprintf("%q", name), nameRule)
			return true
		}
		member(name, path, c)
		return true
	})
}

func (d *decoder) place(path string, c *cursor) Place {
	place := Place{Services: map[string]Partial{}}
	d.object(path, c, func(name, path string, c *cursor) bool {
		switch name {
		case "values":
			place.Values = d.partial(path, "", c)
		case "services":
			place.Services = d.services(path, c)
		default:
			return false
		}
		return true
	}, "values", "services")
	return place
}

func (d *decoder) services(path string, c *cursor) map[string]Partial {
	services := map[string]Partial{}
	d.named(path, c, func(name, path string, c *cursor) { services[name] = d.partial(path, "", c) })
	return services
}

// partial reads the settings below a group. The keys of the result are relative to the level of the tree.
func (d *decoder) partial(path, key string, c *cursor) Partial {
	out := Partial{}
	d.group(out, path, key, c)
	return out
}

func (d *decoder) group(out Partial, path, key string, c *cursor) {
	var known []string
	if g := groupByKey[key]; g != nil {
		known = g.names
	}
	d.object(path, c, func(name, path string, c *cursor) bool {
		return d.setting(out, path, join(key, name), c)
	}, known...)
}

// setting reads the setting or group named key and reports whether it is known.
func (d *decoder) setting(out Partial, path, key string, c *cursor) bool {
	if groupByKey[key] != nil {
		d.group(out, path, key, c)
		return true
	}
	f := fieldByKey[key]
	if f == nil {
		d.keep(out, path, key, c)
		return false
	}
	raw := c.raw()
	value := reflect.New(f.typ).Elem()
	before := len(d.problems)
	d.value(f.rule, path, raw, value)
	if len(d.problems) == before {
		out[f.Key] = value.Interface()
	} else if !d.strict {
		d.problems = d.problems[:before]
		out[f.Key] = raw
	}
	return true
}

// keep stores what this program does not know, down to the values that are no objects, so that edits by path fit.
func (d *decoder) keep(out Partial, path, key string, c *cursor) {
	switch {
	case d.strict:
	case c.atObject():
		d.group(out, path, key, c)
	default:
		out[key] = c.raw()
	}
}

// value reads one value into target and checks it against its rule.
func (d *decoder) value(r rule, path string, raw json.RawMessage, target reflect.Value) {
	switch target.Kind() {
	case reflect.Slice:
		d.list(r, path, raw, target)
		return
	case reflect.Struct:
		d.record(path, raw, target)
		return
	}
	if string(raw) == "null" || json.Unmarshal(raw, target.Addr().Interface()) != nil || !r.holds(target) {
		d.fault(path, string(raw), r.allowed(target.Type()))
	}
}

// holds reports whether a number or text satisfies the rule.
func (r rule) holds(v reflect.Value) bool {
	switch v.Kind() {
	case reflect.Int:
		return r.inRange(float64(v.Int()))
	case reflect.Float64:
		return r.inRange(v.Float())
	case reflect.String:
		text := v.String()
		return len(text) <= maxTextBytes && (r.enum == nil || slices.Contains(r.enum, text)) &&
			(r.pattern == nil || r.pattern.MatchString(text))
	}
	return true
}

func (r rule) inRange(n float64) bool {
	return (r.min == nil || n >= *r.min) && (r.max == nil || n <= *r.max)
}

func (d *decoder) list(r rule, path string, raw json.RawMessage, target reflect.Value) {
	var items []json.RawMessage
	if string(raw) == "null" || json.Unmarshal(raw, &items) != nil || len(items) > r.maxItems {
		d.fault(path, string(raw), r.allowed(target.Type()))
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(items), len(items)))
	for i, item := range items {
		d.value(r, fmt.Sprintf("%s[%d]", path, i), item, target.Index(i))
	}
}

// record reads an element of a list of objects.
func (d *decoder) record(path string, raw json.RawMessage, target reflect.Value) {
	t, names := target.Type(), namesOf(target.Type())
	present := map[string]bool{}
	before := len(d.problems)
	d.object(path, newCursor(raw), func(name, path string, c *cursor) bool {
		i := slices.Index(names, name)
		if i < 0 {
			if !d.strict {
				d.fault(path, "unknown key", "") // marks the whole setting as unreadable
			}
			return false
		}
		present[name] = true
		d.value(ruleOf(t.Field(i)), path, c.raw(), target.Field(i))
		return true
	}, names...)
	for i, name := range names {
		if r := ruleOf(t.Field(i)); r.required && !present[name] && len(d.problems) == before {
			d.fault(join(path, name), "no value", r.allowed(t.Field(i).Type))
		}
	}
}
