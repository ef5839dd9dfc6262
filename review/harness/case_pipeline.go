package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["pipeline"] = pipeline }

// pipeline stops a node whose requesters have sent two idempotent requests behind each other on a kept connection.
func pipeline(f *fleet, trouble bool) (bool, error) {
	f.store.put("op", "config", configuration(1, []string{"quotes"}, []route{
		{prefix: "/view/", kind: "idempotent", service: "quotes", timeout: 4, objective: 1, attempts: 2},
	}))
	for _, zone := range []string{"danang-a", "danang-b"} {
		n, err := f.addNode("quotes", zone)
		if err != nil {
			return false, err
		}
		b := f.newBackend(n, n.name, 17)
		b.work = 800 * time.Millisecond
		if err := b.start("i-"+n.name, time.Now()); err != nil {
			return false, err
		}
		if err := n.start(); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady("/view/1"); err != nil {
		return false, err
	}
	time.Sleep(contact)
	entry := f.nodes[0]
	const count = 5
	var conns []*conn
	for range count {
		c, err := entry.dial()
		if err != nil {
			return false, err
		}
		defer c.close()
		conns = append(conns, c)
		if err := c.write(request{method: "GET", path: "/view/a", deadline: 4 * time.Second, id: fmt.Sprintf("first-%d", len(conns))}); err != nil {
			return false, err
		}
	}
	time.Sleep(100 * time.Millisecond)
	if trouble {
		f.record("trouble: planned stop of the requesters' node")
		entry.signal(syscall.SIGTERM)
	}
	time.Sleep(100 * time.Millisecond)
	sentAt := make([]time.Time, count)
	for i, c := range conns {
		if err := c.write(request{method: "GET", path: "/view/b", deadline: 4 * time.Second, id: fmt.Sprintf("second-%d", i+1)}); err != nil {
			return false, err
		}
		sentAt[i] = time.Now()
	}
	lost := 0
	for i, c := range conns {
		_ = c.net.SetDeadline(time.Now().Add(6 * time.Second))
		for _, name := range []string{"first", "second"} {
			a := c.read(request{method: "GET", id: fmt.Sprintf("%s-%d", name, i+1)})
			f.record("requester: %s: %s, announces the end of the connection: %v", a.id, a, a.last)
			if name == "second" && a.status == 0 && a.endAt.Sub(sentAt[i]) > lossSlack {
				lost++
				f.record("request %s: the connection ended %.3f s after its last byte without an answer", a.id, a.endAt.Sub(sentAt[i]).Seconds())
			}
		}
	}
	f.record("%d of %d requests that were read were not answered", lost, 2*count)
	return lost > 0, nil
}
