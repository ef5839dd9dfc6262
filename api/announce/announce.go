// Package announce holds the messages between a backend server and the node beside it.
package announce

// Path is where a backend server announces (PUT) and withdraws (DELETE) itself.
const Path = "/v1/server"

// Server is a backend server's announcement. It is repeated to renew it.
type Server struct {
	// Service that the server belongs to.
	Service string `json:"service"`
	// Address of the server's HTTP listener, host:port with an IP number.
	Address string `json:"address"`
	// Slots is the number of calls that the server works on at a time.
	Slots int `json:"slots"`
	// Connections is the number of connections that the server accepts.
	Connections int `json:"connections"`
	// Draining is set by a server that wants no new work.
	Draining bool `json:"draining,omitempty"`
}

// Reply is the node's answer to an announcement.
type Reply struct {
	// ServerID names the server in the fleet.
	ServerID string `json:"serverId"`
	State    string `json:"state"`
	// RenewWithinMs is the time within which the announcement must be repeated, in milliseconds.
	RenewWithinMs int `json:"renewWithinMs"`
}
