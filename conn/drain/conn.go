package drain

import (
	"io"
	"net"
	"sync"
	"time"
)

// conn is a connection of a Server that knows whether a request is in progress on it.
type conn struct {
	net.Conn
	server *Server
	// headerTimeout bounds the reading of a request's header.
	headerTimeout time.Duration
	acceptedAt    time.Time

	mu sync.Mutex
	// requestAt is when the first byte of the request in progress was read, or zero if there
	// is none.
	requestAt time.Time
	// used is set once a request has been read.
	used bool
	// closing is set when the connection is to be closed unless a request arrives.
	closing bool
	// ended is set when the connection is being closed after a response.
	ended bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && isTimeout(err) && c.isClosing() {
		// A deadline may expire before the goroutine has seen bytes that have arrived.
		if c.Conn.SetReadDeadline(time.Now().Add(lastReadTime)) == nil {
			n, err = c.Conn.Read(b)
		}
	}
	if n > 0 {
		c.requestRead()
	}
	return n, err
}

// Close implements net.Conn. A connection that is closed while bytes are on their way is
// reset, which may take the last response with it. So while the server drains, a connection
// is closed for writing after its response, and for reading when the client has closed it.
// One on which nothing was in progress is closed at once: a request that crosses the close
// isn't read, and its client learns of it by the reset.
func (c *conn) Close() error {
	if c.server.lingers() && c.endAfterResponse() {
		c.linger()
	}
	return c.Conn.Close()
}

// endAfterResponse records that no request is in progress any more. It returns false if
// there was none.
func (c *conn) endAfterResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestAt, c.ended = time.Time{}, true
	return !c.closing
}

// linger closes the connection for writing and waits until the client closes it.
func (c *conn) linger() {
	writer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || writer.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	// An error means that the client has reset the connection or keeps it open.
	_, _ = io.Copy(io.Discard, c.Conn)
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// requestRead records that bytes of a request were read. If the connection was about to be
// closed, the rest of the header gets its usual time.
func (c *conn) requestRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestAt.IsZero() {
		c.requestAt = time.Now()
	}
	if c.closing {
		// An error means that the connection is closed already.
		_ = c.Conn.SetReadDeadline(c.requestAt.Add(c.headerTimeout))
	}
	c.used, c.closing = true, false
}

// requestAnswered records that the response was written.
func (c *conn) requestAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestAt = time.Time{}
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// closeUnlessRead lets the read that waits for a request end soon, which closes the
// connection. It does nothing while a request is in progress, or while the first one may be
// on its way.
func (c *conn) closeUnlessRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || !c.requestAt.IsZero() || !c.used && time.Since(c.acceptedAt) < firstRequestTime {
		return
	}
	c.closing = true
	// An error means that the connection is closed already.
	_ = c.Conn.SetReadDeadline(time.Now().Add(lastReadTime))
}

// state returns the request in progress, if there is one, and whether one was ever read.
func (c *conn) state() (requestAt time.Time, used bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestAt, c.used
}
