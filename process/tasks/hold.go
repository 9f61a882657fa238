package tasks

import (
	"slices"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
)

// workerHold keeps a worker free for one job.
type workerHold struct {
	job     string
	created time.Time
	until   time.Time
}

// precedes reports whether h has priority over other on the same worker. All owners
// use the same order, so that one of two competing jobs gets all its workers.
func (h workerHold) precedes(other workerHold) bool {
	if !h.created.Equal(other.created) {
		return h.created.Before(other.created)
	}
	return h.job < other.job
}

// holdTable records the workers that are kept free for jobs whose placement has
// failed repeatedly.
type holdTable struct {
	mu      sync.Mutex
	workers map[string]workerHold
}

func (h *holdTable) expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, hold := range h.workers {
		if now.After(hold.until) {
			delete(h.workers, name)
		}
	}
}

func (h *holdTable) heldForOther(job, worker string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	hold, ok := h.workers[worker]
	return ok && hold.job != job && now.Before(hold.until)
}

// view returns the fleet as available to job: workers held for other jobs are
// closed.
func (h *holdTable) view(fleet placement.Fleet, job string, now time.Time) placement.Fleet {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.workers) == 0 {
		return fleet
	}
	return &heldView{Fleet: fleet, holds: h, job: job, now: now}
}

// heldView is a fleet in which workers held for other jobs are closed.
type heldView struct {
	placement.Fleet
	holds *holdTable
	job   string
	now   time.Time
}

// At implements placement.Fleet.
func (v *heldView) At(i int) placement.Candidate {
	c := v.Fleet.At(i)
	c.Closed = c.Closed || v.holds.heldForOther(v.job, c.Worker, v.now)
	return c
}

// holdWorkers holds up to count workers whose total capacity fits a task of the job,
// those with the largest free share first.
func (o *Owner) holdWorkers(r ReserveRequest, count int, now time.Time) {
	wanted := workerHold{job: r.Job, created: r.Hold.Created, until: now.Add(r.Hold.TTL)}
	var candidates []placement.Candidate
	for i := range o.Capacity.Len() {
		if c := o.Capacity.At(i); !c.Closed && r.Amount.Fits(c.Capacity) {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(x, y placement.Candidate) int {
		return -compareFreeShare(x, y)
	})
	o.holds.mu.Lock()
	defer o.holds.mu.Unlock()
	for _, c := range candidates {
		if count == 0 {
			return
		}
		current, held := o.holds.workers[c.Worker]
		if held && current.job != r.Job && current.precedes(wanted) && now.Before(current.until) {
			continue
		}
		o.holds.workers[c.Worker] = wanted
		count--
	}
}

func compareFreeShare(x, y placement.Candidate) int {
	switch a, b := x.Free.DominantShare(x.Capacity), y.Free.DominantShare(y.Capacity); {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
