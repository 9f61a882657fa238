package tasks

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// Located names an attempt and the worker that it is on.
type Located struct {
	worker.TaskRef
	Worker string `json:"worker"`
}

// Hold asks an owner to keep workers free for a job that could not be placed
// for long. The older job, by Created and then by its id, wins a worker.
type Hold struct {
	Created time.Time `json:"created"`
	// For is how long the workers are kept.
	TTL time.Duration `json:"for_ns"`
}

// ReserveRequest asks for capacity for attempts of one job.
type ReserveRequest struct {
	Job    string          `json:"job"`
	Team   string          `json:"team"`
	Kind   string          `json:"kind"`
	Policy version.Policy  `json:"policy"`
	Amount resource.Amount `json:"amount"`
	// Refs are the attempts, one reservation each.
	Refs []worker.TaskRef `json:"refs"`
	// AllOrNothing refuses a part of Refs.
	AllOrNothing bool `json:"all_or_nothing,omitempty"`
	// For is how long the reservations last.
	TTL time.Duration `json:"for_ns"`
	// Hold is set for a job that has waited for long.
	Hold *Hold `json:"hold,omitempty"`
}

// Reservation is capacity kept for one attempt.
type Reservation struct {
	Located
	Block string `json:"block"`
	Epoch uint64 `json:"epoch"`
	// FailureDomain and Rack place the worker.
	FailureDomain string `json:"failure_domain,omitempty"`
	Rack          string `json:"rack,omitempty"`
}

// Limit names what kept attempts from being reserved.
type Limit string

// The limits.
const (
	LimitNone     Limit = ""
	LimitCapacity Limit = "capacity"
	LimitTeam     Limit = "team"
)

// ReserveReply lists the reservations made, a prefix of the attempts asked for.
type ReserveReply struct {
	Reservations []Reservation `json:"reservations"`
	// Limit and Dimension say why there are fewer than asked for. Dimension is
	// empty where several are short.
	Limit     Limit  `json:"limit,omitempty"`
	Dimension string `json:"dimension,omitempty"`
}

// Start is one attempt to start from its reservation.
type Start struct {
	Worker string           `json:"worker"`
	Epoch  uint64           `json:"epoch"`
	Task   worker.StartTask `json:"task"`
}

// Ref names the attempt.
func (s Start) Ref() worker.TaskRef {
	return worker.TaskRef{Task: s.Task.Task, Attempt: s.Task.Attempt}
}

// StartRequest starts attempts.
type StartRequest struct {
	Starts []Start `json:"starts"`
}

// State is what an owner knows of an attempt.
type State string

// The states of an attempt as seen by an owner.
const (
	// StateRunning attempts were seen running.
	StateRunning State = "running"
	// StateEnded attempts have ended; their Event says how.
	StateEnded State = "ended"
	// StateAbsent attempts do not run and never will.
	StateAbsent State = "absent"
	// StateUnknown attempts may run.
	StateUnknown State = "unknown"
)

// Outcome is the state of one attempt.
type Outcome struct {
	Ref   worker.TaskRef `json:"ref"`
	State State          `json:"state"`
	// Event is set for StateEnded.
	Event *Event `json:"event,omitempty"`
	// Reason says why a start was refused.
	Reason string `json:"reason,omitempty"`
}

// Outcomes is a list of outcomes in the order of the attempts asked about.
type Outcomes struct {
	Outcomes []Outcome `json:"outcomes"`
}

// AttemptsRequest names the attempts to cancel, to release or to look up.
type AttemptsRequest struct {
	Attempts []Located `json:"attempts"`
}

// StateLost is the state in an Event of an attempt whose lease has surely ended
// while the worker did not answer, or that a restarted worker no longer knows.
const StateLost worker.TaskState = "lost"

// Event tells the keeper of a job about one attempt: that it runs, or how it
// ended.
type Event struct {
	Located
	Block      string           `json:"block"`
	Epoch      uint64           `json:"epoch"`
	State      worker.TaskState `json:"state"`
	Usage      resource.Amount  `json:"usage"`
	Checkpoint string           `json:"checkpoint,omitempty"`
	Error      string           `json:"error,omitempty"`
}

// ReportReply is a keeper's answer to events.
type ReportReply struct {
	// Recorded events need not be sent again.
	Recorded []worker.TaskRef `json:"recorded"`
	// Stop lists attempts that must not run any longer.
	Stop []worker.TaskRef `json:"stop,omitempty"`
}
