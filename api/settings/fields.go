package settings

import (
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"
)

// Field describes one setting, as read from the tags of Values.
type Field struct {
	// Key is the path below a level of the tree, such as call.timeoutMs.
	Key     string
	Default string
	Unit    string
	Doc     string

	typ   reflect.Type
	index []int
	rule  rule
}

// Allowed says in words which values the setting takes.
func (f *Field) Allowed() string { return f.rule.allowed(f.typ) }

// rule restricts a value. For a list, enum and pattern restrict its elements.
type rule struct {
	min, max *float64
	enum     []string
	pattern  *regexp.Regexp
	maxItems int
	unit     string
	required bool
}

// Limits of text values and lists, which keep a version of the settings small enough to be handed out.
const (
	maxTextBytes    = 256
	defaultMaxItems = 64
)

// group is an object of settings, such as call. The root group has the empty key.
type group struct {
	names []string
	doc   string
}

// The tables below describe Values; they are filled once at start and never change.
var (
	fields     []*Field
	fieldByKey = map[string]*Field{}
	groupByKey = map[string]*group{}
)

func init() { collect(reflect.TypeFor[Values](), "", "", nil) }

// collect adds the settings of a group to the tables.
func collect(t reflect.Type, key, doc string, index []int) {
	g := &group{doc: doc}
	groupByKey[key] = g
	for i := range t.NumField() {
		info := t.Field(i)
		name := info.Tag.Get("json")
		g.names = append(g.names, name)
		childKey, childIndex := join(key, name), append(append([]int(nil), index...), i)
		if info.Type.Kind() == reflect.Struct {
			collect(info.Type, childKey, info.Tag.Get("doc"), childIndex)
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

// ruleOf reads the tags of a struct field. A tag that does not parse is a programming error.
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

// allowed says in words which values a type with this rule takes.
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
		fmt.Fprintf(&b, " from %s to %s", number(*r.min), number(*r.max))
	}
	if r.unit != "" {
		b.WriteString(" " + r.unit)
	}
	return b.String()
}

func number(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// namesOf returns the JSON names of the fields of a struct.
func namesOf(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("json"))
	}
	return names
}

// Fields returns the description of every setting, in the order of Values.
func Fields() []*Field { return append([]*Field(nil), fields...) }

func join(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}
