package drain

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateListener never accepts before its deadline, as in a process that is overloaded.
type lateListener struct{ *net.TCPListener }

// SetDeadline implements the deadline of a listener.
func (l lateListener) SetDeadline(time.Time) error { return l.TCPListener.SetDeadline(time.Unix(1, 0)) }

// A connection that arrives as the deadline of the listener expires stayed in its queue and
// was reset when the listener was closed, with the request that was sent on it.
func TestConnectionsInQueueAtTheDeadlineAreAccepted(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := lateListener{tcp.(*net.TCPListener)}
	assert.NilError(t, l.SetDeadline(time.Time{}))
	var conns []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		_, err = c.Write([]byte("POST /job HTTP/1.1\r\nHost: host\r\nContent-Length: 2\r\n\r\n{}"))
		assert.NilError(t, err)
		conns = append(conns, c)
	}
	s := New(&http.Server{Handler: answerAfter(0), ReadHeaderTimeout: time.Second})
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	assert.NilError(t, <-served)
	_, err = net.Dial("tcp", l.Addr().String())
	assert.ErrorContains(t, err, "refused")
	for _, c := range conns {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
	assert.Equal(t, s.Drain(LimitsWithin(time.Second, 0)).Cut, 0)
}
