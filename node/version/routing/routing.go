// Package routing holds one version of the routes, services and limits of a deployment, compiled for look-ups by host
// and path. A version is immutable. The version in force only rises.
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

// Version is one version of the routing.
type Version struct {
	// Number orders the versions.
	Number   uint64
	Services map[string]Service
	Limits   Limits
	// Document is the version in the form in which the operators' store holds it.
	Document []byte

	hosts map[string][]*Route
}

// Service is what operators say of a service.
type Service struct {
	Name string
	// HealthPath is the path of the server's health check.
	HealthPath string
	// MaxConnections is the number of connections that a server takes from all its callers.
	MaxConnections int
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Route is where and how the calls under one host and prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent calls may run more than once.
	Idempotent bool
	// Timeout is the longest time for which a call waits for its answer.
	Timeout time.Duration
	// Objective is the time within which an answer has its full value to the caller.
	Objective time.Duration
	// Rank is the priority; 0 is the highest.
	Rank int
	// MaxAttempts is the number of servers to which one call may be sent.
	MaxAttempts int
	// Split distributes the calls over services by weight.
	Split Split
}

// New compiles a version. The routes of a host are matched by longest prefix.
func New(number uint64, services []Service, limits Limits, routes []*Route) (*Version, error) {
	v := &Version{Number: number, Services: map[string]Service{}, Limits: limits, hosts: map[string][]*Route{}}
	for _, s := range services {
		v.Services[s.Name] = s
	}
	for _, r := range routes {
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
		return fmt.Errorf("route %q: no service", r.Name)
	}
	host := strings.ToLower(r.Host)
	v.hosts[host] = append(v.hosts[host], r)
	return nil
}

// Match returns the route of a request, or nil.
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

// Routes calls yield for each route.
func (v *Version) Routes(yield func(*Route) bool) {
	for _, routes := range v.hosts {
		for _, r := range routes {
			if !yield(r) {
				return
			}
		}
	}
}

// Holder holds the version in force. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Version]
}

// Current returns the version in force, or nil while none is known.
func (h *Holder) Current() *Version { return h.current.Load() }

// Number returns the number of the version in force, or 0.
func (h *Holder) Number() uint64 {
	if v := h.current.Load(); v != nil {
		return v.Number
	}
	return 0
}

// Offer puts a version in force if it is higher than the one in force, and reports whether it did.
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
