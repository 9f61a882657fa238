package cluster

import (
	"context"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
)

// Methods between entries.
const (
	methodBeat     = "cell.beat"
	methodSeen     = "cell.seen"
	methodReleased = "cell.released"
	methodTaking   = "cell.taking"
	methodTook     = "cell.took"
	methodCall     = "cell.call"
	methodAdvise   = "cell.advise"
	methodCatalog  = "cell.catalog"
)

// codeNotScheduler is the code of a refusal by an entry that is no scheduler.
const codeNotScheduler = -32101

// Member is an entry as others know it.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Cores is the processor that the entry has; larger ones schedule first.
	Cores float64 `json:"cores,omitempty"`
}

// beat is a standby's heartbeat to the scheduler.
type beat struct {
	Member
	CatalogVersion int64 `json:"catalog"`
	// MembersHash tells which list of members the standby has.
	MembersHash uint64 `json:"members_hash,omitempty"`
}

// beatReply is the scheduler's answer.
type beatReply struct {
	Fence          uint64 `json:"fence"`
	CatalogVersion int64  `json:"catalog"`
	StoreAgeMS     int64  `json:"store_age_ms"`
	// FailingMS is how long the table has refused the scheduler's calls.
	FailingMS int64 `json:"failing_ms,omitempty"`
	// Members are sent if the standby has another list.
	Members []Member `json:"members,omitempty"`
	Leaving bool     `json:"leaving,omitempty"`
}

// seenReply tells which scheduler an entry knows and how recently it heard it.
type seenReply struct {
	leaseRow
	Fence      uint64 `json:"fence"`
	HeardAgoMS int64  `json:"heard_ago_ms"`
	StoreAgeMS int64  `json:"store_age_ms"`
	// Refused is set while the scheduler's address refuses connections.
	Refused bool `json:"refused,omitempty"`
}

// rawCatalog is a version of the configuration as it was read.
type rawCatalog struct {
	Raw []byte `json:"raw"`
}

// Operation is what a call about jobs asks for.
type Operation string

// The operations.
const (
	OpSubmit  Operation = "submit"
	OpState   Operation = "state"
	OpCancel  Operation = "cancel"
	OpPending Operation = "pending"
)

// Call is a client's call about a job or a queue.
type Call struct {
	Op    Operation `json:"op"`
	Queue string    `json:"queue"`
	// Team is empty for calls to public queues.
	Team string `json:"team,omitempty"`
	ID   string `json:"id,omitempty"`
	// Spec is the job of a submission.
	Spec *cell.JobSpec `json:"spec,omitempty"`
	// WithinMS is how long the caller waits, in milliseconds; 0 if that isn't known.
	WithinMS int64 `json:"within_ms,omitempty"`
}

// timed returns the call with how long its caller waits.
func (c Call) timed(ctx context.Context) Call {
	if deadline, ok := ctx.Deadline(); ok {
		c.WithinMS = max(1, time.Until(deadline).Milliseconds())
	}
	return c
}

// Result is how a call ended.
type Result string

// The results.
const (
	// ResultOK: done, or recorded.
	ResultOK Result = "ok"
	// ResultInvalid: the call can't be read.
	ResultInvalid Result = "invalid"
	// ResultRefused: not accepted, surely never runs; the scheduler decided so.
	ResultRefused Result = "refused"
	// ResultUnavailable: nothing was done; nobody can decide now.
	ResultUnavailable Result = "unavailable"
	// ResultUnknown: it may have been done.
	ResultUnknown Result = "unknown"
	// ResultNoJob: there is no such job.
	ResultNoJob Result = "no_job"
)

// Reply is the answer to a Call.
type Reply struct {
	Result     Result        `json:"result"`
	Reason     string        `json:"reason,omitempty"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	State      cell.State    `json:"state,omitempty"`
	Pending    int           `json:"pending,omitempty"`
}

// adviseCall asks another entry to call the advisory service.
type adviseCall struct {
	Step    string   `json:"step"`
	Workers []string `json:"workers"`
}

// adviseReply is its answer.
type adviseReply struct {
	Good []cell.Ticket `json:"good"`
}
