// Package protocol names the headers that callers and backend servers use, so that the same path of a call serves
// deployments with names of their own. It holds names and formats and decides nothing.
package protocol

import "net/http"

// Names are the header names of a deployment, in canonical form.
type Names struct {
	// ID of a caller's attempt; servers echo it.
	ID string
	// DeadlineMs is the time left until the caller gives up, in milliseconds.
	DeadlineMs string
	// ServerID in a request names the server that may run it.
	ServerID string
	// CallerService is the service at the host where the request began.
	CallerService string
	// Signature marks an answer that a server made.
	Signature string
	// NotExecuted marks a server's refusal of a request that it has not run.
	NotExecuted string
	// ServerLoad is a server's report of its load.
	ServerLoad string
	// RunningID names the server that answers a health check or a misdirected request.
	RunningID string
	// ParseLoad reads the value of ServerLoad.
	ParseLoad func(value string) (ServerLoad, bool)
}

// ServerLoad is what a server says of itself.
type ServerLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is the present time of work in percent of the usual time; 0 when the server does not say.
	Slowness int
}

// connectionHeaders concern one connection and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// StripConnection removes the headers that concern one connection, also those that Connection names.
func StripConnection(h http.Header) {
	for _, value := range h.Values("Connection") {
		for _, name := range splitList(value) {
			h.Del(name)
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
}
