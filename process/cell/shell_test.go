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
	worldLost = 600 * time.Millisecond
	// worldLapse is how long after the last call that extended it a lease has surely run
	// out, worldPredecessors the same for those of earlier schedulers.
	worldLapse        = fakeLeaseLength + 300*time.Millisecond
	worldPredecessors = 8 * time.Second
	// worldWrites is how many writes may be under way.
	worldWrites = 2
)

// write sends what is to be recorded.
func (w *world) write() {
	for w.writing < worldWrites && (w.writing == 0 || w.slowTable > 0) {
		b := w.cell.TakeBatch(w.now)
		if b == nil {
			return
		}
		w.writing++
		w.commit(w.cell, b)
	}
}

// commit carries a batch out after a while, tells the cell later, and tries again
// while the table is down.
func (w *world) commit(c *Cell, b *Batch) {
	w.after(worldStore/2+w.slowTable, func() {
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
		if lost := w.lostAnswer(); lost > 0 {
			// The answer is lost, and an earlier try of the same write is done late as well.
			w.after(time.Duration(1+w.rand.IntN(6))*time.Second, func() { w.applyLate(c, b) })
		}
		w.after(worldStore/2+w.lostAnswer(), func() {
			if w.cell != c {
				return
			}
			w.writing--
			c.SlowTable(w.slowTable > 0)
			c.BatchRecorded(w.now, b, version)
			w.act()
		})
	})
}

// lostAnswer is how long it takes to find out that a write whose answer was lost was
// done.
func (w *world) lostAnswer() time.Duration {
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
		w.after(worldLost, func() { w.answer(c, func() { c.StartAnswered(w.now, o.Worker, o.RunKey, StartLost) }) })
	}
	born := w.workers[o.Worker].born
	reaches := func() bool {
		f := w.workers[o.Worker]
		return f.up && !f.silent && f.born == born
	}
	if w.drop != nil {
		if isLost, after := w.drop(o); isLost {
			w.after(after, func() {
				if reaches() && after < startExpires {
					w.start(o, fence)
				}
			})
			lost()
			return
		}
	}
	w.after(worldWire, func() {
		if !reaches() {
			lost()
			return
		}
		how := w.start(o, fence)
		w.after(worldWire, func() { w.answer(c, func() { c.StartAnswered(w.now, o.Worker, o.RunKey, how) }) })
	})
}

// startExpires is how long an order to start may be under way.
const startExpires = 1500 * time.Millisecond

