package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/invopop/jsonschema"
)

// JSONSchema returns the JSON Schema of the tree, generated from the tags of Values.
func JSONSchema() []byte {
	root := object("Settings of radishstand. A service inherits from its place, and a place from the defaults.")
	root.Version = jsonschema.Version
	root.Title = "radishstand settings"
	root.Definitions = jsonschema.Definitions{"values": groupSchema("", "Settings of one level; a setting that is absent is inherited.")}
	values := &jsonschema.Schema{Ref: "#/$defs/values"}
	place := object("Settings of one place and of the services listed there.")
	place.Properties.Set("values", values)
	place.Properties.Set("services", namedSchema("Services by name.", values))
	root.Properties.Set("defaults", values)
	root.Properties.Set("places", namedSchema("Places by name.", place))
	data, err := json.MarshalIndent(root, "", "  ")
	if err != nil {
		panic("settings: encoding the schema: " + err.Error()) // the schema holds only plain JSON types
	}
	return append(data, '\n')
}

func object(doc string) *jsonschema.Schema {
	return &jsonschema.Schema{
		Type: "object", Description: doc, Properties: jsonschema.NewProperties(), AdditionalProperties: jsonschema.FalseSchema,
	}
}

// namedSchema returns the schema of an object whose keys are names of places or services.
func namedSchema(doc string, member *jsonschema.Schema) *jsonschema.Schema {
	return &jsonschema.Schema{
		Type: "object", Description: doc, AdditionalProperties: member,
		PropertyNames: &jsonschema.Schema{Pattern: namePattern.String()},
	}
}

func groupSchema(key, doc string) *jsonschema.Schema {
	s := object(doc)
	for _, name := range groupByKey[key].names {
		child := joinPath(key, name)
		if g := groupByKey[child]; g != nil {
			s.Properties.Set(name, groupSchema(child, g.doc))
			continue
		}
		f := fieldByKey[child]
		field := valueSchema(f.typ, f.rule)
		field.Description = f.Doc
		if f.Unit != "" {
			field.Description += " Unit: " + f.Unit + "."
		}
		field.Default = encode(reflect.ValueOf(builtIn).FieldByIndex(f.index).Interface())
		s.Properties.Set(name, field)
	}
	return s
}

func valueSchema(t reflect.Type, r rule) *jsonschema.Schema {
	s := &jsonschema.Schema{}
	switch t.Kind() {
	case reflect.Int, reflect.Float64:
		s.Type = map[reflect.Kind]string{reflect.Int: "integer", reflect.Float64: "number"}[t.Kind()]
		if r.min != nil {
			s.Minimum = json.Number(formatNumber(*r.min))
		}
		if r.max != nil {
			s.Maximum = json.Number(formatNumber(*r.max))
		}
	case reflect.String:
		textSchema(s, r)
	case reflect.Slice:
		limit := uint64(r.maxItems)
		s.Type, s.MaxItems, s.Items = "array", &limit, valueSchema(t.Elem(), r)
	case reflect.Struct:
		s = recordSchema(t)
	}
	return s
}

func textSchema(s *jsonschema.Schema, r rule) {
	limit := uint64(maxTextBytes)
	s.Type, s.MaxLength = "string", &limit
	for _, value := range r.enum {
		s.Enum = append(s.Enum, value)
	}
	if r.pattern != nil {
		s.Pattern = r.pattern.String()
	}
}

func recordSchema(t reflect.Type) *jsonschema.Schema {
	s := object("")
	for i := range t.NumField() {
		info := t.Field(i)
		name, r := info.Tag.Get("json"), ruleOf(info)
		member := valueSchema(info.Type, r)
		member.Description = info.Tag.Get("doc")
		s.Properties.Set(name, member)
		if r.required {
			s.Required = append(s.Required, name)
		}
	}
	return s
}

// Reference returns the operators' reference of all settings as Markdown, generated from the tags of Values.
func Reference() []byte {
	var b strings.Builder
	b.WriteString("# Settings reference\n\nThis page is generated from the tags in `api/settings/values.go`.\n\n")
	b.WriteString("A path names a level and a setting below it: `defaults.<setting>`, `places.<place>.values.<setting>` or\n")
	b.WriteString("`places.<place>.services.<service>.<setting>`. A service inherits from its place, and a place from the defaults.\n")
	fmt.Fprintf(&b, "Names of places and services: %s.\n", nameRule)
	for _, name := range groupByKey[""].names {
		fmt.Fprintf(&b, "\n## %s\n\n%s\n\n| setting | default | allowed | meaning |\n|---|---|---|---|\n", name, groupByKey[name].doc)
		for _, f := range fields {
			if within(f.Key, name) {
				value := encode(reflect.ValueOf(builtIn).FieldByIndex(f.index).Interface())
				fmt.Fprintf(&b, "| `%s` | `%s` | %s | %s |\n", f.Key, escapeCell(defaultText(value)), escapeCell(f.Allowed()), escapeCell(f.Doc))
			}
		}
	}
	return []byte(b.String())
}

// escapeCell escapes the delimiter of cells in a Markdown table.
func escapeCell(text string) string { return strings.ReplaceAll(text, "|", "\\|") }

// defaultText returns the text of a default value. A list without default tag is shown as an empty list.
func defaultText(value json.RawMessage) string {
	if string(value) == "null" {
		return "[]"
	}
	return string(value)
}
