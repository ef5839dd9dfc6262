// Package tcp opens TCP connections that notice when the other host has become silent: the connection fails instead of waiting for
// bytes that never come. The kernel does this; nothing is sent by the process.
package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Liveness determines when a connection to a silent host fails. The times of probes have a resolution of one second.
type Liveness struct {
	// Unacknowledged is the time after which the connection fails if data that was sent is not acknowledged. Linux also ends the probes
	// of an idle connection when this time is over.
	Unacknowledged time.Duration
	// Idle is the time without received data after which the first probe is sent, and Interval the time between two probes. The
	// connection fails one Interval after the last of Probes unanswered ones.
	Idle, Interval time.Duration
	Probes         int
}

// DetectionTime returns the longest time after which the silence of the other host is noticed.
func (l Liveness) DetectionTime() time.Duration {
	return max(l.Unacknowledged, l.Idle+time.Duration(l.Probes)*l.Interval)
}

// Dialer returns a dialer of connections with the given liveness. Its other fields may be set.
func (l Liveness) Dialer() *net.Dialer {
	return &net.Dialer{
		Control:         l.setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: l.Idle, Interval: l.Interval, Count: l.Probes},
	}
}

// setUserTimeout sets the TCP user timeout of a socket before it is connected.
func (l Liveness) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.Unacknowledged.Milliseconds()))
	})
	return errors.Join(err, optErr)
}
