package peer

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/radishstand/radishstand/node/process/balance"
	"github.com/radishstand/radishstand/node/request/attempt"
)

// echo answers every attempt with status 200.
type echo struct{}

func (echo) Do(context.Context, *attempt.Request) (*attempt.Answer, error) {
	return &attempt.Answer{Status: 200, Body: []byte("ok")}, nil
}

// BenchmarkLinkMemory measures the heap and stack that a connection and its call stream use on both sides together, without
// and with TLS, which holds buffers while it waits for data. Run it with -benchtime 1x.
func BenchmarkLinkMemory(b *testing.B) {
	for name, c := range map[string]credentials.TransportCredentials{"plain": insecure.NewCredentials(), "tls": selfSigned(b)} {
		for _, size := range []int{50, 400} {
			b.Run(fmt.Sprintf("%s/peers=%d", name, size), func(b *testing.B) { measureLinks(b, c, size) })
		}
	}
}

func measureLinks(b *testing.B, c credentials.TransportCredentials, size int) {
	pool := NewPool(c)
	b.Cleanup(pool.Close)
	before := memoryInUse()
	for range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		server := NewServer(c, &Service{Local: echo{}})
		go func() { _ = server.Serve(listener) }()
		b.Cleanup(server.Stop)
		caller := &Caller{Pool: pool}
		request := &attempt.Request{AttemptID: "a", Timeout: time.Second}
		_, err = caller.Do(context.Background(), balance.Server{Address: listener.Addr().String()}, request)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(memoryInUse()-before)/float64(size)/1024, "KB/link")
	b.ReportMetric(0, "ns/op")
}

// selfSigned returns TLS credentials for both sides that do not verify the certificate of the other side.
func selfSigned(b *testing.B) credentials.TransportCredentials {
	public, private, err := ed25519.GenerateKey(nil)
	require.NoError(b, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	require.NoError(b, err)
	return credentials.NewTLS(&tls.Config{
		Certificates:       []tls.Certificate{{Certificate: [][]byte{certificate}, PrivateKey: private}},
		InsecureSkipVerify: true, ClientAuth: tls.RequireAnyClientCert,
	})
}

func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
