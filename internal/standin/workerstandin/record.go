package workerstandin

import (
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// EventKind says what happened on a worker.
type EventKind string

// The kinds of events.
const (
	EventRequestBegin EventKind = "request_begin"
	EventRequestEnd   EventKind = "request_end"
	EventTaskStart    EventKind = "task_start"
	EventTaskEnd      EventKind = "task_end"
	// EventRefused is work that the worker refused for other reasons than its
	// capacity or an epoch.
	EventRefused EventKind = "refused"
	// EventOverCapacity is work that was handed over though it didn't fit.
	EventOverCapacity EventKind = "over_capacity"
	// EventOverConnections is a connection above the bound; it was kept.
	EventOverConnections EventKind = "over_connections"
	EventStaleEpoch      EventKind = "stale_epoch"
)

// Event is one line of a worker's record.
type Event struct {
	// Seq counts events from 1.
	Seq  int       `json:"seq"`
	Time time.Time `json:"time"`
	Kind EventKind `json:"kind"`
	// ID names a request; Task and Attempt name a task.
	ID      string `json:"id,omitempty"`
	Task    string `json:"task,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
	Team    string `json:"team,omitempty"`
	// Work is the kind of work.
	Work  string `json:"work,omitempty"`
	Epoch uint64 `json:"epoch"`
	// Amount is the size of the work that the event is about.
	Amount resource.Amount `json:"amount"`
	// Detail is the final state of a task, or why something was refused.
	Detail string `json:"detail,omitempty"`
	// Output is what a task's payload said it puts out at its end.
	Output string `json:"output,omitempty"`
	// Held is what the worker holds after the event.
	Held        Totals `json:"held"`
	Connections int    `json:"connections"`
}

// Totals is what a worker holds at one moment.
type Totals struct {
	Amount   resource.Amount `json:"amount"`
	Requests int             `json:"requests"`
	Tasks    int             `json:"tasks"`
}

// Record is all that a worker was handed. Events are only ever added.
type Record struct {
	Worker          string          `json:"worker"`
	Capacity        resource.Amount `json:"capacity"`
	ConnectionLimit int             `json:"connection_limit"`
	Held            Totals          `json:"held"`
	// Peak is the most that was held at a time, in each dimension.
	Peak            resource.Amount `json:"peak"`
	Connections     int             `json:"connections"`
	PeakConnections int             `json:"peak_connections"`
	// OverCapacity and StaleEpoch count events of these kinds.
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

// Record returns the record so far.
func (w *Worker) Record() Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sweepLocked(time.Now())
	record := w.record
	record.Events = slices.Clone(record.Events)
	return record
}

// add appends an event and accounts for what it begins or ends.
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

// fits reports whether the worker can hold amount besides what it holds.
func (r *Record) fits(amount resource.Amount) bool {
	return r.Held.Amount.Add(amount).Fits(r.Capacity)
}
