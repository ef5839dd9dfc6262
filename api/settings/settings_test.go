package settings

import (
	"encoding/json"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The fixed seed makes failures reproducible. Flags on the command line override both values.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	os.Exit(m.Run())
}

func mustParse(t *testing.T, text string) *Tree {
	t.Helper()
	tree, err := Parse([]byte(text))
	require.NoError(t, err)
	return tree
}

// Guards against accepting an invalid tree, and against an error without the path, the value found and the values allowed.
func TestParseRefuses(t *testing.T) {
	cases := []struct{ name, text, path, found, allowed string }{
		{"an unknown top level key", `{"x": 1}`, "x", "unknown key", "defaults, places"},
		{"an unknown setting", `{"defaults": {"call": {"timeout": 1}}}`, "defaults.call.timeout", "unknown key", "timeoutMs"},
		{"a value out of range", `{"places": {"hue": {"values": {"call": {"timeoutMs": 0}}}}}`, "places.hue.values.call.timeoutMs", "0", "integer from 1 to 600000 ms"},
		{"a fraction for an integer", `{"defaults": {"call": {"timeoutMs": 1.5}}}`, "defaults.call.timeoutMs", "1.5", "integer"},
		{"a wrong type", `{"defaults": {"admission": {"queueLength": "yes"}}}`, "defaults.admission.queueLength", `"yes"`, "integer from 0 to 10000"},
		{"null", `{"defaults": {"retry": {"budgetRatio": null}}}`, "defaults.retry.budgetRatio", "null", "number from 0 to 1"},
		{"a class outside the list", `{"defaults": {"call": {"class": "high"}}}`, "defaults.call.class", `"high"`, "one of check, critical"},
		{"a rule without class", `{"defaults": {"call": {"rules": [{"method": "GET"}]}}}`, "defaults.call.rules[0].class", "no value", "one of"},
		{"a rule with an unknown key", `{"defaults": {"call": {"rules": [{"class": "check", "host": ""}]}}}`, "defaults.call.rules[0].host", "unknown key", "method"},
		{"a path prefix without slash", `{"places": {"hue": {"services": {"q": {"match": {"pathPrefixes": ["x"]}}}}}}`, "places.hue.services.q.match.pathPrefixes[0]", `"x"`, "matches ^/"},
		{"a service name with a dot", `{"places": {"hue": {"services": {"a.b": {}}}}}`, "places.hue.services.a.b", `"a.b"`, "lower-case"},
		{"the same key twice", `{"defaults": {"call": {"timeoutMs": 1, "timeoutMs": 2}}}`, "defaults.call.timeoutMs", "twice", "once"},
		{"a list in place of an object", `{"places": []}`, "places", "[]", "object"},
		{"text after the tree", `{} {}`, "", "byte 4", "one JSON value"},
		{"a path prefix of two services", `{"places": {"hue": {"services": {"a": {"match": {"pathPrefixes": ["/x"]}}, "b": {"match": {"pathPrefixes": ["/x/"]}}}}}}`, "places.hue.services.b.match", "service a also claims", "one service"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.text))
			var invalid *InvalidError
			require.ErrorAs(t, err, &invalid)
			require.Len(t, invalid.Problems, 1)
			require.Equal(t, c.path, invalid.Problems[0].Path)
			require.Contains(t, invalid.Problems[0].Found, c.found)
			require.Contains(t, invalid.Problems[0].Allowed, c.allowed)
		})
	}
	_, err := Parse([]byte(`{"defaults": {"call": {"timeoutMs": 0, "class": ""}, "x": 1}}`))
	require.Len(t, err.(*InvalidError).Problems, 3, "all faults are listed")
}

