package httpworker

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connSlot holds at most one open connection and carries one call at a time.
type connSlot struct {
	pool      *pool
	transport *http.Transport
	dialer    net.Dialer

	mu sync.Mutex
	// conn is the most recent connection, which may be closed.
	conn *conn
	// wrote is set if data was written to a connection since begin.
	wrote bool
}

func newConnSlot(p *pool) *connSlot {
	s := &connSlot{pool: p, dialer: net.Dialer{Timeout: dialTimeout}}
	s.transport = &http.Transport{
		DialContext:            s.dial,
		MaxConnsPerHost:        1,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return s
}

// dial opens a connection once the pool permits one more. Dialling continues when ctx is
// cancelled: the worker might already count an abandoned connection as open.
func (s *connSlot) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := s.pool.permit(ctx); err != nil {
		return nil, err
	}
	raw, err := s.dialer.DialContext(context.WithoutCancel(ctx), network, address)
	if err != nil {
		s.pool.returnPermit()
		return nil, err
	}
	dialled := newConn(s.pool.bytes.Conn(raw), s)
	s.mu.Lock()
	s.conn = dialled
	s.mu.Unlock()
	if s.pool.baseCtx.Err() != nil {
		_ = dialled.Close()
		return nil, errClosed
	}
	return dialled, nil
}

// begin prepares the slot for a call. It closes a connection whose last read was before
// since.
func (s *connSlot) begin(since time.Time) {
	if s.lastRead().Before(since) {
		s.drop()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrote = false
}

// lastRead returns the time of the last read from the open connection, or the zero time if
// no connection is open.
func (s *connSlot) lastRead() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil || s.conn.closed {
		return time.Time{}
	}
	return s.conn.readAt
}

// drop closes the connection and reports whether data was written to it since begin. No
// data can be written to it afterwards.
func (s *connSlot) drop() (wrote bool) {
	s.mu.Lock()
	current := s.conn
	s.conn = nil
	s.mu.Unlock()

	if current != nil {
		_ = current.Close()
	}
	s.transport.CloseIdleConnections()

	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wrote
}
