// Package traffic counts the bytes that connections send and receive.
//
// A counted connection behaves like the one that it wraps. The overhead that the kernel
// adds (TCP and IP headers, acknowledgements) is not counted.
package traffic

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Bytes counts the bytes sent and received. It is safe for concurrent use, and its zero
// value is ready to use. A nil *Bytes counts nothing.
type Bytes struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns the number of bytes written so far.
func (b *Bytes) Sent() uint64 { return b.sent.Load() }

// Received returns the number of bytes read so far.
func (b *Bytes) Received() uint64 { return b.received.Load() }

// Meter holds the counts of a process by kind of peer.
type Meter struct {
	Peers    Bytes
	Platform Bytes
	Workers  Bytes
	// Polls are the connections to workers that carry only polls, where these have
	// connections of their own.
	Polls Bytes
	// Advice are the connections to an advisory service.
	Advice Bytes
}

// Kind is the count of one kind of peer.
type Kind struct {
	Name  string
	Bytes *Bytes
}

// Kinds returns the counts in a fixed order.
func (m *Meter) Kinds() []Kind {
	return []Kind{
		{"peers", &m.Peers}, {"platform", &m.Platform}, {"workers", &m.Workers}, {"polls", &m.Polls}, {"advice", &m.Advice},
	}
}

// Register adds the gauges of this count to set, under the name of a metric. kind names the
// peers.
func (b *Bytes) Register(set *metrics.Set, metric, kind string) {
	set.NewGauge(fmt.Sprintf(`%s{to=%q,direction="sent"}`, metric, kind), func() float64 { return float64(b.Sent()) })
	set.NewGauge(fmt.Sprintf(`%s{to=%q,direction="received"}`, metric, kind), func() float64 { return float64(b.Received()) })
}

// Conn returns a connection that wraps conn and is counted in b.
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

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc that calls dial and counts its connections in b.
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

// CloseWrite closes the writing half. It does nothing if the connection does not support
// that.
func (c *counted) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with bytes that aren't sent yet, as net.TCPConn does. It does
// nothing if the connection does not support that.
func (c *counted) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}
