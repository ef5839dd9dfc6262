package current

import (
	"net"
	"slices"
	"strings"

	"github.com/radishstand/radishstand/api/settings"
)

// Snapshot is a version of the settings with lookup tables compiled for a place. It is immutable.
type Snapshot struct {
	Version int64
	Tree    *settings.Tree

	services  []string
	values    map[string]*settings.Values
	hosts     map[string]string // services by normalized host
	prefixes  map[string]string // services by path prefix without the final slash
	maxPrefix int               // length of the longest prefix in bytes
}

// compile resolves every known service at a place and builds the lookup tables.
func compile(place string, version int64, tree *settings.Tree) *Snapshot {
	names := tree.Services()
	s := &Snapshot{
		Version: version, Tree: tree, services: names,
		values: make(map[string]*settings.Values, len(names)), hosts: map[string]string{}, prefixes: map[string]string{},
	}
	resolved := make([]settings.Values, len(names))
	for i, name := range names {
		resolved[i] = tree.Resolve(place, name)
		s.values[name] = &resolved[i]
		s.index(name, resolved[i].Match)
	}
	return s
}

// index adds the hosts and path prefixes of a service to the lookup tables. Services are added in the order of their names.
// If two configure the same host or prefix, the first one keeps it, so that all nodes of a place agree.
func (s *Snapshot) index(service string, match settings.Match) {
	for _, host := range match.Hosts {
		if host = normalizeHost(host); s.hosts[host] == "" {
			s.hosts[host] = service
		}
	}
	for _, prefix := range match.PathPrefixes {
		if prefix = strings.TrimSuffix(prefix, "/"); s.prefixes[prefix] == "" {
			s.prefixes[prefix] = service
			s.maxPrefix = max(s.maxPrefix, len(prefix))
		}
	}
}

// Services returns the names of all known services, sorted.
func (s *Snapshot) Services() []string { return slices.Clone(s.services) }

// Values returns the values of a service at the node's place. They must not be modified.
func (s *Snapshot) Values(service string) (*settings.Values, bool) {
	v, ok := s.values[service]
	return v, ok
}

// Match finds the service of a call by, in this order, a configured host, the first label of the host, the Radish-Service
// header, and the longest path prefix. A header with an unknown service matches nothing, because the caller requested
// another service than the one that the path would select.
func (s *Snapshot) Match(host, path, serviceHeader string) (service string, ok bool) {
	host = normalizeHost(host)
	if service, ok = s.hosts[host]; ok {
		return service, true
	}
	if label, _, _ := strings.Cut(host, "."); s.values[label] != nil {
		return label, true
	}
	if serviceHeader != "" {
		if s.values[serviceHeader] == nil {
			return "", false
		}
		return serviceHeader, true
	}
	return s.matchPath(path)
}

// matchPath looks up the path and its parents, the longest first. A path longer than every prefix is truncated first, which
// limits the work for a malicious path.
func (s *Snapshot) matchPath(path string) (string, bool) {
	if len(s.prefixes) == 0 {
		return "", false
	}
	path = strings.TrimSuffix(path, "/")
	for {
		if len(path) <= s.maxPrefix {
			if service, ok := s.prefixes[path]; ok {
				return service, true
			}
		}
		if len(path) > s.maxPrefix+1 {
			path = path[:s.maxPrefix+1] // the truncated segment is removed below
		}
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			return "", false
		}
		path = path[:slash]
	}
}

// normalizeHost converts a host to lower case and removes the port and a final dot.
func normalizeHost(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
