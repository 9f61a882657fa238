package httpworker

import (
	"context"
	"errors"
	"io"
	"net"
	"time"
)

var errDropped = errors.New("connection was dropped")

// conn is a connection that records the time of its last read and whether data was written
// to it.
//
// Close prevents further use at once, but the worker may keep the connection open for
// longer: until the call on it has ended, or until it receives the end of the stream. So a
// closed connection is drained, and counts towards the pool's limit of connections, until
// the worker closes it too or the pool's drain time has passed.
type conn struct {
	net.Conn
	connSlot *connSlot
	// readsDone is closed when the connection is closed and no read is in progress.
	readsDone chan struct{}

	// The fields below are guarded by connSlot.mu.

	closed  bool
	reading int
	readAt  time.Time
}

func newConn(raw net.Conn, s *connSlot) *conn {
	return &conn{Conn: raw, connSlot: s, readsDone: make(chan struct{}), readAt: time.Now()}
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
	c.connSlot.mu.Lock()
	defer c.connSlot.mu.Unlock()
	if c.closed {
		return false
	}
	c.reading++
	return true
}

// endRead records a read of n bytes and reports whether the connection is still open.
func (c *conn) endRead(n int) bool {
	c.connSlot.mu.Lock()
	defer c.connSlot.mu.Unlock()
	c.reading--
	if n > 0 {
		c.readAt = time.Now()
	}
	if c.closed && c.reading == 0 {
		close(c.readsDone)
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
	c.connSlot.mu.Lock()
	defer c.connSlot.mu.Unlock()
	if c.closed {
		return false
	}
	c.connSlot.wrote = true
	return true
}

// Close implements net.Conn. The caller cannot read or write afterwards.
func (c *conn) Close() error {
	if !c.beginClose() {
		return nil
	}
	// A deadline in the past ends reads and writes in progress.
	err := c.SetDeadline(time.Unix(0, 0))
	go c.drain()
	return err
}

// beginClose marks the connection as closed and reports whether it was open.
func (c *conn) beginClose() bool {
	c.connSlot.mu.Lock()
	defer c.connSlot.mu.Unlock()
	if c.closed {
		return false
	}
	c.closed = true
	if c.reading == 0 {
		close(c.readsDone)
	}
	return true
}

// drain closes the writing half and waits until the worker has closed the connection, for
// at most the pool's drain time. Then the connection no longer counts towards the pool's
// limit.
func (c *conn) drain() {
	<-c.readsDone
	defer c.connSlot.pool.returnPermit()
	defer c.Conn.Close()
	_ = c.SetReadDeadline(time.Now().Add(c.connSlot.pool.drainFor))
	stop := context.AfterFunc(c.connSlot.pool.baseCtx, func() { _ = c.Conn.Close() })
	defer stop()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, c.Conn)
}
