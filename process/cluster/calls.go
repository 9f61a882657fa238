package cluster

import (
	"context"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
)

// RPC methods between entries.
const (
	methodHeartbeat = "cell.beat"
	methodSeen      = "cell.seen"
	methodReleased  = "cell.released"
	methodOffer     = "cell.offer"
	methodAcquiring = "cell.taking"
	methodAcquired  = "cell.took"
	methodLoaded    = "cell.loaded"
	methodCall      = "cell.call"
	methodAdvise    = "cell.advise"
	methodCatalog   = "cell.catalog"
	methodStart     = "cell.start"
	methodStarted   = "cell.started"
	methodPoll      = "cell.poll"
)

// codeNotScheduler is the RPC error code of an entry that is not the scheduler.
const codeNotScheduler = -32101

// Member is an entry as listed by other entries.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Cores is the processor capacity of the entry; larger entries schedule first.
	Cores float64 `json:"cores,omitempty"`
	// Leaving is set while the entry leaves: it doesn't take the lease.
	Leaving bool `json:"leaving,omitempty"`
}

// heartbeat is sent by a standby to the scheduler.
type heartbeat struct {
	Member
	CatalogVersion int64 `json:"catalog"`
	// MembersHash identifies the list of members that the standby has.
	MembersHash uint64 `json:"members_hash,omitempty"`
	// Stamp is that of the scheduler's last reply.
	Stamp int64 `json:"stamp,omitempty"`
	// UptimeMS is how long ago the standby's process started, and LeavingMS how long ago it
	// began to leave, in milliseconds.
	UptimeMS  int64 `json:"uptime_ms,omitempty"`
	LeavingMS int64 `json:"leaving_ms,omitempty"`
	// Inflates is set if the standby can read compressed rows.
	Inflates bool `json:"inflates,omitempty"`
}

// heartbeatReply is the scheduler's answer to a heartbeat.
type heartbeatReply struct {
	Fence          uint64 `json:"fence"`
	CatalogVersion int64  `json:"catalog"`
	// ConfigAgeMS is how long ago the scheduler's configuration was known to be the newest, in
	// milliseconds; 0 if it never was, or if an earlier version sends the reply.
	ConfigAgeMS int64 `json:"config_age_ms,omitempty"`
	TableAgeMS  int64 `json:"store_age_ms"`
	// TableSilentMS is how long ago the last answer of the table reached the scheduler, in
	// milliseconds.
	TableSilentMS int64 `json:"table_silent_ms,omitempty"`
	// FailingMS is how long the scheduler's calls to the table have failed, in
	// milliseconds.
	FailingMS int64 `json:"failing_ms,omitempty"`
	// Members are sent if the standby's list differs.
	Members []Member `json:"members,omitempty"`
	Leaving bool     `json:"leaving,omitempty"`
	// Loading is set while the scheduler reads the cell.
	Loading bool `json:"loading,omitempty"`
	// Stamp is the time of the reply on the scheduler's clock, in milliseconds.
	Stamp int64 `json:"stamp,omitempty"`
	// LagMS is how late the scheduler's process runs work that is ready, in milliseconds.
	LagMS int64 `json:"lag_ms,omitempty"`
	// Evacuations are those that the scheduler applies; nil if an earlier version sends the reply.
	Evacuations *evacuations `json:"evacuations,omitempty"`
}

// evacuations are the operators' requests to empty failure domains.
type evacuations struct {
	Domains []string `json:"domains,omitempty"`
}

// seenReply names the scheduler that an entry follows, with the ages, in milliseconds, of
// the entry's last contact with the scheduler and of the scheduler's last contact with the
// table. It is also the message of offers and notifications of the lease.
type seenReply struct {
	leaseRow
	Fence        uint64 `json:"fence"`
	ContactAgeMS int64  `json:"heard_ago_ms"`
	TableAgeMS   int64  `json:"store_age_ms"`
	// Refused is set while the scheduler's address refuses connections or heartbeats.
	Refused bool `json:"refused,omitempty"`
	// Successor is the entry that is to acquire a released lease; empty if any may.
	Successor string `json:"successor,omitempty"`
	// Loading is set in the notification of a scheduler that still has to read the cell.
	Loading bool `json:"loading,omitempty"`
	// Stamp is the time of a new scheduler's notification on its clock, in milliseconds.
	Stamp int64 `json:"stamp,omitempty"`
}

