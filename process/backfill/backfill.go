// Package backfill combines the queue and the placement of one owner into one decision:
// which item starts now, and on which worker.
//
// # Reservations
//
// Usually the item that is next in the queue fits on some worker. If it does not, other
// items that fit start first, so that capacity does not stay idle. A large item could
// then wait indefinitely, and a team that has nothing else to run would fall behind its
// share. An item that has been skipped for some time therefore gets a reservation: one
// worker receives no other work until enough of its capacity is free. This is
// backfilling with a reservation for the first item in the queue (Mu'alem and Feitelson,
// "Utilization, Predictability, Workloads, and User Runtime Estimates in Scheduling the
// IBM SP2 with Backfilling", IEEE TPDS 2001), with a worker reserved instead of a point
// in time. The number of reservations is limited to a small fraction of the workers.
//
// Decisions are functions of the calls made so far, the time passed in and the random
// source. A Dispatcher is not safe for concurrent use: callers guard it with the lock
// of a shard.
package backfill

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
)

const (
	// reservationDelay is how long an item must wait before it can get a reservation.
	// For an urgent item it is urgentReservationDelay, and for one whose team lags
	// behind its share by at least minLag it is laggingReservationDelay.
	reservationDelay        = 10 * time.Second
	laggingReservationDelay = time.Second
	urgentReservationDelay  = 100 * time.Millisecond
	minLag                  = time.Second
	// workersPerReservation is the number of workers per reservation allowed beyond the
	// first.
	workersPerReservation = 50
)

// Policy holds the caller's rules for items.
type Policy struct {
	// Ask returns what the item requires of a worker. Items of the same kind and amount
	// must have the same requirements, except for the workers to avoid.
	Ask func(*queue.Item) placement.Ask
	// Allowed reports whether the item may run now: its team is below its limit and its
	// kind is not stopped. Nil allows every item.
	Allowed func(*queue.Item) bool
}

// Start is an item to start and the index of the worker on which it starts.
type Start struct {
	Item   *queue.Item
	Worker int
}

// reservation reserves a worker for an item.
type reservation struct {
	item   *queue.Item
	worker string
}

// Dispatcher decides for one owner. Callers use Queue and Index directly, except for
// Pop and SetReserved, which only the Dispatcher may call.
type Dispatcher struct {
	Queue        *queue.Queue
	Index        *placement.Index
	policy       Policy
	rand         *rand.Rand
	reservations []reservation
	// maxReservations limits reservations; if negative, the limit follows from the
	// number of workers.
	maxReservations int
	// skipped holds the items that were offered in the latest round and did not fit.
	skipped []*queue.Item
	// spareAccelerators is the smallest number of accelerators that a skipped item
	// needs, 0 if none does. See placement.Ask.SpareAccelerators.
	spareAccelerators int64
}

// New returns a Dispatcher for the queue and the index.
func New(q *queue.Queue, ix *placement.Index, policy Policy, rng *rand.Rand) *Dispatcher {
	if policy.Allowed == nil {
		policy.Allowed = func(*queue.Item) bool { return true }
	}
	return &Dispatcher{Queue: q, Index: ix, policy: policy, rand: rng, maxReservations: -1}
}

// Next removes and returns the item that starts now, or returns false if there is none.
// The caller must then allocate the amount in the Index and call Started of the Queue.
func (d *Dispatcher) Next(now time.Time) (Start, bool) {
	if start, found := d.startReserved(now); found {
		return start, true
	}
	worker := -1
	d.spareAccelerators = d.skippedAccelerators()
	d.skipped = d.skipped[:0]
	it := d.Queue.PopWhere(now, func(it *queue.Item) queue.Decision {
		var decision queue.Decision
		worker, decision = d.place(it)
		return decision
	})
	if it != nil {
		d.releaseReservation(it)
		return Start{Item: it, Worker: worker}, true
	}
	d.addReservations(now)
	return Start{}, false
}

// skippedAccelerators returns the smallest number of accelerators, other than 0, that
// an item skipped in the previous round needs. It returns 0 if no skipped item needs
// any.
func (d *Dispatcher) skippedAccelerators() int64 {
	var fewest int64
	for _, it := range d.skipped {
		n := it.Amount.Accelerators
		if n > 0 && (fewest == 0 || n < fewest) {
			fewest = n
		}
	}
	return fewest
}

// place returns the worker for the item, or -1 and the decision to return to the queue.
func (d *Dispatcher) place(it *queue.Item) (int, queue.Decision) {
	if !d.policy.Allowed(it) {
		return -1, queue.Skip
	}
	ask := d.policy.Ask(it)
	if !it.Urgent {
		ask.SpareAccelerators = d.spareAccelerators
	}
	worker, _ := placement.Choose(ask, d.Index, d.rand)
	if worker >= 0 {
		return worker, queue.Admit
	}
	d.skipped = append(d.skipped, it)
	if len(ask.Avoid) > 0 {
		return -1, queue.Skip
	}
	return -1, queue.NoCapacity
}

// startReserved returns an item whose reserved worker has enough free capacity now. It
// removes reservations that are no longer needed.
func (d *Dispatcher) startReserved(now time.Time) (Start, bool) {
	for i := 0; i < len(d.reservations); i++ {
		r := d.reservations[i]
		worker, known := d.Index.Position(r.worker)
		if !known || !d.Queue.CanStart(now, r.item) || !d.policy.Allowed(r.item) {
			d.removeReservation(i)
			i--
			continue
		}
		c := d.Index.At(worker)
		if c.Closed || !r.item.Amount.Fits(c.Free) {
			continue
		}
		d.removeReservation(i)
		d.Queue.PopItem(now, r.item)
		return Start{Item: r.item, Worker: worker}, true
	}
	return Start{}, false
}

// releaseReservation removes the reservation of an item that started on another worker.
func (d *Dispatcher) releaseReservation(it *queue.Item) {
	i := slices.IndexFunc(d.reservations, func(r reservation) bool { return r.item == it })
	if i >= 0 {
		d.removeReservation(i)
	}
}

func (d *Dispatcher) removeReservation(i int) {
	if worker, known := d.Index.Position(d.reservations[i].worker); known {
		d.Index.SetReserved(worker, false)
	}
	d.reservations = slices.Delete(d.reservations, i, i+1)
}

// addReservations reserves workers for skipped items that have waited long enough.
func (d *Dispatcher) addReservations(now time.Time) {
	for _, it := range d.skipped {
		if len(d.reservations) >= d.reservationLimit() {
			return
		}
		if now.Sub(it.Enqueued) < d.delay(now, it) || d.hasReservation(it) {
			continue
		}
		worker := d.Index.ChooseReservation(d.policy.Ask(it), d.rand)
		if worker < 0 {
			continue
		}
		d.Index.SetReserved(worker, true)
		d.reservations = append(d.reservations, reservation{item: it, worker: d.Index.At(worker).Worker})
	}
}

func (d *Dispatcher) hasReservation(it *queue.Item) bool {
	return slices.ContainsFunc(d.reservations, func(r reservation) bool { return r.item == it })
}

func (d *Dispatcher) reservationLimit() int {
	if d.maxReservations >= 0 {
		return d.maxReservations
	}
	return 1 + d.Index.Len()/workersPerReservation
}

// delay returns how long the item must wait before it can get a reservation.
func (d *Dispatcher) delay(now time.Time, it *queue.Item) time.Duration {
	switch {
	case it.Urgent:
		return urgentReservationDelay
	case d.Queue.Lag(now, it.Team) >= minLag:
		return laggingReservationDelay
	default:
		return reservationDelay
	}
}
