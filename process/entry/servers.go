package entry

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/callers"
	"github.com/kingcuplatch/kingcuplatch/conn/drain"
	"github.com/kingcuplatch/kingcuplatch/conn/operators"
	"github.com/kingcuplatch/kingcuplatch/process/events"
)

// Timeouts of the HTTP servers.
const (
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = time.Minute
	// maxNotReadyDelay is the longest time that a stopping entry keeps accepting
	// connections, so that load balancers see that it isn't ready before its
	// listener closes.
	maxNotReadyDelay = time.Second
	// metricsTime is how long a stopping entry waits for readers of its metrics.
	metricsTime = 200 * time.Millisecond
)

// servers holds the HTTP servers of an entry.
type servers struct {
	callers         *drain.Server
	operators       *drain.Server
	metrics         *drain.Server
	serving         sync.WaitGroup
	callsInProgress atomic.Int64
}

// start starts a server on each HTTP listener.
func (s *servers) start(e *Entry) {
	s.callers = drain.New(e.httpServer(s.countCalls(callers.Handler(callers.Options{
		Config: e.admission(), Requests: e.requestRunner(), Jobs: e.callersJobs(), MaxBodyBytes: e.MaxBodyBytes,
		Stopping: e.stopping.Load, NewID: newID,
	}))))
	s.operators = drain.New(e.httpServer(s.countCalls(operators.Handler(operators.Options{
		Config: operatorsConfig{e.config, e}, Views: e, KeySHA256: e.OperatorKeySHA256, NewID: newID,
	}))))
	s.metrics = drain.New(e.httpServer(e.metrics.handler(e)))
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

func (s *servers) serve(server *drain.Server, listener net.Listener) {
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

// drain stops the callers' and the operators' servers at the same time. It returns the
// number of calls that were cut off.
func (s *servers) drain(limits drain.Limits, log *events.Logger) int64 {
	var draining sync.WaitGroup
	var cut atomic.Int64
	for name, server := range map[string]*drain.Server{"callers": s.callers, "operators": s.operators} {
		draining.Go(func() {
			o := server.Drain(limits)
			log.Log(events.ServerDrained, name, o.Took.String(), o.AtClose.Requests, o.AtClose.Oldest.String(),
				o.AtClose.Idle, o.AtClose.Unused, o.Cancelled, o.Cut, o.IdleClosed, o.Crossed)
			cut.Add(int64(o.Cut))
		})
	}
	draining.Wait()
	return cut.Load()
}

// close drains the metrics' server, which serves until the end of a stop, and closes all
// servers and their connections.
func (s *servers) close() {
	s.metrics.Drain(drain.Limits{Answer: metricsTime, Cut: metricsTime})
	s.cut()
	s.serving.Wait()
}

// cut closes the callers' and the operators' servers with all their connections.
func (s *servers) cut() {
	_ = s.callers.Close()
	_ = s.operators.Close()
}
