// Package workerstandin is a small stand-in for a worker: it runs tasks under leases,
// answers requests, and keeps a record of all work and calls that it receives.
//
// The record is for checks that are independent of the scheduler. It holds the start and
// end of all work with the totals after each, and the calls that the worker refused, such
// as work above its capacity and calls with a stale epoch.
//
// A task runs for the time in its payload, or else for its declared run time, or else
// until it is stopped. It ends when its lease expires. A request runs for the time in its
// payload, even if its caller has disconnected.
//
// Worker can be used in process through Client, including in a testing/synctest bubble, or
// over HTTP with the protocol of package httpworker. Its switches inject the faults of
// real workers.
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
	// Capacity is the worker's capacity. A Running of 0 means unbounded.
	Capacity resource.Amount
	// Connections is the limit of open connections; 0 means unbounded.
	Connections int
	// RequestAmount is the amount that one request occupies; zero means one slot.
	RequestAmount resource.Amount
	// UsageLag is how long after its start a task reports zero usage.
	UsageLag time.Duration
}

// UnboundedRunning is the Running of a worker whose Config does not set it.
const UnboundedRunning = int64(1) << 40

// Switches select the faults of the worker. The zero value has none. Each fault decrements
// its count.
type Switches struct {
	// Broken fails every task that starts and refuses every request.
	Broken bool `json:"broken"`
	// Unreachable resets all connections, and new ones at once.
	Unreachable bool `json:"unreachable"`
	// Silence makes the connections that are open now discard all data in both
	// directions for the rest of their lifetime. It always reads as false.
	Silence bool `json:"silence"`
	// Delay is the time before each call takes effect.
	Delay standin.Duration `json:"delay"`
	// LoseStarts is how many of the next start calls take effect and have their
	// connection cut instead of a response.
	LoseStarts int `json:"lose_starts"`
	// LoseAnswers is the same for requests. They are cut after their work is done.
	LoseAnswers int `json:"lose_answers"`
	// DieAfterRead is how many of the next requests have their connection cut when
	// they start. Their work continues.
	DieAfterRead int `json:"die_after_read"`
	// Truncate is how many of the next responses end in the middle of the body.
	Truncate int `json:"truncate"`
	// WrongID is how many of the next responses have the id of another request.
	WrongID int `json:"wrong_id"`
	// Duplicate is how many of the next responses are sent twice.
	Duplicate int `json:"duplicate"`
}

// Worker is the stand-in. It is safe for concurrent use.
type Worker struct {
	config Config

	mu       sync.Mutex
	switches Switches
	epoch    uint64
	tasks    map[worker.TaskRef]*task
	// inFlight holds the number of requests in progress by id.
	inFlight map[string]int
	record   Record
	conns    map[*conn]struct{}
}

// New returns a worker without work that has received no epoch.
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

// Capacity returns the worker's capacity.
func (w *Worker) Capacity() resource.Amount { return w.config.Capacity }

// Change edits the switches under their lock, applies them to open connections and returns
// the switches after it.
func (w *Worker) Change(edit func(*Switches)) Switches {
	w.mu.Lock()
	edit(&w.switches)
	silence := w.switches.Silence
	w.switches.Silence = false
	current := w.switches
	var cut []net.Conn
	for c := range w.conns {
		if silence {
			c.silent.Store(true)
		}
		if current.Unreachable {
			cut = append(cut, c.Conn)
			w.removeConnLocked(c)
		}
	}
	w.mu.Unlock()

	for _, c := range cut {
		reset(c)
	}
	return current
}

// waitDelay waits for Switches.Delay.
func (w *Worker) waitDelay() {
	w.mu.Lock()
	delay := time.Duration(w.switches.Delay)
	w.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}

// fenceLocked refuses a call with a stale epoch and stores a higher one.
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

// consume decrements the count of a switch and reports whether it was positive.
func consume(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}
