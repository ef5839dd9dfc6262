package node

import (
	"context"
	"net/http"
	"runtime"
	"time"

	apioperator "github.com/radishstand/radishstand/api/operator"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/connection/platform"
	"github.com/radishstand/radishstand/node/process/balance"
	"github.com/radishstand/radishstand/node/process/ledger"
	"github.com/radishstand/radishstand/node/process/measure"
	"github.com/radishstand/radishstand/node/process/membership"
	"github.com/radishstand/radishstand/node/process/operator"
	"github.com/radishstand/radishstand/node/version/commit"
	"github.com/radishstand/radishstand/node/version/distribution"
)

// operators returns the handler of the operators' API.
func (n *Node) operators() http.Handler {
	return operator.New(n.fleet.editor, view{n}, n.metrics)
}

// view shows the node to operators.
type view struct{ node *Node }

// Current implements operator.View.
func (v view) Current() (int64, *settings.Tree) {
	snapshot := v.node.core.settings.Current()
	if snapshot == nil {
		return 0, nil
	}
	return snapshot.Version, snapshot.Tree
}

// serving reports whether the node serves calls with settings.
func (v view) serving() bool {
	version, _ := v.Current()
	return version > 0 && v.node.life.Current() == StateServing
}

// ApplyCommitted implements operator.View.
func (v view) ApplyCommitted(r commit.Result) { v.node.fleet.accepted(r) }

// InForce implements operator.View.
func (v view) InForce(ctx context.Context, version int64, wait time.Duration) map[string]apioperator.InPlace {
	places := map[string]apioperator.InPlace{}
	for place, count := range v.node.fleet.counter.CountPlaces(ctx, version, wait) {
		places[place] = apioperator.InPlace{Nodes: count.Nodes, InForce: count.InForce}
	}
	return places
}

// knownInForce counts the members by what is known of them, without asking.
func (v view) knownInForce(version int64) map[string]apioperator.InPlace {
	places := map[string]apioperator.InPlace{}
	for place, count := range v.node.fleet.members.VersionCounts(version) {
		places[place] = apioperator.InPlace{Nodes: count.Members, InForce: count.AtLeast}
	}
	return places
}

// Status implements operator.View.
func (v view) Status() apioperator.Status {
	version, _ := v.Current()
	status := apioperator.Status{
		Node: v.node.id, Place: v.node.config.Place, State: v.node.life.Current(), SettingsVersion: version,
		MembersByState: map[string]int{}, Places: v.knownInForce(version), InProgress: v.node.core.entry.InProgress(),
	}
	for m := range v.node.fleet.members.Members() {
		status.MembersByState[m.State.String()]++
		if !v.node.fleet.members.PlaceReachable(m.Place) {
			status.Unreachable = appendNew(status.Unreachable, m.Place)
		}
	}
	store := v.node.fleet.guard.State()
	status.Store = map[string]string{"table": store.Table.Breaker, "objects": store.Objects.Breaker}
	return status
}

func appendNew(list []string, s string) []string {
	for _, have := range list {
		if have == s {
			return list
		}
	}
	return append(list, s)
}

// Members implements operator.View.
func (v view) Members() []apioperator.Member {
	list := []apioperator.Member{}
	for m := range v.node.fleet.members.Members() {
		list = append(list, apioperator.Member{
			Address: m.Address, Place: m.Place, State: m.State.String(), Incarnation: m.Incarnation, Service: m.Service,
			ServerID: m.ServerID, Slots: int(m.Slots), Draining: m.Draining, SettingsVersion: m.SettingsVersion,
		})
	}
	return list
}

// Servers implements operator.View. Every server of the fleet is listed; load is known of the services that this node
// calls.
func (v view) Servers() []apioperator.Server {
	loads := map[string]balance.ServerDump{}
	for _, servers := range v.node.core.balancer.Dump() {
		for _, s := range servers {
			loads[s.ID] = s
		}
	}
	list := []apioperator.Server{}
	for m := range v.node.fleet.members.Members() {
		if m.ServerID == "" || !m.State.Live() {
			continue
		}
		load := loads[m.ServerID]
		list = append(list, apioperator.Server{
			ID: m.ServerID, Service: m.Service, Place: m.Place, Node: m.Address, Slots: int(m.Slots), Draining: m.Draining,
			InProgress: load.InProgress, Queued: load.Queued, Limit: load.Limit, ServiceMs: load.ServiceMs, AgeMs: load.AgeMs,
			EjectedForMs: load.EjectedForMs,
		})
	}
	return list
}

// dump is the whole state of a node. It holds no secrets.
type dump struct {
	Status      apioperator.Status              `json:"status"`
	Server      *serverDump                     `json:"server"`
	Calls       CallsDump                       `json:"calls"`
	Balance     map[string][]balance.ServerDump `json:"balance"`
	Membership  membership.Dump                 `json:"membership"`
	Ledger      ledger.Dump                     `json:"ledger"`
	Settings    distribution.State              `json:"settings"`
	Store       platform.State                  `json:"store"`
	Attempts    int                             `json:"attemptsAtServer"`
	Connections int                             `json:"peerConnections"`
	Goroutines  int                             `json:"goroutines"`
	HeapBytes   uint64                          `json:"heapBytes"`
}

// serverDump is the state of the local backend server.
type serverDump struct {
	ID         string       `json:"id"`
	Service    string       `json:"service"`
	Address    string       `json:"address"`
	State      string       `json:"state"`
	InProgress int          `json:"inProgress"`
	Queued     int          `json:"queued"`
	Limit      int          `json:"limit"`
	Measure    measure.Dump `json:"measure"`
}

// Dump implements operator.View.
func (v view) Dump() any {
	n := v.node
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return dump{
		Status: v.Status(), Server: v.server(), Calls: n.recent.dump(), Balance: n.core.balancer.Dump(),
		Membership: n.fleet.members.Dump(), Ledger: n.fleet.holder.Dump(), Settings: n.fleet.distributor.State(), Store: n.fleet.guard.State(),
		Attempts: n.core.serve.Parents.Len(), Connections: n.pool.Len(),
		Goroutines: runtime.NumGoroutine(), HeapBytes: memory.HeapAlloc,
	}
}

func (v view) server() *serverDump {
	s := v.node.core.registry.Current()
	if s == nil {
		return nil
	}
	d := &serverDump{ID: s.ID, Service: s.Announced.Service, Address: s.Announced.Address, State: s.State(), Measure: s.Meter.Dump()}
	for _, l := range v.node.core.serve.Loads(s)[:1] {
		d.InProgress, d.Queued, d.Limit = l.InProgress, l.Queued, l.Limit
	}
	return d
}
