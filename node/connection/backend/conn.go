package backend

import (
	"net"
	"sync"
	"sync/atomic"
)

// countingConn counts the bytes written, which shows whether a failed request may have reached the server. The count no
// longer changes after Close has returned: Close waits for a Write in progress, and later writes fail.
type countingConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	closed  bool
	// anonymousFailure is set when a failure without an id was received: a second copy of it may follow.
	anonymousFailure atomic.Bool
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	// The bytes are counted before the write, since a failed write may have sent any part of p.
	c.written += int64(len(p))
	return c.Conn.Write(p)
}

// Close implements net.Conn. It closes the socket before it acquires the lock, so that a blocked Write returns.
func (c *countingConn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return err
}

func (c *countingConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}
