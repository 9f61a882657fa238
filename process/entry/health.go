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

// healthWatch sets workers aside that fail far more than their peers. A worker
// that is due for a probe is opened again; how the next piece of work ends there
// decides whether it stays open.
type healthWatch struct {
	book *capacity.Book
	log  *events.Logger

	mu      sync.Mutex
	monitor *health.Monitor
	probing map[string]bool
}

func newHealthWatch(book *capacity.Book, log *events.Logger) *healthWatch {
	return &healthWatch{book: book, log: log, monitor: health.New(), probing: make(map[string]bool)}
}

// observe takes in how a piece of work ended on a worker.
func (h *healthWatch) observe(name, kind string, failed bool) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.probing[name] {
		delete(h.probing, name)
		if h.monitor.RecordProbe(now, name, failed) {
			h.log.Log(events.WorkerReturned, name)
			return
		}
		h.book.SetAside(name, true)
		return
	}
	if h.monitor.Quarantined(name) {
		return
	}
	if h.monitor.Record(now, health.Outcome{Worker: name, Kind: kind, Failed: failed}) {
		h.book.SetAside(name, true)
		h.log.Log(events.WorkerAside, name)
	}
}

// step opens the workers that are due for a probe. The workers are those of the
// book.
func (h *healthWatch) step(now time.Time) {
	names := make([]string, 0, h.book.Len())
	for i := range h.book.Len() {
		names = append(names, h.book.At(i).Worker)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.monitor.SetWorkers(now, names)
	for _, name := range h.monitor.DueProbes(now) {
		h.probing[name] = true
		h.book.SetAside(name, false)
	}
}

// requestEnded takes in how a request ended at a worker.
func (h *healthWatch) requestEnded(name, kind string, response worker.Response, err error) {
	var refused *worker.RefusedError
	if errors.As(err, &refused) && refused.Code == worker.RefusedEpoch {
		return
	}
	h.observe(name, kind, err != nil || response.Status >= http.StatusInternalServerError)
}
