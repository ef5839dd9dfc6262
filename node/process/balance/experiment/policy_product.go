package experiment

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/radishstand/radishstand/node/process/balance"
	"github.com/radishstand/radishstand/node/process/balance/subset"
)

// piggybackedReports is the number of load reports of other servers that are piggybacked on an answer.
const piggybackedReports = 0

// product uses the production balancer, one for each entry node.
type product struct {
	w         *world
	servers   []balance.Server
	balancers []*balance.Balancer
}

func serverID(i int) string { return strconv.Itoa(i) }

func newProduct(w *world) *product {
	p := &product{w: w}
	for i, s := range w.servers {
		p.servers = append(p.servers, balance.Server{ID: serverID(i), Service: serviceName, Place: placeName(s.place), NodeID: serverID(i), Slots: s.slots})
	}
	for entry := range w.entries {
		b := balance.New(balance.Config{
			Place: placeName(w.entries[entry]), Now: w.clock, Rand: rand.New(rand.NewPCG(w.rand.Uint64(), w.rand.Uint64())),
			RoundTrip: func(place string) time.Duration { return 2 * w.between(placeName(w.entries[entry]), place) },
		})
		b.Configure(serviceName, &w.values)
		p.balancers = append(p.balancers, b)
		p.setServers(entry)
	}
	return p
}

// setServers sets the servers of the balancer of an entry node.
func (p *product) setServers(entry int) {
	node := subset.Node{ID: serverID(entry), Place: placeName(p.w.entries[entry])}
	p.balancers[entry].SetServers(serviceName, node.Choose(p.servers, p.w.options.limit))
}

// serverReplaced gives a server a new incarnation, so that all entry nodes treat it as new.
func (p *product) serverReplaced(server int) {
	p.servers[server].Incarnation++
	p.servers[server].FirstSeen = p.w.clock()
	for entry := range p.balancers {
		p.setServers(entry)
	}
}

func (p *product) pick(entry int, excluded []int) int {
	b := p.balancers[entry]
	if entry < len(p.w.servers) { // the entry node has the exact load of its own server
		b.Observe(serverID(entry), []balance.Load{p.w.report(entry)})
	}
	return serverIndex(b.Pick(serviceName, serverIDs(excluded)))
}

// lookup returns the index of a server that a call was redirected to, or -1 if the server is not in the subset of the entry
// node.
func (p *product) lookup(entry int, id string) int {
	server, known := p.balancers[entry].Lookup(id)
	if !known {
		return -1
	}
	return serverIndex(server, nil)
}

func (p *product) hedge(entry, server int, tried []int) int {
	return serverIndex(p.balancers[entry].Hedge(balance.Server{ID: serverID(server), Service: serviceName}, serverIDs(tried)))
}

func serverIDs(servers []int) []string {
	ids := make([]string, len(servers))
	for i, s := range servers {
		ids[i] = serverID(s)
	}
	return ids
}

// serverIndex returns the index of a server, or -1 if err is set.
func serverIndex(s balance.Server, err error) int {
	if err != nil {
		return -1
	}
	i, _ := strconv.Atoi(s.ID)
	return i
}

func (p *product) started(entry, server int) {
	p.balancers[entry].Started(balance.Server{ID: serverID(server), Service: serviceName})
}

func (p *product) finished(entry, server int, r balance.Result) {
	p.balancers[entry].Finished(balance.Server{ID: serverID(server), Service: serviceName}, r)
}

func (p *product) observe(entry, server int, loads []balance.Load) {
	p.balancers[entry].Observe(serverID(server), loads)
}

func (p *product) piggyback(server int) []balance.Load {
	return p.balancers[server].Freshest(serviceName, piggybackedReports)
}
