package main

import (
	"sync/atomic"
	"time"
)

func init() { cases["encoded-path"] = encodedPath }

// encodedPath sends non-idempotent requests whose path holds an encoded slash while the backends lose answers.
//
// "/deposit/view/" is an idempotent route, "/deposit/" a non-idempotent one. The path "/deposit/view%2F17" begins with the second
// prefix only.
func encodedPath(f *fleet, trouble bool) (bool, error) {
	f.store.put("op", "config", configuration(1, []string{"payments"}, []route{
		{prefix: "/deposit/", kind: "non_idempotent", service: "payments", timeout: 1, objective: 0.2, attempts: 2},
		{prefix: "/deposit/view/", kind: "idempotent", service: "payments", timeout: 1, objective: 0.2, attempts: 2},
	}))
	for _, zone := range []string{"danang-a", "danang-a", "danang-b", "danang-b", "hoian-c"} {
		n, err := f.addNode("payments", zone)
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
	if err := f.awaitReady("/deposit/view/1"); err != nil {
		return false, err
	}
	time.Sleep(contact)
	if trouble {
		f.record("trouble: three of five backends lose the answers of two in five of the requests that they run")
		for _, b := range f.backends[:3] {
			var runs atomic.Int64
			b.setLoseAnswer(func() bool { return runs.Add(1)%5 < 2 })
		}
	}
	var ids []string
	for i := range 120 {
		r := request{method: "POST", path: "/deposit/view%2F17", body: []byte("amount=100"), deadline: time.Second, id: newID()}
		if i%2 == 1 { // the same without an encoded slash, for comparison
			r.path = "/deposit/pay"
		}
		ids = append(ids, r.id)
		f.nodes[i%len(f.nodes)].send(r)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	twice := [2]int{}
	for i, id := range ids {
		if f.runsOf(id) > 1 {
			twice[i%2]++
			f.record("request %s has run %d times", id, f.runsOf(id))
		}
	}
	f.record("run more than once: %d of 60 requests to /deposit/view%%2F17, %d of 60 to /deposit/pay", twice[0], twice[1])
	return twice[0]+twice[1] > 0, nil
}
