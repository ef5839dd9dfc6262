package front

import (
	"net/http"
	"time"

	"github.com/radishstand/radishstand/node/version/routing"
)

const (
	// staleRetryAfter is the Retry-After time while this node may not have the newest routing version.
	staleRetryAfter = 300 * time.Millisecond
	// authenticationScheme is the challenge of a response with status 401.
	authenticationScheme = "ApiKey"
)

// Freshness shows how current the routing version of the node is. It is safe for concurrent use.
type Freshness interface {
	// NewerKnown reports whether a node has reported a newer version than the given one.
	NewerKnown(version uint64) bool
	// Leased reports whether the node may accept keys of a version: without a lease, keys may have been revoked since.
	Leased(version uint64) bool
}

// authenticate returns the team whose key a request has. It returns no team on a public route and in a version without teams. Callers
// do not retry after status 401, so it is sent only when no newer version is known that may hold the key.
func (h *Handler) authenticate(header http.Header, v *routing.Version, r *routing.Route) (*routing.Team, *problem) {
	return h.decideTeam(v, r, h.claimOf(header, v))
}

// claim is what the keys of a request say about its team.
type claim struct {
	// team is nil unless there is exactly one key and it is known.
	team *routing.Team
	keys int // number of keys in the request
}

// claimOf returns the claim of the keys in a header.
func (h *Handler) claimOf(header http.Header, v *routing.Version) claim {
	keys := header.Values(h.config.Names.TeamKey)
	c := claim{keys: len(keys)}
	if len(keys) == 1 {
		c.team = v.TeamOf(keys[0])
	}
	return c
}

// decideTeam returns the team of a request with a claim, or the response that refuses it.
func (h *Handler) decideTeam(v *routing.Version, r *routing.Route, claimed claim) (*routing.Team, *problem) {
	if r.Public || !v.HasTeams() {
		return nil, nil
	}
	if !h.config.Freshness.Leased(v.Number) {
		return nil, &problem{status: http.StatusServiceUnavailable, cause: "no freshness lease", retryAfter: staleRetryAfter}
	}
	if claimed.team != nil {
		return claimed.team, nil
	}
	switch {
	case h.config.Freshness.NewerKnown(v.Number):
		return nil, &problem{status: http.StatusServiceUnavailable, cause: "newer routing version known", retryAfter: staleRetryAfter}
	case claimed.keys == 1:
		return nil, &problem{status: http.StatusUnauthorized, cause: "unknown key"}
	}
	return nil, &problem{status: http.StatusUnauthorized, cause: "not exactly one key"}
}
