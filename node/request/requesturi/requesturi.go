// Package requesturi reads the target of a request: the path by which its route is matched, and the path and query that are sent to
// the server.
//
// Both are the bytes that the caller sent. A decoded path must decide nothing: the server gets the encoded one, in which an
// encoded slash or dot is data within a segment, and may run the request as one of another route.
package requesturi

import (
	"errors"
	"strings"
)

// ErrInvalid reports a target without a path.
var ErrInvalid = errors.New("request target has no path")

// URI is the target of a request in origin form.
type URI struct {
	// Path is the path without the query.
	Path string
	// Raw is the path and query.
	Raw string
}

// Parse returns the target of a request line. In the absolute form, scheme and authority are dropped; the host of the request is
// the authority.
func Parse(requestURI string) (URI, error) {
	raw := requestURI
	if !strings.HasPrefix(raw, "/") {
		_, rest, ok := strings.Cut(raw, "://")
		if !ok {
			return URI{}, ErrInvalid
		}
		raw = rest[len(authority(rest)):]
		if !strings.HasPrefix(raw, "/") { // an empty path
			raw = "/" + raw
		}
	}
	path, _, _ := strings.Cut(raw, "?")
	return URI{Path: path, Raw: raw}, nil
}

// authority returns the part of an absolute target in front of its path and query.
func authority(rest string) string {
	if end := strings.IndexAny(rest, "/?"); end >= 0 {
		return rest[:end]
	}
	return rest
}
