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

// deployment is one of the two deployments of today, as in docs/design.md.
type deployment struct {
	places   []string
	services []service
	// slots of each backend server.
	slots int
	// mix has 10 % of keyed work: at 300 calls/s, 30 % came close to the write budget of the fleet.
	mix []load.Work
	// drains, slows and stops name the services one of whose servers drains, slows down or stops.
	drains, slows, stops string
}

type service struct {
	name    string
	servers int
	class   contract.Class
	// took is the time of a call in the server.
	took time.Duration
}

// get and post are shorthands for the mix.
func get(weight int, service, path string) load.Work {
	return load.Work{Weight: weight, Method: "GET", Service: service, Path: path}
}

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
		drains: "payments", slows: "quotes", stops: "crews",
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
		drains: "tills", slows: "kerbside", stops: "permits",
	},
}

// names lists the deployments for messages.
func names() string { return strings.Join(slices.Sorted(maps.Keys(deployments)), ", ") }

// settings returns the settings tree of the deployment: every service at every place.
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
		panic("demo: encoding the settings: " + err.Error()) // the tree holds only plain JSON types
	}
	return tree
}

func (d deployment) nodes() int {
	n := 0
	for _, s := range d.services {
		n += s.servers
	}
	return n
}
