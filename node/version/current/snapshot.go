package current

import (
	"net"
	"slices"
	"strings"

	"github.com/radishstand/radishstand/api/settings"
)

// Snapshot is one version of the settings, compiled for a place. It is immutable.
type Snapshot struct {
	Version int64
	Tree    *settings.Tree

	services  []string
	values    map[string]*settings.Values
	hosts     map[string]string
	prefixes  map[string]string // without the final slash
	maxPrefix int
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

// index adds the hosts and path prefixes of a service. Services come in the order of their names; where two claim the
// same host or prefix, the first keeps it, so that all nodes of a place agree.
func (s *Snapshot) index(service string, match settings.Match) {
	for _, host := range match.Hosts {
		if host = normalHost(host); s.hosts[host] == "" {
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

// Match finds the service of a call: by a configured host, by the first label of the host, by the Radish-Service header,
// and then by the longest path prefix. A header that names an unknown service matches nothing, since the caller asked
// for something else than the path would give.
func (s *Snapshot) Match(host, path, serviceHeader string) (service string, ok bool) {
	host = normalHost(host)
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

// matchPath tries the path and its parents, the longest first. Paths longer than every prefix are cut first, which
// bounds the work for a hostile path.
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
			path = path[:s.maxPrefix+1] // the cut segment is dropped below
		}
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			return "", false
		}
		path = path[:slash]
	}
}

// normalHost lowers the case and removes the port and a final dot.
func normalHost(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
