package node

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"
	"google.golang.org/grpc"

	"github.com/charmbracelet/log"
	"github.com/justinas/alice"

	"github.com/radishstand/radishstand/api/announce"
	"github.com/radishstand/radishstand/node/connection/peer"
)

// Limits of the HTTP listeners.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 16 << 10
	// operatorsWriteTimeout limits answers to operators who read slowly. Answers to callers are limited by the deadline of
	// the call.
	operatorsWriteTimeout = 2 * time.Minute
)

// listeners holds the listening sockets of a node.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	server    net.Listener
	operators net.Listener
}

// listen opens all sockets, or none if one of them fails.
func listen(c *Config) (*listeners, error) {
	l := &listeners{}
	for _, open := range []struct {
		to      *net.Listener
		address string
	}{
		{&l.callers, c.ListenCallers},
		{&l.peers, c.ListenPeers},
		{&l.server, c.ListenServer},
		{&l.operators, c.ListenOperators},
	} {
		listener, err := net.Listen("tcp", open.address)
		if err != nil {
			l.close()
			return nil, err
		}
		*open.to = listener
	}
	l.recordAddresses(c)
	l.callers = netutil.LimitListener(l.callers, c.MaxConnections)
	return l, nil
}

// enableTLS wraps the listeners that have a certificate in TLS. Connections with an unfinished handshake count against the
// connection limit; a handshake may take up to readHeaderTimeout.
func (l *listeners) enableTLS(c *certificates, operators tls.ClientAuthType) {
	if c.callers != nil {
		l.callers = tls.NewListener(l.callers, c.callers.config(minCallerTLS, tls.NoClientCert))
	}
	if c.operators != nil {
		l.operators = tls.NewListener(l.operators, c.operators.config(minOperatorTLS, operators))
	}
}

// recordAddresses stores the actual addresses of the sockets in the configuration, since port 0 selects any free port.
func (l *listeners) recordAddresses(c *Config) {
	c.ListenCallers, c.ListenPeers = l.callers.Addr().String(), l.peers.Addr().String()
	c.ListenServer, c.ListenOperators = l.server.Addr().String(), l.operators.Addr().String()
	if c.Advertise == "" {
		c.Advertise = c.ListenPeers
	}
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.server, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// servers holds the HTTP and gRPC servers of the sockets.
type servers struct {
	callers   *http.Server
	server    *http.Server
	operators *http.Server
	peers     *grpc.Server
	// service is the gRPC service of peers.
	service *peer.Service
}

func (n *Node) newServers(operators http.Handler, service *peer.Service) *servers {
	mux := http.NewServeMux()
	mux.Handle(announce.Path, n.core.registry)
	mux.Handle("/", n.core.entry.Internal())
	serverCredentials, _ := peerCredentials(n.certificates.peers)
	s := &servers{
		callers:   n.httpServer(alice.New(n.recoverPanics).Then(n.core.entry.External())),
		server:    n.httpServer(alice.New(n.recoverPanics).Then(mux)),
		operators: n.httpServer(alice.New(n.recoverPanics, n.requireOperator).Then(operators)),
		peers:     peer.NewServer(serverCredentials, service),
		service:   service,
	}
	s.operators.WriteTimeout = operatorsWriteTimeout
	return s
}

func (n *Node) httpServer(h http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, Protocols: protocols,
		// The default logger would write failed handshakes as plain text between the JSON log lines.
		ErrorLog: n.log.With("component", "http").StandardLog(log.StandardLogOptions{ForceLevel: log.InfoLevel}),
	}
}

// recoverPanics is a middleware that logs a panic of a handler and aborts the connection.
func (n *Node) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			reason := recover()
			if reason == nil {
				return
			}
			if err, ok := reason.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				n.log.Error("handler panicked", "component", "http", "path", r.URL.Path, "reason", reason)
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}

// serve starts all servers in the background. onError is called with the error of a server that fails.
func (s *servers) serve(l *listeners, onError func(error)) {
	for _, pair := range []struct {
		server   *http.Server
		listener net.Listener
	}{{s.callers, l.callers}, {s.server, l.server}, {s.operators, l.operators}} {
		go func() {
			if err := pair.server.Serve(pair.listener); !errors.Is(err, http.ErrServerClosed) {
				onError(err)
			}
		}()
	}
	go func() {
		if err := s.peers.Serve(l.peers); err != nil {
			onError(err)
		}
	}()
}

// stop shuts all servers down after their calls in progress, or when ctx ends. The callers' server is the first; the
// backend server may need its listener for calls of its own until its last call has ended.
func (s *servers) stop(ctx context.Context) {
	_ = s.callers.Shutdown(ctx)
	s.service.Drain(ctx)
	done := make(chan struct{})
	go func() {
		s.peers.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		s.peers.Stop()
	}
	_ = s.server.Shutdown(ctx)
	_ = s.operators.Shutdown(ctx)
}
