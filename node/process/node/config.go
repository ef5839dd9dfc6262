// Package node assembles a node from its configuration and runs it.
package node

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/radishstand/radishstand/node/connection/platform/awsclient"
)

// Config is the start-up configuration of a node process. All other settings come from the settings tree.
type Config struct {
	// Place is the place of the host, as named in the settings tree.
	Place string
	// ListenCallers is the listen address for requests of callers, IP:port.
	ListenCallers string
	// ListenPeers is the listen address for other nodes, IP:port.
	ListenPeers string
	// ListenServer is the listen address for announcements and calls of the local backend server, IP:port. Every client
	// that can reach it is trusted as that server, so it is usually a loopback address.
	ListenServer string
	// ListenOperators is the listen address for operators, IP:port.
	ListenOperators string
	// Advertise is the address at which other nodes reach ListenPeers, IP:port. It defaults to the address of that socket.
	Advertise string
	// Peers are the addresses of seed peers, used when the table service is unavailable.
	Peers []string
	// Platform configures the clients of the table service and object store.
	Platform awsclient.Config
	// TLS configures TLS between nodes.
	TLS TLSConfig
	// CallersTLS configures TLS on the callers' listener.
	CallersTLS ServerTLS
	// Operators configures TLS and authentication on the operators' listener.
	Operators OperatorAccess
	// MaxInProgress bounds the calls in progress, default 4096.
	MaxInProgress int
	// MaxConnections bounds the open connections of callers, default 4096.
	MaxConnections int
	// StopGrace is the delay between the announcement of a planned stop to peers and the closing of the listeners,
	// default 1 s.
	StopGrace time.Duration
}

// Problem is one invalid setting of a configuration.
type Problem struct {
	// Path is the path of the setting in the configuration file.
	Path string
	// Message states the value found and the values allowed.
	Message string
}

// String implements fmt.Stringer.
func (p Problem) String() string { return p.Path + ": " + p.Message }

// InvalidError lists all problems of a configuration.
type InvalidError struct{ Problems []Problem }

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

const maxPlaceLength = 64

// Limits of MaxInProgress and MaxConnections.
const (
	maxLimit     = 1_000_000
	defaultLimit = 4096
)

const defaultStopGrace = time.Second

// Provision fills in defaults and validates the configuration. The error is an *InvalidError that lists every problem.
func (c *Config) Provision() error {
	if c.MaxInProgress == 0 {
		c.MaxInProgress = defaultLimit
	}
	if c.MaxConnections == 0 {
		c.MaxConnections = defaultLimit
	}
	if c.StopGrace == 0 {
		c.StopGrace = defaultStopGrace
	}
	if problems := c.problems(); len(problems) > 0 {
		return &InvalidError{problems}
	}
	return nil
}

func (c *Config) problems() []Problem {
	var p problems
	if c.Place == "" || len(c.Place) > maxPlaceLength || strings.ContainsAny(c.Place, " ./") {
		p.add("place", "is %q; allowed are 1 to %d characters without space, dot and slash", c.Place, maxPlaceLength)
	}
	p.address("listen.callers", c.ListenCallers, false)
	p.address("listen.peers", c.ListenPeers, false)
	p.address("listen.server", c.ListenServer, false)
	p.address("listen.operators", c.ListenOperators, false)
	if c.Advertise != "" {
		p.address("advertise", c.Advertise, true)
	} else if address, err := netip.ParseAddrPort(c.ListenPeers); err == nil && address.Addr().IsUnspecified() {
		p.add("advertise", "is empty; it must be given when listen.peers names no specific address")
	}
	for _, peer := range c.Peers {
		p.address("peers", peer, true)
	}
	p.limit("maxInProgress", c.MaxInProgress)
	p.limit("maxConnections", c.MaxConnections)
	p = append(p, c.CallersTLS.problems("callers", c.ListenCallers)...)
	p = append(p, c.Operators.problems(c.ListenOperators)...)
	p = append(p, c.TLS.problems()...)
	return p
}

// problems is the list of invalid settings found so far.
type problems []Problem

func (p *problems) add(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (p *problems) address(path, value string, specific bool) {
	address, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		p.add(path, "is %q; allowed is an IP number with a port, such as 10.1.2.3:7400", value)
	case specific && (address.Addr().IsUnspecified() || address.Port() == 0):
		p.add(path, "is %q; other nodes need a specific address and port", value)
	}
}

// isLoopback reports whether an address can be reached only from the same host. Its traffic never crosses the network, so
// TLS is not required.
func isLoopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().Unmap().IsLoopback()
}

func (p *problems) limit(path string, value int) {
	if value < 1 || value > maxLimit {
		p.add(path, "is %d; allowed are 1 to %d", value, maxLimit)
	}
}

// Warnings returns one warning for each protection that the configuration disables.
func (c *Config) Warnings() []string {
	var list []string
	warn := func(off bool, text string) {
		if off {
			list = append(list, text)
		}
	}
	warn(c.TLS.Insecure, "nodes talk without TLS; anyone who reaches the peer listener can act as a node")
	warn(c.CallersTLS.Insecure && !c.CallersTLS.enabled(),
		"callers talk without TLS; anyone on the way can read and change calls and answers")
	warn(c.Operators.TLS.Insecure && !c.Operators.TLS.enabled(),
		"operators talk without TLS; anyone on the way can read their token")
	warn(c.Operators.Open, "operators need no token; anyone who reaches the operators' listener can change settings")
	warn(!isLoopback(c.ListenServer),
		"the backend server's listener is not on loopback; anyone who reaches it can act as the backend server")
	return list
}
