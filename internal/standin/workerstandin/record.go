package workerstandin

import (
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// EventKind is the kind of an event on a worker.
type EventKind string

// Kinds of events.
const (
	EventRequestBegin EventKind = "request_begin"
	EventRequestEnd   EventKind = "request_end"
	EventTaskStart    EventKind = "task_start"
	EventTaskEnd      EventKind = "task_end"
	// EventRefused is a call that the worker refused for a reason other than its
	// capacity or the epoch.
	EventRefused EventKind = "refused"
	// EventOverCapacity is work that was dispatched to the worker although it did not
	// fit.
	EventOverCapacity EventKind = "over_capacity"
	// EventOverConnections is a connection above the limit. It was accepted.
	EventOverConnections EventKind = "over_connections"
	// EventStaleEpoch is a call refused because of a stale epoch.
	EventStaleEpoch EventKind = "stale_epoch"
)

// Event is one event in a worker's record.
type Event struct {
	// Seq is the number of the event, from 1.
	Seq  int       `json:"seq"`
	Time time.Time `json:"time"`
	Kind EventKind `json:"kind"`
	// ID identifies a request, Task and Attempt a task.
	ID      string `json:"id,omitempty"`
	Task    string `json:"task,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
	Team    string `json:"team,omitempty"`
	// Work is the kind of work.
	Work  string `json:"work,omitempty"`
	Epoch uint64 `json:"epoch"`
	// Amount is the amount of the work.
	Amount resource.Amount `json:"amount"`
	// Detail is the final state of a task, or the reason or path of a refused call.
	Detail string `json:"detail,omitempty"`
	// Output is the output of a task that is done, from its payload.
	Output string `json:"output,omitempty"`
	// Held is the work on the worker after the event.
	Held        Totals `json:"held"`
	Connections int    `json:"connections"`
}

// Totals is the work on a worker at one time.
type Totals struct {
	Amount   resource.Amount `json:"amount"`
	Requests int             `json:"requests"`
	Tasks    int             `json:"tasks"`
}

// Record holds all work and calls that a worker received. Events are only appended.
type Record struct {
	Worker          string          `json:"worker"`
	Capacity        resource.Amount `json:"capacity"`
	ConnectionLimit int             `json:"connection_limit"`
	Held            Totals          `json:"held"`
	// Peak is the largest amount held at a time, in each dimension.
	Peak            resource.Amount `json:"peak"`
	Connections     int             `json:"connections"`
	PeakConnections int             `json:"peak_connections"`
	// OverCapacity and StaleEpoch are the numbers of events of these kinds.
	OverCapacity int     `json:"over_capacity"`
	StaleEpoch   int     `json:"stale_epoch"`
	Events       []Event `json:"events"`
}

func newRecord(config Config) Record {
	return Record{
		Worker:          config.Name,
		Capacity:        config.Capacity,
		ConnectionLimit: config.Connections,
		Events:          []Event{},
	}
}

// Record returns a copy of the record.
func (w *Worker) Record() Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sweepLocked(time.Now())
	record := w.record
	record.Events = slices.Clone(record.Events)
	return record
}

// add appends an event and updates the totals.
func (r *Record) add(e Event) {
	switch e.Kind {
	case EventRequestBegin:
		r.hold(e.Amount, 1, 0)
	case EventRequestEnd:
		r.hold(e.Amount.Times(-1), -1, 0)
	case EventTaskStart:
		r.hold(e.Amount, 0, 1)
	case EventTaskEnd:
		r.hold(e.Amount.Times(-1), 0, -1)
	case EventOverCapacity:
		r.OverCapacity++
	case EventStaleEpoch:
		r.StaleEpoch++
	}
	e.Seq = len(r.Events) + 1
	e.Time = time.Now()
	e.Held = r.Held
	e.Connections = r.Connections
	r.Events = append(r.Events, e)
}

func (r *Record) hold(amount resource.Amount, requests, tasks int) {
	r.Held.Amount = r.Held.Amount.Add(amount)
	r.Held.Requests += requests
	r.Held.Tasks += tasks
	r.Peak = r.Peak.Max(r.Held.Amount)
}

// fits reports whether the worker can hold amount in addition to its present work.
func (r *Record) fits(amount resource.Amount) bool {
	return r.Held.Amount.Add(amount).Fits(r.Capacity)
}
