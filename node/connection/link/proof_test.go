package link_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/link"
	"github.com/radishstand/radishstand/node/internal/boottime"
	"github.com/radishstand/radishstand/node/internal/membudget"
)

// slowProxy forwards a connection to an address and delays what comes back.
func slowProxy(t *testing.T, to string, delay time.Duration) string {
	t.Helper()
	listener := listen(t)
	go func() {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp4", to)
		if err != nil {
			_ = near.Close()
			return
		}
		go forward(near, far, 0)
		forward(far, near, delay)
	}()
	return listener.Addr().String()
}

func forward(from, to net.Conn, delay time.Duration) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		time.Sleep(delay)
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// Guards against proofs that are considered younger than they are because the time in the network is not counted, and against answers
// that are attributed to later pings.
func TestProofAgesCountFromThePing(t *testing.T) {
	const delay, age = 100 * time.Millisecond, 50 * time.Millisecond
	type proof struct {
		version uint64
		at      time.Duration
	}
	h := &handler{hello: make(chan *linkpb.Hello, 10), cancelled: make(chan struct{})}
	h.version.Store(7)
	h.proofAge.Store(uint32(age.Milliseconds()) + 1)
	server, listener, received, proofs := link.NewServer(h, membudget.New(testMemory)), listen(t), newEvents(), make(chan proof, 10)
	go func() { _ = server.Serve(listener) }()
	events := received.link()
	events.Proof = func(version uint64, at time.Duration) { proofs <- proof{version, at} }
	client := dial(t, slowProxy(t, listener.Addr().String(), delay), events)

	expect := func(asked time.Duration) {
		p := <-proofs
		assert.EqualValues(t, 7, p.version)
		assert.GreaterOrEqual(t, p.at, asked-age)
		assert.LessOrEqual(t, p.at, boottime.Now()-delay-age)
	}
	first := boottime.Now()
	client.Ask()
	second := boottime.Now()
	client.Ask()
	expect(first)
	expect(second)
	third := boottime.Now()
	_, err := client.Do(context.Background(), &linkpb.Call{Target: "/x"})
	require.NoError(t, err)
	expect(third)

	h.proofAge.Store(0)
	client.Ask()
	_, err = client.Do(context.Background(), &linkpb.Call{Target: "/x"})
	require.NoError(t, err)
	assert.Empty(t, proofs, "the other node has no proof")
}