// offerReply answers a scheduler that offers to hand the cell over.
type offerReply struct {
	// Accepted is set if the entry will acquire the lease once it is released.
	Accepted bool `json:"accepted"`
}

// catalogCall asks for a part of the configuration; without Limit, for the whole.
type catalogCall struct {
	// Version is the one of which the caller has the first Offset bytes; 0 if it has none.
	Version int64 `json:"version,omitempty"`
	Offset  int   `json:"offset,omitempty"`
	// Limit is the size of the part, in bytes.
	Limit int `json:"limit,omitempty"`
}

// rawCatalog is a part of a version of the configuration in its encoded form, or the whole.
type rawCatalog struct {
	Raw []byte `json:"raw"`
	// Version, Offset and Size tell which part Raw is, and the size of the whole. All are 0 if Raw
	// is the whole.
	Version int64 `json:"version,omitempty"`
	Offset  int   `json:"offset,omitempty"`
	Size    int   `json:"size,omitempty"`
}

// Operation is the kind of a call about jobs.
type Operation string

// The operations.
const (
	OpSubmit  Operation = "submit"
	OpState   Operation = "state"
	OpCancel  Operation = "cancel"
	OpPending Operation = "pending"
	// OpKnown asks whether a job was accepted, or is about to be.
	OpKnown Operation = "known"
)

// Call is a client's call about a job or a queue.
type Call struct {
	Op    Operation `json:"op"`
	Queue string    `json:"queue"`
	// Team is empty for calls to public queues.
	Team string `json:"team,omitempty"`
	ID   string `json:"id,omitempty"`
	// Spec is the submitted job.
	Spec *cell.JobSpec `json:"spec,omitempty"`
	// WithinMS is how long the caller waits, in milliseconds; 0 if unknown.
	WithinMS int64 `json:"within_ms,omitempty"`
	// Via is the entry that forwards the call.
	Via string `json:"via,omitempty"`
	// Fence is that of the scheduler to which the call is forwarded; 0 if an earlier version
	// forwards it. Only that leadership may answer the call.
	Fence uint64 `json:"fence,omitempty"`
	// NotAfter is the time on the scheduler's clock, in milliseconds, after which the call has no
	// effect, since the entry that forwards it waits no longer; 0 if it doesn't know that clock.
	NotAfter int64 `json:"not_after_ms,omitempty"`
}

// timed returns the call with WithinMS set from the deadline of ctx.
func (c Call) timed(ctx context.Context) Call {
	if deadline, ok := ctx.Deadline(); ok {
		c.WithinMS = max(1, time.Until(deadline).Milliseconds())
	}
	return c
}

// Result is the outcome of a call.
type Result string

// The results.
const (
	// ResultOK: done, or recorded.
	ResultOK Result = "ok"
	// ResultInvalid: the call is malformed.
	ResultInvalid Result = "invalid"
	// ResultRefused: the scheduler has not accepted the job, which will never run.
	ResultRefused Result = "refused"
	// ResultUnavailable: no scheduler can decide now; the call had no effect.
	ResultUnavailable Result = "unavailable"
	// ResultUnknown: the call may have taken effect.
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
	// Ended is set with ResultUnknown if scheduling ended before the outcome was known: the
	// next scheduler knows it.
	Ended bool `json:"ended,omitempty"`
	// Overloaded is set with ResultRefused if there is too much work, for the workers or for the
	// scheduler itself.
	Overloaded bool `json:"overloaded,omitempty"`
}

// adviseCall requests that another entry call the advisory service.
type adviseCall struct {
	Step    string   `json:"step"`
	Workers []string `json:"workers"`
}

// adviseReply is the answer to an adviseCall.
type adviseReply struct {
	Tickets []cell.Ticket `json:"good"`
	// TookMS is how long the call to the advisory service took, in milliseconds.
	TookMS int64 `json:"took_ms,omitempty"`
}
