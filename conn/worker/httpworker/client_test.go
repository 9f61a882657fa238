package httpworker_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/conn/worker/httpworker"
	"github.com/kingcuplatch/kingcuplatch/internal/standin/workerstandin"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// serve starts a worker on loopback and returns it and its address.
func serve(t *testing.T, slots int64) (*workerstandin.Worker, string) {
	t.Helper()
	w := workerstandin.New(workerstandin.Config{Name: "w1", Capacity: resource.Amount{Slots: slots}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = w.Serve(l) }()
	return w, l.Addr().String()
}

func newClient(t *testing.T, address string, connections int, fresh time.Duration) *httpworker.Client {
	t.Helper()
	c := httpworker.New(httpworker.Options{Address: address, MaxConnections: connections, FreshWithin: fresh})
	t.Cleanup(c.Close)
	return c
}

// begins returns how many times the worker began the request.
func begins(w *workerstandin.Worker, id string) int {
	found := 0
	for _, e := range w.Record().Events {
		if e.Kind == workerstandin.EventRequestBegin && e.ID == id {
			found++
		}
	}
	return found
}

// TestUnresponsiveConnectionFailsOneCall checks that a connection that accepts data and
// never answers is not used for another call after the first one on it was cancelled.
func TestUnresponsiveConnectionFailsOneCall(t *testing.T) {
	w, address := serve(t, 1)
	c := newClient(t, address, 3, time.Hour)
	_, err := c.Do(t.Context(), worker.Request{ID: "before"}, false)
	assert.NilError(t, err)
	w.Change(func(s *workerstandin.Switches) { s.Silence = true })
	ctx, cancel := context.WithCancel(t.Context())
	// The body is larger than the transport's buffer, so that a part of it has been sent
	// when the request counts as written.
	unanswered := worker.Request{ID: "silent", Body: make([]byte, 64<<10)}
	trace := httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { cancel() }}
	_, err = c.Do(httptrace.WithClientTrace(ctx, &trace), unanswered, true)
	assert.ErrorIs(t, err, worker.ErrUnknown)
	assert.ErrorContains(t, err, "request peer "+address)
	_, err = c.Do(t.Context(), worker.Request{ID: "after"}, false)
	assert.NilError(t, err)
	assert.Equal(t, begins(w, "silent"), 0)
}

// TestFreshCallAvoidsStaleConnection checks that a call that requires a fresh connection
// does not reuse one whose last read is older than FreshWithin, which may be unresponsive.
func TestFreshCallAvoidsStaleConnection(t *testing.T) {
	w, address := serve(t, 1)
	c := newClient(t, address, 2, time.Nanosecond)
	for range 3 {
		_, err := c.Do(t.Context(), worker.Request{ID: "old"}, false)
		assert.NilError(t, err)
	}
	assert.Equal(t, w.Record().PeakConnections, 1, "a call that does not require a fresh connection must reuse the open one")
	w.Change(func(s *workerstandin.Switches) { s.Silence = true })
	_, err := c.Do(t.Context(), worker.Request{ID: "fresh"}, true)
	assert.NilError(t, err)
}

// TestRequestsAreNotResent guards against net/http resending a request, with or without a
// body, after the worker read it and closed the reused connection.
func TestRequestsAreNotResent(t *testing.T) {
	w, address := serve(t, 1)
	c := newClient(t, address, 2, time.Hour)
	for i := range 20 {
		for _, body := range []string{"", "text"} {
			id := fmt.Sprintf("r-%d-%s", i, body)
			_, err := c.Do(t.Context(), worker.Request{ID: id + "-warm"}, false)
			assert.NilError(t, err)
			w.Change(func(s *workerstandin.Switches) { s.DieAfterRead = 1 })
			_, err = c.Do(t.Context(), worker.Request{ID: id, Body: []byte(body)}, false)
			assert.ErrorIs(t, err, worker.ErrUnknown)
			assert.Equal(t, begins(w, id), 1)
			for w.Record().Held.Requests > 0 {
				assert.NilError(t, t.Context().Err())
			}
		}
	}
}

