package node

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/connection/peer"
	"github.com/radishstand/radishstand/node/process/admission"
	"github.com/radishstand/radishstand/node/process/balance"
	"github.com/radishstand/radishstand/node/process/ledger"
	"github.com/radishstand/radishstand/node/process/measure"
	"github.com/radishstand/radishstand/node/process/registry"
	"github.com/radishstand/radishstand/node/request/attempt"
	"github.com/radishstand/radishstand/node/request/entry"
	"github.com/radishstand/radishstand/node/request/retry"
	"github.com/radishstand/radishstand/node/request/serve"
	"github.com/radishstand/radishstand/node/version/current"
)

// core is the request path: what calls pass through, without the fleet.
type core struct {
	settings *current.Holder
	balancer *balance.Balancer
	retrier  *retry.Retrier
	registry *registry.Registry
	serve    *serve.Handler
	entry    *entry.Handler
	pool     *peer.Pool
}

// coreConfig is what the core needs from the process.
type coreConfig struct {
	nodeID   string
	place    string
	pool     *peer.Pool
	ledger   ledger.Ledger
	observer entry.Observer
	log      *log.Logger
	limit    int64
	// track is called for every service that is called.
	track func(service string)
	// distance is the round trip to a place.
	distance func(place string) time.Duration
	// changed is called after each change of the local server; nil when there is none.
	changed func(*registry.Server)
}

func newCore(c coreConfig) *core {
	k := &core{
		settings: current.New(c.place),
		balancer: balance.New(balance.Config{Place: c.place, RoundTrip: c.distance}),
		retrier:  retry.New(retry.Config{}),
		pool:     c.pool,
	}
	k.registry = registry.New(registry.Config{
		NodeID: c.nodeID, Now: time.Now, NewAdmission: k.newAdmission, NewMeter: k.newMeter,
		RenewWithin: k.renewWithin, OnChange: c.changed,
	})
	parents, pools := attempt.NewTable(), retry.NewPools()
	k.serve = &serve.Handler{
		Registry: k.registry, Settings: k.settings, Parents: parents, Pools: pools,
		ReportLimiter: balance.NewReportLimiter(nil, k.reportEvery), Now: time.Now,
	}
	k.entry = entry.New(entry.Config{
		NodeID: c.nodeID, Settings: k.settings, Balancer: k.balancer, Retrier: k.retrier, Parents: parents, Pools: pools,
		Local: k.serve, Remote: &peer.Caller{Pool: c.pool}, OwnLoad: k.ownLoad, Track: c.track, Ledger: c.ledger, Observer: c.observer,
		Now: time.Now, Log: c.log, MaxInProgress: c.limit,
	})
	return k
}

func (k *core) newAdmission(service string, slots int) *admission.Admission {
	return admission.New(admission.Config{
		Slots:  slots,
		Values: func() settings.Admission { return k.values(service).Admission },
		Sibling: func(within time.Duration) (string, bool) {
			own := k.registry.Current()
			if own == nil {
				return "", false
			}
			return k.balancer.Sibling(service, own.ID, within)
		},
	})
}

// ownLoad returns the present load of the local server if it belongs to the service.
func (k *core) ownLoad(service string) []balance.Load {
	if own := k.registry.Current(); own != nil && own.Announced.Service == service {
		return k.serve.Loads(own)
	}
	return nil
}

// reportEvery is the shortest time between two load reports to the same node.
func (k *core) reportEvery() time.Duration {
	own := k.registry.Current()
	if own == nil {
		return 0
	}
	return time.Duration(k.values(own.Announced.Service).Balance.ReportMs * float64(time.Millisecond))
}

func (k *core) newMeter(service, address string) *measure.Meter {
	return measure.New(address, k.values(service).Measure, time.Now)
}

// values returns the settings of a service, or the defaults while no version is known.
func (k *core) values(service string) *settings.Values {
	if snapshot := k.settings.Current(); snapshot != nil {
		if values, ok := snapshot.Values(service); ok {
			return values
		}
	}
	return &defaultValues
}

var defaultValues = settings.Default()

func (k *core) renewWithin(service string) time.Duration {
	return time.Duration(k.values(service).Drain.RenewWithinMs) * time.Millisecond
}

// applySettings hands the values of the version in force to the parts that keep their own copy.
func (k *core) applySettings() {
	snapshot := k.settings.Current()
	if snapshot == nil {
		return
	}
	for _, service := range snapshot.Services() {
		if values, ok := snapshot.Values(service); ok {
			k.balancer.Configure(service, values)
			k.retrier.Configure(service, values)
		}
	}
	if server := k.registry.Current(); server != nil {
		server.Meter.Configure(k.values(server.Announced.Service).Measure)
	}
}
