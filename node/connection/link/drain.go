package link

import (
	"context"
	"sync"
)

// writeCloser is implemented by connections that can be closed in one direction.
type writeCloser interface{ CloseWrite() error }

// Shutdown ends the links to this node without losing what was sent on them: it sends nothing more and waits until the other nodes have
// read everything and closed the links, or ctx ends. Closing a connection at once would drop bytes in the buffers of the kernel when the
// other node has sent something that was not read. It returns the number of links that were not closed before ctx ended.
func (s *Server) Shutdown(ctx context.Context) (undelivered int) {
	links := s.openLinks()
	var mu sync.Mutex
	var ends sync.WaitGroup
	for _, l := range links {
		ends.Go(func() {
			if !l.conn.endWriting() {
				return
			}
			select {
			case <-l.done:
			case <-ctx.Done():
				mu.Lock()
				defer mu.Unlock()
				undelivered++
			}
		})
	}
	ends.Wait()
	return undelivered
}

// endWriting closes the connection for writing; what was written is still sent. It reports false if that is not possible.
func (c *framedConn) endWriting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.conn.(writeCloser)
	if c.err != nil || !ok {
		return false
	}
	c.err = ErrClosed
	c.ending.Store(true)
	return conn.CloseWrite() == nil
}
