// Package workerstandin is a small stand-in for a worker: it runs tasks under
// leases and answers requests, and keeps a record of all that it was handed.
//
// The record is for checkers that are apart from the scheduler. It holds every
// begin and end with the totals held afterwards, and also what the worker
// refused: work over its capacity and calls of a stale epoch.
//
// Work. A task runs for the time its payload states, else for its declared run
// time, else until it is stopped. It ends by itself when its lease does. A
// request runs for the time its payload states, also when its caller has left.
//
// Worker can be used in process through Client, also in a testing/synctest
// bubble, or over HTTP by the protocol of package httpworker. Its switches make
// it fail in the ways that workers do.
package workerstandin

import (
	"net"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/internal/standin"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Config describes a worker.
type Config struct {
	Name string
	// Capacity is what the worker can hold. A Running of 0 means unbounded.
	Capacity resource.Amount
	// Connections is how many connections may be open; 0 means unbounded.
	Connections int
	// RequestAmount is what one request occupies; zero means one slot.
	RequestAmount resource.Amount
	// UsageLag is how long after its start a task's usage is reported as zero.
	UsageLag time.Duration
}

// UnboundedRunning is the Running of a worker whose Config leaves it out.
const UnboundedRunning = int64(1) << 40

// Switches make the worker fail. The zero value is a worker that works. Counts
// are used up one by one.
type Switches struct {
	// Broken fails every task that starts and refuses every request.
	Broken bool `json:"broken"`
	// Unreachable cuts all connections, and new ones at once.
	Unreachable bool `json:"unreachable"`
	// Silence makes the connections that are open now silent for good: what
	// arrives is swallowed, nothing is answered. It reads back as false.
	Silence bool `json:"silence"`
	// Delay is how long each call waits before it takes effect.
	Delay standin.Duration `json:"delay"`
	// LoseStarts is how many of the next start calls take effect and have
	// their connection cut in place of an answer.
	LoseStarts int `json:"lose_starts"`
	// LoseAnswers is the same for requests, cut when their work is done.
	LoseAnswers int `json:"lose_answers"`
	// DieAfterRead is how many of the next requests have their connection cut
	// when they begin; their work goes on.
	DieAfterRead int `json:"die_after_read"`
	// Truncate is how many of the next answers end in the middle of the body.
	Truncate int `json:"truncate"`
	// WrongID is how many of the next answers carry another request's id.
	WrongID int `json:"wrong_id"`
	// Duplicate is how many of the next answers are sent twice.
	Duplicate int `json:"duplicate"`
}

// Worker is the stand-in. It is safe for concurrent use.
type Worker struct {
	config Config

	mu       sync.Mutex
	switches Switches
	epoch    uint64
	tasks    map[worker.TaskRef]*task
	// inFlight counts the requests in flight by id.
	inFlight map[string]int
	record   Record
	conns    map[*conn]struct{}
}

// New returns a worker that holds nothing and has seen no epoch.
func New(config Config) *Worker {
	if config.Capacity.Running == 0 {
		config.Capacity.Running = UnboundedRunning
	}
	if config.RequestAmount.IsZero() {
		config.RequestAmount = resource.Amount{Running: 1, Slots: 1}
	}
	return &Worker{
		config:   config,
		tasks:    make(map[worker.TaskRef]*task),
		inFlight: make(map[string]int),
		record:   newRecord(config),
		conns:    make(map[*conn]struct{}),
	}
}

// Capacity returns what the worker can hold.
func (w *Worker) Capacity() resource.Amount { return w.config.Capacity }

// Change edits the switches and returns what they are afterwards.
func (w *Worker) Change(edit func(*Switches)) Switches {
	w.mu.Lock()
	edit(&w.switches)
	silence := w.switches.Silence
	w.switches.Silence = false
	now := w.switches
	var cut []net.Conn
	for c := range w.conns {
		if silence {
			c.silent.Store(true)
		}
		if now.Unreachable {
			cut = append(cut, c.Conn)
			w.closedLocked(c)
		}
	}
	w.mu.Unlock()

	for _, c := range cut {
		reset(c)
	}
	return now
}

// enter waits for the delay of the switches.
func (w *Worker) enter() {
	w.mu.Lock()
	delay := time.Duration(w.switches.Delay)
	w.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}

// fenceLocked refuses a call of a stale epoch and notes a higher one.
func (w *Worker) fenceLocked(epoch uint64, e Event) error {
	if epoch >= w.epoch {
		w.epoch = epoch
		return nil
	}
	e.Kind = EventStaleEpoch
	e.Epoch = epoch
	w.record.add(e)
	return w.refusedLocked(worker.RefusedEpoch, "a higher epoch was seen")
}

func (w *Worker) refusedLocked(code, message string) error {
	return &worker.RefusedError{Code: code, Epoch: w.epoch, Message: message}
}

// take uses up one of a switch's count.
func take(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}
