package settings

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Tree holds the operators' settings at three levels: defaults, places, and services at places. A lower level inherits the
// settings that it does not set. A Tree is immutable once it is shared. Edits return a new Tree that shares the unchanged
// parts.
type Tree struct {
	Defaults Partial          `json:"defaults"`
	Places   map[string]Place `json:"places"`
}

// Place holds the settings of one place and of the services listed there.
type Place struct {
	Values   Partial            `json:"values"`
	Services map[string]Partial `json:"services"`
}

// Partial holds the settings that one level sets, by key (call.timeoutMs). A value has the type of its field in Values. A
// setting that is unknown to this program, or whose value it cannot decode, is kept as json.RawMessage, so that an older
// node passes on settings that a newer one accepted.
type Partial map[string]any

// MarshalJSON encodes the settings as nested objects.
func (p Partial) MarshalJSON() ([]byte, error) {
	root := map[string]any{}
	for key, value := range p {
		node, parts := root, strings.Split(key, ".")
		for _, part := range parts[:len(parts)-1] {
			child, ok := node[part].(map[string]any)
			if !ok {
				child = map[string]any{}
				node[part] = child
			}
			node = child
		}
		node[parts[len(parts)-1]] = value
	}
	return json.Marshal(root)
}

// Encode returns the JSON encoding of the tree. Equal trees have equal encodings.
func (t *Tree) Encode() []byte {
	out := Tree{Defaults: t.Defaults, Places: map[string]Place{}}
	for name, place := range t.Places {
		if place.Services == nil {
			place.Services = map[string]Partial{}
		}
		out.Places[name] = place
	}
	data, err := json.Marshal(out)
	if err != nil {
		panic("settings: encoding a tree: " + err.Error()) // the values were decoded from JSON
	}
	return data
}

// EncodedBound returns an upper bound of the length of Encode in bytes. It needs far less time and memory than Encode.
func (t *Tree) EncodedBound() int {
	total := len(`{"defaults":,"places":{}}`) + t.Defaults.encodedBound()
	for name, place := range t.Places {
		total += len(name) + len(`"":{"values":,"services":{}},`) + place.Values.encodedBound()
		for service, partial := range place.Services {
			total += len(service) + len(`"":,`) + partial.encodedBound()
		}
	}
	return total
}

func (p Partial) encodedBound() int {
	total := len(`{}`)
	for key, value := range p {
		total += len(key) + len(`"":{},`)*(1+strings.Count(key, ".")) + len(encode(value))
	}
	return total
}

// Services returns the sorted names of the services of all places.
func (t *Tree) Services() []string {
	seen := map[string]struct{}{}
	for _, place := range t.Places {
		for name := range place.Services {
			seen[name] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// Resolve returns the values of a service at a place. If the place does not list the service, or the tree does not contain
// the place, the level above applies. The lists in the result are shared and must not be modified.
func (t *Tree) Resolve(place, service string) Values {
	values := builtIn
	target := reflect.ValueOf(&values).Elem()
	for _, level := range t.levels(place, service) {
		for key, value := range level.partial {
			f, ok := fieldByKey[key]
			if _, raw := value.(json.RawMessage); !ok || raw {
				continue
			}
			target.FieldByIndex(f.index).Set(reflect.ValueOf(value))
		}
	}
	return values
}

// builtIn is copied by Resolve; its lists are shared.
var builtIn = Default()

// level is one level of inheritance with its path.
type level struct {
	path    string
	partial Partial
}

// levels returns the levels of inheritance for a service at a place, the most general first.
func (t *Tree) levels(place, service string) []level {
	p := t.Places[place]
	return []level{
		{"defaults", t.Defaults},
		{"places." + place + ".values", p.Values},
		{"places." + place + ".services." + service, p.Services[service]},
	}
}

// BuiltInLevel is the Explanation.Level of values that no level of the tree sets.
const BuiltInLevel = "built-in"

// Explanation is the value of a setting with the level that sets it.
type Explanation struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	// Level is the path of the level that sets the value, or BuiltInLevel.
	Level string `json:"level"`
}

// Explain returns every setting of a service at a place with the level that sets it, in the order of Values.
func (t *Tree) Explain(place, service string) []Explanation {
	resolved := reflect.ValueOf(t.Resolve(place, service))
	levels := t.levels(place, service)
	out := make([]Explanation, 0, len(fields))
	for _, f := range fields {
		e := Explanation{Key: f.Key, Level: BuiltInLevel, Value: encode(resolved.FieldByIndex(f.index).Interface())}
		for _, l := range levels {
			value, set := l.partial[f.Key]
			if _, raw := value.(json.RawMessage); set && !raw {
				e.Level = l.path
			}
		}
		out = append(out, e)
	}
	return out
}

// encode returns the JSON encoding of a value in a Partial or in Values.
func encode(value any) json.RawMessage {
	if raw, ok := value.(json.RawMessage); ok {
		return raw
	}
	data, err := json.Marshal(value)
	if err != nil {
		panic("settings: encoding a value: " + err.Error()) // settings hold only plain JSON types
	}
	return data
}
