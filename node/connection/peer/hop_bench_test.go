package peer

import (
	"context"
	"net"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/radishstand/radishstand/api/peerpb"
)

// BenchmarkHop compares three transports of a call between two nodes: a unary call, a unary request that is answered on a
// server stream (the transport of the first version), and one long-lived stream that carries all calls between two nodes
// (the current transport).

// hops implements the three transports with hand-written descriptors, which keeps the unused ones out of the protocol.
type hops struct{}

var part = &peerpb.CallPart{
	Part: &peerpb.CallPart_Head{Head: &peerpb.AnswerHead{Status: 200, ContentLength: 200}},
	Body: make([]byte, 200), Last: true,
}

func answer(r *peerpb.CallRequest) *peerpb.CallPart {
	return &peerpb.CallPart{AttemptId: r.AttemptId, Part: part.Part, Body: part.Body, Last: true}
}

var hopService = grpc.ServiceDesc{
	ServiceName: "bench.Hops",
	HandlerType: (*any)(nil),
	Methods: []grpc.MethodDesc{{
		MethodName: "Unary",
		Handler: func(_ any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			request := &peerpb.CallRequest{}
			if err := decode(request); err != nil {
				return nil, err
			}
			return answer(request), nil
		},
	}},
	Streams: []grpc.StreamDesc{
		{StreamName: "ServerStream", ServerStreams: true, Handler: func(_ any, s grpc.ServerStream) error {
			request := &peerpb.CallRequest{}
			if err := s.RecvMsg(request); err != nil {
				return err
			}
			return s.SendMsg(answer(request))
		}},
		{StreamName: "LongLived", ServerStreams: true, ClientStreams: true, Handler: serveLongLived},
	},
}

func serveLongLived(_ any, s grpc.ServerStream) error {
	var mu sync.Mutex
	for {
		request := &peerpb.CallRequest{}
		if err := s.RecvMsg(request); err != nil {
			return nil
		}
		go func() {
			mu.Lock()
			defer mu.Unlock()
			_ = s.SendMsg(answer(request))
		}()
	}
}

func hopConn(b *testing.B) *grpc.ClientConn {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	server := grpc.NewServer()
	server.RegisterService(&hopService, hops{})
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(server.Stop)
	pool := NewPool(insecure.NewCredentials())
	b.Cleanup(pool.Close)
	conn, err := pool.conn(listener.Addr().String())
	require.NoError(b, err)
	return conn.ClientConn
}

func hopRequest(id string) *peerpb.CallRequest {
	return &peerpb.CallRequest{
		AttemptId: id, CallId: "0b5a3c5e-3a0b-4a43-8b16-8a5f0f8f7e11", Service: "quotes", ServerId: "127.0.0.1:7400/0b5a3c5e",
		Method: "GET", Target: "/offer?id=7", Host: "quotes.example", TimeoutUs: 2_000_000, Idempotent: true,
	}
}

// multiplexer matches the answers of a long-lived stream to their calls.
type multiplexer struct {
	send    sync.Mutex
	stream  grpc.ClientStream
	mu      sync.Mutex
	waiting map[string]chan *peerpb.CallPart
}

func (m *multiplexer) receive() {
	for {
		answer := &peerpb.CallPart{}
		if err := m.stream.RecvMsg(answer); err != nil {
			return
		}
		m.mu.Lock()
		waiter := m.waiting[answer.AttemptId]
		delete(m.waiting, answer.AttemptId)
		m.mu.Unlock()
		waiter <- answer
	}
}

func (m *multiplexer) call(r *peerpb.CallRequest) error {
	waiter := make(chan *peerpb.CallPart, 1)
	m.mu.Lock()
	m.waiting[r.AttemptId] = waiter
	m.mu.Unlock()
	m.send.Lock()
	err := m.stream.SendMsg(r)
	m.send.Unlock()
	if err == nil {
		<-waiter
	}
	return err
}

func BenchmarkHop(b *testing.B) {
	transports := map[string]func(b *testing.B, conn *grpc.ClientConn) func(id string) error{
		"unary": func(_ *testing.B, conn *grpc.ClientConn) func(string) error {
			return func(id string) error {
				return conn.Invoke(context.Background(), "/bench.Hops/Unary", hopRequest(id), &peerpb.CallPart{})
			}
		},
		"server stream": func(_ *testing.B, conn *grpc.ClientConn) func(string) error {
			return func(id string) error {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				stream, err := conn.NewStream(ctx, &hopService.Streams[0], "/bench.Hops/ServerStream")
				if err != nil {
					return err
				}
				if err := stream.SendMsg(hopRequest(id)); err != nil {
					return err
				}
				if err := stream.CloseSend(); err != nil {
					return err
				}
				return stream.RecvMsg(&peerpb.CallPart{})
			}
		},
		"long-lived stream": func(b *testing.B, conn *grpc.ClientConn) func(string) error {
			stream, err := conn.NewStream(context.Background(), &hopService.Streams[1], "/bench.Hops/LongLived")
			require.NoError(b, err)
			m := &multiplexer{stream: stream, waiting: map[string]chan *peerpb.CallPart{}}
			go m.receive()
			return func(id string) error { return m.call(hopRequest(id)) }
		},
	}
	for name, transport := range transports {
		for _, parallel := range []int{1, 32} {
			b.Run(name+"/callers="+strconv.Itoa(parallel), func(b *testing.B) {
				call := transport(b, hopConn(b))
				runHops(b, parallel, call)
			})
		}
	}
}

func runHops(b *testing.B, parallel int, call func(id string) error) {
	b.ReportAllocs()
	var callers sync.WaitGroup
	next := make(chan int, 1024)
	b.ResetTimer()
	for range parallel {
		callers.Go(func() {
			for n := range next {
				if err := call(strconv.Itoa(n)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	for n := range b.N {
		next <- n
	}
	close(next)
	callers.Wait()
}
