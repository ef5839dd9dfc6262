package current

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/settings"
)

func tree(t *testing.T, text string) *settings.Tree {
	t.Helper()
	parsed, err := settings.Parse([]byte(text))
	require.NoError(t, err)
	return parsed
}

// Guards against a call being routed to the wrong service.
func TestMatch(t *testing.T) {
	h := New("hue")
	require.True(t, h.Offer(1, tree(t, `{"places": {"hue": {"services": {
		"quotes": {"match": {"hosts": ["quotes.example.org"], "pathPrefixes": ["/quotes", "/q/long/"]}},
		"crews": {"match": {"pathPrefixes": ["/quotes/crews", "/"]}}}},
		"hanoi": {"services": {"payments": {}}}}}`)))
	cases := []struct{ name, host, path, header, want string }{
		{"a configured host wins over the path", "Quotes.Example.Org:8080", "/quotes/crews", "", "quotes"},
		{"the first host label names a service of another place", "payments.internal.", "/quotes", "", "payments"},
		{"the header wins over the path", "10.0.0.1:80", "/quotes", "payments", "payments"},
		{"the host wins over the header", "crews", "/", "payments", "crews"},
		{"a header that names no service matches nothing", "10.0.0.1", "/quotes", "nobody", ""},
		{"the longest prefix wins", "", "/quotes/crews/7", "", "crews"},
		{"a prefix with a final slash matches below", "", "/q/long/x", "", "quotes"},
		{"a prefix ends at a segment", "", "/quotesx", "", "crews"},
		{"a path far longer than any prefix", "", "/quotes/aaaaaaaaaaaaaaaaaaaaaaaa/b/c/d", "", "quotes"},
		{"an IPv6 host with port", "[::1]:80", "/quotes", "", "quotes"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, ok := h.Current().Match(c.host, c.path, c.header)
			require.Equal(t, c.want, got)
			require.Equal(t, c.want != "", ok)
		})
	}
	require.Equal(t, []string{"crews", "payments", "quotes"}, h.Current().Services())
}

// Guards against a version that is offered late and replaces a newer one (I7).
func TestVersionNeverDecreases(t *testing.T) {
	h := New("hue")
	require.Nil(t, h.Current())
	changed, cancel := h.Subscribe()
	defer cancel()
	a := tree(t, `{"places": {"hue": {"services": {"quotes": {"call": {"timeoutMs": 7}}}}}}`)
	require.True(t, h.Offer(5, a))
	require.Len(t, changed, 1)
	require.False(t, h.Offer(5, tree(t, `{}`)))
	require.False(t, h.Offer(4, tree(t, `{}`)))
	require.EqualValues(t, 5, h.Current().Version)
	v, ok := h.Current().Values("quotes")
	require.True(t, ok)
	require.Equal(t, 7, v.Call.TimeoutMs)
}
