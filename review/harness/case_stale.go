package main

import (
	"errors"
	"strings"
	"time"
)

func init() { cases["stale-config"] = staleConfig }

const (
	// silentTime is the time for which the store does not answer one machine.
	silentTime = 9 * time.Second
	// maxSkew is the time by which an unstable store stretches the bound at most.
	maxSkew = 5 * time.Second
)

// staleConfig lets the store leave the calls of one machine unanswered for a while, and changes the configuration after that. The
// requesters of that machine use the service of its own backend, so that its node sends no call to others. Others send calls to it.
func staleConfig(f *fleet, trouble bool) (bool, error) {
	routes := func(first, second string) []route {
		return []route{
			{prefix: "/first/", kind: "non_idempotent", service: first, timeout: 1, objective: 0.4, attempts: 2},
			{prefix: "/second/", kind: "non_idempotent", service: second, timeout: 1, objective: 0.4, attempts: 2},
		}
	}
	services := []string{"crews", "payments"}
	f.store.put("op", "config", configuration(1, services, routes("crews", "payments")))
	for _, zone := range []string{"danang-a", "danang-b", "hoian-c"} {
		for _, service := range services {
			n, err := f.addNode(service, zone)
			if err != nil {
				return false, err
			}
			b := f.newBackend(n, n.name, 17)
			b.work = 70 * time.Millisecond
			if err := b.start("i-"+n.name, time.Now()); err != nil {
				return false, err
			}
			if err := n.start(); err != nil {
				return false, err
			}
		}
	}
	if err := f.awaitReady("/first/1", "/second/1"); err != nil {
		return false, err
	}
	time.Sleep(contact)
	var quiet *node
	for _, n := range f.nodes {
		f.record("node %s of %s polls for %s ms", n.name, n.service, n.platform.pollWait())
		if n.platform.pollWait() == "30000" {
			quiet = n
		}
	}
	if quiet == nil {
		return false, errors.New("no node polls for 30 s")
	}
	path, other := "/first/", "payments"
	if quiet.service == "payments" {
		path, other = "/second/", "crews"
	}
	payment := func(path string) request {
		return request{method: "POST", path: path, body: []byte("amount=100"), deadline: time.Second}
	}
	load := f.startLoad([]*node{quiet}, payment(path), 10)
	var neighbour *node // its requesters use the backend beside the quiet node
	for _, n := range f.nodes {
		if n != quiet && n.zone == quiet.zone {
			neighbour = n
		}
	}
	first := f.startLoad([]*node{neighbour}, payment("/first/"), 5)
	second := f.startLoad([]*node{neighbour}, payment("/second/"), 5)
	if trouble {
		f.record("trouble: the store does not answer %s for %v", quiet.name, silentTime)
		quiet.platform.silence(true)
	}
	time.Sleep(silentTime)
	if trouble {
		f.record("the store answers %s again", quiet.name)
		quiet.platform.silence(false)
	}
	time.Sleep(contact + 500*time.Millisecond)
	f.store.put("op", "config", configuration(2, services, routes("payments", "crews")))
	confirmed := time.Now()
	f.record("the operator moves %s from %s to %s, confirmed", path, quiet.service, other)
	time.Sleep(10 * time.Second)
	load.stop()
	first.stop()
	second.stop()

	stale, fresh, beyond, last := 0, 0, 0, time.Duration(0)
	for _, a := range load.answers {
		since := a.sentAt.Sub(confirmed)
		if since <= configApply || a.status != 200 {
			continue
		}
		if strings.HasSuffix(strings.TrimSpace(a.body), " of "+quiet.service) {
			stale++
			if since > configApply+maxSkew {
				beyond++
			}
			last = max(last, since)
			f.record("request %s, sent %.3f s after the confirmation, was run by the old service: %s", a.id, since.Seconds(), strings.TrimSpace(a.body))
		} else {
			fresh++
		}
	}
	f.record("of the requests sent later than %v after the confirmation, %d were run by the old service (the last one sent after %v; %d later than %v), %d by the new one",
		configApply, stale, last.Round(time.Millisecond), beyond, configApply+maxSkew, fresh)
	return stale > 0, nil
}
