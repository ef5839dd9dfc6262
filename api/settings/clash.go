package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// clashes finds hosts and path prefixes that two services claim at the same place. Such a call would belong to either
// service, so a tree with a clash is refused.
func (t *Tree) clashes() []Problem {
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

// claims returns the hosts and path prefixes of a service at a place.
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
