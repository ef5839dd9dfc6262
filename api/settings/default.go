// Package settings implements the operators' settings tree: its types, defaults, validation, resolution, edits and merge.
package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
)

//go:generate go run ./generate ../../docs/settings.schema.json ../../docs/settings.md

// Default returns the built-in values, which apply where no level of the tree sets a value.
func Default() Values {
	var v Values
	fillDefaults(reflect.ValueOf(&v).Elem())
	return v
}

// fillDefaults sets each field of v to its default tag. It panics at a tag that does not parse.
func fillDefaults(v reflect.Value) {
	for i := range v.NumField() {
		field, info := v.Field(i), v.Type().Field(i)
		if field.Kind() == reflect.Struct {
			fillDefaults(field)
			continue
		}
		tag, ok := info.Tag.Lookup("default")
		if !ok {
			continue
		}
		if field.Kind() == reflect.String {
			field.SetString(tag)
			continue
		}
		if err := json.Unmarshal([]byte(tag), field.Addr().Interface()); err != nil {
			panic(fmt.Sprintf("settings: default of %s: %v", info.Name, err))
		}
	}
}
