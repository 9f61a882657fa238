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

// Bounds of the HTTP listeners.
const (
	// idleConnection is how long a kept connection may carry nothing.
	idleConnection = time.Minute
	// notReadyFor is how long a stopping entry still accepts connections, so that
	// the balancer sees that it isn't ready before it is gone.
	notReadyFor = time.Second
)

// doors are the HTTP servers of an entry.
type doors struct {
	callers   *http.Server
	operators *http.Server
	metrics   *http.Server
	serving   sync.WaitGroup
	calls     atomic.Int64
	drainFor  time.Duration
}

// start serves all HTTP listeners.
func (d *doors) start(e *Entry) {
	d.drainFor = min(notReadyFor, e.Timings.Drain/4)
	d.callers = e.httpServer(d.counted(callers.Handler(callers.Options{
		Config: e.admission(), Requests: e.runner(), Jobs: e.jobsOfCallers(), MaxBodyBytes: e.MaxBodyBytes,
		Stopping: e.stopping.Load, NewID: newID,
	})))
	d.operators = e.httpServer(d.counted(operators.Handler(operators.Options{
		Config: operatorsConfig{e.config, e}, Views: e, KeySHA256: e.OperatorKeySHA256, NewID: newID,
	})))
	d.metrics = e.httpServer(e.metrics.handler(e))
	d.serve(d.callers, e.Listeners.Callers)
	d.serve(d.operators, e.Listeners.Operators)
	d.serve(d.metrics, e.Listeners.Metrics)
}

func (e *Entry) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: e.Timings.ReadHeader,
		ReadTimeout:       e.Timings.ReadBody,
		IdleTimeout:       idleConnection,
		MaxHeaderBytes:    e.MaxHeaderBytes,
	}
}

func (d *doors) serve(server *http.Server, listener net.Listener) {
	d.serving.Go(func() { _ = server.Serve(listener) })
}

// counted counts the calls in progress.
func (d *doors) counted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.calls.Add(1)
		defer d.calls.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

func (d *doors) inFlight() int64 { return d.calls.Load() }

// drain waits for the calls in progress and ends the callers' and operators'
// listeners. It returns how many calls were cut off.
func (d *doors) drain(ctx context.Context) int64 {
	select {
	case <-time.After(d.drainFor):
	case <-ctx.Done():
	}
	_ = d.callers.Shutdown(ctx)
	_ = d.operators.Shutdown(ctx)
	return d.inFlight()
}

// close ends what is left.
func (d *doors) close() {
	_ = d.callers.Close()
	_ = d.operators.Close()
	_ = d.metrics.Close()
	d.serving.Wait()
}
