package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["header-bytes"] = headerBytes }

// headerBytes stops the node of the requesters while it waits for answers that the backend has given with a header field that is
// not UTF-8.
func headerBytes(f *fleet, trouble bool) (bool, error) {
	f.store.put("op", "config", configuration(1, []string{"quotes", "payments"}, []route{
		{prefix: "/deposit/", kind: "non_idempotent", service: "payments", timeout: 8, objective: 1.2, attempts: 2},
		{prefix: "/view/", kind: "idempotent", service: "payments", timeout: 8, objective: 1.2, attempts: 2},
	}))
	for i, service := range []string{"quotes", "payments", "payments"} {
		n, err := f.addNode(service, []string{"danang-a", "danang-b", "danang-a"}[i])
		if err != nil {
			return false, err
		}
		b := f.newBackend(n, n.name, 17)
		b.work = 400 * time.Millisecond
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
	for _, b := range f.backends {
		b.mu.Lock()
		b.header = map[string]string{"Content-Disposition": "attachment; filename=\"re\xe7u-17.pdf\""} // ISO 8859-1
		b.mu.Unlock()
	}
	entry := f.nodes[0]
	const count = 10
	answers := make([]answer, count)
	var wait sync.WaitGroup
	for i := range count {
		wait.Go(func() {
			answers[i] = entry.send(request{method: "POST", path: "/deposit/pay", body: []byte("amount=100"), deadline: 8 * time.Second, id: fmt.Sprintf("pay-%d", i)})
		})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		f.record("trouble: planned stop of the requesters' node")
		entry.signal(syscall.SIGTERM)
		stopped := time.Now()
		select {
		case <-entry.ended:
			f.record("the node has ended %.3f s after SIGTERM", time.Since(stopped).Seconds())
		case <-time.After(grace):
			entry.signal(syscall.SIGKILL)
		}
	}
	wait.Wait()
	lost := 0
	for _, a := range answers {
		if runs := f.runsOf(a.id); a.status == 0 && runs > 0 && a.endAt.Sub(a.sentAt) > lossSlack {
			lost++
			f.record("request %s has run %d times; its connection ended %.3f s after its last byte without an answer", a.id, runs, a.endAt.Sub(a.sentAt).Seconds())
		}
	}
	f.record("%d of %d requests that have run were not answered", lost, count)
	return lost > 0, nil
}
