package relaystandin

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func listen(t *testing.T, serve func(net.Listener) error) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = serve(listener) }()
	return listener.Addr().String()
}

// echo sends every byte back.
func echo(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go func() { _, _ = io.Copy(conn, conn) }()
	}
}

func dial(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends a byte and returns the error of the write or of reading it back.
func exchange(conn net.Conn) error {
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

// Guards against a relay that, after a change to ModePass, delivers data on a connection
// that discarded earlier data, or that leaves connections open in ModeRefuse.
func TestModes(t *testing.T) {
	relay := New("")
	address := listen(t, relay.Serve)
	assert.Assert(t, exchange(dial(t, address)) != nil, "connection accepted without a target")
	target := listen(t, echo)
	relay.Change(func(s *Switches) { s.Target = target })
	conn := dial(t, address)
	assert.NilError(t, exchange(conn))

	relay.Change(func(s *Switches) { s.Mode = ModeSilent })
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	assert.Assert(t, errors.Is(exchange(conn), os.ErrDeadlineExceeded))
	relay.Change(func(s *Switches) { s.Mode = ModePass })
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	assert.Assert(t, errors.Is(exchange(conn), os.ErrDeadlineExceeded), "a silent connection forwarded data again")

	conn = dial(t, address)
	assert.NilError(t, exchange(conn))
	relay.Change(func(s *Switches) { s.Mode = ModeRefuse })
	assert.Assert(t, exchange(conn) != nil)
	assert.Assert(t, exchange(dial(t, address)) != nil)
}
