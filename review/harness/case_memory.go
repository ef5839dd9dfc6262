package main

import (
	"sync"
	"time"
)

func init() { cases["memory"] = memory }

const (
	// bodyBytes is the size of an upload; the operators allow 64 MiB.
	bodyBytes = 23 << 20
	// uploadInterval is the time between two uploads of a machine's requesters, viewInterval that between two small requests.
	uploadInterval = time.Second
	viewInterval   = 50 * time.Millisecond
	// bookingWork and viewWork are the times of requests at the backends, slowFactor that of a slow backend in multiples of them.
	bookingWork = 330 * time.Millisecond
	viewWork    = 260 * time.Millisecond
	slowFactor  = 12
	slowTime    = 9 * time.Second
	// lostAllowed is the number of closed connections that the rule allows.
	lostAllowed = 3
)

// memory uploads large bodies while one backend is slow, and ends processes that take more memory than their machine has, as the
// platform does.
func memory(f *fleet, trouble bool) (bool, error) {
	f.store.put("op", "config", configuration(1, []string{"quotes", "crews", "warranty", "payments"}, []route{
		{prefix: "/booking/", kind: "non_idempotent", service: "crews", timeout: 4, objective: 1, attempts: 2},
		{prefix: "/view/", kind: "idempotent", service: "quotes", timeout: 3, objective: 0.8, attempts: 2},
	}))
	zones := []string{"danang-a", "danang-b", "hoian-c"}
	for service, placed := range map[string][]int{"quotes": {0, 0, 1, 1, 2}, "crews": {0, 1, 2}, "warranty": {0, 1, 2}, "payments": {0, 1, 2}} {
		for _, zone := range placed {
			n, err := f.addNode(service, zones[zone])
			if err != nil {
				return false, err
			}
			b := f.newBackend(n, n.name, 17)
			b.work, b.quiet = viewWork, service != "crews"
			if service == "crews" {
				b.work = bookingWork
			}
			if err := b.start("i-"+n.name, time.Now()); err != nil {
				return false, err
			}
			if err := n.start(); err != nil {
				return false, err
			}
		}
	}
	if err := f.awaitReady("/view/1"); err != nil {
		return false, err
	}
	time.Sleep(contact)
	var slow *backend
	for _, b := range f.backends {
		if b.service == "crews" && slow == nil {
			slow = b
		}
	}
	var zone []*node
	for _, n := range f.nodes {
		if n.zone == slow.node.zone {
			zone = append(zone, n)
		}
	}
	w := f.watchMemory()
	uploads := f.startKept(zone, request{method: "POST", path: "/booking/", body: make([]byte, bodyBytes), deadline: 4 * time.Second}, uploadInterval)
	views := f.startKept(f.nodes, request{method: "GET", path: "/view/", deadline: 3 * time.Second}, viewInterval)
	time.Sleep(5 * time.Second)
	if trouble {
		f.record("trouble: one of three backends of crews works %d times as long for %v", slowFactor, slowTime)
		slow.setWork(slowFactor * bookingWork)
	}
	time.Sleep(slowTime)
	slow.setWork(bookingWork)
	uploads.stop()
	views.stop()
	w.stop()
	closed := 0
	for name, l := range map[string]*load{"uploads": uploads, "views": views} {
		count := map[string]int{}
		for _, a := range l.answers {
			if a.status != 0 {
				count[a.String()]++
				continue
			}
			count["connection closed"]++
			if a.kept && f.runsOf(a.id) > 0 {
				closed++
				f.record("request %s has run; its kept connection was closed without an answer (%v)", a.id, a.err)
			}
		}
		f.record("%s: %d, by answer %v", name, len(l.answers), count)
	}
	for _, n := range f.nodes {
		f.record("node %s of %s: at most %d MiB of memory, limit %d MB, ended %d times", n.name, n.service, w.peak[n]>>20, memoryMb, w.ends[n])
	}
	f.record("%d requests of kept connections that have run were closed without an answer", closed)
	return closed > lostAllowed, nil
}
func (b *backend) setWork(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work = d
}

// memoryWatch ends processes above their memory limit and restarts them, as the platform does.
type memoryWatch struct {
	done chan struct{}
	wait sync.WaitGroup
	mu   sync.Mutex
	peak map[*node]int64
	ends map[*node]int
}

func (f *fleet) watchMemory() *memoryWatch {
	w := &memoryWatch{done: make(chan struct{}), peak: map[*node]int64{}, ends: map[*node]int{}}
	for _, n := range f.nodes {
		w.wait.Go(func() {
			for {
				select {
				case <-w.done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				used := n.residentBytes()
				w.mu.Lock()
				w.peak[n] = max(w.peak[n], used)
				w.mu.Unlock()
				if used <= memoryMb<<20 {
					continue
				}
				f.record("node %s: %d MiB of memory, more than %d MB: the platform ends it", n.name, used>>20, memoryMb)
				w.mu.Lock()
				w.ends[n]++
				w.mu.Unlock()
				n.kill()
				time.Sleep(restartDelay)
				if n.start() != nil {
					return
				}
			}
		})
	}
	return w
}

func (w *memoryWatch) stop() {
	close(w.done)
	w.wait.Wait()
}

// startKept lets requesters at each of the nodes send a request each interval on kept connections.
func (f *fleet) startKept(nodes []*node, r request, interval time.Duration) *load {
	l := &load{done: make(chan struct{})}
	for i, n := range nodes {
		phase := interval * time.Duration(i) / time.Duration(len(nodes))
		var mu sync.Mutex
		var idle []*conn
		take := func() *conn {
			mu.Lock()
			defer mu.Unlock()
			if len(idle) == 0 {
				return nil
			}
			c := idle[len(idle)-1]
			idle = idle[:len(idle)-1]
			return c
		}
		one := func() {
			c, kept := take(), true
			if c == nil {
				var err error
				if c, err = n.dial(); err != nil {
					return // the process is being started again
				}
				kept = false
			}
			a := c.exchange(r)
			a.kept = kept
			l.mu.Lock()
			l.answers = append(l.answers, a)
			l.mu.Unlock()
			if len(r.body) > 0 || a.status != 200 {
				f.record("requester at %s: %s %s: %s", n.name, a.id, r.path, a)
			}
			if a.status == 0 || a.last {
				c.close()
				return
			}
			mu.Lock()
			defer mu.Unlock()
			idle = append(idle, c)
		}
		l.wait.Go(func() {
			time.Sleep(phase)
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-l.done:
					return
				case <-ticker.C:
					l.wait.Go(one)
				}
			}
		})
	}
	return l
}
