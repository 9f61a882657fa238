// Package traffic counts the bytes that connections carry, by kind of peer.
//
// A counted connection behaves as the one it wraps. What the kernel adds (headers
// of TCP and IP, acknowledgements) is not counted.
package traffic

import (
	"context"
	"net"
	"sync/atomic"
)

// Bytes counts what was sent and received. It is safe for concurrent use; the
// zero value is ready. A nil *Bytes counts nothing.
type Bytes struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns how many bytes were written so far.
func (b *Bytes) Sent() uint64 { return b.sent.Load() }

// Received returns how many bytes were read so far.
func (b *Bytes) Received() uint64 { return b.received.Load() }

// Meter is the counts of one process.
type Meter struct {
	Peers    Bytes
	Platform Bytes
	Workers  Bytes
}

// Conn returns conn, counted in b.
func (b *Bytes) Conn(conn net.Conn) net.Conn {
	if b == nil {
		return conn
	}
	return &counted{Conn: conn, bytes: b}
}

// Listener returns a listener whose connections are counted in b.
func (b *Bytes) Listener(listener net.Listener) net.Listener {
	if b == nil {
		return listener
	}
	return countedListener{Listener: listener, bytes: b}
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns dial with its connections counted in b.
func (b *Bytes) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return b.Conn(conn), nil
	}
}

type countedListener struct {
	net.Listener
	bytes *Bytes
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.bytes.Conn(conn), nil
}

type counted struct {
	net.Conn
	bytes *Bytes
}

// Read implements net.Conn.
func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.sent.Add(uint64(n))
	return n, err
}

// CloseWrite ends the writing half; it does nothing if the connection has no halves.
func (c *counted) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
