package workerstandin

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const headerTimeout = 10 * time.Second

// Serve serves Handler on the listener until that fails. It counts connections and applies
// the switches Unreachable and Silence to them.
func (w *Worker) Serve(l net.Listener) error {
	server := http.Server{Handler: w.Handler(), ReadHeaderTimeout: headerTimeout}
	return server.Serve(&listener{Listener: l, w: w})
}

type listener struct {
	net.Listener
	w *Worker
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.w.addConn(raw); c != nil {
			return c, nil
		}
		reset(raw)
	}
}

// addConn counts a new connection. It returns nil if the worker is unreachable.
func (w *Worker) addConn(raw net.Conn) *conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.switches.Unreachable {
		return nil
	}
	c := &conn{Conn: raw, w: w}
	w.conns[c] = struct{}{}
	w.record.Connections = len(w.conns)
	w.record.PeakConnections = max(w.record.PeakConnections, len(w.conns))
	if w.config.Connections > 0 && len(w.conns) > w.config.Connections {
		w.record.add(Event{Kind: EventOverConnections})
	}
	return c
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// conn is a counted connection that discards all data once silent is set.
type conn struct {
	net.Conn
	w      *Worker
	silent atomic.Bool
}

// Read implements net.Conn. A silent connection discards all data that arrives.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. A silent connection discards the data.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.w.mu.Lock()
	c.w.removeConnLocked(c)
	c.w.mu.Unlock()
	return c.Conn.Close()
}

// removeConnLocked removes a connection from the count.
func (w *Worker) removeConnLocked(c *conn) {
	delete(w.conns, c)
	w.record.Connections = len(w.conns)
}
