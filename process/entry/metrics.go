package entry

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcuplatch/kingcuplatch/process/dispatch"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// instruments holds the metrics of an entry. Each entry has its own set, so that several
// entries can run in one process.
type instruments struct {
	set *metrics.Set
}

func newInstruments(e *Entry) *instruments {
	m := &instruments{set: metrics.NewSet()}
	m.set.NewGauge("kingcuplatch_config_version", func() float64 { return float64(e.config.Current().Number) })
	m.set.NewGauge("kingcuplatch_config_store_age_seconds", func() float64 { return e.status().TableReadAge.Seconds() })
	m.set.NewGauge("kingcuplatch_config_admitting", func() float64 { return boolToFloat(e.config.Admitting(time.Now())) })
	m.set.NewGauge("kingcuplatch_blocks_owned", func() float64 { return float64(e.BlocksOwned()) })
	m.set.NewGauge("kingcuplatch_workers_open", func() float64 { return float64(e.OpenWorkers()) })
	m.set.NewGauge("kingcuplatch_peers_heard", func() float64 { return float64(e.ReachablePeers()) })
	m.set.NewGauge("kingcuplatch_calls_in_progress", func() float64 { return float64(e.servers.inFlight()) })
	m.set.NewGauge("kingcuplatch_requests_waiting", e.waitingRequests)
	m.set.NewGauge("kingcuplatch_goroutines", func() float64 { return float64(runtime.NumGoroutine()) })
	e.Traffic.Peers.Register(m.set, "kingcuplatch_bytes_total", "peers")
	e.Traffic.Platform.Register(m.set, "kingcuplatch_bytes_total", "platform")
	e.Traffic.Workers.Register(m.set, "kingcuplatch_bytes_total", "workers")
	return m
}

// countBlockChange counts a gained or lost block.
func (m *instruments) countBlockChange(change string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`kingcuplatch_block_changes_total{change=%q}`, change)).Inc()
}

// countTakeover counts the takeover of a dead entry.
func (m *instruments) countTakeover() {
	m.set.GetOrCreateCounter("kingcuplatch_takeovers_total").Inc()
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// waitingRequests returns the number of requests in the queues.
func (e *Entry) waitingRequests() float64 {
	total := 0
	e.requests.Each(func(_ string, d *dispatch.Dispatcher) {
		for _, depth := range d.Depths() {
			total += depth.Waiting
		}
	})
	return float64(total)
}

// countRequest counts one finished request.
func (m *instruments) countRequest(o dispatch.Observation) {
	outcome := "answered"
	if o.Outcome.Err != nil {
		outcome = o.Outcome.Err.Code
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`kingcuplatch_requests_total{team=%q,kind=%q,outcome=%q}`, o.Team, o.Kind, outcome)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`kingcuplatch_request_retries_total{team=%q}`, o.Team)).Add(o.Retries)
	m.set.GetOrCreateHistogram(fmt.Sprintf(`kingcuplatch_request_waiting_seconds{team=%q,kind=%q}`, o.Team, o.Kind)).Update(o.Waited.Seconds())
}

// writeAmounts writes the current amounts of the workers and of the teams' allotments,
// one line per dimension. Dimensions without a limit are omitted.
func (e *Entry) writeAmounts(w io.Writer) {
	free := e.capacity.Free()
	writeAmount(w, "kingcuplatch_workers_free", "", free.Total)
	writeAmount(w, "kingcuplatch_workers_capacity", "", free.TotalCapacity)
	for name := range e.config.Current().Teams {
		label := fmt.Sprintf("team=%q,", name)
		writeAmount(w, "kingcuplatch_team_allotment", label, e.allotments.Allotted(name))
		writeAmount(w, "kingcuplatch_team_used", label, e.allotments.Used(name))
	}
}

func writeAmount(w io.Writer, name, label string, amount resource.Amount) {
	for d, value := range amount.Vector() {
		if value < version.NoLimit {
			fmt.Fprintf(w, "%s{%sdimension=%q} %d\n", name, label, resource.Dimension(d), value)
		}
	}
}

func (m *instruments) handler(e *Entry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		m.set.WritePrometheus(w)
		e.writeAmounts(w)
		metrics.WriteProcessMetrics(w)
	})
	return mux
}
