package drain

import (
	"bufio"
	"net"
	"net/http"
	"sync"
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

// stalledListener accepts nothing until some time after its deadline was set, as in a process
// that gets no processor.
type stalledListener struct {
	*net.TCPListener
	once    sync.Once
	resumed chan struct{}
}

// Accept implements net.Listener.
func (l *stalledListener) Accept() (net.Conn, error) {
	<-l.resumed
	return l.TCPListener.Accept()
}

// SetDeadline implements the deadline of a listener.
func (l *stalledListener) SetDeadline(time.Time) error {
	err := l.TCPListener.SetDeadline(time.Unix(1, 0))
	l.once.Do(func() {
		time.Sleep(2 * maxAcceptDelay)
		time.AfterFunc(maxAcceptDelay/4, func() { close(l.resumed) })
	})
	return err
}

// A process that resumed after the time for accepting was over closed its listener at once and
// reset the connections that had arrived meanwhile.
func TestQueueIsAcceptedAfterAStall(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &stalledListener{TCPListener: tcp.(*net.TCPListener), resumed: make(chan struct{})}
	s := New(&http.Server{Handler: answerAfter(0), ReadHeaderTimeout: time.Second})
	go func() { _ = s.Serve(l) }()
	for s.listening() == nil {
		time.Sleep(time.Millisecond)
	}
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	drained := make(chan Outcome, 1)
	go func() { drained <- s.Drain(LimitsWithin(6*time.Second, time.Millisecond)) }()
	status, _, sent, err := request(c)
	assert.NilError(t, err)
	assert.Assert(t, sent)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, (<-drained).Cut, 0)
}
