//go:build linux

package faulttest

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// direction is the traffic from one place to another.
type direction struct{ from, to string }

func (d direction) back() direction { return direction{d.to, d.from} }

// condition is the state of a direction; the zero value lets everything pass.
type condition struct {
	// cut closes connections and lets none open.
	cut bool
	// frozen keeps connections open and copies nothing, neither bytes nor the end of a connection.
	frozen bool
	// delay is added to every chunk of bytes.
	delay time.Duration
}

// network is the set of forwarders through which nodes reach one another.
type network struct {
	mu         sync.Mutex
	conditions map[direction]condition
	changed    chan struct{}
	pairs      map[*pair]bool
	closed     bool
	// placeOf names the place of the process that holds the other end of a connection, or "".
	placeOf func(net.Conn) string
}

// pair is one forwarded connection; forth is the direction from its opener to the node.
type pair struct {
	forth   direction
	in, out net.Conn
}

func newNetwork() *network {
	return &network{conditions: map[direction]condition{}, changed: make(chan struct{}), pairs: map[*pair]bool{}}
}

// set changes the condition of some directions.
func (n *network) set(c condition, directions ...direction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range directions {
		n.conditions[d] = c
	}
	for p := range n.pairs {
		if n.conditions[p.forth].cut || n.conditions[p.forth.back()].cut {
			p.reset()
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// close ends all forwarding; heal makes all directions pass.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for p := range n.pairs {
		p.reset()
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *network) heal() {
	n.mu.Lock()
	n.conditions = map[direction]condition{}
	n.mu.Unlock()
	n.set(condition{})
}

// pass waits while the direction is frozen or slow. It reports false when the direction is cut.
func (n *network) pass(d direction) bool {
	for {
		n.mu.Lock()
		c, changed, closed := n.conditions[d], n.changed, n.closed
		n.mu.Unlock()
		switch {
		case closed || c.cut:
			return false
		case !c.frozen:
			time.Sleep(c.delay)
			return true
		}
		<-changed
	}
}

// serve forwards the connections of a listener to the node at target until the listener is closed.
func (n *network) serve(l net.Listener, place, target string) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go n.forward(in, place, target)
	}
}

func (n *network) forward(in net.Conn, place, target string) {
	p := &pair{forth: direction{n.placeOf(in), place}, in: in}
	n.mu.Lock()
	blocked := n.closed || p.forth.from == "" || n.conditions[p.forth].cut || n.conditions[p.forth.back()].cut
	n.mu.Unlock()
	out, err := net.Dial("tcp", target)
	p.out = out
	if blocked || err != nil {
		p.reset()
		return
	}
	n.mu.Lock()
	n.pairs[p] = true
	n.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { n.copy(out, in, p.forth) })
	copies.Go(func() { n.copy(in, out, p.forth.back()) })
	copies.Wait()
	p.reset()
	n.mu.Lock()
	delete(n.pairs, p)
	n.mu.Unlock()
}

// copy passes bytes and the end of the connection on, each in its direction.
func (n *network) copy(to, from net.Conn, d direction) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if passes := n.pass(d); err != nil || !passes {
			_ = to.Close()
			return
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			n.pass(d.back())
			_ = from.Close()
			return
		}
	}
}

// reset closes both connections at once.
func (p *pair) reset() {
	for _, c := range []net.Conn{p.in, p.out} {
		if c != nil {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
}

// socketOf returns the name of the socket at the other end of a loopback connection, as in /proc/<pid>/fd.
func socketOf(c net.Conn) string {
	port := func(a net.Addr) string { return fmt.Sprintf(":%04X", a.(*net.TCPAddr).Port) }
	table, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) > 9 && strings.HasSuffix(f[1], port(c.RemoteAddr())) && strings.HasSuffix(f[2], port(c.LocalAddr())) {
			return "socket:[" + f[9] + "]"
		}
	}
	return ""
}

// holds reports whether a process has the socket.
func holds(pid int, socket string) bool {
	dir := fmt.Sprintf("/proc/%d/fd/", pid)
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if name, _ := os.Readlink(dir + e.Name()); name == socket {
			return true
		}
	}
	return false
}
