// Package announce defines the messages between a backend server and the node beside it.
package announce

// Path is the URL path at which a backend server announces (PUT) and withdraws (DELETE) itself.
const Path = "/v1/server"

// Server is a backend server's announcement. The server repeats it to renew it.
type Server struct {
	// Service is the name of the service that the server belongs to.
	Service string `json:"service"`
	// Address is the address of the server's HTTP listener, host:port with an IP address.
	Address string `json:"address"`
	// Slots is the number of calls that the server can run at the same time.
	Slots int `json:"slots"`
	// Connections is the number of connections that the server accepts.
	Connections int `json:"connections"`
	// Draining is set by a server that accepts no new calls.
	Draining bool `json:"draining,omitempty"`
}

// Reply is the node's answer to an announcement.
type Reply struct {
	// ServerID identifies the server in the fleet.
	ServerID string `json:"serverId"`
	State    string `json:"state"`
	// RenewWithinMs is the time in milliseconds within which the server must repeat its announcement.
	RenewWithinMs int `json:"renewWithinMs"`
}
