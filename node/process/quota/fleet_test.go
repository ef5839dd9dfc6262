package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/version/routing"
)

// fleet is a number of nodes in virtual time. Frames are delayed and lost, links are noticed late, and processes end and pause.
type fleet struct {
	now    time.Duration
	random *rand.Rand
	events eventQueue
	count  int
	nodes  []*simNode
	// initialNodes is the number of nodes at the start.
	initialNodes int
	teams        []*routing.Team
	// cut holds the pairs of nodes between which nothing passes.
	cut map[[2]int]bool
	// slow is the share of frames that are delayed by up to slowDelay.
	slow float64
	// frames counts the frames between nodes by the event for which the sender sent them.
	frames, replies int
	results         []result
	// returned is the share of requests that are refused without having run.
	returned float64
	// decide replaces the distributed decision in baselines.
	decide func(node int, team *routing.Team) bool
}

const (
	oneWayDelay = time.Millisecond
	slowDelay   = 3 * time.Second
)

// result is the outcome of one request.
type result struct {
	team string
	at   time.Duration
	err  error
	// ran is set when the request was sent to a server.
	ran bool
}

type simNode struct {
	fleet       *fleet
	index       int
	address     string
	cpu         int
	owner       *Owner
	borrower    *Borrower // nil while the process does not run
	process     int       // number of the process
	restartedAt []time.Duration
	pausedUntil time.Duration
	readAt      time.Duration
	linked      map[int]bool
	pending     []simRequest
}

type simRequest struct {
	team   *routing.Team
	waiter *waiter
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type discardLog struct{}

func (discardLog) Info(any, ...any) {}

func newFleet(seed uint64, size int, teams []*routing.Team) *fleet {
	f := &fleet{now: time.Hour, random: rand.New(rand.NewPCG(seed, 1)), teams: teams, initialNodes: size, cut: map[[2]int]bool{}}
	for range size {
		f.add()
	}
	return f
}

// add adds a node with its first process.
func (f *fleet) add() *simNode {
	i := len(f.nodes)
	n := &simNode{fleet: f, index: i, address: fmt.Sprintf("10.0.0.%d:1", i), cpu: 160 + 80*(i%9), linked: map[int]bool{}}
	f.nodes = append(f.nodes, n)
	n.start()
	return n
}

func (f *fleet) after(d time.Duration, run func()) {
	f.count++
	heap.Push(&f.events, event{at: f.now + d, order: f.count, run: run})
}

// run runs the events of the next period d.
func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *fleet) connected(i, j int) bool {
	return i == j || !f.cut[[2]int{min(i, j), max(i, j)}] && f.nodes[i].borrower != nil && f.nodes[j].borrower != nil
}

// noticeLinks applies the state of a node's links after a delay of up to within. A loss without the end of a connection is noticed late.
func (f *fleet) noticeLinks(i int, within time.Duration) {
	for j := range f.nodes {
		for _, pair := range [][2]int{{i, j}, {j, i}} {
			if i != j {
				f.after(time.Duration(f.random.Int64N(int64(within))), func() {
					f.nodes[pair[0]].linked[pair[1]] = f.connected(i, j)
				})
			}
		}
	}
}

// setCut cuts or heals all links between two groups of nodes.
func (f *fleet) setCut(a, b []int, cut bool) {
	for _, i := range a {
		for _, j := range b {
			if i != j {
				f.cut[[2]int{min(i, j), max(i, j)}] = cut
			}
		}
		f.noticeLinks(i, 3*time.Second)
	}
}

// start starts a process of the node.
func (n *simNode) start() {
	f := n.fleet
	n.process++
	if n.process > 1 {
		n.restartedAt = append(n.restartedAt, f.now)
	}
	process := n.process
	now := func() time.Duration { return f.now }
	n.owner = NewOwner(now, func(name string) (routing.Quota, bool) {
		i := slices.IndexFunc(f.teams, func(t *routing.Team) bool { return t.Name == name })
		return f.teams[i].Quota, true
	})
	n.borrower = NewBorrower(Config{Self: n.address, Owner: n.owner, Now: now, Send: n.send, Count: func(string) {}, Log: discardLog{}})
	n.pausedUntil, n.readAt, n.pending = 0, 0, nil
	f.noticeLinks(n.index, time.Second)
	f.after(time.Duration(f.random.Int64N(int64(time.Second))), func() { n.whenRunning(process, func() { n.readAt = f.now }) })
	f.after(time.Duration(f.random.Int64N(int64(TickInterval))), func() { n.tick(process) })
}

