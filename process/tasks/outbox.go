package tasks

import (
	"context"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
)

// outbox holds the events that their coordinators have not recorded yet.
type outbox struct {
	mu     sync.Mutex
	events map[Located]Event
	wake   chan struct{}
}

func (b *outbox) put(e Event) {
	b.mu.Lock()
	b.events[e.Located] = e
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// nextBatch returns at most maxDeliveryBatch events. They stay in the outbox.
func (b *outbox) nextBatch() []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := make([]Event, 0, min(len(b.events), maxDeliveryBatch))
	for _, e := range b.events {
		if len(batch) == maxDeliveryBatch {
			break
		}
		batch = append(batch, e)
	}
	return batch
}

// remove deletes an event unless a newer one has replaced it.
func (b *outbox) remove(e Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.events[e.Located] == e {
		delete(b.events, e.Located)
	}
}

func (b *outbox) dropWorker(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for at := range b.events {
		if at.Worker == name {
			delete(b.events, at)
		}
	}
}

// deliver sends events to the coordinators until ctx ends.
func (o *Owner) deliver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.outbox.wake:
		}
		wait := deliveryInterval
		for wait > 0 && sleep(ctx, wait) {
			wait = o.deliverBatch(ctx)
		}
	}
}

// deliverBatch sends one batch of events. It returns the pause before the next
// batch, zero if the outbox is empty.
func (o *Owner) deliverBatch(ctx context.Context) time.Duration {
	batch := o.outbox.nextBatch()
	if len(batch) == 0 {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, o.CallTimeout)
	defer cancel()
	reply, err := o.Coordinators.Report(ctx, batch)
	o.applyReply(batch, reply)
	if err != nil || len(reply.Recorded) == 0 {
		return retryInterval
	}
	return deliveryInterval
}

func (o *Owner) applyReply(batch []Event, reply ReportReply) {
	recorded := make(map[worker.TaskRef]bool, len(reply.Recorded))
	for _, ref := range reply.Recorded {
		recorded[ref] = true
	}
	toStop := make(map[worker.TaskRef]bool, len(reply.Stop))
	for _, ref := range reply.Stop {
		toStop[ref] = true
	}
	for _, e := range batch {
		a := o.agent(e.Worker)
		if a == nil {
			continue
		}
		if toStop[e.TaskRef] {
			a.cancelAttempt(e.TaskRef)
		}
		if recorded[e.TaskRef] {
			o.outbox.remove(e)
			a.handleRecorded(e)
		}
	}
}

func (a *agent) handleRecorded(e Event) {
	if e.State.Final() {
		a.freeRecorded(e.TaskRef)
	}
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
