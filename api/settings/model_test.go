package settings

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The functions with the prefix naive are a reference implementation on plain JSON objects and flattened trees.
type jsonObject = map[string]any

var (
	levelPaths = []string{"defaults", "places.a.values", "places.b.values", "places.a.services.s", "places.a.services.t", "places.b.services.s"}
	settingGen = map[string]*rapid.Generator[any]{
		"call.timeoutMs":         rapid.Map(rapid.IntRange(1, 4), func(n int) any { return n }),
		"call.class":             rapid.Map(rapid.SampledFrom([]string{"check", "normal"}), func(s string) any { return s }),
		"call.idempotentMethods": rapid.Map(rapid.SliceOfN(rapid.SampledFrom([]string{"GET", "PUT"}), 0, 2), func(s []string) any { return s }),
		"retry.budgetRatio":      rapid.Map(rapid.SampledFrom([]float64{0, 0.25}), func(f float64) any { return f }),
	}
	settingKeys = sortedKeys(settingGen)
)

func drawEdit(t *rapid.T) Edit {
	path := rapid.SampledFrom(levelPaths).Draw(t, "level")
	switch rapid.SampledFrom([]string{"set", "set", "set", "unset", "unset level", "set group", "unset place"}).Draw(t, "kind") {
	case "set":
		key := rapid.SampledFrom(settingKeys).Draw(t, "key")
		return Set(joinPath(path, key), encode(settingGen[key].Draw(t, "value")))
	case "unset":
		return Unset(joinPath(path, rapid.SampledFrom(settingKeys).Draw(t, "key")))
	case "set group":
		return Set(path+".call", encode(jsonObject{"timeoutMs": settingGen["call.timeoutMs"].Draw(t, "value")}))
	case "unset place":
		return Unset("places.a")
	}
	return Unset(path)
}

func drawEdits(t *rapid.T, label string) []Edit {
	return rapid.SliceOfN(rapid.Custom(drawEdit), 0, 5).Draw(t, label)
}

func naiveApply(data []byte, edits []Edit) []byte {
	var root jsonObject
	_ = json.Unmarshal(data, &root)
	for _, e := range edits {
		steps := strings.Split(e.Path, ".")
		at := root
		for _, step := range steps[:len(steps)-1] {
			child, ok := at[step].(jsonObject)
			if !ok && e.Unset {
				at = nil
				break
			}
			if !ok {
				child = jsonObject{}
				at[step] = child
			}
			at = child
		}
		var value any
		_ = json.Unmarshal(e.Value, &value)
		if e.Unset {
			delete(at, steps[len(steps)-1])
		} else {
			at[steps[len(steps)-1]] = value
		}
	}
	data, _ = json.Marshal(root)
	return data
}

func naiveFlatten(data []byte) map[string]string {
	var root any
	_ = json.Unmarshal(data, &root)
	out := map[string]string{}
	var walk func(path string, value any)
	walk = func(path string, value any) {
		object, ok := value.(jsonObject)
		if !ok {
			out[path] = string(encode(value))
		}
		steps := strings.Split(path, ".")
		if ok && steps[0] == "places" && (len(steps) == 2 || len(steps) == 4 && steps[2] == "services") {
			out[path] = "{}"
		}
		for name, child := range object {
			walk(joinPath(path, name), child)
		}
	}
	walk("", root)
	return out
}

func naiveConflicts(base, mine, theirs map[string]string, edits []Edit) []string {
	var found []string
	for _, key := range sortedKeys(base, mine, theirs) {
		touched := slices.ContainsFunc(edits, func(e Edit) bool {
			return within(key, e.Path) || !e.Unset && within(e.Path, key)
		})
		if touched && base[key] != theirs[key] && mine[key] != theirs[key] {
			found = append(found, key)
		}
	}
	return found
}

// Guards against an edit that changes more or less than the value at its path.
func TestApplyAgreesWithNaiveVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		edits := drawEdits(t, "edits")
		tree, err := (&Tree{}).Apply(edits)
		require.NoError(t, err)
		require.Equal(t, naiveFlatten(naiveApply([]byte("{}"), edits)), naiveFlatten(tree.Encode()))
		require.GreaterOrEqual(t, tree.EncodedBound(), len(tree.Encode()))
		again, err := Parse(tree.Encode())
		require.NoError(t, err)
		require.Empty(t, Diff(tree, again), "a tree survives its JSON form")
	})
}

// Guards against a merge that loses an edit, misses a conflict or reports one between edits of different keys.
func TestMergeAgreesWithNaiveVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, err := (&Tree{}).Apply(drawEdits(t, "base"))
		require.NoError(t, err)
		theirs := drawEdits(t, "theirs")
		head, err := base.Apply(theirs)
		require.NoError(t, err)
		edits := drawEdits(t, "mine")
		before := base.Encode()
		want := naiveConflicts(naiveFlatten(before), naiveFlatten(naiveApply(before, edits)), naiveFlatten(head.Encode()), edits)
		merged, err := Merge(base, head, edits)
		require.Equal(t, before, base.Encode(), "the base is not modified")
		if conflict, ok := err.(*ConflictError); ok {
			var got []string
			for _, c := range conflict.Conflicts {
				got = append(got, c.Path)
			}
			require.Equal(t, want, got)
			return
		}
		require.NoError(t, err)
		require.Empty(t, want)
		require.Equal(t, naiveFlatten(naiveApply(head.Encode(), edits)), naiveFlatten(merged.Encode()))
	})
}

// Guards against EditsBetween returning edits that do not turn one tree into the other. Rollback depends on them.
func TestEditsBetweenLeadToTheOtherTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, err := (&Tree{}).Apply(drawEdits(t, "a"))
		require.NoError(t, err)
		b, err := (&Tree{}).Apply(drawEdits(t, "b"))
		require.NoError(t, err)
		got, err := a.Apply(EditsBetween(a, b))
		require.NoError(t, err)
		require.Equal(t, string(b.Encode()), string(got.Encode()))
	})
}

// Guards against a service that inherits from the wrong level.
func TestResolveAgreesWithNaiveVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree, err := (&Tree{}).Apply(drawEdits(t, "edits"))
		require.NoError(t, err)
		place, service := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "place"), rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service")
		want, flat := Default(), naiveFlatten(tree.Encode())
		for _, key := range settingKeys {
			for _, level := range []string{"defaults", "places." + place + ".values", "places." + place + ".services." + service} {
				if value, ok := flat[level+"."+key]; ok {
					group, name, _ := strings.Cut(key, ".")
					require.NoError(t, json.Unmarshal(fmt.Appendf(nil, `{%q: {%q: %s}}`, group, name, value), &want))
				}
			}
		}
		require.Equal(t, want, tree.Resolve(place, service))
	})
}

// Guards against a document that makes the parser panic, or that it accepts without keeping every value.
func TestParseOfDamagedDocuments(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		tree, err := (&Tree{}).Apply(drawEdits(t, "edits"))
		require.NoError(t, err)
		data := tree.Encode()
		for range rapid.IntRange(0, 2).Draw(t, "damages") {
			at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
			data[at] = rapid.SampledFrom([]byte("{}[]\",:1x \\\xff")).Draw(t, "byte")
		}
		_, _ = ParseStored(data)
		if parsed, err := Parse(data); err == nil {
			accepted++
			require.Equal(t, naiveFlatten(data), naiveFlatten(parsed.Encode()))
		}
	})
	require.NotZero(t, accepted)
}
