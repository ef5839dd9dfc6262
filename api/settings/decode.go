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

// Problem describes one invalid part of a tree or an edit.
type Problem struct {
	Path    string `json:"path"`
	Found   string `json:"found"`
	Allowed string `json:"allowed"`
}

func (p Problem) String() string {
	return fmt.Sprintf("%s: found %s, allowed: %s", p.Path, p.Found, p.Allowed)
}

// InvalidError lists all problems of a refused tree or edit.
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

// namePattern matches the names of places and services. A name is a DNS label because the first label of a Host header may
// name a service and because a name is one step of a path, which dots separate.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const nameRule = "a name of 1 to 63 lower-case letters, digits and hyphens that neither begins nor ends with a hyphen"

// Parse decodes a tree. If it is invalid, Parse returns an *InvalidError that lists all problems.
func Parse(data []byte) (*Tree, error) { return parse(data, true) }

// ParseStored decodes a tree that was accepted before, possibly by a newer version of this program. It keeps unknown
// settings and values that it cannot decode, but they have no effect.
func ParseStored(data []byte) (*Tree, error) { return parse(data, false) }

func parse(data []byte, strict bool) (*Tree, error) {
	d := &decoder{strict: strict}
	tree := &Tree{Places: map[string]Place{}}
	raw, ok := d.parseSyntax("", data)
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
		d.problems = append(d.problems, tree.duplicateClaims()...)
	}
	return tree, d.err()
}

// decoder decodes a document and collects its problems. If it is not strict, it keeps settings that it cannot decode as raw
// JSON.
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

// maxFoundBytes is the maximum length of the part of an invalid value that an error shows.
const maxFoundBytes = 80

func (d *decoder) addProblem(path, found, allowed string) {
	if len(found) > maxFoundBytes {
		found = strings.ToValidUTF8(found[:maxFoundBytes], "") + "..."
	}
	d.problems = append(d.problems, Problem{Path: path, Found: found, Allowed: allowed})
}

func (d *decoder) parseSyntax(path string, data []byte) (json.RawMessage, bool) {
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		found := err.Error()
		if syntax := (*json.SyntaxError)(nil); errors.As(err, &syntax) {
			found = fmt.Sprintf("%s at byte %d", found, syntax.Offset)
		}
		d.addProblem(path, found, "one JSON value")
		return nil, false
	}
	return bytes.TrimSpace(raw), true
}

// cursor reads a JSON document of valid syntax without copying its objects.
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
	_ = c.dec.Decode(&value) // the syntax is valid
	return value
}

// object calls member for each member of a JSON object. The function member reports whether the name is known, and it may
// leave the value unread.
func (d *decoder) object(path string, c *cursor, member func(name, path string, c *cursor) bool, known ...string) {
	if !c.atObject() {
		allowed := "object"
		if known != nil {
			allowed = "object with the keys " + strings.Join(known, ", ")
		}
		d.addProblem(path, string(c.raw()), allowed)
		return
	}
	_, _ = c.dec.Token() // the opening brace
	seen := map[string]bool{}
	for c.dec.More() {
		t, _ := c.dec.Token()
		name, _ := t.(string)
		child, before := joinPath(path, name), c.dec.InputOffset()
		switch {
		case seen[name]:
			d.addProblem(child, "the key twice", "each key once")
		case !member(name, child, c) && d.strict:
			d.addProblem(child, "unknown key", "one of "+strings.Join(known, ", "))
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
			d.addProblem(path, fmt.Sprintf("%q", name), nameRule)
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

// partial reads the settings of a group. The keys of the result are relative to the level of the tree.
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
		return d.setting(out, path, joinPath(key, name), c)
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
		d.keepUnknown(out, path, key, c)
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

// keepUnknown keeps an unknown setting unless the decoder is strict. It splits objects into settings down to values that
// are not objects, so that edits can set them by path.
func (d *decoder) keepUnknown(out Partial, path, key string, c *cursor) {
	switch {
	case d.strict:
	case c.atObject():
		d.group(out, path, key, c)
	default:
		out[key] = c.raw()
	}
}

// value decodes one value into target and checks it against its rule.
func (d *decoder) value(r rule, path string, raw json.RawMessage, target reflect.Value) {
	switch target.Kind() {
	case reflect.Slice:
		d.list(r, path, raw, target)
		return
	case reflect.Struct:
		d.record(path, raw, target)
		return
	}
	if string(raw) == "null" || json.Unmarshal(raw, target.Addr().Interface()) != nil || !r.satisfiedBy(target) {
		d.addProblem(path, string(raw), r.allowed(target.Type()))
	}
}

// satisfiedBy reports whether a number or text satisfies the rule.
func (r rule) satisfiedBy(v reflect.Value) bool {
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
		d.addProblem(path, string(raw), r.allowed(target.Type()))
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(items), len(items)))
	for i, item := range items {
		d.value(r, fmt.Sprintf("%s[%d]", path, i), item, target.Index(i))
	}
}

// record decodes an element of a list of objects into target.
func (d *decoder) record(path string, raw json.RawMessage, target reflect.Value) {
	t, names := target.Type(), namesOf(target.Type())
	present := map[string]bool{}
	before := len(d.problems)
	d.object(path, newCursor(raw), func(name, path string, c *cursor) bool {
		i := slices.Index(names, name)
		if i < 0 {
			if !d.strict {
				d.addProblem(path, "unknown key", "") // makes the caller keep the whole setting as raw JSON
			}
			return false
		}
		present[name] = true
		d.value(ruleOf(t.Field(i)), path, c.raw(), target.Field(i))
		return true
	}, names...)
	for i, name := range names {
		if r := ruleOf(t.Field(i)); r.required && !present[name] && len(d.problems) == before {
			d.addProblem(joinPath(path, name), "no value", r.allowed(t.Field(i).Type))
		}
	}
}
