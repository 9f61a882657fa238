package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// watchedConn notes when bytes last arrived, and ends reads after idle without
// any and writes that make no progress for idle.
type watchedConn struct {
	net.Conn
	idle  time.Duration
	heard atomic.Int64
}

func newWatchedConn(conn net.Conn, idle time.Duration) *watchedConn {
	w := &watchedConn{Conn: conn, idle: idle}
	w.heard.Store(time.Now().UnixNano())
	return w
}

// Read implements net.Conn.
func (w *watchedConn) Read(b []byte) (int, error) {
	if err := w.SetReadDeadline(time.Now().Add(w.idle)); err != nil {
		return 0, err
	}
	n, err := w.Conn.Read(b)
	if n > 0 {
		w.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write implements net.Conn.
func (w *watchedConn) Write(b []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(w.idle)); err != nil {
		return 0, err
	}
	return w.Conn.Write(b)
}

// silence returns how long nothing has been heard.
func (w *watchedConn) silence() time.Duration {
	return time.Since(time.Unix(0, w.heard.Load()))
}
