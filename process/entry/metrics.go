package entry

import (
	"fmt"
	"net/http"
	"runtime"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcuplatch/kingcuplatch/process/dispatch"
)

// instruments are the metrics of an entry, in a set of their own so that several
// entries can live in one process.
type instruments struct {
	set *metrics.Set
}

func newInstruments(e *Entry) *instruments {
	m := &instruments{set: metrics.NewSet()}
	m.set.NewGauge("kingcuplatch_config_version", func() float64 { return float64(e.config.Current().Number) })
	m.set.NewGauge("kingcuplatch_config_store_age_seconds", func() float64 { return e.status().StoreAge.Seconds() })
	m.set.NewGauge("kingcuplatch_config_admitting", func() float64 { return oneIf(e.config.Admitting(time.Now())) })
	m.set.NewGauge("kingcuplatch_blocks_owned", func() float64 { return float64(e.BlocksOwned()) })
	m.set.NewGauge("kingcuplatch_workers_open", func() float64 { return float64(e.OpenWorkers()) })
	m.set.NewGauge("kingcuplatch_peers_heard", func() float64 { return float64(e.PeersHeard()) })
	m.set.NewGauge("kingcuplatch_calls_in_progress", func() float64 { return float64(e.doors.inFlight()) })
	m.set.NewGauge("kingcuplatch_requests_waiting", e.waiting)
	return m
}

func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// waiting counts the requests that wait in the queues.
func (e *Entry) waiting() float64 {
	total := 0
	e.requests.Each(func(_ string, d *dispatch.Dispatcher) {
		for _, depth := range d.Depths() {
			total += depth.Waiting
		}
	})
	return float64(total)
}

// request counts one request.
func (m *instruments) request(o dispatch.Observation) {
	outcome := "answered"
	if o.Outcome.Err != nil {
		outcome = o.Outcome.Err.Code
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`kingcuplatch_requests_total{team=%q,kind=%q,outcome=%q}`, o.Team, o.Kind, outcome)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`kingcuplatch_request_retries_total{team=%q}`, o.Team)).Add(o.Retries)
	m.set.GetOrCreateHistogram(fmt.Sprintf(`kingcuplatch_request_waiting_seconds{team=%q,kind=%q}`, o.Team, o.Kind)).Update(o.Waited.Seconds())
}

func (m *instruments) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		m.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
		fmt.Fprintf(w, "kingcuplatch_goroutines %d\n", runtime.NumGoroutine())
	})
	return mux
}
