package httpworker

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// lane holds at most one connection and carries one call at a time.
type lane struct {
	transport *http.Transport
	dialer    net.Dialer

	mu sync.Mutex
	// conn is the newest connection; it may be closed.
	conn *conn
	// wrote says that bytes were given to a connection since begin.
	wrote bool
}

func newLane() *lane {
	l := &lane{dialer: net.Dialer{Timeout: dialTimeout}}
	l.transport = &http.Transport{
		DialContext:            l.dial,
		MaxConnsPerHost:        1,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return l
}

func (l *lane) dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := l.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	dialled := &conn{Conn: raw, lane: l, heard: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = dialled
	return dialled, nil
}

// begin prepares the lane for a call. A connection that was last heard from
// before since is dropped.
func (l *lane) begin(since time.Time) {
	if l.lastHeard().Before(since) {
		l.drop()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wrote = false
}

// lastHeard returns when the open connection was last heard from, the zero time
// if there is none.
func (l *lane) lastHeard() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.conn.closed {
		return time.Time{}
	}
	return l.conn.heard
}

// drop closes the connection. It returns whether bytes were given to it since
// begin; after that, none can be any more.
func (l *lane) drop() (wrote bool) {
	l.mu.Lock()
	current := l.conn
	l.conn = nil
	if current != nil {
		current.closed = true
	}
	wrote = l.wrote
	l.mu.Unlock()

	if current != nil {
		_ = current.Conn.Close()
	}
	l.transport.CloseIdleConnections()
	return wrote
}

var errDropped = errors.New("connection was dropped")

// conn notes when its lane's connection was heard from and written to. closed
// and heard are guarded by the lane's lock.
type conn struct {
	net.Conn
	lane   *lane
	closed bool
	heard  time.Time
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lane.mu.Lock()
		c.heard = time.Now()
		c.lane.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if !c.mayWrite() {
		return 0, errDropped
	}
	return c.Conn.Write(p)
}

func (c *conn) mayWrite() bool {
	c.lane.mu.Lock()
	defer c.lane.mu.Unlock()
	if c.closed {
		return false
	}
	c.lane.wrote = true
	return true
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.lane.mu.Lock()
	c.closed = true
	c.lane.mu.Unlock()
	return c.Conn.Close()
}
