package tcp

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Guards against connections that wait for a silent host for as long as the kernel's defaults allow.
func TestConnectionHasTheOptionsOfItsLiveness(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	liveness := Liveness{Unacknowledged: 1500 * time.Millisecond, Idle: 2 * time.Second, Interval: time.Second, Probes: 3}
	conn, err := liveness.Dialer().Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	got := map[int]int{}
	require.NoError(t, raw.Control(func(fd uintptr) {
		for _, option := range []int{unix.TCP_USER_TIMEOUT, unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL, unix.TCP_KEEPCNT} {
			got[option], err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			assert.NoError(t, err)
		}
	}))
	want := map[int]int{unix.TCP_USER_TIMEOUT: 1500, unix.TCP_KEEPIDLE: 2, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: 3}
	assert.Equal(t, want, got)
	assert.Equal(t, 5*time.Second, liveness.DetectionTime())
}
