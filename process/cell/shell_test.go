package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// Timings by which the world plays the shell around a cell.
const (
	startReplyTimeout = 600 * time.Millisecond
	// leaseExpiry is how long after the last call that extended it a lease has surely run
	// out, worldPredecessors the same for those of earlier schedulers.
	leaseExpiry        = fakeLeaseDuration + 300*time.Millisecond
	predecessorLeaseExpiry = 8 * time.Second
	// maxWritesInFlight is how many writes may be under way.
	maxWritesInFlight = 2
)

// write sends what is to be recorded.
func (w *world) write() {
	for w.writesInFlight < maxWritesInFlight && (w.writesInFlight == 0 || w.slowTable > 0) {
		b := w.cell.TakeBatch(w.now)
		if b == nil {
			return
		}
		w.writesInFlight++
		w.commit(w.cell, b)
	}
}

// commit carries a batch out after a while, tells the cell later, and tries again
// while the table is down.
func (w *world) commit(c *Cell, b *Batch) {
	w.after(storeDelay/2+w.slowTable, func() {
		if w.cell != c {
			return
		}
		if w.tableDown {
			w.after(60*time.Millisecond, func() { w.commit(c, b) })
			return
		}
		w.version++
		version := w.version
		w.apply(b, version)
		if lost := w.replyDelay(); lost > 0 {
			// The answer is lost, and an earlier try of the same write is done late as well.
			w.after(time.Duration(1+w.rand.IntN(6))*time.Second, func() { w.applyLate(c, b) })
		}
		w.after(storeDelay/2+w.replyDelay(), func() {
			if w.cell != c {
				return
			}
			w.writesInFlight--
			c.SlowTable(w.slowTable > 0)
			c.BatchRecorded(w.now, b, version)
			w.act()
		})
	})
}

// replyDelay is how long it takes to find out that a write whose answer was lost was
// done.
func (w *world) replyDelay() time.Duration {
	if w.answersLost > 0 && w.rand.Float64() < w.answersLost {
		return time.Second
	}
	return 0
}

// applyLate does a write again, if all of its conditions still hold.
func (w *world) applyLate(c *Cell, b *Batch) {
	if w.cell != c {
		return
	}
	for _, cond := range b.Conditions {
		if w.table[cond.Key].Version != cond.Version {
			return
		}
	}
	w.version++
	w.apply(b, w.version)
}

func (w *world) apply(b *Batch, version uint64) {
	for _, cond := range b.Conditions {
		if have := w.table[cond.Key].Version; have != cond.Version {
			w.violate("TABLE %s has version %d, expected %d", cond.Key, have, cond.Version)
		}
	}
	for _, row := range b.Writes {
		if row.Delete {
			delete(w.table, row.Key)
			continue
		}
		w.table[row.Key] = platform.Row{Key: row.Key, Value: row.Value, Version: version}
	}
}

// sendStart plays an order to start; an order that is lost may be carried out later.
func (w *world) sendStart(o StartOrder) {
	c, fence := w.cell, w.fence
	lost := func() {
		w.after(startReplyTimeout, func() { w.answer(c, func() { c.StartAnswered(w.now, o.Worker, o.RunKey, StartLost) }) })
	}
	born := w.workers[o.Worker].incarnation
	reaches := func() bool {
		f := w.workers[o.Worker]
		return f.up && !f.silent && f.incarnation == born
	}
	if w.drop != nil {
		if isLost, after := w.drop(o); isLost {
			w.after(after, func() {
				if reaches() && after < startCommandExpiry {
					w.start(o, fence)
				}
			})
			lost()
			return
		}
	}
	w.after(networkDelay, func() {
		if !reaches() {
			lost()
			return
		}
		how := w.start(o, fence)
		w.after(networkDelay, func() { w.answer(c, func() { c.StartAnswered(w.now, o.Worker, o.RunKey, how) }) })
	})
}

// startCommandExpiry is how long an order to start may be under way.
const startCommandExpiry = 1500 * time.Millisecond

func (w *world) sendStop(o StopOrder) {
	c, fence := w.cell, w.fence
	f := w.workers[o.Worker]
	born := f.incarnation
	carryOut := func() bool {
		if !f.up || f.silent || f.incarnation != born || fence < f.fence {
			return false
		}
		f.fence = fence
		f.lastEnded[o.Task] = max(f.lastEnded[o.Task], o.Number)
		if r := f.running[o.RunKey]; r != nil {
			w.after(fakeStopTime, func() {
				if f.running[o.RunKey] == r {
					w.endRun(r, EndStopped)
				}
			})
		}
		return true
	}
	if w.stopsLost > 0 && w.rand.Float64() < w.stopsLost {
		w.after(time.Duration(2+w.rand.IntN(10))*time.Second, func() { carryOut() })
		return
	}
	w.after(networkDelay, func() {
		if carryOut() {
			w.after(networkDelay, func() { w.answer(c, func() { c.StopAnswered(w.now, o.Worker, o.RunKey) }) })
		}
	})
}

// startPolling begins to look at a worker, unless that is done already.
func (w *world) startPolling(id string) {
	if f := w.workers[id]; f.listed && !w.polled[id] {
		w.polled[id] = true
		w.poll(id, true)
	}
}

