package settings

import (
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"
)

// Field describes one setting according to the tags of its field in Values.
type Field struct {
	// Key is the path of the setting below a level of the tree, such as call.timeoutMs.
	Key     string
	Default string
	Unit    string
	Doc     string

	typ   reflect.Type
	index []int
	rule  rule
}

// Allowed describes the allowed values of the setting in words.
func (f *Field) Allowed() string { return f.rule.allowed(f.typ) }

// rule restricts the values of a setting. For a list, enum and pattern restrict its elements.
type rule struct {
	min, max *float64
	enum     []string
	pattern  *regexp.Regexp
	maxItems int
	unit     string
	required bool
}

// Limits of text values and lists. They keep a version of the settings small enough to be distributed.
const (
	maxTextBytes    = 256
	defaultMaxItems = 64
)

// group is a JSON object of settings, such as call. The root group has the empty key.
type group struct {
	names []string
	doc   string
}

// The tables below describe Values. They are filled by init and not modified after that.
var (
	fields     []*Field
	fieldByKey = map[string]*Field{}
	groupByKey = map[string]*group{}
)

func init() { collectFields(reflect.TypeFor[Values](), "", "", nil) }

// collectFields adds the group of settings with type t and its subgroups to the tables.
func collectFields(t reflect.Type, key, doc string, index []int) {
	g := &group{doc: doc}
	groupByKey[key] = g
	for i := range t.NumField() {
		info := t.Field(i)
		name := info.Tag.Get("json")
		g.names = append(g.names, name)
		childKey, childIndex := joinPath(key, name), append(append([]int(nil), index...), i)
		if info.Type.Kind() == reflect.Struct {
			collectFields(info.Type, childKey, info.Tag.Get("doc"), childIndex)
			continue
		}
		f := &Field{
			Key: childKey, Default: info.Tag.Get("default"), Unit: info.Tag.Get("unit"), Doc: info.Tag.Get("doc"),
			typ: info.Type, index: childIndex, rule: ruleOf(info),
		}
		fields = append(fields, f)
		fieldByKey[childKey] = f
	}
}

// ruleOf returns the rule in the tags of a struct field. It panics at a tag that does not parse.
func ruleOf(info reflect.StructField) rule {
	r := rule{unit: info.Tag.Get("unit"), maxItems: defaultMaxItems}
	bound := func(tag string) *float64 {
		text, ok := info.Tag.Lookup(tag)
		if !ok {
			return nil
		}
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			panic(fmt.Sprintf("settings: tag %s of %s: %v", tag, info.Name, err))
		}
		return &n
	}
	r.min, r.max = bound("min"), bound("max")
	if n := bound("maxItems"); n != nil {
		r.maxItems = int(*n)
	}
	if enum := info.Tag.Get("enum"); enum != "" {
		r.enum = strings.Split(enum, ",")
	}
	if pattern := info.Tag.Get("pattern"); pattern != "" {
		r.pattern = regexp.MustCompile(pattern)
	}
	r.required = info.Tag.Get("required") == "true"
	return r
}

// allowed describes the allowed values of a type with this rule in words.
func (r rule) allowed(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int:
		return "integer" + r.rangeText()
	case reflect.Float64:
		return "number" + r.rangeText()
	case reflect.Slice:
		return fmt.Sprintf("list of at most %d, each %s", r.maxItems, r.allowed(t.Elem()))
	case reflect.Struct:
		return "object with the keys " + strings.Join(namesOf(t), ", ")
	}
	switch {
	case r.enum != nil:
		return "one of " + strings.Join(r.enum, ", ")
	case r.pattern != nil:
		return fmt.Sprintf("text of at most %d bytes that matches %s", maxTextBytes, r.pattern)
	}
	return fmt.Sprintf("text of at most %d bytes", maxTextBytes)
}

func (r rule) rangeText() string {
	var b strings.Builder
	if r.min != nil && r.max != nil {
		fmt.Fprintf(&b, " from %s to %s", formatNumber(*r.min), formatNumber(*r.max))
	}
	if r.unit != "" {
		b.WriteString(" " + r.unit)
	}
	return b.String()
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// namesOf returns the JSON names of the fields of a struct.
func namesOf(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("json"))
	}
	return names
}

// Fields returns the descriptions of all settings, in the order of Values.
func Fields() []*Field { return append([]*Field(nil), fields...) }

func joinPath(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}