// TestNotSent checks that a call fails with ErrNotSent if the connection is refused, the
// request is invalid or the client is closed.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	c := newClient(t, l.Addr().String(), 2, 0)
	_, err = c.Do(t.Context(), worker.Request{ID: "refused"}, true)
	assert.ErrorIs(t, err, worker.ErrNotSent)
	_, err = c.Adopt(t.Context(), 1)
	assert.ErrorIs(t, err, worker.ErrNotSent)

	w, address := serve(t, 1)
	c = newClient(t, address, 2, 0)
	_, err = c.Do(t.Context(), worker.Request{ID: "line\nbreak"}, false)
	assert.ErrorIs(t, err, worker.ErrNotSent)
	c.Close()
	_, err = c.Do(t.Context(), worker.Request{ID: "closed"}, false)
	assert.ErrorIs(t, err, worker.ErrNotSent)
	assert.Equal(t, len(w.Record().Events), 0)
}

// TestConnectionsAreBounded checks that the worker never sees more connections than
// MaxConnections, nor more requests than the connections not reserved for control calls.
func TestConnectionsAreBounded(t *testing.T) {
	w, address := serve(t, 100)
	c := newClient(t, address, 4, time.Hour)
	var calls sync.WaitGroup
	for i := range 30 {
		calls.Go(func() {
			r := worker.Request{ID: fmt.Sprint(i), Body: []byte(`{"work_ms":5}`)}
			got, err := c.Do(t.Context(), r, i%2 == 0)
			assert.Check(t, err)
			assert.Check(t, got.ID == r.ID && got.Worker == "w1")
			_, err = c.Adopt(t.Context(), 0)
			assert.Check(t, err)
		})
	}
	calls.Wait()
	record := w.Record()
	assert.Assert(t, record.PeakConnections <= 4, "%d", record.PeakConnections)
	assert.Assert(t, record.Peak.Slots <= 3, "%d", record.Peak.Slots)
}

// TestClosedConnectionCountsUntilDrained calls a worker that keeps all connections open and
// never answers. A second call must not open a connection before the first one is drained,
// that is, until the worker closes it or DrainFor has passed.
func TestClosedConnectionCountsUntilDrained(t *testing.T) {
	cases := []struct {
		drainFor time.Duration
		want     error
	}{
		{time.Hour, worker.ErrNotSent},
		{time.Millisecond, worker.ErrUnknown},
	}
	for _, tc := range cases {
		t.Run(tc.drainFor.String(), func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			c := httpworker.New(httpworker.Options{
				Address:        l.Addr().String(),
				MaxConnections: 2,
				DrainFor:       tc.drainFor,
			})
			defer c.Close()
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				defer cancel()
				conn, err := l.Accept()
				assert.Check(t, err)
				t.Cleanup(func() { _ = conn.Close() })
				_, err = conn.Read(make([]byte, 1))
				assert.Check(t, err)
			}()
			_, err = c.Do(ctx, worker.Request{ID: "first"}, true)
			assert.ErrorIs(t, err, worker.ErrUnknown)

			ctx, cancel = context.WithCancel(t.Context())
			defer cancel()
			if tc.want == worker.ErrNotSent {
				time.AfterFunc(50*time.Millisecond, cancel)
			}
			go func() {
				conn, err := l.Accept()
				if err == nil {
					_, _ = conn.Read(make([]byte, 1))
					cancel()
				}
			}()
			_, err = c.Do(ctx, worker.Request{ID: "second"}, true)
			assert.ErrorIs(t, err, tc.want)
		})
	}
}

