package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// duplicateClaims returns a problem for each host and path prefix that two services claim at the same place. A tree with
// such a duplicate is refused because the service of a matching call would be ambiguous.
func (t *Tree) duplicateClaims() []Problem {
	services := t.Services()
	var problems []Problem
	for _, place := range slices.Sorted(maps.Keys(t.Places)) {
		owner := map[string]string{}
		for _, service := range services {
			for _, claim := range t.claims(place, service) {
				if first, taken := owner[claim]; taken && first != service {
					problems = append(problems, Problem{
						Path:    fmt.Sprintf("places.%s.services.%s.match", place, service),
						Found:   fmt.Sprintf("%s, which service %s also claims", claim, first),
						Allowed: "each host and path prefix for one service of a place",
					})
					continue
				}
				owner[claim] = service
			}
		}
	}
	return problems
}

// claims returns the hosts and path prefixes that a service matches at a place.
func (t *Tree) claims(place, service string) []string {
	var claims []string
	for _, key := range []string{"match.hosts", "match.pathPrefixes"} {
		var list []string
		for _, level := range t.levels(place, service) {
			if set, ok := level.partial[key].([]string); ok {
				list = set
			}
		}
		for _, text := range list {
			if key == "match.hosts" {
				claims = append(claims, "host "+text)
			} else {
				claims = append(claims, "path prefix "+strings.TrimSuffix(text, "/"))
			}
		}
	}
	return claims
}
