package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// Errors of calls to workers.
var (
	// ErrNotSent means that the call was never sent and so had no effect.
	ErrNotSent = errors.New("call not sent")
	// ErrUnknown means that the call may take effect, now or later.
	ErrUnknown = errors.New("call outcome unknown")
	// ErrFenced means that the worker has seen a higher fence.
	ErrFenced = errors.New("the worker has seen a higher fence")
	// ErrRefused means that the worker's address refuses connections: no process listens there.
	ErrRefused = errors.New("the worker's address refuses connections")
	// ErrOtherIncarnation means that a different incarnation of the worker answers at the
	// address.
	ErrOtherIncarnation = errors.New("another incarnation of the worker answers at this address")
)

// ErrNewConnection means that a poll named an incarnation, and that there was no connection on which
// that incarnation can have replied. The poll was not sent.
var ErrNewConnection = errors.New("no open connection to that incarnation of the worker")

// Target is the address of a worker with the ID that must answer there.
type Target struct {
	ID      string
	Address string
}

// StartCall is a command to start a run.
type StartCall struct {
	Fence uint64
	// NotAfter is a time on the worker's clock, in milliseconds. The command has no effect
	// after it, and extends the worker's lease up to it.
	NotAfter int64
	// SendBy is until when the command may be sent. It is a time on the clock of the entry that sends
	// it: the next incarnation of a worker has a clock which starts anew.
	SendBy time.Time
	cell.StartCommand
}

// PollCall requests a worker's lists of running and ended runs, and extends its lease if
// NotAfter is set.
//
// A worker can't tell for which of its incarnations a number is meant. A call that names one is
// therefore sent only on a connection that has brought a reply; any other must carry neither
// NotAfter nor a number of ends.
type PollCall struct {
	Fence uint64
	// NotAfter is on the clock of the incarnation that Acked names, in milliseconds.
	NotAfter int64
	// Acked names the ended runs that are recorded. The worker stops listing them.
	Acked cell.Ack
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
}

// PollReply is a worker's answer to a PollCall. Clock is the worker's monotonic clock in
// milliseconds.
type PollReply struct {
	Clock   int64
	Listing cell.Listing
}

// WorkerCaller sends commands to workers.
type WorkerCaller interface {
	// Start starts a run. It fails with ErrUnknown or ErrFenced. After SendBy nothing is sent and the
	// answer is cell.StartNotSent.
	Start(ctx context.Context, to Target, call StartCall) (cell.StartAnswer, error)
	// Stop ends a run. It fails with ErrNotSent, ErrUnknown or ErrFenced.
	Stop(ctx context.Context, to Target, fence uint64, run cell.RunKey) error
	// Pace sets the share of its full speed at which a run works. It fails as Stop does.
	Pace(ctx context.Context, to Target, fence uint64, command cell.PaceCommand) error
	// Poll requests the worker's lists of runs. It fails with ErrNotSent, ErrUnknown,
	// ErrFenced, ErrOtherIncarnation or ErrNewConnection; with ErrNotSent and ErrRefused if
	// connections are refused.
	Poll(ctx context.Context, to Target, call PollCall) (PollReply, error)
}

// Advisor queries the advisory service for the workers that may run a step.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []string) ([]cell.Ticket, error)
}

// Directory lists the workers.
type Directory interface {
	// Follow calls update with the complete list at the start and after every change,
	// until ctx ends. That a worker has written its entry for the first time since is a change.
	Follow(ctx context.Context, update func([]cell.WorkerInfo))
}

// Evacuations holds the operators' requests to empty failure domains.
type Evacuations interface {
	// Evacuated returns the failure domains to be emptied, as last read. known is false until they
	// have been read once.
	Evacuated() (domains []string, known bool)
}

// Publication is a version of the catalog with its encoded form, which entries forward to
// each other.
type Publication struct {
	Catalog *catalog.Catalog
	Raw     []byte
}

// CatalogSource provides the operators' configuration.
type CatalogSource interface {
	// Follow calls update with every newer version until ctx ends. After every successful poll of
	// the source, it calls contact with the time at which what it has read was the newest.
	Follow(ctx context.Context, update func(Publication), contact func(at time.Time))
	// Decode decodes a version that another entry forwarded.
	Decode(raw []byte) (Publication, error)
	// Receiving reports whether a change is being received by Follow.
	Receiving() bool
}
