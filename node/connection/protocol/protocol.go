// Package protocol defines the set of headers that callers and backend servers use. Deployments that name these headers
// differently share the same code for calls. The package contains only names and formats, and makes no decisions.
package protocol

import "net/http"

// Names are the header names of a deployment, in canonical form.
type Names struct {
	// ID is the ID of a caller's attempt. Servers echo it.
	ID string
	// DeadlineMs is the time that remains until the caller's deadline, in milliseconds.
	DeadlineMs string
	// ServerID is the ID of the server that may run a request.
	ServerID string
	// CallerService is the service of the host where the request originated.
	CallerService string
	// Signature marks an answer that a server produced.
	Signature string
	// NotExecuted marks a refusal by a server that has not executed the request.
	NotExecuted string
	// ServerLoad is a server's report of its load.
	ServerLoad string
	// RunningID is the ID of the server that answers a health check or a misdirected request.
	RunningID string
	// RateLimit is the number of requests per second that a server accepts from all hosts together.
	RateLimit string
	// Leaving has the value LeavingValue in the answers of a server that is about to end.
	Leaving      string
	LeavingValue string
	// TeamKey is the key by which a caller's team is known. It is never sent to a server.
	TeamKey string
	// Team is the name of the caller's team, as a server gets it.
	Team string
	// ColdMs is the time for which a server stays cold, in milliseconds.
	ColdMs string
	// ParseLoad parses the value of the ServerLoad header.
	ParseLoad func(value string) (ServerLoad, bool)
	// ParseRateLimit parses the value of the RateLimit header.
	ParseRateLimit func(value string) (perSecond float64, ok bool)
	// ParentID returns the ID of the call for which a server would make the call with the given ID. It reports false when
	// the ID names no other call.
	ParentID func(id string) (parent string, ok bool)
}

// ServerLoad is the load that a backend server reports.
type ServerLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is the current processing time as a percentage of the typical one; 0 if the server does not report it.
	Slowness int
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// StripConnection removes the headers that apply to a single connection, including those listed in Connection.
func StripConnection(h http.Header) {
	for _, value := range h.Values("Connection") {
		for _, name := range splitList(value) {
			h.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}
