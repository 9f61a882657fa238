package httpworker

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// lane holds at most one connection that takes calls, and carries one call at a
// time.
type lane struct {
	pool      *pool
	transport *http.Transport
	dialer    net.Dialer

	mu sync.Mutex
	// conn is the newest connection; it may be closed.
	conn *conn
	// wrote says that bytes were given to a connection since begin.
	wrote bool
}

func newLane(p *pool) *lane {
	l := &lane{pool: p, dialer: net.Dialer{Timeout: dialTimeout}}
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

// dial opens a connection once the pool permits one more. It goes on when the
// caller leaves: a connection that was given up halfway might be open for the
// worker.
func (l *lane) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := l.pool.permit(ctx); err != nil {
		return nil, err
	}
	raw, err := l.dialer.DialContext(context.WithoutCancel(ctx), network, address)
	if err != nil {
		l.pool.returnPermit()
		return nil, err
	}
	dialled := newConn(l.pool.bytes.Conn(raw), l)
	l.mu.Lock()
	l.conn = dialled
	l.mu.Unlock()
	if l.pool.open.Err() != nil {
		_ = dialled.Close()
		return nil, errClosed
	}
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
	l.mu.Unlock()

	if current != nil {
		_ = current.Close()
	}
	l.transport.CloseIdleConnections()

	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wrote
}
