// Package httpstatus tells which statuses a server may answer with. Parsers of HTTP take others too: net/http takes any three digits.
package httpstatus

import "net/http"

// maxStatus is the highest status of HTTP.
const maxStatus = 599

// IsInterim reports whether an answer with a status is followed by another one. 101 is none: it ends HTTP on the connection.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// IsFinal reports whether a status may be that of the answer to a request.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }
