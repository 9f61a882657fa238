package httpworker

import (
	"context"
	"errors"
	"io"
	"net"
	"time"
)

var errDropped = errors.New("connection was dropped")

// conn notes when it was heard from and whether it was written to.
//
// Closing it ends its use at once, but the worker may hold it for longer: until
// the call on it is done, or until the end of the connection has reached it. So
// a closed connection is drained, and counts as open, until the worker closes
// it too or the pool's drain time is over.
type conn struct {
	net.Conn
	lane *lane
	// quiet is closed when the connection is closed and no read is under way.
	quiet chan struct{}

	// The lane's lock guards what follows.

	closed  bool
	reading int
	heard   time.Time
}

func newConn(raw net.Conn, l *lane) *conn {
	return &conn{Conn: raw, lane: l, quiet: make(chan struct{}), heard: time.Now()}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if !c.beginRead() {
		return 0, errDropped
	}
	n, err := c.Conn.Read(p)
	if !c.endRead(n) {
		return 0, errDropped
	}
	return n, err
}

func (c *conn) beginRead() bool {
	c.lane.mu.Lock()
	defer c.lane.mu.Unlock()
	if c.closed {
		return false
	}
	c.reading++
	return true
}

// endRead reports whether the connection is still open.
func (c *conn) endRead(n int) bool {
	c.lane.mu.Lock()
	defer c.lane.mu.Unlock()
	c.reading--
	if n > 0 {
		c.heard = time.Now()
	}
	if c.closed && c.reading == 0 {
		close(c.quiet)
	}
	return !c.closed
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errDropped
	}
	return c.Conn.Write(p)
}

func (c *conn) beginWrite() bool {
	c.lane.mu.Lock()
	defer c.lane.mu.Unlock()
	if c.closed {
		return false
	}
	c.lane.wrote = true
	return true
}

// Close implements net.Conn. No byte is read or written by its user afterwards.
func (c *conn) Close() error {
	if !c.beginClose() {
		return nil
	}
	// A deadline in the past ends reads and writes that are under way.
	err := c.SetDeadline(time.Unix(0, 0))
	go c.drain()
	return err
}

// beginClose reports whether the connection was open.
func (c *conn) beginClose() bool {
	c.lane.mu.Lock()
	defer c.lane.mu.Unlock()
	if c.closed {
		return false
	}
	c.closed = true
	if c.reading == 0 {
		close(c.quiet)
	}
	return true
}

// drain tells the worker that the connection ended, and waits until the worker
// has closed it too.
func (c *conn) drain() {
	<-c.quiet
	defer c.lane.pool.returnPermit()
	defer c.Conn.Close()
	_ = c.SetReadDeadline(time.Now().Add(c.lane.pool.drainFor))
	stop := context.AfterFunc(c.lane.pool.open, func() { _ = c.Conn.Close() })
	defer stop()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, c.Conn)
}
