package link

import (
	"context"
	"net"
	"sync"

	"github.com/radishstand/radishstand/api/linkpb"
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
	// Routing returns the document of the current routing version, or nil.
	Routing() []byte
	// LocalVersion returns the number of the current routing version, or 0.
	LocalVersion() uint64
	// ObserveVersion is called with the routing version number of each frame that has one.
	ObserveVersion(uint64)
}

// Server accepts links from other nodes. It is safe for concurrent use.
type Server struct {
	handler Handler

	mu    sync.Mutex
	links map[*serverLink]struct{}
}

// NewServer returns a server that passes calls to handler.
func NewServer(handler Handler) *Server {
	return &Server{handler: handler, links: map[*serverLink]struct{}{}}
}

// Serve accepts links until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		l := &serverLink{server: s, conn: newFramedConn(conn), calls: map[uint64]context.CancelFunc{}}
		s.add(l)
		go l.run()
	}
}

// Broadcast sends the state of this node to all nodes that have a link to it.
func (s *Server) Broadcast() {
	state := s.handler.State()
	for _, l := range s.openLinks() {
		l.send(&linkpb.Frame{Body: &linkpb.Frame_State{State: state}})
	}
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

// serverLink is a link that another node opened, with the cancel functions of its calls in progress by stream.
type serverLink struct {
	server *Server
	conn   *framedConn

	mu    sync.Mutex
	calls map[uint64]context.CancelFunc
}

func (l *serverLink) run() {
	defer l.shutdown()
	for {
		f, err := l.conn.read()
		if err != nil {
			return
		}
		l.handle(f)
	}
}

// shutdown closes the link and cancels its calls.
func (l *serverLink) shutdown() {
	l.server.remove(l)
	l.conn.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, cancel := range l.calls {
		cancel()
	}
}

func (l *serverLink) handle(f *linkpb.Frame) {
	if f.Version != 0 {
		l.server.handler.ObserveVersion(f.Version)
	}
	switch body := f.Body.(type) {
	case *linkpb.Frame_Hello:
		l.server.handler.Hello(body.Hello)
		l.send(&linkpb.Frame{Body: &linkpb.Frame_State{State: l.server.handler.State()}})
	case *linkpb.Frame_Call:
		ctx, cancel := context.WithCancel(context.Background())
		l.register(f.Stream, cancel)
		go l.serve(ctx, f.Stream, body.Call)
	case *linkpb.Frame_Cancel:
		l.cancel(f.Stream)
	case *linkpb.Frame_Ping:
		l.send(&linkpb.Frame{Body: &linkpb.Frame_Pong{Pong: &linkpb.Pong{}}})
	case *linkpb.Frame_RoutingRequest:
		if document := l.server.handler.Routing(); document != nil {
			l.send(&linkpb.Frame{Body: &linkpb.Frame_Routing{Routing: &linkpb.Routing{Document: document}}})
		}
	}
}

func (l *serverLink) serve(ctx context.Context, stream uint64, call *linkpb.Call) {
	l.server.handler.Serve(ctx, call, func(f *linkpb.Frame) {
		f.Stream = stream
		l.cancel(stream)
		l.send(f)
	})
}

func (l *serverLink) register(stream uint64, cancel context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[stream] = cancel
}

// cancel ends the context of a call and removes the call. It does nothing for a call that has ended.
func (l *serverLink) cancel(stream uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cancel := l.calls[stream]; cancel != nil {
		cancel()
		delete(l.calls, stream)
	}
}

// send writes a frame with the current routing version. The error is ignored: a failed write closes the connection, which
// the other node detects.
func (l *serverLink) send(f *linkpb.Frame) {
	f.Version = l.server.handler.LocalVersion()
	_ = l.conn.write(f)
}
