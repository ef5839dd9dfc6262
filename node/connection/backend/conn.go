package backend

import (
	"net"
	"sync"
)

// countingConn counts the bytes written, so that a failed request can be shown to have left the server untouched.
// Writes and Close exclude each other: after Close returns, the count is final.
type countingConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	closed  bool
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	// Counted before the write: a failed write may have sent any part of p.
	c.written += int64(len(p))
	return c.Conn.Write(p)
}

// Close implements net.Conn. The socket is closed first, so that a blocked Write returns.
func (c *countingConn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return err
}

func (c *countingConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}
