package main

import (
	"sync"
	"time"
)

func init() { cases["clock-back"] = clockBack }

const (
	// clockStep is the jump of the time of day of machine 1, and stepTime the time after which it jumps back.
	clockStep = 2 * time.Second
	stepTime  = 6 * time.Second
	// servesOn is the time for which a backend that drains serves after drainTime.
	servesOn = 4 * time.Second
)

// clockBack restarts a backend under its id, steps the clock of its machine back between the two starts, and drains it.
func clockBack(f *fleet, trouble bool) (bool, error) {
	f.store.put("op", "config", configuration(1, []string{"payments"}, []route{
		{prefix: "/deposit/", kind: "non_idempotent", service: "payments", timeout: 1, objective: 0.4, attempts: 2},
		{prefix: "/view/", kind: "idempotent", service: "payments", timeout: 1, objective: 0.4, attempts: 2},
	}))
	for _, zone := range []string{"danang-a", "danang-b", "hoian-c"} {
		n, err := f.addNode("payments", zone)
		if err != nil {
			return false, err
		}
		b := f.newBackend(n, n.name, 17)
		b.work = 150 * time.Millisecond
		if err := n.start(); err != nil {
			return false, err
		}
	}
	for _, b := range f.backends[1:] {
		if err := b.start("i-"+b.name, time.Now()); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady("/view/1"); err != nil {
		return false, err
	}
	time.Sleep(contact)

	first := f.backends[0]
	stepped := time.Now()
	clock := func() time.Time { // the time of day on machine 1
		if now := time.Now(); trouble && now.Sub(stepped) < stepTime {
			return now.Add(clockStep)
		}
		return time.Now()
	}
	if trouble {
		f.record("trouble: the time of day of machine 1 jumps ahead by %v for %v", clockStep, stepTime)
	}
	time.Sleep(stepTime - 1200*time.Millisecond)
	if err := first.start("i-"+first.name, clock()); err != nil {
		return false, err
	}
	time.Sleep(700 * time.Millisecond)
	first.stop() // it crashes
	time.Sleep(time.Second)
	if err := first.start("i-"+first.name, clock()); err != nil {
		return false, err
	}

	load := f.startLoad(f.nodes, request{method: "POST", path: "/deposit/pay", body: []byte("amount=100"), deadline: time.Second}, 20)
	time.Sleep(2*contact + time.Second)
	first.drain()
	deadline := time.Now().Add(4 * time.Second)
	for first.acked().IsZero() {
		if time.Now().After(deadline) {
			load.stop()
			f.record("the drain is never confirmed, so that nothing is promised")
			return false, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	acked := first.acked()
	time.Sleep(time.Until(acked.Add(drainTime + servesOn)))
	first.stop() // it exits
	time.Sleep(1500 * time.Millisecond)
	load.stop()

	late, lost := 0, 0
	for _, a := range load.answers {
		first.mu.Lock()
		runs := first.runs[a.id]
		first.mu.Unlock()
		for _, at := range runs {
			if at.After(acked.Add(drainTime)) {
				late++
				f.record("request %s reached backend %s %.3f s after its drain was confirmed, was sent %.3f s after, and ended with %s",
					a.id, first.name, at.Sub(acked).Seconds(), a.sentAt.Sub(acked).Seconds(), a)
			}
			if at.After(acked) && a.status != 200 {
				lost++
			}
		}
	}
	f.record("%d requests; %d reached the backend later than %v after the confirmation; %d of those that it began then got no success",
		len(load.answers), late, drainTime, lost)
	return late > 0, nil
}

// load is a stream of requests.
type load struct {
	done    chan struct{}
	wait    sync.WaitGroup
	mu      sync.Mutex
	answers []answer
}

// startLoad sends requests from a requester at each of the nodes, perSecond at each, each on a new connection.
func (f *fleet) startLoad(nodes []*node, r request, perSecond int) *load {
	l := &load{done: make(chan struct{})}
	for _, n := range nodes {
		l.wait.Go(func() {
			ticker := time.NewTicker(time.Second / time.Duration(perSecond))
			defer ticker.Stop()
			for {
				select {
				case <-l.done:
					return
				case <-ticker.C:
				}
				l.wait.Go(func() {
					a := n.send(r)
					l.mu.Lock()
					l.answers = append(l.answers, a)
					l.mu.Unlock()
				})
			}
		})
	}
	return l
}

func (l *load) stop() {
	close(l.done)
	l.wait.Wait()
}
