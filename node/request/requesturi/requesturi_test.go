package requesturi_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/request/requesturi"
)

// Guards against a path that is matched in another form than the one in which the server gets it.
func TestPathIsThatOfTheRequestLine(t *testing.T) {
	for uri, want := range map[string]requesturi.URI{
		"/a/b?c=/d/":           {Path: "/a/b", Raw: "/a/b?c=/d/"},
		"/a%2Fb":               {Path: "/a%2Fb", Raw: "/a%2Fb"},
		"/a%2fb":               {Path: "/a%2fb", Raw: "/a%2fb"},
		"/a/%2e%2E/b":          {Path: "/a/%2e%2E/b", Raw: "/a/%2e%2E/b"},
		"/a/../b":              {Path: "/a/../b", Raw: "/a/../b"},
		"//a//b":               {Path: "//a//b", Raw: "//a//b"},
		"/a;v=1/b":             {Path: "/a;v=1/b", Raw: "/a;v=1/b"},
		"/a?":                  {Path: "/a", Raw: "/a?"},
		"/a%3Fb?c":             {Path: "/a%3Fb", Raw: "/a%3Fb?c"},
		"http://h.example/a/b": {Path: "/a/b", Raw: "/a/b"},
		"http://h.example":     {Path: "/", Raw: "/"},
		"http://h.example?c=d": {Path: "/", Raw: "/?c=d"},
		"http://h/a?b=://c":    {Path: "/a", Raw: "/a?b=://c"},
	} {
		got, err := requesturi.Parse(uri)
		require.NoError(t, err, uri)
		assert.Equal(t, want, got, uri)
	}
	for _, uri := range []string{"*", "", "h.example:80", "a/b"} {
		_, err := requesturi.Parse(uri)
		assert.ErrorIs(t, err, requesturi.ErrInvalid, uri)
	}
}

// FuzzParse asserts for each request line that net/http accepts that the path begins the target and is followed by the query only.
func FuzzParse(f *testing.F) {
	for _, uri := range []string{"/a/b?c", "/a%2Fb", "//a", "http://h/a", "*", "/%2e%2e/", "http://h?x=/y"} {
		f.Add(uri)
	}
	f.Fuzz(func(t *testing.T, uri string) {
		line := "GET " + uri + " HTTP/1.1\r\nHost: h\r\n\r\n"
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(line)))
		if err != nil {
			return
		}
		parsed, err := requesturi.Parse(r.RequestURI)
		if err != nil {
			return
		}
		rest, ok := strings.CutPrefix(parsed.Raw, parsed.Path)
		require.True(t, ok)
		require.True(t, rest == "" || rest[0] == '?')
		require.True(t, strings.HasPrefix(parsed.Path, "/"))
		require.True(t, strings.HasSuffix(r.RequestURI, strings.TrimPrefix(parsed.Raw, "/")), "the bytes that the caller sent")
	})
}
