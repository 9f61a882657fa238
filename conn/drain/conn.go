package drain

import (
	"io"
	"net"
	"net/http"
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
	// expired is set when a read has ended without a byte while no request was in progress.
	expired bool
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
	switch {
	case n > 0:
		c.requestRead()
	case isTimeout(err):
		c.readExpired()
	}
	return n, err
}

// Close implements net.Conn. A connection that is closed while bytes are on their way is
// reset, which may take the last response with it. So one on which no request has arrived in
// time, and while the server drains each one, is closed for writing first, and for reading
// when the client has closed it.
func (c *conn) Close() error {
	if !c.server.cutting.Load() {
		c.closeInStages()
	}
	return c.Conn.Close()
}

func (c *conn) closeInStages() {
	draining := c.server.draining.Load()
	switch {
	case c.end():
		arrived := c.closeIdle()
		if draining {
			c.server.countIdleClosed(arrived)
		}
	case draining:
		c.linger(lingerTime)
	}
}

// end records that no request is in progress any more. It reports whether the connection is
// closed since no request has arrived.
func (c *conn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestAt, c.ended = time.Time{}, true
	return c.expired
}

// readExpired records that a read has ended without a byte. The HTTP server then closes the
// connection if it waits for a request.
func (c *conn) readExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expired = c.requestAt.IsZero()
}

// closeIdle ends a connection on which no request has arrived. A request that crosses the
// close isn't read by the HTTP server; the notice refuses it. It reports whether bytes arrived.
func (c *conn) closeIdle() bool { return c.writeNotice() && c.linger(idleLingerTime) > 0 }

// writeNotice sends a response that no request has asked for. It returns false if the
// connection can't be closed for writing alone: closed in whole it would be reset by the next
// bytes, which may take the notice with it.
func (c *conn) writeNotice() bool {
	if _, ok := c.Conn.(writeCloser); !ok || c.Conn.SetWriteDeadline(time.Now().Add(noticeTime)) != nil {
		return false
	}
	_, err := io.WriteString(c.Conn, notice(time.Now()))
	return err == nil
}

// notice returns the response with which a server ends a connection that it no longer waits
// on (RFC 9110, section 15.5.9). A client without a request in progress takes it as the end of
// the connection; to one whose request is on its way it says that the request has not been
// handled and may be repeated on another connection.
func notice(now time.Time) string {
	return "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\nDate: " +
		now.UTC().Format(http.TimeFormat) + "\r\n\r\n"
}

// writeCloser is a connection that can be closed for writing.
type writeCloser interface{ CloseWrite() error }

// linger closes the connection for writing and waits until the client closes it, at most for
// a time. It returns the number of bytes that arrived meanwhile.
func (c *conn) linger(atMost time.Duration) int64 {
	writer, ok := c.Conn.(writeCloser)
	if !ok || writer.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(atMost)) != nil {
		return 0
	}
	// An error means that the client has reset the connection or keeps it open.
	n, _ := io.Copy(io.Discard, c.Conn)
	return n
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
	c.used, c.closing, c.expired = true, false, false
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