// kill ends the process of the node.
func (n *simNode) kill() {
	n.borrower, n.owner, n.pending = nil, nil, nil
	n.fleet.noticeLinks(n.index, 5*time.Millisecond)
}

// whenRunning runs an action of a process, later if the host is suspended.
func (n *simNode) whenRunning(process int, action func()) {
	switch {
	case n.process != process || n.borrower == nil:
	case n.pausedUntil > n.fleet.now:
		n.fleet.after(n.pausedUntil-n.fleet.now, func() { n.whenRunning(process, action) })
	default:
		action()
		n.collect()
	}
}

func (n *simNode) tick(process int) {
	n.whenRunning(process, func() {
		v := View{CPUMillis: n.cpu, Known: len(n.fleet.nodes) - 1, MembersReadAt: n.readAt, Restarted: n.process > 1}
		for j, linked := range n.linked {
			if linked {
				v.Linked = append(v.Linked, Node{Address: n.fleet.nodes[j].address, CPUMillis: n.fleet.nodes[j].cpu})
			}
		}
		n.borrower.Tick(v, slices.Values(n.fleet.teams))
		n.owner.Sweep()
		n.fleet.after(TickInterval, func() { n.tick(process) })
	})
}

// transmit passes a frame to another node's process unless it is lost.
func (f *fleet) transmit(from, to int, action func()) {
	process := f.nodes[to].process
	delay := oneWayDelay + time.Duration(f.random.Int64N(int64(oneWayDelay)))
	if f.random.Float64() < f.slow {
		delay += time.Duration(f.random.Int64N(int64(slowDelay)))
	}
	if !f.connected(from, to) {
		return
	}
	f.after(delay, func() {
		if f.connected(from, to) {
			f.nodes[to].whenRunning(process, action)
		}
	})
}

func (n *simNode) send(address string, r *linkpb.QuotaRequest) {
	f := n.fleet
	to := slices.IndexFunc(f.nodes, func(other *simNode) bool { return other.address == address })
	f.frames++
	process := n.process
	f.transmit(n.index, to, func() {
		reply := f.nodes[to].owner.Handle(n.address, r)
		f.replies++
		f.transmit(to, n.index, func() {
			if n.process == process {
				n.borrower.HandleReply(address, reply)
			}
		})
	})
}

// request simulates the arrival of a request of a team at the node.
func (n *simNode) request(team *routing.Team) {
	if n.borrower == nil || n.pausedUntil > n.fleet.now {
		return
	}
	if n.fleet.decide != nil {
		n.fleet.results = append(n.fleet.results, result{team: team.Name, at: n.fleet.now, ran: n.fleet.decide(n.index, team)})
		return
	}
	d, w := n.borrower.begin(team.Name)
	if w != nil {
		n.pending = append(n.pending, simRequest{team: team, waiter: w})
		n.collect()
		return
	}
	n.finish(team, d)
}

// collect records the decisions that have been made.
func (n *simNode) collect() {
	n.pending = slices.DeleteFunc(n.pending, func(r simRequest) bool {
		select {
		case d := <-r.waiter.done:
			n.finish(r.team, d)
			return true
		default:
			return false
		}
	})
}

func (n *simNode) finish(team *routing.Team, d decision) {
	f := n.fleet
	if d.err == nil && f.random.Float64() < f.returned {
		process := n.process
		f.after(time.Duration(f.random.Int64N(int64(tokenLife))), func() { n.whenRunning(process, d.token.Return) })
		return
	}
	f.results = append(f.results, result{team: team.Name, at: f.now, err: d.err, ran: d.err == nil})
}

// load simulates requests of a team that arrive at nodes for a time, at random times with a mean rate per second.
func (f *fleet) load(team *routing.Team, nodes []int, rate float64, d time.Duration) {
	end := f.now + d
	var next func()
	next = func() {
		if f.now >= end {
			return
		}
		f.nodes[nodes[f.random.IntN(len(nodes))]].request(team)
		f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	f.after(0, next)
}

// sent returns the times at which requests of a team were sent to servers.
func (f *fleet) sent(team string) []time.Duration {
	var times []time.Duration
	for _, r := range f.results {
		if r.ran && r.team == team {
			times = append(times, r.at)
		}
	}
	return times
}

// mostIn returns the largest number of times in any window.
func mostIn(times []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// all returns the indices of all nodes.
func (f *fleet) all() []int {
	indices := make([]int, len(f.nodes))
	for i := range indices {
		indices[i] = i
	}
	return indices
}
