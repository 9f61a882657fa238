package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// Errors of calls to workers and to the advisory service.
var (
	// ErrNotSent says that the call surely had no effect.
	ErrNotSent = errors.New("call not sent")
	// ErrLost says that the call may take effect, now or later.
	ErrLost = errors.New("answer lost")
	// ErrFenced says that the worker has seen a higher fence.
	ErrFenced = errors.New("a higher fence was seen")
	// ErrOtherLife says that another life of the worker answers at its address.
	ErrOtherLife = errors.New("another worker answers at this address")
)

// Target is where a worker's calls go.
type Target struct {
	ID      string
	Address string
}

// StartCall is an order to start a run.
type StartCall struct {
	Fence uint64
	// NotAfter is the time on the worker's clock, in milliseconds, after which the
	// order has no effect and up to which it extends the worker's lease.
	NotAfter int64
	cell.StartOrder
}

// LookCall asks for a worker's lists, and extends its lease if NotAfter is set.
type LookCall struct {
	Fence    uint64
	NotAfter int64
	Acked    int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Look is a worker's answer to a LookCall. Clock is its steady clock in
// milliseconds.
type Look struct {
	Clock   int64
	Listing cell.Listing
}

// WorkerCaller sends orders to workers.
type WorkerCaller interface {
	// Start orders a run. An error is ErrLost, or ErrFenced.
	Start(ctx context.Context, to Target, call StartCall) (cell.StartAnswer, error)
	// Stop orders the end of a run. An error is ErrNotSent, ErrLost or ErrFenced.
	Stop(ctx context.Context, to Target, fence uint64, run cell.RunKey) error
	// Pace lets a run work at a share of its speed. Errors are those of Stop.
	Pace(ctx context.Context, to Target, fence uint64, order cell.PaceOrder) error
	// Look asks for the lists. An error is ErrNotSent, ErrLost, ErrFenced or
	// ErrOtherLife.
	Look(ctx context.Context, to Target, call LookCall) (Look, error)
}

// Advisor asks the advisory service which workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []string) ([]cell.Ticket, error)
}

// Directory lists the workers.
type Directory interface {
	// Follow calls take with the whole list at the start and after every change,
	// until ctx ends.
	Follow(ctx context.Context, take func([]cell.WorkerInfo))
}

// Publication is a version of the catalog with the bytes it was read from, which
// entries pass on to each other.
type Publication struct {
	Catalog *catalog.Catalog
	Raw     []byte
}

// CatalogSource gives the operators' configuration.
type CatalogSource interface {
	// Follow calls take with every newer version, and contact after every
	// successful look, until ctx ends.
	Follow(ctx context.Context, take func(Publication), contact func())
	// Decode reads a version that another entry passed on.
	Decode(raw []byte) (Publication, error)
}
