package entry

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/capacity"
	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/health"
)

// healthWatch quarantines workers that fail far more often than their peers. A worker
// that is due for a probe is opened again; the outcome of its next request or task
// decides whether it stays open.
type healthWatch struct {
	tracker *capacity.Tracker
	log     *events.Logger

	mu      sync.Mutex
	monitor *health.Monitor
	probing map[string]bool
}

func newHealthWatch(tracker *capacity.Tracker, log *events.Logger) *healthWatch {
	return &healthWatch{tracker: tracker, log: log, monitor: health.New(), probing: make(map[string]bool)}
}

// record records the outcome of a request or task on a worker.
func (h *healthWatch) record(name, kind string, failed bool) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.probing[name] {
		delete(h.probing, name)
		if h.monitor.RecordProbe(now, name, failed) {
			h.log.Log(events.WorkerReleased, name)
			return
		}
		h.tracker.SetQuarantined(name, true)
		return
	}
	if h.monitor.Quarantined(name) {
		return
	}
	if h.monitor.Record(now, health.Outcome{Worker: name, Kind: kind, Failed: failed}) {
		h.tracker.SetQuarantined(name, true)
		h.log.Log(events.WorkerQuarantined, name)
	}
}

// probeDue opens the tracked workers that are due for a probe.
func (h *healthWatch) probeDue(now time.Time) {
	names := make([]string, 0, h.tracker.Len())
	for i := range h.tracker.Len() {
		names = append(names, h.tracker.At(i).Worker)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.monitor.SetWorkers(now, names)
	for _, name := range h.monitor.DueProbes(now) {
		h.probing[name] = true
		h.tracker.SetQuarantined(name, false)
	}
}

// recordRequest records the outcome of a request on a worker. A refusal because of the
// epoch says nothing about the worker's health and is ignored.
func (h *healthWatch) recordRequest(name, kind string, response worker.Response, err error) {
	var refused *worker.RefusedError
	if errors.As(err, &refused) && refused.Code == worker.RefusedEpoch {
		return
	}
	h.record(name, kind, err != nil || response.Status >= http.StatusInternalServerError)
}
