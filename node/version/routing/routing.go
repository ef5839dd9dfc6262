// Package routing compiles a version of the routes, services and limits of a deployment for look-ups by host and path, and
// holds the current version of the node. A version is immutable. The number of the current version never decreases.
package routing

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Version is a compiled version of the routing configuration.
type Version struct {
	// Number is the version number. A higher number is newer.
	Number   uint64
	Services map[string]Service
	Limits   Limits
	// Document is the encoded version as it is stored in the operators' store.
	Document []byte

	teams     teams
	downloads bool
	hosts     map[string][]*Route // by lower-case host, longest prefix first
}

// Service holds the configuration of a service.
type Service struct {
	Name string
	// HealthPath is the path of the server's health check.
	HealthPath string
	// MaxConnections is the number of connections that a server accepts from all its callers.
	MaxConnections int
	// ColdStart is the time for which a server of the service stays cold after its start.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests per second that a cold server handles; 0 if cold servers are not limited.
	ColdPerSecond float64
}

// Limits bounds what callers may send and the time in which they must send it.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Route defines which services serve the calls to a host and path prefix, and how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is set when a call may run more than once.
	Idempotent bool
	// Timeout bounds the time for which a call waits for its answer.
	Timeout time.Duration
	// Objective is the latency objective: an answer within this time has its full value to the caller.
	Objective time.Duration
	// Rank is the priority; 0 is the highest.
	Rank int
	// MaxAttempts is the maximum number of attempts of a call. Redirected attempts do not count.
	MaxAttempts int
	// Split distributes the calls over services by weight.
	Split Split
	// Download is set for routes with large answers.
	Download bool
	// Public is set for routes that serve callers without a key.
	Public bool
}

// Definition is what operators configure in a version.
type Definition struct {
	Number   uint64
	Services []Service
	Limits   Limits
	Routes   []*Route
	// Teams are the callers' teams with their keys. Without any, callers need no key.
	Teams []TeamKeys
}

// New compiles a version. Among the routes of a host, the one with the longest matching prefix is used.
func New(d Definition) (*Version, error) {
	teams, err := newTeams(d.Teams)
	if err != nil {
		return nil, err
	}
	v := &Version{Number: d.Number, Services: map[string]Service{}, Limits: d.Limits, teams: teams, hosts: map[string][]*Route{}}
	for _, s := range d.Services {
		v.Services[s.Name] = s
	}
	for _, r := range d.Routes {
		if err := v.add(r); err != nil {
			return nil, err
		}
	}
	for _, routes := range v.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return v, nil
}

func (v *Version) add(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") {
		return fmt.Errorf("route %q: prefix %q does not begin with a slash", r.Name, r.Prefix)
	}
	if len(r.Split.parts) == 0 {
		return fmt.Errorf("route %q: split has no service", r.Name)
	}
	host := strings.ToLower(r.Host)
	v.hosts[host] = append(v.hosts[host], r)
	v.downloads = v.downloads || r.Download
	return nil
}

// HasDownloads reports whether any route has large answers.
func (v *Version) HasDownloads() bool { return v.downloads }

// Match returns the route of a request, or nil when none matches.
func (v *Version) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := v.hosts[host]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			routes = v.hosts[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Routes iterates over all routes in no particular order.
func (v *Version) Routes(yield func(*Route) bool) {
	for _, routes := range v.hosts {
		for _, r := range routes {
			if !yield(r) {
				return
			}
		}
	}
}

// Holder holds the current version. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Version]
}

// Current returns the current version, or nil before the first one is set.
func (h *Holder) Current() *Version { return h.current.Load() }

// Number returns the number of the current version, or 0 before the first one is set.
func (h *Holder) Number() uint64 {
	if v := h.current.Load(); v != nil {
		return v.Number
	}
	return 0
}

// Offer makes v the current version if its number is higher than the current one, and reports whether it did.
func (h *Holder) Offer(v *Version) bool {
	for {
		old := h.current.Load()
		if old != nil && v.Number <= old.Number {
			return false
		}
		if h.current.CompareAndSwap(old, v) {
			return true
		}
	}
}
