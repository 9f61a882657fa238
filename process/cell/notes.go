package cell

import "time"

// NoteKind is the kind of a decision or of a change in the cell's state.
type NoteKind int

// The kinds of notes. Each is logged as one event.
const (
	NoteJobAccepted NoteKind = iota
	NoteJobRefused
	NoteJobEnded
	NoteJobCancelled
	NotePlaced
	NoteRunWithdrawn
	NoteStartFailed
	NoteRunEnded
	NoteRunUnknown
	NoteWorkerAdopted
	NoteWorkerUnreachable
	NoteWorkerCrashed
	NoteWorkerReachable
	NoteWorkerLeaseExpired
	NoteWorkerRestarted
	NoteWorkerDraining
	NoteWorkerMissing
	NoteWorkerQuarantined
	NoteWorkerReleased
	NoteRunStalled
	NoteStepWaiting
	NoteTaskGivenUp
	NoteTaskCrashesWorkers
	NoteJobSetAside
	NoteJobResumed
	NoteJobLarge
	NoteWorkerSetAside
	NoteEvacuationBegun
	NoteEvacuationEmpty
	NoteEvacuationEnded
)

// Cause is what a refused job would have needed, as a few words that metrics can tell apart.
type Cause string

// The causes of refusals.
const (
	// CauseTime: the work that comes first leaves too little time.
	CauseTime Cause = "time"
	// CauseScheduler: the scheduler's own processor has too much to do.
	CauseScheduler Cause = "scheduler"
	// CauseTable: nothing can be recorded.
	CauseTable Cause = "table"
	// CauseError: the job's admission failed unexpectedly.
	CauseError Cause = "error"
	// CauseCapacity: no worker could run it, or there are too many jobs.
	CauseCapacity Cause = "capacity"
)

// Note is a log record of one decision with its inputs. Fields that don't apply are
// zero.
type Note struct {
	Kind   NoteKind
	Job    string
	Team   string
	Task   string
	Run    int
	Queue  string
	Worker string
	// FailureDomain is that of an evacuation, and DomainWorkers the number of workers there.
	FailureDomain string
	DomainWorkers int
	// Address is that of the worker.
	Address string
	// Workers holds the workers of a placement, one per task.
	Workers []string
	End     EndKind
	State   State
	// Age is the age of the job or run, or how long a run has made no progress. Wait is the
	// retry delay of a refusal, or how long the step has waited for placement.
	Age  time.Duration
	Wait time.Duration
	// Runs is the number of runs, for NoteStepWaiting that of waiting steps.
	Runs   int
	Reason string
	// Cause is that of a refusal.
	Cause Cause
	Error error
	// Common is set for crashes of many workers of a rack at the same time.
	Common bool
}
