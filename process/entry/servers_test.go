package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/conn/callers"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
	"github.com/kingcuplatch/kingcuplatch/version"
	"github.com/kingcuplatch/kingcuplatch/version/records"
)

// pipeListener accepts one end of in-memory pipes, so that a server can run in virtual
// time.
type pipeListener struct {
	conns chan net.Conn
	ended chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), ended: make(chan struct{})}
}

func (l *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	return near
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.ended)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// oneKey is a configuration with one API key and one kind. As callers.Requests it counts
// the requests that run.
type oneKey struct {
	callers.Jobs
	ran int
}

func (*oneKey) Current() *version.Snapshot {
	return &version.Snapshot{
		Keys:  map[string]*version.Key{records.HashKey("k"): {Team: "a"}},
		Kinds: map[string]*version.Kind{"quote": {Name: "quote", Policy: version.PolicyRequest, Deadline: time.Second}},
	}
}
func (*oneKey) Admitting(time.Time) bool { return true }
func (o *oneKey) Do(context.Context, *attempt.Request) attempt.Outcome {
	o.ran++
	return attempt.Outcome{Status: http.StatusOK}
}

const head = "POST /v1/kinds/quote/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\n"

// A client may send an incomplete or invalid request and keep the connection open. The
// server has to run nothing, end the connection in time and leave no goroutine behind;
// synctest fails if one remains.
func TestStalledConnectionsEnd(t *testing.T) {
	const readHeader, readBody = 5 * time.Second, 30 * time.Second
	for _, c := range []struct {
		name, sent string
		// every is the pause between two bytes; 0 sends all at once.
		every time.Duration
		// within is the time after which the connection has to be ended.
		within time.Duration
		status int
		answer string
	}{
		{"nothing", "", 0, readHeader, 0, ""},
		{"half a header", head, 0, readHeader, 0, ""},
		{"slow header", head, time.Second, readHeader, http.StatusBadRequest, ""},
		{"half a body", head + "Content-Length: 9\r\n\r\nhalf", 0, readBody, http.StatusBadRequest, `"field":"body"`},
		{"slow body", head + "Content-Length: 99\r\n\r\n" + strings.Repeat("x", 50), 0, readBody, http.StatusBadRequest, `"ran":"not_run"`},
		{"not HTTP", "\x00\x01\x02 nonsense\r\n\r\n", 0, time.Second, http.StatusBadRequest, ""},
		{"large header", head + "X: " + strings.Repeat("x", 32<<10) + "\r\n\r\n", 0, time.Second, http.StatusRequestHeaderFieldsTooLarge, ""},
		{"body over the limit", head + "Content-Length: 999999\r\n\r\n", 0, time.Second, http.StatusRequestEntityTooLarge, `"field":"body"`},
		{"wrong key, half a body", strings.Replace(head, "Bearer k", "Bearer x", 1) + "Content-Length: 9\r\n\r\nhalf", 0, time.Second, http.StatusUnauthorized, `"field":"authorization"`},
		{"unknown kind, half a body", strings.Replace(head, "quote", "none", 1) + "Content-Length: 9\r\n\r\nhalf", 0, time.Second, http.StatusNotFound, `"field":"kind"`},
		{"unknown transfer coding", head + "Transfer-Encoding: zip\r\n\r\n", 0, time.Second, http.StatusNotImplemented, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &Entry{Config: Config{
					Timings:        Timings{ReadHeader: readHeader, ReadBody: readBody},
					MaxHeaderBytes: 8 << 10,
				}}
				fake := &oneKey{}
				server := e.httpServer(callers.Handler(callers.Options{
					Config: fake, Requests: fake, Jobs: fake, MaxBodyBytes: 1 << 10,
					Stopping: func() bool { return false }, NewID: newID,
				}))
				listener := newPipeListener()
				go func() { _ = server.Serve(listener) }()
				conn := listener.dial()
				startedAt := time.Now()
				var sending sync.WaitGroup
				sending.Go(func() { send(conn, c.sent, c.every) })
				status, answer := readAnswer(t, conn)
				assert.Equal(t, status, c.status)
				assert.Assert(t, strings.Contains(answer, c.answer), answer)
				assert.Assert(t, time.Since(startedAt) <= c.within+time.Second, time.Since(startedAt))
				assert.Equal(t, fake.ran, 0)
				assert.NilError(t, conn.Close())
				sending.Wait()
				assert.NilError(t, server.Close())
			})
		})
	}
}

// send writes until the server ends the connection.
func send(conn net.Conn, text string, every time.Duration) {
	if every == 0 {
		_, _ = io.WriteString(conn, text)
		return
	}
	for _, b := range []byte(text) {
		if _, err := conn.Write([]byte{b}); err != nil {
			return
		}
		time.Sleep(every)
	}
}

// readAnswer reads one response. It returns status 0 if the connection ends without one.
func readAnswer(t *testing.T, conn net.Conn) (int, string) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return 0, ""
	}
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(body)
}
