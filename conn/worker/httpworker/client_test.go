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

// serve starts a worker on loopback and returns it with its address.
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

func begins(w *workerstandin.Worker, id string) int {
	found := 0
	for _, e := range w.Record().Events {
		if e.Kind == workerstandin.EventRequestBegin && e.ID == id {
			found++
		}
	}
	return found
}

func TestSilentConnectionHarmsOneCall(t *testing.T) {
	w, address := serve(t, 1)
	c := newClient(t, address, 3, time.Hour)
	_, err := c.Do(t.Context(), worker.Request{ID: "before"}, false)
	assert.NilError(t, err)
	w.Change(func(s *workerstandin.Switches) { s.Silence = true })
	ctx, cancel := context.WithCancel(t.Context())
	// The body is larger than the transport's buffer, so that part of it has
	// gone out when the request counts as written.
	silent := worker.Request{ID: "silent", Body: make([]byte, 64<<10)}
	leave := httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { cancel() }}
	_, err = c.Do(httptrace.WithClientTrace(ctx, &leave), silent, true)
	assert.ErrorIs(t, err, worker.ErrUnknown)
	assert.ErrorContains(t, err, "request peer "+address)
	_, err = c.Do(t.Context(), worker.Request{ID: "after"}, false)
	assert.NilError(t, err)
	assert.Equal(t, begins(w, "silent"), 0)
}

func TestFreshCallAvoidsConnectionNotHeardFrom(t *testing.T) {
	w, address := serve(t, 1)
	c := newClient(t, address, 2, time.Nanosecond)
	for range 3 {
		_, err := c.Do(t.Context(), worker.Request{ID: "old"}, false)
		assert.NilError(t, err)
	}
	assert.Equal(t, w.Record().PeakConnections, 1, "a call that need not be fresh reuses the connection")
	w.Change(func(s *workerstandin.Switches) { s.Silence = true })
	_, err := c.Do(t.Context(), worker.Request{ID: "fresh"}, true)
	assert.NilError(t, err)
}

func TestNothingIsSentTwice(t *testing.T) {
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

// TestClosedConnectionCountsUntilDrained talks to a worker that keeps every
// connection and answers none.
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
				held, err := l.Accept()
				assert.Check(t, err)
				t.Cleanup(func() { _ = held.Close() })
				_, err = held.Read(make([]byte, 1))
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
				held, err := l.Accept()
				if err == nil {
					_, _ = held.Read(make([]byte, 1))
					cancel()
				}
			}()
			_, err = c.Do(ctx, worker.Request{ID: "second"}, true)
			assert.ErrorIs(t, err, tc.want)
		})
	}
}

// TestAnswersThatAreNotTaken holds the client to its checks one by one.
func TestAnswersThatAreNotTaken(t *testing.T) {
	body := []byte("whole")
	cases := map[string]func(http.Header){
		"no id":        func(h http.Header) { h.Del(httpworker.HeaderID) },
		"other digest": func(h http.Header) { h.Set(httpworker.HeaderDigest, httpworker.Digest(nil)) },
		"no digest":    func(h http.Header) { h.Del(httpworker.HeaderDigest) },
		"no length":    func(h http.Header) { h.Set("Transfer-Encoding", "chunked"); h.Del("Content-Length") },
		"too long":     func(h http.Header) { h.Set("Content-Length", "1000") },
		"no refusal":   func(h http.Header) { h.Set(httpworker.HeaderRefused, "broken") },
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			server := http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				header := rw.Header()
				header.Set(httpworker.HeaderID, r.Header.Get(httpworker.HeaderID))
				header.Set(httpworker.HeaderDigest, httpworker.Digest(body))
				header.Set("Content-Length", fmt.Sprint(len(body)))
				spoil(header)
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

// TestOutcomesAreTrueUnderFaults makes calls under all faults at once, some of
// which leave early, and holds every outcome against the worker's record.
func TestOutcomesAreTrueUnderFaults(t *testing.T) {
	w, address := serve(t, 8)
	c := newClient(t, address, 5, time.Millisecond)
	random := rand.New(rand.NewPCG(1, 1))
	const calls = 600
	outcomes := make([]error, calls)
	var running sync.WaitGroup
	for i := range calls {
		patience := time.Duration(random.IntN(20_000)) * time.Microsecond
		fault := random.IntN(8)
		running.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), patience)
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
