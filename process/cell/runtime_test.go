package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// Timings of the simulated runtime around a cell.
const (
	commandReplyTimeout = 600 * time.Millisecond
	// stopReplyTimeout replaces it for stop commands.
	stopReplyTimeout = 400 * time.Millisecond
	// leaseExpiry is the time after the last extension of a lease from which it is certain
	// to have expired; predecessorLeaseExpiry is the time after a takeover from which that
	// holds for all leases extended by earlier schedulers.
	leaseExpiry            = fakeLeaseDuration + 300*time.Millisecond
	predecessorLeaseExpiry = 8 * time.Second
	// maxWritesInFlight bounds the writes in progress.
	maxWritesInFlight = 2
)

// write starts the writes of batches that are ready.
func (w *simulation) write() {
	for w.writesInFlight < maxWritesInFlight && (w.writesInFlight == 0 || w.tableDelay > 0) {
		b := w.cell.TakeBatch(w.now)
		if b == nil {
			return
		}
		w.writesInFlight++
		w.commit(w.cell, b)
	}
}

// commit applies a batch after the write delay and then reports it to the cell. While the
// table is unavailable it retries.
func (w *simulation) commit(c *Cell, b *Batch) {
	w.after(tableLatency/2+w.tableDelay, func() {
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
		if delay := w.replyDelay(); delay > 0 {
			// An earlier attempt of the same write got no reply and is also applied late.
			w.after(time.Duration(1+w.rand.IntN(6))*time.Second, func() { w.applyLate(c, b) })
		}
		w.after(tableLatency/2+w.replyDelay(), func() {
			if w.cell != c {
				return
			}
			w.writesInFlight--
			c.SetTableSlow(w.tableDelay > 0)
			c.BatchRecorded(w.now, b, version)
			w.applyActions()
		})
	})
}

// replyDelay returns how long it takes to find out that a write without a reply was
// applied, or 0 if the write gets its reply.
func (w *simulation) replyDelay() time.Duration {
	if w.lostReplies > 0 && w.rand.Float64() < w.lostReplies {
		return time.Second
	}
	return 0
}

