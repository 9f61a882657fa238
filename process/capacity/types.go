package capacity

import (
	"fmt"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

const (
	// unlimited stands for a dimension of a worker that has no bound.
	unlimited = int64(1) << 40
	// controlConnections is how many connections of a worker are kept for
	// control calls.
	controlConnections = 1
	// shardCount is how many locks the book is spread over.
	shardCount = 64
	// DimensionConnections names connections in a FullError.
	DimensionConnections = "connections"
)

// Worker is one worker of a block that this entry owns.
type Worker struct {
	platform.Instance
	Block string
	// Epoch is the block's epoch under which the worker is owned.
	Epoch uint64
}

// Holding is what one task or request occupies on a worker.
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

// Held is a holding and its worker.
type Held struct {
	Worker string
	Holding
}

// TeamUsage is what a team has on the workers of the book.
type TeamUsage struct {
	Team   string          `json:"team"`
	Amount resource.Amount `json:"amount"`
}

// Summary is the free capacity of the open workers.
type Summary struct {
	// Generation changes whenever a worker enters the book, and with each new
	// book: what an owner was known to hold before must be asked for again.
	Generation uint64 `json:"generation"`
	// Workers counts the open workers.
	Workers int `json:"workers"`
	// Total is the sum of what is free.
	Total resource.Amount `json:"total"`
	// Largest is the most that is free on one worker, per dimension.
	Largest resource.Amount `json:"largest"`
	// LargestCapacity is the most that one worker can hold, per dimension,
	// closed workers included.
	LargestCapacity resource.Amount `json:"largest_capacity"`
	// TotalCapacity is what all workers can hold together, closed ones included.
	TotalCapacity resource.Amount `json:"total_capacity"`
}

// FullError says that a holding does not fit a worker.
type FullError struct {
	Worker string
	// Dimension is the first dimension that is short.
	Dimension string
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("worker %s is full: %s", e.Worker, e.Dimension)
}

// ClosedError says that a worker takes no new work: it is leaving, set aside,
// not adopted yet, or not in the book.
type ClosedError struct {
	Worker string
}

// Error implements error.
func (e *ClosedError) Error() string { return fmt.Sprintf("worker %s is closed", e.Worker) }

// ExistsError says that a worker already has a holding of that id.
type ExistsError struct {
	Worker, ID string
}

// Error implements error.
func (e *ExistsError) Error() string {
	return fmt.Sprintf("worker %s already holds %s", e.Worker, e.ID)
}
