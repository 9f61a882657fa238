package tasks

import (
	"slices"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
)

// workerHold keeps a worker for a job.
type workerHold struct {
	job     string
	created time.Time
	until   time.Time
}

// before reports whether h goes before other when both want a worker. The order
// is the same at all owners, so that of two jobs one gets all it asks for.
func (h workerHold) before(other workerHold) bool {
	if !h.created.Equal(other.created) {
		return h.created.Before(other.created)
	}
	return h.job < other.job
}

// holds are the workers that are kept for jobs that have waited for long.
type holds struct {
	mu      sync.Mutex
	workers map[string]workerHold
}

func (h *holds) expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, kept := range h.workers {
		if now.After(kept.until) {
			delete(h.workers, name)
		}
	}
}

func (h *holds) keptFrom(job, worker string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept, ok := h.workers[worker]
	return ok && kept.job != job && now.Before(kept.until)
}

// view is the fleet as job may use it.
func (h *holds) view(fleet placement.Fleet, job string, now time.Time) placement.Fleet {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.workers) == 0 {
		return fleet
	}
	return &heldView{Fleet: fleet, holds: h, job: job, now: now}
}

// heldView shows workers that are kept for other jobs as closed.
type heldView struct {
	placement.Fleet
	holds *holds
	job   string
	now   time.Time
}

// At implements placement.Fleet.
func (v *heldView) At(i int) placement.Candidate {
	c := v.Fleet.At(i)
	c.Closed = c.Closed || v.holds.keptFrom(v.job, c.Worker, v.now)
	return c
}

// hold keeps up to count workers that could carry a task of the job, those with
// most free first.
func (o *Owner) hold(r ReserveRequest, count int, now time.Time) {
	wanted := workerHold{job: r.Job, created: r.Hold.Created, until: now.Add(r.Hold.For)}
	var able []placement.Candidate
	for i := range o.Book.Len() {
		if c := o.Book.At(i); !c.Closed && r.Amount.Fits(c.Capacity) {
			able = append(able, c)
		}
	}
	slices.SortFunc(able, func(x, y placement.Candidate) int {
		return -compareShare(x, y)
	})
	o.holds.mu.Lock()
	defer o.holds.mu.Unlock()
	for _, c := range able {
		if count == 0 {
			return
		}
		kept, taken := o.holds.workers[c.Worker]
		if taken && kept.job != r.Job && kept.before(wanted) && now.Before(kept.until) {
			continue
		}
		o.holds.workers[c.Worker] = wanted
		count--
	}
}

func compareShare(x, y placement.Candidate) int {
	switch a, b := x.Free.DominantShare(x.Capacity), y.Free.DominantShare(y.Capacity); {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
