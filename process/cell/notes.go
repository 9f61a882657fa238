package cell

import "time"

// NoteKind names a decision or a change of what the cell believes.
type NoteKind int

// The kinds of notes, each a log line.
const (
	NoteJobAccepted NoteKind = iota
	NoteJobRefused
	NoteJobEnded
	NoteJobCancelled
	NotePlaced
	NotePlacementDropped
	NoteStartAnswered
	NoteRunEnded
	NoteUnknownRun
	NoteWorkerAdopted
	NoteWorkerSilent
	NoteWorkerBack
	NoteWorkerLapsed
	NoteWorkerReborn
	NoteWorkerDrains
	NoteWorkerMissing
	NoteWorkerAside
	NoteWorkerReturned
	NoteRunStuck
	NoteWaits
)

// Note is one decision with the inputs that decided it. Fields that don't apply
// are zero.
type Note struct {
	Kind   NoteKind
	Job    string
	Team   string
	Task   string
	Run    int
	Worker string
	// Workers are those of a placement, one a task.
	Workers []string
	End     EndKind
	State   State
	// Age is the age of the job or run, Wait the expected wait.
	Age    time.Duration
	Wait   time.Duration
	Runs   int
	Reason string
	Error  error
}
