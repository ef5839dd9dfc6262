// Package operator defines the paths, error codes and JSON types of the operators' HTTP API of a node.
package operator

import (
	"encoding/json"

	"github.com/radishstand/radishstand/api/settings"
)

// Paths of the API.
const (
	PathHealth   = "/v1/health"
	PathDump     = "/v1/dump"
	PathStatus   = "/v1/status"
	PathMembers  = "/v1/members"
	PathServers  = "/v1/servers"
	PathSettings = "/v1/settings"
	PathExplain  = "/v1/settings/explain"
	PathHistory  = "/v1/settings/history"
	PathChanges  = "/v1/settings/changes"
	PathRollback = "/v1/settings/rollback"
	PathInForce  = "/v1/settings/in-force"
	PathMetrics  = "/v1/metrics"
	// PathPrometheus serves the same metrics in the Prometheus text format. It is the default path of Prometheus.
	PathPrometheus = "/metrics"
)

// Error codes.
const (
	CodeInvalid     = "invalid"
	CodeConflict    = "conflict"
	CodeUnknown     = "unknown"
	CodeUnavailable = "unavailable"
	CodeNotFound    = "not-found"
	// CodeUnauthorized means that the request is not authenticated as an operator's.
	CodeUnauthorized = "unauthorized"
)

// Error is the body of a refused request.
type Error struct {
	// Code is one of the Code constants.
	Code    string `json:"code"`
	Message string `json:"message"`
	// Problems describes every invalid setting.
	Problems []string `json:"problems,omitempty"`
	// Conflicts lists the keys that changed since the base version, with the values of both changes.
	Conflicts []settings.Conflict `json:"conflicts,omitempty"`
}

// Settings is the answer to GET PathSettings. The query parameter version selects an earlier version.
type Settings struct {
	Version int64           `json:"version"`
	Tree    json.RawMessage `json:"tree"`
}

// Change is the body of POST PathChanges.
type Change struct {
	// ID identifies the change, so that a repeated submission is not a second change.
	ID     string `json:"id"`
	Author string `json:"author"`
	// BaseVersion is the version on which the author based the edits.
	BaseVersion int64           `json:"baseVersion"`
	Edits       []settings.Edit `json:"edits"`
}

// Rollback is the body of POST PathRollback.
type Rollback struct {
	ID          string `json:"id"`
	Author      string `json:"author"`
	BaseVersion int64  `json:"baseVersion"`
	ToVersion   int64  `json:"toVersion"`
}

// Accepted is the answer to an accepted change.
type Accepted struct {
	Version int64 `json:"version"`
	// Repeated is true if an earlier submission of the change was accepted.
	Repeated bool `json:"repeated"`
}

// Version is one entry of the answer to GET PathHistory, which has the query parameters after and limit.
type Version struct {
	Version         int64           `json:"version"`
	ChangeID        string          `json:"changeId"`
	Author          string          `json:"author"`
	CommittedUnixMs int64           `json:"committedUnixMs"`
	Edits           []settings.Edit `json:"edits"`
}

// MaxInForceWaitMs is the maximum of the query parameter waitMs of PathInForce, in milliseconds.
const MaxInForceWaitMs = 1000

// InForce is the answer to GET PathInForce. The query parameter waitMs is the maximum time in milliseconds for which nodes
// wait for the version of the query parameter version before they are counted.
type InForce struct {
	Version int64                   `json:"version"`
	Places  map[string]PlaceInForce `json:"places"`
}

// PlaceInForce is the number of nodes of a place and the number of those at which a version, or a later one, is in force.
type PlaceInForce struct {
	Nodes   int `json:"nodes"`
	InForce int `json:"inForce"`
}

// Member is one entry of the answer to GET PathMembers.
type Member struct {
	Address         string `json:"address"`
	Place           string `json:"place"`
	State           string `json:"state"`
	Incarnation     uint64 `json:"incarnation"`
	Service         string `json:"service,omitempty"`
	ServerID        string `json:"serverId,omitempty"`
	Slots           int    `json:"slots,omitempty"`
	Draining        bool   `json:"draining,omitempty"`
	SettingsVersion int64  `json:"settingsVersion"`
}

// Server is one entry of the answer to GET PathServers: a backend server as this node sees it.
type Server struct {
	ID           string  `json:"id"`
	Service      string  `json:"service"`
	Place        string  `json:"place"`
	Node         string  `json:"node"`
	Slots        int     `json:"slots"`
	Draining     bool    `json:"draining"`
	InProgress   int     `json:"inProgress"`
	Queued       int     `json:"queued"`
	Limit        int     `json:"limit"`
	ServiceMs    float64 `json:"serviceMs"`
	AgeMs        float64 `json:"ageMs"`
	EjectedForMs float64 `json:"ejectedForMs"`
}

// Status is the answer to GET PathStatus.
type Status struct {
	Node            string                  `json:"node"`
	Place           string                  `json:"place"`
	State           string                  `json:"state"`
	SettingsVersion int64                   `json:"settingsVersion"`
	MembersByState  map[string]int          `json:"membersByState"`
	Places          map[string]PlaceInForce `json:"places"`
	Unreachable     []string                `json:"unreachable,omitempty"`
	// Store is the state of the circuit breaker of the table service and of the object store.
	Store      map[string]string `json:"store"`
	InProgress int64             `json:"inProgress"`
}
