package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/internal/boottime"
	"github.com/radishstand/radishstand/node/internal/membudget"
)

// Handler answers the calls of other nodes.
type Handler interface {
	// Serve runs a call and passes the frame that ends it to reply, which returns when the frame is written. The context
	// ends when the other node cancels the call or the link is closed.
	Serve(ctx context.Context, call *linkpb.Call, reply func(*linkpb.Frame))
	// Hello is called with the first frame of a node that opened a link.
	Hello(*linkpb.Hello)
	// State returns the state of this node.
	State() *linkpb.State
	// Leaving is called when the backend server at this host has said to another node that it leaves.
	Leaving(*linkpb.Leaving)
	// Routing returns the document of the current routing version, or nil.
	Routing() []byte
	// LocalVersion returns the number of the current routing version, or 0.
	LocalVersion() uint64
	// ProofAge returns the age of this node's proof that a routing version was the newest one, as in Frame.proof_age_ms.
	ProofAge(version uint64) uint32
	// ObserveVersion is called with the routing version number of each frame that has one, and the address of the node that
	// sent it.
	ObserveVersion(address string, number uint64)
}

// QuotaHandler is implemented by handlers that own quotas.
type QuotaHandler interface {
	// HandleQuota returns the reply to a request of the node at an address. It must not block.
	HandleQuota(address string, r *linkpb.QuotaRequest) *linkpb.QuotaReply
}

// Server accepts links from other nodes. It is safe for concurrent use.
type Server struct {
	handler Handler
	memory  *membudget.Budget
	// clock is boottime.Now.
	clock       func() time.Duration
	evacuations EvacuationExchange
	egress      *Egress

	broadcast sync.Mutex // held while a state is sent to all links

	mu       sync.Mutex
	links    map[*serverLink]struct{}
	sessions map[uint64]*servedSession
}

// NewServer returns a server that passes calls to handler. Frames that are received take their memory from a budget.
func NewServer(handler Handler, memory *membudget.Budget) *Server {
	return &Server{
		handler: handler, memory: memory, clock: boottime.Now,
		links: map[*serverLink]struct{}{}, sessions: map[uint64]*servedSession{},
	}
}

// SendThrough makes the links send large frames in pieces. It must be called before Serve.
func (s *Server) SendThrough(e *Egress) { s.egress = e }

// Serve accepts links until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		l := &serverLink{server: s, conn: newFramedConn(conn, s.memory, s.egress), done: make(chan struct{}), session: newServedSession()}
		l.session.attach(l)
		s.add(l)
		go l.run()
	}
}

// Broadcast sends the state of this node to all nodes that have a link to it. Concurrent broadcasts follow each other, so that the
// newest state is sent last.
func (s *Server) Broadcast() {
	s.broadcast.Lock()
	defer s.broadcast.Unlock()
	state := s.state()
	var sends sync.WaitGroup
	for _, l := range s.openLinks() {
		sends.Go(func() { l.send(&linkpb.Frame{Body: &linkpb.Frame_State{State: state}}) })
	}
	sends.Wait()
}

// BroadcastVersion sends the number of the current routing version to all nodes that have a link to this one. It does not wait
// for links that are busy.
func (s *Server) BroadcastVersion() {
	for _, l := range s.openLinks() {
		go l.send(&linkpb.Frame{})
	}
}

// state returns the state of this node with the capabilities of its links.
func (s *Server) state() *linkpb.State {
	state := s.handler.State()
	state.Resumes, state.RawHeaders, state.Chunks = true, true, true
	return state
}

// Close ends all links.
func (s *Server) Close() {
	for _, l := range s.openLinks() {
		l.conn.close()
	}
}

func (s *Server) openLinks() []*serverLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	links := make([]*serverLink, 0, len(s.links))
	for l := range s.links {
		links = append(links, l)
	}
	return links
}

func (s *Server) add(l *serverLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links[l] = struct{}{}
}

func (s *Server) remove(l *serverLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, l)
}

// openSession makes l the link of a session. It ends the link that the session had before and waits until all its frames are
// handled, so that it is certain which calls were received. It reports whether the session was known.
func (s *Server) openSession(id uint64, l *serverLink) (known bool) {
	s.mu.Lock()
	session, known := s.sessions[id]
	if !known {
		session = newServedSession()
		s.sessions[id] = session
	}
	s.mu.Unlock()
	if before := session.currentLink(); before != nil {
		before.conn.close()
		<-before.done
	}
	l.id, l.session = id, session
	session.attach(l)
	return known
}

// closeSession detaches a session from its link and forgets it later, unless it gets another one.
func (s *Server) closeSession(l *serverLink) {
	if !l.session.detach(l) {
		return
	}
	if l.id == 0 {
		l.session.end()
		return
	}
	links := l.session.links()
	time.AfterFunc(sessionLifetime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if l.session.isDetached(links) {
			l.session.end()
			delete(s.sessions, l.id)
		}
	})
}