// poll begins a poll at a worker. A first one, or one after a poll without answer,
// doesn't wait; that after one without answer doesn't extend the lease either.
func (w *world) poll(id string, once bool) {
	f := w.workers[id]
	c, fence := w.cell, w.fence
	asked := w.now
	silent := w.unansweredPolls[id]
	if !silent && w.leaseExtendedAt[id] != (time.Time{}) {
		w.leaseExtendedAt[id] = w.now
	}
	w.after(networkDelay, func() {
		if w.cell != c {
			return
		}
		if !f.up || f.silent {
			w.pollFailed(f)
			return
		}
		if fence < f.fence {
			return
		}
		f.fence = fence
		if !silent {
			f.extendLease(asked.Add(fakeLeaseDuration))
		}
		acked, _ := c.Acked(id)
		w.acknowledge(f, acked)
		f.polling, f.polledAt = true, asked
		if once || len(f.ends) > 0 {
			w.replyToPoll(f)
			return
		}
		token := f.polledAt
		w.after(pollTimeout, func() {
			if f.polling && f.polledAt.Equal(token) && w.cell == c {
				w.replyToPoll(f)
			}
		})
	})
}

// pollFailed lets a look go unanswered: the cell hears it, and that the lease has run
// out once it surely has.
func (w *world) pollFailed(f *fakeWorker) {
	c := w.cell
	w.after(300*time.Millisecond, func() {
		if w.cell != c {
			return
		}
		w.unansweredPolls[f.id] = true
		c.WorkerSilent(w.now, f.id)
		if w.now.Sub(w.leaseExtendedAt[f.id]) > leaseExpiry && w.now.Sub(w.tookOver) > predecessorLeaseExpiry {
			c.WorkerLapsed(w.now, f.id)
		}
		w.act()
		w.poll(f.id, true)
	})
}

// expireUnlisted gives up runs on workers that the directory never listed.
func (w *world) expireUnlisted() {
	if w.now.Sub(w.tookOver) <= predecessorLeaseExpiry {
		return
	}
	for _, id := range w.cell.Unlisted() {
		if !w.polled[id] {
			w.cell.WorkerLapsed(w.now, id)
		}
	}
}

func (w *world) replyToPoll(f *fakeWorker) {
	f.polling = false
	c := w.cell
	l := Listing{AskedAt: f.polledAt, Born: f.incarnation}
	l.Ends = append(l.Ends, f.ends...)
	for _, r := range f.sortedRuns() {
		percent := int(100 * r.progress(w.now) / max(r.length, 1))
		l.Running = append(l.Running, ListedRun{RunKey: r.RunKey, Percent: min(percent, 99), Saved: r.checkpoint(w.now)})
	}
	w.after(networkDelay, func() {
		if w.cell != c {
			return
		}
		w.unansweredPolls[f.id] = false
		w.leaseExtendedAt[f.id] = w.now
		c.Listed(w.now, f.id, l)
		w.act()
		w.after(15*time.Millisecond, func() {
			if w.cell == c {
				w.poll(f.id, false)
			}
		})
	})
}

// requestAdvice plays the advisory service, which answers an entry's calls in turn.
func (w *world) requestAdvice(a Ask) {
	w.asks++
	slow := max(1, len(w.advisers)*6/9)
	group := w.advisers[:slow]
	if a.Decide < SlowAdvice && slow < len(w.advisers) {
		group = w.advisers[slow:]
	}
	first := 0
	for i := range group {
		if group[i].Before(group[first]) {
			first = i
		}
	}
	ready := group[first]
	if ready.Before(w.now) {
		ready = w.now
	}
	group[first] = ready.Add(a.Takes)
	c := w.cell
	w.after(group[first].Sub(w.now), func() {
		if w.adviceLost > 0 && w.rand.Float64() < w.adviceLost {
			w.answer(c, func() { c.Advised(w.now, w.now, a, nil, true) })
			return
		}
		var good []Ticket
		for _, id := range a.Workers {
			if w.allowed(a.Step, a.Queue, id) {
				good = append(good, Ticket{Worker: id, Text: w.ticket(a.Step, w.workers[id])})
			}
		}
		w.answer(c, func() { c.Advised(w.now, w.now, a, good, false) })
	})
}

// ticket is the permission to run a step during this life of a worker.
func (w *world) ticket(step string, f *fakeWorker) string {
	return fmt.Sprintf("%s|%s|%d|%d", step, f.id, f.incarnation, w.now.UnixMilli())
}

// ticketValid reports whether the order's ticket is valid.
func (w *world) ticketValid(o StartOrder, f *fakeWorker, job *fakeJob) bool {
	advice := job.spec.Policy.Advice
	if advice == nil {
		return true
	}
	parts := strings.Split(o.Ticket, "|")
	if len(parts) != 4 || parts[0] != o.Task[:strings.LastIndex(o.Task, ".")] || parts[1] != f.id || parts[2] != fmt.Sprint(f.incarnation) {
		return false
	}
	var at int64
	if _, err := fmt.Sscan(parts[3], &at); err != nil {
		return false
	}
	return w.now.Sub(time.UnixMilli(at)) <= advice.Valid
}

func (w *world) allowed(step, queue, id string) bool {
	key := step + "/" + id
	good, ok := w.allowedOn[key]
	if !ok {
		good = w.rand.Float64() < goodShares[queue] || (w.anyOfHalf && (len(step)+int(step[len(step)-5])+w.indexOf(id))%2 == 0)
		w.allowedOn[key] = good
	}
	return good
}

func (w *world) indexOf(id string) int { return slices.Index(w.order, id) }