// TestInvalidAnswersAreRejected checks that an answer is rejected, so that the outcome is
// unknown, if its ID, digest or length is missing or wrong, or if it is marked as a refusal
// that cannot be decoded.
func TestInvalidAnswersAreRejected(t *testing.T) {
	body := []byte("whole")
	cases := map[string]func(http.Header){
		"no id":        func(h http.Header) { h.Del(httpworker.HeaderID) },
		"other digest": func(h http.Header) { h.Set(httpworker.HeaderDigest, httpworker.Digest(nil)) },
		"no digest":    func(h http.Header) { h.Del(httpworker.HeaderDigest) },
		"no length":    func(h http.Header) { h.Set("Transfer-Encoding", "chunked"); h.Del("Content-Length") },
		"too long":     func(h http.Header) { h.Set("Content-Length", "1000") },
		"no refusal":   func(h http.Header) { h.Set(httpworker.HeaderRefused, "broken") },
	}
	for name, modify := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			server := http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				header := rw.Header()
				header.Set(httpworker.HeaderID, r.Header.Get(httpworker.HeaderID))
				header.Set(httpworker.HeaderDigest, httpworker.Digest(body))
				header.Set("Content-Length", fmt.Sprint(len(body)))
				modify(header)
				_, _ = rw.Write(body)
			})}
			go func() { _ = server.Serve(l) }()
			defer server.Close()
			c := httpworker.New(httpworker.Options{Address: l.Addr().String(), MaxConnections: 2, MaxAnswerBytes: 100})
			defer c.Close()
			got, err := c.Do(t.Context(), worker.Request{ID: "r"}, false)
			assert.ErrorIs(t, err, worker.ErrUnknown)
			assert.Assert(t, got.Body == nil)
		})
	}
}

// TestOutcomesMatchWorkerUnderFaults makes concurrent calls with random faults and timeouts,
// and checks every outcome against the worker's record: a request that succeeded ran once,
// one with ErrNotSent or a refusal never ran, and one with ErrUnknown ran at most once.
func TestOutcomesMatchWorkerUnderFaults(t *testing.T) {
	w, address := serve(t, 8)
	c := newClient(t, address, 5, time.Millisecond)
	random := rand.New(rand.NewPCG(1, 1))
	const calls = 600
	outcomes := make([]error, calls)
	var running sync.WaitGroup
	for i := range calls {
		timeout := time.Duration(random.IntN(20_000)) * time.Microsecond
		fault := random.IntN(8)
		running.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			w.Change(func(s *workerstandin.Switches) {
				s.Unreachable = fault == 6
				s.Silence = fault == 5
				counts := []*int{&s.LoseAnswers, &s.DieAfterRead, &s.Truncate, &s.WrongID, &s.Duplicate}
				if fault < len(counts) {
					*counts[fault] = 1
				}
			})
			r := worker.Request{ID: fmt.Sprintf("id-%d", i), Body: []byte(`{"work_ms":1}`)}
			got, err := c.Do(ctx, r, i%2 == 0)
			outcomes[i] = err
			if err == nil {
				assert.Check(t, strings.Contains(string(got.Body), `"id":"`+r.ID+`"`), "%s", got.Body)
			}
		})
		if i%20 == 0 {
			running.Wait()
		}
	}
	running.Wait()
	for w.Record().Held.Requests > 0 {
		assert.NilError(t, t.Context().Err())
	}
	peak := w.Record().PeakConnections
	assert.Assert(t, peak <= 5, "the worker saw %d connections", peak)
	ran := map[string]int{}
	for _, e := range w.Record().Events {
		if e.Kind == workerstandin.EventRequestBegin {
			ran[e.ID]++
		}
	}
	for i, err := range outcomes {
		times := ran[fmt.Sprintf("id-%d", i)]
		var refused *worker.RefusedError
		switch {
		case err == nil:
			assert.Equal(t, times, 1)
		case errors.Is(err, worker.ErrNotSent), errors.As(err, &refused):
			assert.Equal(t, times, 0, "%v", err)
		default:
			assert.ErrorIs(t, err, worker.ErrUnknown)
			assert.Assert(t, times <= 1)
		}
	}
}