// Guards against an older node dropping, or failing on, settings that a newer version of the program accepted.
func TestStoredTreeKeepsUnknownSettings(t *testing.T) {
	text := `{"defaults":{"call":{"class":"urgent","timeoutMs":5},"shadow":{"share":0.5}},"places":{"hue":{"values":{},"services":{"q":{}}}}}`
	tree, err := ParseStored([]byte(text))
	require.NoError(t, err)
	require.Equal(t, text, string(tree.Encode()))
	require.Equal(t, "normal", tree.Resolve("hue", "q").Call.Class)
	after, err := tree.ApplyStored([]Edit{Set("defaults.shadow.share", json.RawMessage("0.7")), Unset("defaults.call.class")})
	require.NoError(t, err)
	require.Contains(t, string(after.Encode()), `"defaults":{"call":{"timeoutMs":5},"shadow":{"share":0.7}}`)
}

// Guards against accepting an invalid edit or applying it in part.
func TestApplyRefuses(t *testing.T) {
	cases := []struct{ name, path, value, found string }{
		{"an unknown setting", "defaults.call.nope", "1", "unknown key"},
		{"an unknown group", "places.hue.values.nope.x", "1", "unknown key"},
		{"a path outside the tree", "place.hue", "{}", "no such path"},
		{"all places at once", "places", "{}", "no such path"},
		{"a path with an empty step", "places.hue.services.q.", "1", "no such path"},
		{"a service name in capitals", "places.hue.services.Quotes", "{}", "no such path"},
		{"a value out of range", "places.hue.services.q.call.timeoutMs", "700000", "700000"},
		{"no value", "defaults.call.timeoutMs", "", "unexpected end"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := (&Tree{}).Apply([]Edit{Set(c.path, json.RawMessage(c.value))})
			require.ErrorContains(t, err, c.found)
		})
	}
}

// Guards against Explain naming another level than the one whose value is in force.
func TestExplainNamesTheLevel(t *testing.T) {
	tree := mustParse(t, `{"defaults": {"call": {"timeoutMs": 1, "holdBytes": 1}}, "places": {"hue": {"values": {"call": {"holdBytes": 2, "class": "check"}},
		"services": {"q": {"call": {"class": "critical"}}}}}}`)
	got := map[string]string{}
	for _, e := range tree.Explain("hue", "q") {
		got[e.Key] = e.Level + " " + string(e.Value)
	}
	require.Equal(t, "defaults 1", got["call.timeoutMs"])
	require.Equal(t, "places.hue.values 2", got["call.holdBytes"])
	require.Equal(t, `places.hue.services.q "critical"`, got["call.class"])
	require.Equal(t, "built-in 2", got["retry.maxPerCall"])
}

// Guards against a conflict without the values of both changes.
func TestConflictShowsBothValues(t *testing.T) {
	base := mustParse(t, `{"defaults": {"call": {"timeoutMs": 1}}, "places": {"hue": {"services": {"q": {}}}}}`)
	head, err := base.Apply([]Edit{Set("defaults.call.timeoutMs", json.RawMessage("2")), Unset("places.hue.services.q")})
	require.NoError(t, err)
	_, err = Merge(base, head, []Edit{Set("defaults.call.timeoutMs", json.RawMessage("3")), Set("places.hue.services.q.call.timeoutMs", json.RawMessage("4"))})
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, []Conflict{
		{Path: "defaults.call.timeoutMs", Base: json.RawMessage("1"), Yours: json.RawMessage("3"), Theirs: json.RawMessage("2")},
		{Path: "places.hue.services.q", Base: json.RawMessage("{}"), Yours: json.RawMessage("{}")},
	}, conflict.Conflicts)
}

// Guards against generated pages that are outdated because tags changed. Run go generate ./settings after such a change.
func TestGeneratedPagesAreCurrent(t *testing.T) {
	for path, want := range map[string][]byte{"../../docs/settings.schema.json": JSONSchema(), "../../docs/settings.md": Reference()} {
		got, err := os.ReadFile(path)
		require.NoError(t, err)
		require.Equal(t, string(want), string(got))
	}
	require.Equal(t, len(fields), strings.Count(string(Reference()), "\n| `"))
}
