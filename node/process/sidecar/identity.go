package sidecar

import (
	"sync"
	"time"
)

// identityRetryInterval is the mean time between two attempts to write the identity of the server.
const identityRetryInterval = 2 * time.Second

// identity holds what is known about which backend server runs beside the node. It is safe for concurrent use.
type identity struct {
	mu        sync.Mutex
	known     ServerIdentity
	announced bool
	// writing is set while the identity is being written to the store.
	writing bool
}

// restore sets the identity that an earlier process has stored, unless the server has announced itself since.
func (i *identity) restore(stored ServerIdentity) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.announced {
		i.known = stored
	}
}

// announce sets the identity that a server has announced, and reports whether it is new.
func (i *identity) announce(server ServerIdentity) (changed bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	changed = i.known != server
	i.known, i.announced = server, true
	return changed
}

// get returns the identity, which is empty while none is known.
func (i *identity) get() ServerIdentity {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.known
}

// startWriting reports whether the caller must write the identity to the store: nobody else does.
func (i *identity) startWriting() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	start := !i.writing
	i.writing = true
	return start
}

// endWriting ends the writing if the identity that was written is still the known one, and reports whether it is.
func (i *identity) endWriting(written ServerIdentity) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.writing = i.known != written
	return !i.writing
}

// serviceOf returns the service of the server with an id, if it has announced it to this or an earlier process of the node and the
// configuration names no other one.
func (n *Node) serviceOf(id string) (service string, known bool) {
	server := n.identity.get()
	return server.Service, id != "" && server.ID == id && server.Service == n.config.Load().Service
}

// self returns the entry of this node in the store.
func (n *Node) self() Member {
	c := n.config.Load()
	return Member{Address: c.Listen.Peers, Name: c.Name, Place: c.Place, Server: n.identity.get()}
}

// storeIdentity writes the entry of this node until the store has the identity of its server, or the node stops.
func (n *Node) storeIdentity() {
	if !n.identity.startWriting() {
		return
	}
	for !n.stopping.Load() && n.ctx.Err() == nil {
		m := n.self()
		err := n.store.PutMember(n.ctx, m)
		switch {
		case err != nil:
			n.log.Warn("failed to store the server's identity", "server", m.Server.ID, "error", err)
			sleep(n.ctx, jitter(identityRetryInterval))
		case n.identity.endWriting(m.Server):
			return
		}
	}
}
