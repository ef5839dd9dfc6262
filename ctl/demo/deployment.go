package demo

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/ctl/load"
)

// deployment is one of the two deployments that docs/design.md describes.
type deployment struct {
	places   []string
	services []service
	// slots is the number of slots of each backend server.
	slots int
	// mix is the load. It has 10 % of keyed work: at 300 calls/s, 30 % came close to the write budget of the fleet.
	mix []load.Work
	// One server each of these services drains, slows down or stops.
	drainService, slowService, stopService string
}

type service struct {
	name    string
	servers int
	class   contract.Class
	// serviceTime is the time that the server takes for a call.
	serviceTime time.Duration
}

// get returns idempotent work for the mix.
func get(weight int, service, path string) load.Work {
	return load.Work{Weight: weight, Method: "GET", Service: service, Path: path}
}

// post returns non-idempotent work for the mix.
func post(weight int, service, path string, keyed bool) load.Work {
	return load.Work{Weight: weight, Method: "POST", Service: service, Path: path, Keyed: keyed, BodyBytes: 200}
}

var deployments = map[string]deployment{
	"coop": {
		places: []string{"danang", "hoian", "hue"},
		services: []service{
			{"quotes", 5, contract.ClassNormal, 4 * time.Millisecond},
			{"crews", 3, contract.ClassCritical, 6 * time.Millisecond},
			{"warranty", 3, contract.ClassDeferrable, 8 * time.Millisecond},
			{"payments", 3, contract.ClassCritical, 6 * time.Millisecond},
		},
		slots: 17,
		mix: []load.Work{
			get(60, "quotes", "/quotes/7"), get(20, "warranty", "/warranties/3"), post(6, "crews", "/bookings", true),
			post(4, "payments", "/deposits", true), post(10, "payments", "/orders", false),
		},
		drainService: "payments", slowService: "quotes", stopService: "crews",
	},
	"yatai": {
		places: []string{"higashi", "minami", "nishi"},
		services: []service{
			{"kerbside", 3, contract.ClassNormal, 3 * time.Millisecond},
			{"permits", 3, contract.ClassCritical, 6 * time.Millisecond},
			{"tills", 3, contract.ClassCritical, 6 * time.Millisecond},
			{"ledger", 4, contract.ClassCheck, 4 * time.Millisecond},
		},
		slots: 9,
		mix: []load.Work{
			get(60, "kerbside", "/badges/7"), get(20, "ledger", "/entries/3"), post(6, "permits", "/grants", true),
			post(4, "tills", "/charges", true), post(10, "tills", "/receipts", false),
		},
		drainService: "tills", slowService: "kerbside", stopService: "permits",
	},
}

// deploymentNames returns a comma-separated list of the deployments.
func deploymentNames() string { return strings.Join(slices.Sorted(maps.Keys(deployments)), ", ") }

// settings returns the settings tree of the deployment, with every service in every place.
func (d deployment) settings() json.RawMessage {
	services := map[string]any{}
	for _, s := range d.services {
		services[s.name] = map[string]any{"call": map[string]any{"class": s.class}}
	}
	places := map[string]any{}
	for _, p := range d.places {
		places[p] = map[string]any{"values": map[string]any{}, "services": services}
	}
	tree, err := json.Marshal(map[string]any{
		"defaults": map[string]any{
			"call":  map[string]any{"timeoutMs": callTimeout.Milliseconds()},
			"drain": map[string]any{"maxMs": stopTimeout.Milliseconds()},
		},
		"places": places,
	})
	if err != nil {
		panic("demo: encoding the settings: " + err.Error()) // unreachable: the tree has only types that JSON can encode
	}
	return tree
}

// nodeCount returns the number of nodes, one for each backend server.
func (d deployment) nodeCount() int {
	n := 0
	for _, s := range d.services {
		n += s.servers
	}
	return n
}
