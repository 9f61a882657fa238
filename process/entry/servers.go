package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/callers"
	"github.com/kingcuplatch/kingcuplatch/conn/operators"
)

// Timeouts of the HTTP servers.
const (
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = time.Minute
	// maxNotReadyDelay is the longest time that a stopping entry keeps accepting
	// connections, so that load balancers see that it isn't ready before its
	// listener closes.
	maxNotReadyDelay = time.Second
)

// servers holds the HTTP servers of an entry.
type servers struct {
	callers         *http.Server
	operators       *http.Server
	metrics         *http.Server
	serving         sync.WaitGroup
	callsInProgress atomic.Int64
	// notReadyDelay is a quarter of Timings.Drain, at most maxNotReadyDelay.
	notReadyDelay time.Duration
}

// start starts a server on each HTTP listener.
func (s *servers) start(e *Entry) {
	s.notReadyDelay = min(maxNotReadyDelay, e.Timings.Drain/4)
	s.callers = e.httpServer(s.countCalls(callers.Handler(callers.Options{
		Config: e.admission(), Requests: e.requestRunner(), Jobs: e.callersJobs(), MaxBodyBytes: e.MaxBodyBytes,
		Stopping: e.stopping.Load, NewID: newID,
	})))
	s.operators = e.httpServer(s.countCalls(operators.Handler(operators.Options{
		Config: operatorsConfig{e.config, e}, Views: e, KeySHA256: e.OperatorKeySHA256, NewID: newID,
	})))
	s.metrics = e.httpServer(e.metrics.handler(e))
	s.serve(s.callers, e.Listeners.Callers)
	s.serve(s.operators, e.Listeners.Operators)
	s.serve(s.metrics, e.Listeners.Metrics)
}

func (e *Entry) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: e.Timings.ReadHeader,
		ReadTimeout:       e.Timings.ReadBody,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    e.MaxHeaderBytes,
	}
}

func (s *servers) serve(server *http.Server, listener net.Listener) {
	s.serving.Go(func() { _ = server.Serve(listener) })
}

// countCalls wraps handler to count the calls in progress.
func (s *servers) countCalls(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.callsInProgress.Add(1)
		defer s.callsInProgress.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

func (s *servers) inFlight() int64 { return s.callsInProgress.Load() }

// drain shuts down the callers' and operators' servers after the not-ready delay and waits
// for the calls in progress. It returns the number of calls still in progress when ctx
// ended.
func (s *servers) drain(ctx context.Context) int64 {
	select {
	case <-time.After(s.notReadyDelay):
	case <-ctx.Done():
	}
	_ = s.callers.Shutdown(ctx)
	_ = s.operators.Shutdown(ctx)
	return s.inFlight()
}

// close closes all servers and their connections.
func (s *servers) close() {
	_ = s.callers.Close()
	_ = s.operators.Close()
	_ = s.metrics.Close()
	s.serving.Wait()
}