func (w *world) sendStop(o StopOrder) {
	c, fence := w.cell, w.fence
	f := w.workers[o.Worker]
	born := f.born
	carryOut := func() bool {
		if !f.up || f.silent || f.born != born || fence < f.fence {
			return false
		}
		f.fence = fence
		f.ended[o.Task] = max(f.ended[o.Task], o.Number)
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
	w.after(worldWire, func() {
		if carryOut() {
			w.after(worldWire, func() { w.answer(c, func() { c.StopAnswered(w.now, o.Worker, o.RunKey) }) })
		}
	})
}

// watch begins to look at a worker, unless that is done already.
func (w *world) watch(id string) {
	if f := w.workers[id]; f.listed && !w.watched[id] {
		w.watched[id] = true
		w.look(id, true)
	}
}

// look begins a look at a worker. A first one, or one after a look without answer,
// doesn't wait; that after one without answer doesn't extend the lease either.
func (w *world) look(id string, once bool) {
	f := w.workers[id]
	c, fence := w.cell, w.fence
	asked := w.now
	silent := w.silentLooks[id]
	if !silent && w.grantedAt[id] != (time.Time{}) {
		w.grantedAt[id] = w.now
	}
	w.after(worldWire, func() {
		if w.cell != c {
			return
		}
		if !f.up || f.silent {
			w.lookLost(f)
			return
		}
		if fence < f.fence {
			return
		}
		f.fence = fence
		if !silent {
			f.extend(asked.Add(fakeLeaseLength))
		}
		acked, _ := c.Acked(id)
		w.acknowledge(f, acked)
		f.looking, f.asked = true, asked
		if once || len(f.ends) > 0 {
			w.answerLook(f)
			return
		}
		token := f.asked
		w.after(worldLook, func() {
			if f.looking && f.asked.Equal(token) && w.cell == c {
				w.answerLook(f)
			}
		})
	})
}

// lookLost lets a look go unanswered: the cell hears it, and that the lease has run
// out once it surely has.
func (w *world) lookLost(f *fakeWorker) {
	c := w.cell
	w.after(300*time.Millisecond, func() {
		if w.cell != c {
			return
		}
		w.silentLooks[f.id] = true
		c.WorkerSilent(w.now, f.id)
		if w.now.Sub(w.grantedAt[f.id]) > worldLapse && w.now.Sub(w.tookOver) > worldPredecessors {
			c.WorkerLapsed(w.now, f.id)
		}
		w.act()
		w.look(f.id, true)
	})
}

// lapseUnlisted gives up runs on workers that the directory never listed.
func (w *world) lapseUnlisted() {
	if w.now.Sub(w.tookOver) <= worldPredecessors {
		return
	}
	for _, id := range w.cell.Unlisted() {
		if !w.watched[id] {
			w.cell.WorkerLapsed(w.now, id)
		}
	}
}

func (w *world) answerLook(f *fakeWorker) {
	f.looking = false
	c := w.cell
	l := Listing{AskedAt: f.asked, Born: f.born}
	l.Ends = append(l.Ends, f.ends...)
	for _, r := range f.sorted() {
		percent := int(100 * r.worked(w.now) / max(r.length, 1))
		l.Running = append(l.Running, ListedRun{RunKey: r.RunKey, Percent: min(percent, 99), Saved: r.saved(w.now)})
	}
	w.after(worldWire, func() {
		if w.cell != c {
			return
		}
		w.silentLooks[f.id] = false
		w.grantedAt[f.id] = w.now
		c.Listed(w.now, f.id, l)
		w.act()
		w.after(15*time.Millisecond, func() {
			if w.cell == c {
				w.look(f.id, false)
			}
		})
	})
}

// ask plays the advisory service, which answers an entry's calls in turn.
func (w *world) ask(a Ask) {
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
			if w.mayRun(a.Step, a.Queue, id) {
				good = append(good, Ticket{Worker: id, Text: w.ticket(a.Step, w.workers[id])})
			}
		}
		w.answer(c, func() { c.Advised(w.now, w.now, a, good, false) })
	})
}

// ticket is the permission to run a step during this life of a worker.
func (w *world) ticket(step string, f *fakeWorker) string {
	return fmt.Sprintf("%s|%s|%d|%d", step, f.id, f.born, w.now.UnixMilli())
}

// ticketGood reports whether the order's ticket is valid.
func (w *world) ticketGood(o StartOrder, f *fakeWorker, job *fakeJob) bool {
	advice := job.spec.Policy.Advice
	if advice == nil {
		return true
	}
	parts := strings.Split(o.Ticket, "|")
	if len(parts) != 4 || parts[0] != o.Task[:strings.LastIndex(o.Task, ".")] || parts[1] != f.id || parts[2] != fmt.Sprint(f.born) {
		return false
	}
	var at int64
	if _, err := fmt.Sscan(parts[3], &at); err != nil {
		return false
	}
	return w.now.Sub(time.UnixMilli(at)) <= advice.Valid
}

func (w *world) mayRun(step, queue, id string) bool {
	key := step + "/" + id
	good, ok := w.good[key]
	if !ok {
		good = w.rand.Float64() < goodShares[queue] || (w.anyOfHalf && (len(step)+int(step[len(step)-5])+w.indexOf(id))%2 == 0)
		w.good[key] = good
	}
	return good
}

func (w *world) indexOf(id string) int { return slices.Index(w.order, id) }
