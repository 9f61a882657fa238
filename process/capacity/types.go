package capacity

import (
	"fmt"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

const (
	// unlimited is the capacity in a dimension without a limit.
	unlimited = int64(1) << 40
	// controlConnections is how many connections to a worker are reserved for
	// control calls.
	controlConnections = 1
	// shardCount is the number of shards of a Tracker, each with its own lock.
	shardCount = 64
	// DimensionConnections is the name of connections as a dimension in FullError.
	DimensionConnections = "connections"
)

// Worker is one worker of a block that this entry owns.
type Worker struct {
	platform.Instance
	Block string
	// Epoch is the block's epoch under which the worker is owned.
	Epoch uint64
}

// Holding is the capacity that one task or request occupies on a worker.
type Holding struct {
	// ID is unique on the worker.
	ID   string
	Team string
	// Kind is the kind of work.
	Kind   string
	Amount resource.Amount
	// Until is when an assumed holding expires; zero once it is confirmed.
	Until time.Time
}

// connections is how many connections the holding occupies.
func (h Holding) connections() int { return int(h.Amount.Slots) }

// WorkerHolding is a holding and its worker.
type WorkerHolding struct {
	Worker string
	Holding
}

// TeamUsage is what a team uses on all tracked workers.
type TeamUsage struct {
	Team   string          `json:"team"`
	Amount resource.Amount `json:"amount"`
}

// Summary is the free capacity of the open workers.
type Summary struct {
	// Generation changes whenever a worker is added, and with each new Tracker. After
	// a change, cached state of the owner's work must be fetched again.
	Generation uint64 `json:"generation"`
	// Workers is the number of open workers.
	Workers int `json:"workers"`
	// Total is the sum of the free capacity.
	Total resource.Amount `json:"total"`
	// Largest is the largest free capacity of one worker, per dimension.
	Largest resource.Amount `json:"largest"`
	// LargestCapacity is the largest capacity of one worker, per dimension, closed
	// workers included.
	LargestCapacity resource.Amount `json:"largest_capacity"`
	// TotalCapacity is the sum of the capacities of all workers, closed ones included.
	TotalCapacity resource.Amount `json:"total_capacity"`
}

// FullError is returned when a holding does not fit a worker.
type FullError struct {
	Worker string
	// Dimension is the first dimension without enough free capacity.
	Dimension string
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("worker %s is full: %s", e.Worker, e.Dimension)
}

// ClosedError is returned when a worker accepts no new work: it is leaving,
// quarantined, unreachable, not adopted yet, or not tracked.
type ClosedError struct {
	Worker string
}

// Error implements error.
func (e *ClosedError) Error() string { return fmt.Sprintf("worker %s is closed", e.Worker) }

// ExistsError is returned when a worker already has a holding with that id.
type ExistsError struct {
	Worker, ID string
}

// Error implements error.
func (e *ExistsError) Error() string {
	return fmt.Sprintf("worker %s already holds %s", e.Worker, e.ID)
}