// applyLate applies a write again if all of its conditions still hold.
func (w *simulation) applyLate(c *Cell, b *Batch) {
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

func (w *simulation) apply(b *Batch, version uint64) {
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

// sendStart delivers a start command; one that gets no reply may be carried out later.
func (w *simulation) sendStart(command StartCommand) {
	c, fence := w.cell, w.fence
	noReply := func() {
		w.unansweredStarts++
		w.after(commandReplyTimeout, func() { w.deliver(c, func() { c.StartAnswered(w.now, command.Worker, command.RunKey, StartNoReply) }) })
	}
	incarnation := w.workers[command.Worker].incarnation
	reachable := func() bool {
		f := w.workers[command.Worker]
		return f.up && !f.partitioned && f.incarnation == incarnation
	}
	if w.dropStart != nil {
		if dropped, after := w.dropStart(command); dropped {
			w.after(after, func() {
				if reachable() && after < startCommandExpiry {
					w.start(command, fence)
				}
			})
			noReply()
			return
		}
	}
	queued, ok := w.handleCommand()
	if !ok {
		noReply()
		return
	}
	w.after(queued+networkDelay, func() {
		if !reachable() {
			noReply()
			return
		}
		answer := w.start(command, fence)
		w.after(networkDelay, func() { w.deliver(c, func() { c.StartAnswered(w.now, command.Worker, command.RunKey, answer) }) })
	})
}

// handleCommand returns after which time the scheduler's processor has handled one more
// command. ok is false if that is so late that the command is given up.
func (w *simulation) handleCommand() (queued time.Duration, ok bool) {
	w.commandsDoneAt = maxTime(w.now, w.commandsDoneAt)
	queued = w.commandsDoneAt.Sub(w.now) + w.commandTime
	if queued > commandReplyTimeout {
		return 0, false
	}
	w.commandsDoneAt = w.commandsDoneAt.Add(w.commandTime)
	return queued, true
}

// startCommandExpiry is the age from which a start command is discarded.
const startCommandExpiry = 1500 * time.Millisecond

func (w *simulation) sendStop(command StopCommand) {
	w.stopCommands++
	c, fence := w.cell, w.fence
	f := w.workers[command.Worker]
	incarnation := f.incarnation
	carryOut := func() bool {
		if !f.up || f.partitioned || f.incarnation != incarnation || fence < f.fence {
			return false
		}
		f.fence = fence
		f.lastEnded[command.Task] = max(f.lastEnded[command.Task], command.Number)
		if r := f.running[command.RunKey]; r != nil {
			w.after(fakeStopTime, func() {
				if f.running[command.RunKey] == r {
					w.endRun(r, EndStopped)
				}
			})
		}
		return true
	}
	unanswered := func() {
		w.after(stopReplyTimeout, func() { w.deliver(c, func() { c.StopUnanswered(command.Worker, command.RunKey) }) })
	}
	queued, ok := w.handleCommand()
	if !ok {
		unanswered()
		return
	}
	if w.lostStops > 0 && w.rand.Float64() < w.lostStops {
		unanswered()
		w.after(time.Duration(2+w.rand.IntN(10))*time.Second, func() { carryOut() })
		return
	}
	w.after(queued+networkDelay, func() {
		if !carryOut() {
			unanswered()
			return
		}
		w.after(networkDelay, func() { w.deliver(c, func() { c.StopAnswered(w.now, command.Worker, command.RunKey) }) })
	})
}

// requestAdvice simulates the advisory service, which handles the calls of an entry one
// after the other.
func (w *simulation) requestAdvice(a AdviceRequest) {
	w.adviceCalls++
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
	group[first] = ready.Add(a.Estimate)
	c := w.cell
	w.after(group[first].Sub(w.now), func() {
		if w.lostAdvice > 0 && w.rand.Float64() < w.lostAdvice {
			w.deliver(c, func() { c.Advised(w.now, w.now, a, nil, true) })
			return
		}
		var good []Ticket
		for _, id := range a.Workers {
			if w.allowed(a.Step, a.Queue, id) {
				good = append(good, Ticket{Worker: id, Text: w.ticket(a.Step, w.workers[id])})
			}
		}
		w.deliver(c, func() { c.Advised(w.now, w.now, a, good, false) })
	})
}

// ticket returns the permission to run a step on this incarnation of a worker.
func (w *simulation) ticket(step string, f *fakeWorker) string {
	return fmt.Sprintf("%s|%s|%d|%d", step, f.id, f.incarnation, w.now.UnixMilli())
}

// ticketValid reports whether the command's ticket is valid.
func (w *simulation) ticketValid(command StartCommand, f *fakeWorker, job *fakeJob) bool {
	advice := job.spec.Policy.Advice
	if advice == nil {
		return true
	}
	parts := strings.Split(command.Ticket, "|")
	if len(parts) != 4 || parts[0] != command.Task[:strings.LastIndex(command.Task, ".")] || parts[1] != f.id || parts[2] != fmt.Sprint(f.incarnation) {
		return false
	}
	var at int64
	if _, err := fmt.Sscan(parts[3], &at); err != nil {
		return false
	}
	return w.now.Sub(time.UnixMilli(at)) <= advice.Valid
}

func (w *simulation) allowed(step, queue, id string) bool {
	key := step + "/" + id
	good, ok := w.allowedOn[key]
	if !ok {
		good = w.rand.Float64() < allowedShares[queue] || (w.halfAllowed && (len(step)+int(step[len(step)-5])+w.indexOf(id))%2 == 0)
		w.allowedOn[key] = good
	}
	return good
}

// indexOf returns the index of the worker's machine.
func (w *simulation) indexOf(id string) int { return slices.Index(w.order, w.workers[id].address) }