// serverLink is a link that another node opened.
type serverLink struct {
	server *Server
	conn   *framedConn
	// done is closed when all frames that were received are handled and none follows.
	done chan struct{}
	// id is the number of the session, or 0 when it ends with the link. It and session are set by the first frame.
	id      uint64
	session *servedSession
	known   bool
	// address is that of the node that opened the link; empty before the first frame.
	address string
	ages    frameAges
}

func (l *serverLink) run() {
	defer l.shutdown()
	for {
		f, memory, err := l.conn.read()
		var noMemory *noMemoryError
		switch {
		case errors.As(err, &noMemory):
			l.sendResult(notReceived(noMemory.stream), nil)
		case err != nil:
			return
		default:
			l.handle(f, memory)
		}
	}
}

// shutdown closes the link.
func (l *serverLink) shutdown() {
	l.server.remove(l)
	l.conn.close()
	l.server.closeSession(l)
	close(l.done)
}

// handle handles a frame and releases its memory when it is not needed any more.
func (l *serverLink) handle(f *linkpb.Frame, memory *membudget.Reservation) {
	if f.GetCall() == nil {
		defer memory.Release()
	}
	var age time.Duration
	if f.SentMs != 0 {
		age = l.ages.observe(time.Duration(f.SentMs)*time.Millisecond, l.server.clock())
	}
	switch body := f.Body.(type) {
	case *linkpb.Frame_Hello:
		l.handleHello(body.Hello)
	case *linkpb.Frame_Resume:
		l.session.resume(l, body.Resume.Streams, l.known)
	case *linkpb.Frame_Call:
		takeOff(body.Call, age)
		session := l.session
		ctx := session.begin(f.Stream, body.Call)
		go func() {
			defer memory.Release()
			l.server.handler.Serve(ctx, body.Call, func(result *linkpb.Frame) { session.finish(f.Stream, result) })
		}()
	case *linkpb.Frame_Cancel:
		l.session.cancel(f.Stream)
	case *linkpb.Frame_Leaving:
		l.server.handler.Leaving(body.Leaving)
	case *linkpb.Frame_Evacuations:
		if reply := l.server.evacuations.receive(l.address, body.Evacuations); reply != nil {
			l.send(reply)
		}
	case *linkpb.Frame_Ping:
		l.send(&linkpb.Frame{Body: &linkpb.Frame_Pong{Pong: &linkpb.Pong{}}})
	case *linkpb.Frame_QuotaRequest:
		l.handleQuota(body.QuotaRequest)
	case *linkpb.Frame_RoutingRequest:
		l.sendRouting()
	}
	if f.Version != 0 && l.address != "" {
		l.server.handler.ObserveVersion(l.address, f.Version)
	}
}

// sendRouting sends the current routing document. If it is sent in pieces, frames are received meanwhile.
func (l *serverLink) sendRouting() {
	document := l.server.handler.Routing()
	if document == nil {
		return
	}
	f := &linkpb.Frame{Body: &linkpb.Frame_Routing{Routing: &linkpb.Routing{Document: document}}}
	if l.conn.sendsChunks() {
		go l.send(f)
		return
	}
	l.send(f)
}

// handleQuota replies to a request about quotas of a node that has introduced itself.
func (l *serverLink) handleQuota(r *linkpb.QuotaRequest) {
	if handler, ok := l.server.handler.(QuotaHandler); ok && l.address != "" {
		l.send(&linkpb.Frame{Body: &linkpb.Frame_QuotaReply{QuotaReply: handler.HandleQuota(l.address, r)}})
	}
}

func (l *serverLink) handleHello(hello *linkpb.Hello) {
	if hello.Session != 0 && l.id == 0 {
		l.known = l.server.openSession(hello.Session, l)
	}
	l.address = hello.Address
	l.conn.rawHeaders.Store(hello.RawHeaders)
	l.conn.readsChunks.Store(hello.Chunks)
	l.server.handler.Hello(hello)
	l.send(&linkpb.Frame{Body: &linkpb.Frame_State{State: l.server.state()}})
	if f := l.server.evacuations.frame(); f != nil {
		l.send(f)
	}
}

// send writes a frame of the link itself with the current routing version.
func (l *serverLink) send(f *linkpb.Frame) {
	l.conn.writeOrClose(l.withVersion(f))
}

// sendResult writes the result of a call. One that cannot be encoded is replaced, so that the other node does not wait for it: the call
// may have run. When stop returns true, the rest of a large result is not sent.
func (l *serverLink) sendResult(f *linkpb.Frame, stop func() bool) {
	err := l.conn.writeUnless(l.withVersion(f), stop)
	var encodeErr *EncodeError
	if errors.As(err, &encodeErr) {
		l.send(brokenResult(f.Stream, "answer "+encodeErr.Error()))
	}
}

// withVersion returns a frame with the current routing version. The frame itself is not changed, since a retained result may be sent
// on two links.
func (l *serverLink) withVersion(f *linkpb.Frame) *linkpb.Frame {
	version := l.server.handler.LocalVersion()
	stamped := &linkpb.Frame{Stream: f.Stream, Version: version, Body: f.Body}
	if isReply(f) {
		stamped.ProofAgeMs = l.server.handler.ProofAge(version)
	}
	return stamped
}
