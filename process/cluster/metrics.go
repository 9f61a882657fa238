package cluster

import (
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcuplatch/kingcuplatch/conn/traffic"
	"github.com/kingcuplatch/kingcuplatch/process/cell"
)

// nodeMetrics are the counters and histograms of a node.
type nodeMetrics struct {
	set             *metrics.Set
	accepted        *metrics.Counter
	refused         *metrics.Counter
	ended           *metrics.Counter
	placed          *metrics.Counter
	withdrawn       *metrics.Counter
	startFailures   *metrics.Counter
	commandFailures *metrics.Counter
	stalled         *metrics.Counter
	unreachable     *metrics.Counter
	crashed         *metrics.Counter
	setAside        *metrics.Counter

	tableFailures     *metrics.Counter
	refusedWrites     *metrics.Counter
	heartbeatFailures *metrics.Counter
	adviceFailures    *metrics.Counter

	acceptTime *metrics.Histogram
	placeTime  *metrics.Histogram
	recordTime *metrics.Histogram
	startTime  *metrics.Histogram
	adviceTime *metrics.Histogram
	planTime   *metrics.Histogram

	heldBytes, heldLimit, heldBack *metrics.Gauge

	teamUsed      labelledGauges
	teamEntitled  labelledGauges
	evacuatedRuns labelledGauges
	waitingJobs   labelledGauges
	longestWait   labelledGauges
}

func newNodeMetrics(lag *lagTracker, meter *traffic.Meter) *nodeMetrics {
	set := metrics.NewSet()
	set.NewGauge("kingcuplatch_cell_lag_seconds", func() float64 { return lag.average().Seconds() })
	for _, kind := range meter.Kinds() {
		kind.Bytes.Register(set, "kingcuplatch_bytes_total", kind.Name)
	}
	return &nodeMetrics{
		set:               set,
		accepted:          set.NewCounter("kingcuplatch_cell_jobs_accepted_total"),
		refused:           set.NewCounter("kingcuplatch_cell_jobs_refused_total"),
		ended:             set.NewCounter("kingcuplatch_cell_jobs_ended_total"),
		placed:            set.NewCounter("kingcuplatch_cell_runs_placed_total"),
		withdrawn:         set.NewCounter("kingcuplatch_cell_runs_withdrawn_total"),
		startFailures:     set.NewCounter("kingcuplatch_cell_start_failures_total"),
		commandFailures:   set.NewCounter("kingcuplatch_cell_order_failures_total"),
		stalled:           set.NewCounter("kingcuplatch_cell_runs_stuck_total"),
		unreachable:       set.NewCounter("kingcuplatch_cell_workers_silent_total"),
		crashed:           set.NewCounter("kingcuplatch_cell_worker_crashes_total"),
		setAside:          set.NewCounter("kingcuplatch_cell_set_aside_total"),
		tableFailures:     set.NewCounter("kingcuplatch_cell_table_failures_total"),
		refusedWrites:     set.NewCounter("kingcuplatch_cell_refused_writes_total"),
		heartbeatFailures: set.NewCounter("kingcuplatch_cell_heartbeat_failures_total"),
		adviceFailures:    set.NewCounter("kingcuplatch_cell_advice_failures_total"),
		acceptTime:        set.NewHistogram("kingcuplatch_cell_accept_seconds"),
		placeTime:         set.NewHistogram("kingcuplatch_cell_first_place_seconds"),
		recordTime:        set.NewHistogram("kingcuplatch_cell_record_seconds"),
		startTime:         set.NewHistogram("kingcuplatch_cell_start_seconds"),
		adviceTime:        set.NewHistogram("kingcuplatch_cell_advice_seconds"),
		planTime:          set.NewHistogram("kingcuplatch_cell_plan_seconds"),
		heldBytes:         set.NewGauge("kingcuplatch_cell_held_bytes", nil),
		heldLimit:         set.NewGauge("kingcuplatch_cell_held_limit_bytes", nil),
		heldBack:          set.NewGauge("kingcuplatch_cell_held_back_jobs", nil),
		teamUsed:          labelledGauges{set: set, name: "kingcuplatch_cell_team_used", label: "team"},
		teamEntitled:      labelledGauges{set: set, name: "kingcuplatch_cell_team_entitled", label: "team"},
		evacuatedRuns:     labelledGauges{set: set, name: "kingcuplatch_cell_evacuated_runs", label: "failure_domain"},
		waitingJobs:       labelledGauges{set: set, name: "kingcuplatch_cell_waiting_jobs", label: "waits_for"},
		longestWait:       labelledGauges{set: set, name: "kingcuplatch_cell_longest_wait_seconds", label: "waits_for"},
	}
}

