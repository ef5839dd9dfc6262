package main

import (
	"strings"
	"time"
)

func init() { cases["address-reuse"] = addressReuse }

// reuseAfter is the time after which the address of a backend that has ended may be assigned to another service.
const reuseAfter = 2 * time.Second

// addressReuse ends a backend and kills the process of its node, and assigns the address to a backend of another service.
func addressReuse(f *fleet, trouble bool) (bool, error) {
	f.store.put("op", "config", configuration(1, []string{"payments", "crews"}, []route{
		{prefix: "/deposit/", kind: "non_idempotent", service: "payments", timeout: 1, objective: 0.2, attempts: 2},
		{prefix: "/booking/", kind: "non_idempotent", service: "crews", timeout: 1.5, objective: 0.4, attempts: 2},
	}))
	for i, service := range []string{"payments", "payments", "payments", "crews", "crews"} {
		n, err := f.addNode(service, []string{"danang-a", "danang-b", "hoian-c"}[i%3])
		if err != nil {
			return false, err
		}
		b := f.newBackend(n, n.name, 17)
		b.work = 72 * time.Millisecond
		if err := b.start("i-"+n.name, time.Now()); err != nil {
			return false, err
		}
		if err := n.start(); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady("/deposit/1"); err != nil {
		return false, err
	}
	time.Sleep(contact)
	machine, old := f.nodes[0], f.backends[0]
	load := f.startLoad(f.nodes, request{method: "POST", path: "/deposit/17", body: []byte("amount=100"), deadline: time.Second}, 20)
	time.Sleep(2 * time.Second)

	f.record("machine %s loses power: its backend and its node end; the node comes back", machine.name)
	old.stop()
	ended := time.Now()
	machine.kill()
	time.Sleep(restartDelay)
	if err := machine.start(); err != nil {
		return false, err
	}
	time.Sleep(time.Until(ended.Add(reuseAfter + 700*time.Millisecond)))
	next := f.newBackend(machine, machine.name+" (next)", 17)
	next.work, next.lateFirstBeat = old.work, true
	if trouble {
		f.record("trouble: the address is assigned to a backend of crews; the settings file changes without a signal")
		next.service = "crews"
		if err := machine.writeSettings("crews"); err != nil {
			return false, err
		}
	}
	if err := next.start("i-next", time.Now()); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	load.stop()

	foreign := 0
	for _, a := range load.answers {
		for _, b := range f.backends {
			b.mu.Lock()
			runs := b.runs[a.id]
			b.mu.Unlock()
			if len(runs) > 0 && b.service != "payments" {
				foreign++
				f.record("request %s of the route /deposit/ was run by %s of %s, and ended with %s: %s", a.id, b.id, b.service, a, strings.TrimSpace(a.body))
			}
		}
	}
	f.record("%d of %d requests of the route to payments were run by crews", foreign, len(load.answers))
	return foreign > 0, nil
}
