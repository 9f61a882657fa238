package tasks

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// Located identifies an attempt and its worker.
type Located struct {
	worker.TaskRef
	Worker string `json:"worker"`
}

// Hold requests that an owner keep workers free for a job whose placement has
// failed repeatedly. If two jobs need the same worker, the older one gets it, by
// Created and then by ID.
type Hold struct {
	Created time.Time `json:"created"`
	// TTL is how long the workers are kept free.
	TTL time.Duration `json:"for_ns"`
}

// ReserveRequest requests capacity for attempts of one job.
type ReserveRequest struct {
	Job    string          `json:"job"`
	Team   string          `json:"team"`
	Kind   string          `json:"kind"`
	Policy version.Policy  `json:"policy"`
	Amount resource.Amount `json:"amount"`
	// Refs are the attempts. Each gets its own reservation.
	Refs []worker.TaskRef `json:"refs"`
	// AllOrNothing releases all reservations unless all of Refs are reserved.
	AllOrNothing bool `json:"all_or_nothing,omitempty"`
	// TTL is how long the reservations last.
	TTL time.Duration `json:"for_ns"`
	// Hold is set for a job whose placement has failed repeatedly.
	Hold *Hold `json:"hold,omitempty"`
}

// Reservation is capacity reserved for one attempt.
type Reservation struct {
	Located
	Block string `json:"block"`
	Epoch uint64 `json:"epoch"`
	// FailureDomain and Rack are the location of the worker.
	FailureDomain string `json:"failure_domain,omitempty"`
	Rack          string `json:"rack,omitempty"`
}

// Limit is the limit that prevented a reservation.
type Limit string

// The limits.
const (
	LimitNone     Limit = ""
	LimitCapacity Limit = "capacity"
	LimitTeam     Limit = "team"
)

// ReserveReply lists the reservations. They are for a prefix of ReserveRequest.Refs.
type ReserveReply struct {
	Reservations []Reservation `json:"reservations"`
	// Limit and Dimension are the reason if there are fewer reservations than
	// requested. Dimension is empty if no single dimension is known to be short.
	Limit     Limit  `json:"limit,omitempty"`
	Dimension string `json:"dimension,omitempty"`
}

// Start is an attempt to be started from its reservation.
type Start struct {
	Worker string           `json:"worker"`
	Epoch  uint64           `json:"epoch"`
	Task   worker.StartTask `json:"task"`
}

// Ref returns the reference of the attempt.
func (s Start) Ref() worker.TaskRef {
	return worker.TaskRef{Task: s.Task.Task, Attempt: s.Task.Attempt}
}

// StartRequest lists the attempts to start.
type StartRequest struct {
	Starts []Start `json:"starts"`
}

// State is the state of an attempt as known to its owner.
type State string

// The states of an attempt.
const (
	// StateRunning: the worker has confirmed the attempt as running.
	StateRunning State = "running"
	// StateEnded: the attempt has ended; its Event gives the result.
	StateEnded State = "ended"
	// StateAbsent: the attempt is not running and cannot be started any more.
	StateAbsent State = "absent"
	// StateUnknown: the attempt may be running.
	StateUnknown State = "unknown"
)

// Outcome is the state of one attempt.
type Outcome struct {
	Ref   worker.TaskRef `json:"ref"`
	State State          `json:"state"`
	// Event is set for StateEnded.
	Event *Event `json:"event,omitempty"`
	// Reason is set if a start was refused.
	Reason string `json:"reason,omitempty"`
}

// Outcomes lists outcomes in the order of the attempts in the request.
type Outcomes struct {
	Outcomes []Outcome `json:"outcomes"`
}

// AttemptsRequest lists the attempts to cancel, release or query.
type AttemptsRequest struct {
	Attempts []Located `json:"attempts"`
}

// StateLost is the state in the Event of an attempt whose lease expired while the
// worker was unreachable, or that is missing from the report of its worker, for
// example after a restart.
const StateLost worker.TaskState = "lost"

// Event reports to the coordinator of a job that an attempt is running or how it
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

// ReportReply is the reply of a coordinator to events.
type ReportReply struct {
	// Recorded lists the attempts whose events need not be sent again.
	Recorded []worker.TaskRef `json:"recorded"`
	// Stop lists the attempts that must be stopped.
	Stop []worker.TaskRef `json:"stop,omitempty"`
}
