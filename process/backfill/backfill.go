// Package backfill joins the queue and the placement of one owner into one
// decision: which item starts now, and on which worker.
//
// # Holds
//
// Most often the item whose turn it is fits somewhere. When it doesn't, others that
// do fit go first, or capacity would lie idle. A large item could then wait for ever,
// and its team, with nothing else to run, would fall behind its share. So an item
// that was passed over for a while gets a hold: one worker is kept from all other
// work until enough of it is free. That is backfilling with a reservation for the
// first in line (Mu'alem and Feitelson, "Utilization, Predictability, Workloads, and
// User Runtime Estimates in Scheduling the IBM SP2 with Backfilling", IEEE TPDS 2001),
// with the worker in place of a time. The number of holds is bounded by a small part
// of the workers.
//
// Decisions are functions of the calls made so far, the time passed in and the random
// source. A Dispatcher is not safe for concurrent use; callers keep one in a shard
// under its lock.
package backfill

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
)

const (
	// holdAfter is how long an item waits before it may get a hold, urgentHoldAfter
	// how long an urgent one does, and behindHoldAfter one whose team is behind its
	// share by minBehind.
	holdAfter       = 10 * time.Second
	behindHoldAfter = time.Second
	urgentHoldAfter = 100 * time.Millisecond
	minBehind       = time.Second
	// workersPerHold is how many workers there are for each hold allowed, beyond
	// the first.
	workersPerHold = 50
)

// Policy is what the caller decides about items.
type Policy struct {
	// Ask returns what the item needs of a worker. Items of one kind and amount
	// need the same, but for the workers to avoid.
	Ask func(*queue.Item) placement.Ask
	// Allowed reports whether the item may run at all now: its team is below its
	// limit and its kind is not stopped. Nil allows everything.
	Allowed func(*queue.Item) bool
}

// Start is an item and the index of the worker that takes it.
type Start struct {
	Item   *queue.Item
	Worker int
}

// hold keeps a worker for an item.
type hold struct {
	item   *queue.Item
	worker string
}

// Dispatcher decides for one owner. Callers use its queue and index directly for all
// but Pop and SetHeld, which are the dispatcher's.
type Dispatcher struct {
	Queue  *queue.Queue
	Index  *placement.Index
	policy Policy
	rand   *rand.Rand
	holds  []hold
	// maxHolds bounds holds; negative for the bound by the number of workers.
	maxHolds int
	// passedOver were asked about by the latest turn and did not fit.
	passedOver []*queue.Item
	// spare is the fewest accelerators that passed over work needs, 0 if none.
	spare int64
}

// New returns a dispatcher over the queue and the index.
func New(q *queue.Queue, ix *placement.Index, policy Policy, rng *rand.Rand) *Dispatcher {
	if policy.Allowed == nil {
		policy.Allowed = func(*queue.Item) bool { return true }
	}
	return &Dispatcher{Queue: q, Index: ix, policy: policy, rand: rng, maxHolds: -1}
}

// Next takes out the item that starts now, and is false if there is none. The caller
// then takes the amount from the index and reports the start to the queue.
func (d *Dispatcher) Next(now time.Time) (Start, bool) {
	if start, ready := d.heldStart(now); ready {
		return start, true
	}
	worker := -1
	d.spare = d.wantedAccelerators()
	d.passedOver = d.passedOver[:0]
	it := d.Queue.PopWhere(now, func(it *queue.Item) queue.Answer {
		var answer queue.Answer
		worker, answer = d.place(it)
		return answer
	})
	if it != nil {
		d.release(it)
		return Start{Item: it, Worker: worker}, true
	}
	d.addHolds(now)
	return Start{}, false
}

// wantedAccelerators returns the fewest accelerators that work passed over in the turn
// before needs and still waits for.
func (d *Dispatcher) wantedAccelerators() int64 {
	var fewest int64
	for _, it := range d.passedOver {
		n := it.Amount.Accelerators
		if n > 0 && (fewest == 0 || n < fewest) {
			fewest = n
		}
	}
	return fewest
}

// place returns the worker for the item, or why there is none.
func (d *Dispatcher) place(it *queue.Item) (int, queue.Answer) {
	if !d.policy.Allowed(it) {
		return -1, queue.Refuse
	}
	ask := d.policy.Ask(it)
	if !it.Urgent {
		ask.SpareAccelerators = d.spare
	}
	worker, _ := placement.Choose(ask, d.Index, d.rand)
	if worker >= 0 {
		return worker, queue.Admit
	}
	d.passedOver = append(d.passedOver, it)
	if len(ask.Avoid) > 0 {
		return -1, queue.Refuse
	}
	return -1, queue.NoRoom
}

// heldStart returns an item whose held worker has room now, and drops holds that
// serve no purpose any more.
func (d *Dispatcher) heldStart(now time.Time) (Start, bool) {
	for i := 0; i < len(d.holds); i++ {
		h := d.holds[i]
		worker, known := d.Index.Position(h.worker)
		if !known || !d.Queue.Waits(now, h.item) || !d.policy.Allowed(h.item) {
			d.dropHold(i)
			i--
			continue
		}
		c := d.Index.At(worker)
		if c.Closed || !h.item.Amount.Fits(c.Free) {
			continue
		}
		d.dropHold(i)
		d.Queue.Take(now, h.item)
		return Start{Item: h.item, Worker: worker}, true
	}
	return Start{}, false
}

// release drops the hold of an item that started elsewhere.
func (d *Dispatcher) release(it *queue.Item) {
	i := slices.IndexFunc(d.holds, func(h hold) bool { return h.item == it })
	if i >= 0 {
		d.dropHold(i)
	}
}

func (d *Dispatcher) dropHold(i int) {
	if worker, known := d.Index.Position(d.holds[i].worker); known {
		d.Index.SetHeld(worker, false)
	}
	d.holds = slices.Delete(d.holds, i, i+1)
}

// addHolds gives holds to items that were passed over for long enough.
func (d *Dispatcher) addHolds(now time.Time) {
	for _, it := range d.passedOver {
		if len(d.holds) >= d.holdLimit() {
			return
		}
		if now.Sub(it.Enqueued) < d.patience(now, it) || d.held(it) {
			continue
		}
		worker := d.Index.ChooseHold(d.policy.Ask(it), d.rand)
		if worker < 0 {
			continue
		}
		d.Index.SetHeld(worker, true)
		d.holds = append(d.holds, hold{item: it, worker: d.Index.At(worker).Worker})
	}
}

func (d *Dispatcher) held(it *queue.Item) bool {
	return slices.ContainsFunc(d.holds, func(h hold) bool { return h.item == it })
}

func (d *Dispatcher) holdLimit() int {
	if d.maxHolds >= 0 {
		return d.maxHolds
	}
	return 1 + d.Index.Len()/workersPerHold
}

// patience returns how long the item has to wait before it may get a hold.
func (d *Dispatcher) patience(now time.Time, it *queue.Item) time.Duration {
	switch {
	case it.Urgent:
		return urgentHoldAfter
	case d.Queue.Behind(now, it.Team) >= minBehind:
		return behindHoldAfter
	default:
		return holdAfter
	}
}