// count counts a decision of the cell.
func (m *nodeMetrics) count(n cell.Note) {
	switch n.Kind {
	case cell.NoteJobAccepted:
		m.accepted.Inc()
		m.acceptTime.Update(n.Age.Seconds())
	case cell.NoteJobRefused:
		m.refused.Inc()
		m.set.GetOrCreateCounter(fmt.Sprintf("kingcuplatch_cell_refusals_total{team=%q,queue=%q,cause=%q}", n.Team, n.Queue, n.Cause)).Inc()
	case cell.NoteJobEnded:
		m.ended.Inc()
	case cell.NotePlaced:
		m.placed.Add(n.Runs)
		if n.Run == 1 {
			m.placeTime.Update(n.Age.Seconds())
			labels := fmt.Sprintf("{team=%q,queue=%q}", n.Team, n.Queue)
			m.set.GetOrCreateCounter("kingcuplatch_cell_first_placements_total" + labels).Inc()
			m.set.GetOrCreateFloatCounter("kingcuplatch_cell_first_placement_wait_seconds_total" + labels).Add(n.Wait.Seconds())
		}
	case cell.NoteRunWithdrawn:
		m.withdrawn.Inc()
	case cell.NoteStartFailed:
		m.startFailures.Inc()
	case cell.NoteRunStalled:
		m.stalled.Inc()
	case cell.NoteWorkerUnreachable:
		m.unreachable.Inc()
	case cell.NoteTaskGivenUp:
		m.set.GetOrCreateCounter(fmt.Sprintf("kingcuplatch_cell_tasks_given_up_total{queue=%q}", n.Queue)).Inc()
	case cell.NoteWorkerCrashed:
		m.crashed.Inc()
	case cell.NoteJobSetAside, cell.NoteWorkerSetAside:
		m.setAside.Inc()
	}
}

// catalogFetched counts a configuration that was fetched from another entry, or not because of err.
func (m *nodeMetrics) catalogFetched(err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("kingcuplatch_cell_config_fetches_total{outcome=%q}", outcome)).Inc()
}

// labelledGauges are gauges of one name that differ in one label. Only the values that were set last
// are shown.
type labelledGauges struct {
	set         *metrics.Set
	name, label string

	// mu guards shown: the loops of a leadership that has ended may still run when the next begins.
	mu    sync.Mutex
	shown map[string]bool
}

// replace shows the given values, by the value of the label, in place of those shown before.
func (g *labelledGauges) replace(values map[string]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for value := range g.shown {
		if _, ok := values[value]; !ok {
			g.set.UnregisterMetric(g.full(value))
		}
	}
	g.shown = make(map[string]bool, len(values))
	for value, v := range values {
		g.set.GetOrCreateGauge(g.full(value), nil).Set(v)
		g.shown[value] = true
	}
}

func (g *labelledGauges) full(value string) string {
	return fmt.Sprintf("%s{%s=%q}", g.name, g.label, value)
}

// WriteMetrics writes the node's metrics in the Prometheus text format.
func (n *Node) WriteMetrics(w io.Writer) { n.metrics.set.WritePrometheus(w) }
