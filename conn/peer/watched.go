package peer

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// watchedConn records the time of the last read, and applies the idle timeout to every
// read and write.
type watchedConn struct {
	net.Conn
	idle time.Duration
	// lastRead is the time of the last read, in Unix nanoseconds.
	lastRead atomic.Int64
	// mayEnd, unless it is nil, decides whether a read ends at the idle timeout.
	mayEnd func() bool
}

func newWatchedConn(conn net.Conn, idle time.Duration) *watchedConn {
	w := &watchedConn{Conn: conn, idle: idle}
	w.lastRead.Store(time.Now().UnixNano())
	return w
}

// Read implements net.Conn.
func (w *watchedConn) Read(b []byte) (int, error) {
	for {
		if err := w.SetReadDeadline(time.Now().Add(w.idle)); err != nil {
			return 0, err
		}
		n, err := w.Conn.Read(b)
		if n > 0 {
			w.lastRead.Store(time.Now().UnixNano())
		}
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && w.mayEnd != nil && !w.mayEnd() {
			continue
		}
		return n, err
	}
}

// Write implements net.Conn.
func (w *watchedConn) Write(b []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(w.idle)); err != nil {
		return 0, err
	}
	return w.Conn.Write(b)
}

// reset closes the connection and drops what hasn't been delivered.
func (w *watchedConn) reset() {
	if tcp, ok := w.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// An error means that the connection is closed.
		_ = tcp.SetLinger(0)
	}
	_ = w.Close()
}

// sinceLastRead returns the time since bytes last arrived.
func (w *watchedConn) sinceLastRead() time.Duration {
	return time.Since(time.Unix(0, w.lastRead.Load()))
}
