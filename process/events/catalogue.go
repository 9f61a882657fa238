package events

import "github.com/sirupsen/logrus"

// nothing is the Action of an event that needs none.
const nothing = "Nothing."

// The events, with numbers by area: 1xxx process, 2xxx ownership and membership, 3xxx configuration,
// 4xxx workers and tasks, 5xxx requests, 6xxx jobs, 7xxx cells on a platform whose
// workers hold leases.
var (
	EntryStarted  = &Event{1001, logrus.InfoLevel, "entry started", []string{"callers", "operators", "peers", "metrics"}, nothing}
	EntryDraining = &Event{1002, logrus.InfoLevel, "entry stopping: not ready, finishing work in progress", []string{"requests"}, nothing}
	EntryStopped  = &Event{1003, logrus.InfoLevel, "entry stopped", []string{"unfinished"}, "If unfinished is above zero, raise timings.drain_timeout."}
	EntryFailed   = &Event{1004, logrus.ErrorLevel, "entry failed", []string{"error"}, "The error names the failed step."}
	ServerDrained = &Event{1005, logrus.InfoLevel, "server drained; requests, oldest, idle and unused as its listener was closed", []string{"server", "took", "requests", "oldest", "idle", "unused", "cancelled", "cut", "idle_closed", "crossed"}, "If cut is above zero, requests were not answered within the grace period: look for what they waited for. idle_closed counts connections closed with no request in progress, crossed those on which bytes arrived after the close: requests that were not read."}

	BlockGained     = &Event{2001, logrus.InfoLevel, "block acquired", []string{"block", "epoch"}, nothing}
	BlockLost       = &Event{2002, logrus.InfoLevel, "block lost", []string{"block"}, nothing}
	OwnershipFailed = &Event{2003, logrus.WarnLevel, "ownership operation failed", []string{"step", "error"}, "Check the platform's table if it persists."}
	EntryTakenOver  = &Event{2004, logrus.WarnLevel, "blocks of another entry taken over", []string{"entry", "incarnation", "messages"}, "Check the instance of that entry. messages counts what its witnesses kept of its request ids."}
	PeerFailed      = &Event{2005, logrus.WarnLevel, "peer unreachable", []string{"peer", "error"}, "If it persists, check the network between the two instances."}
	ListFailed      = &Event{2006, logrus.WarnLevel, "cannot read the instance list", []string{"error"}, "The last list stays in use; check the platform."}

	VersionInForce   = &Event{3001, logrus.InfoLevel, "configuration version applied", []string{"version"}, nothing}
	ConfigReadFailed = &Event{3002, logrus.WarnLevel, "cannot read the configuration from the platform", []string{"error"}, "Peers keep each other up to date; check the platform."}
	AdmissionStopped = &Event{3003, logrus.ErrorLevel, "admission stopped: no contact with platform or peers", nil, "Check this instance's network; callers get a refusal with a retry time."}
	AdmissionResumed = &Event{3004, logrus.InfoLevel, "admission resumed", nil, nothing}

	// CatalogBehind is logged once for each version that an entry hears of before it has read it.
	CatalogBehind     = &Event{3005, logrus.InfoLevel, "another entry has a newer configuration", []string{"version", "newest", "peer"}, "Nothing, if KCL-3001 with the newest version follows; else compare kingcuplatch_bytes_total with this instance's link."}
	CatalogNotFetched = &Event{3006, logrus.WarnLevel, "newer configuration not fetched from another entry", []string{"peer", "version", "after", "bytes", "error"}, "Retried; if it persists, compare kingcuplatch_bytes_total with this instance's link."}

	WorkerAdopted     = &Event{4001, logrus.InfoLevel, "worker adopted", []string{"worker", "epoch", "tasks"}, nothing}
	WorkerUnreachable = &Event{4002, logrus.WarnLevel, "worker unreachable", []string{"worker", "error"}, "Its capacity counts as used until its leases have expired."}
	WorkerQuarantined = &Event{4003, logrus.WarnLevel, "worker quarantined: it fails far more often than its peers", []string{"worker"}, "Replace the worker; it is probed and released from quarantine if it recovers."}
	WorkerReleased    = &Event{4004, logrus.InfoLevel, "worker released from quarantine", []string{"worker"}, nothing}

	TeamOverLimit = &Event{4006, logrus.InfoLevel, "tasks checkpointed: the team's limit was lowered below its usage", []string{"team", "tasks"}, nothing}

	RequestOutcomeUnknown = &Event{5001, logrus.WarnLevel, "request dispatched, no reply: outcome unknown", []string{"request", "team", "worker", "error"}, "The caller got an error that says that the outcome is unknown."}

	CoordinatorFailed = &Event{6002, logrus.WarnLevel, "job coordinator step failed", []string{"step", "error"}, "Retried; check the platform if it persists."}

	SchedulerObserved = &Event{7001, logrus.InfoLevel, "new scheduler of the cell observed", []string{"holder", "fence"}, nothing}
	CellLeaseAcquired = &Event{7002, logrus.InfoLevel, "lease of the cell acquired", []string{"fence", "reason", "took"}, "If it was acquired from a live entry, check that entry's network."}
	SchedulerStarted  = &Event{7003, logrus.InfoLevel, "cell read, scheduling started", []string{"fence", "jobs", "live", "took"}, nothing}
	SchedulerReplaced = &Event{7004, logrus.WarnLevel, "another entry schedules the cell", []string{"fence", "reason"}, "Check this entry's network and CPU usage at that time."}
	SchedulerStopped  = &Event{7005, logrus.InfoLevel, "scheduling stopped", []string{"fence"}, nothing}
	TableUnreachable  = &Event{7006, logrus.WarnLevel, "table unreachable", []string{"age", "error"}, "Check the platform; nothing new is accepted or started until the table recovers."}
	TableRecovered    = &Event{7007, logrus.InfoLevel, "table reachable again", []string{"after"}, nothing}
	SettingsReloaded  = &Event{7008, logrus.InfoLevel, "settings file read again", []string{"reason", "outcome"}, nothing}
	FeedFailed        = &Event{7009, logrus.WarnLevel, "cannot read a feed of the platform", []string{"table", "error"}, "Check the platform; the last state stays in use."}
	FeedRecovered     = &Event{7010, logrus.InfoLevel, "feed of the platform readable again", []string{"table", "after"}, nothing}
	RowIgnored        = &Event{7011, logrus.WarnLevel, "unusable row of the platform ignored", []string{"table", "key", "error"}, "Check what writes that row."}

	WriteSlow = &Event{7012, logrus.WarnLevel, "slow write to the table", []string{"took", "under_way", "rows"}, "Check the platform if it persists."}

	HandoverDecided = &Event{7013, logrus.InfoLevel, "scheduler hands the cell over", []string{"fence", "successor", "reason", "held"}, nothing}
	HandoverDone    = &Event{7014, logrus.InfoLevel, "cell handed over", []string{"fence", "successor", "unfinished", "took"}, "Unfinished calls are repeated at the successor; check the table if they are many."}

	// SchedulerLoad tells what limits a scheduler: its processor (lag), its link (sent,
	// received), or the replies of workers.
	SchedulerLoad = &Event{7015, logrus.InfoLevel, "load of the scheduler since the line before", []string{"fence", "cores", "lag", "starting", "limit", "replies_per_s", "sent_bytes_per_s", "received_bytes_per_s"}, "Compare the bytes with the instance's link; see OPERATIONS.md, an overloaded scheduler."}

	TeamShares = &Event{7016, logrus.InfoLevel, "capacity is contended; what teams use and are entitled to, as parts of it", []string{"fence", "teams", "used_and_entitled"}, "See OPERATIONS.md, which team's work waits, and why."}

	JobsWaiting = &Event{7017, logrus.InfoLevel, "jobs that could run and don't for 2 s, by what they wait for", []string{"fence", "jobs", "waits_for", "longest"}, "See OPERATIONS.md, what accepted jobs wait for."}

	SchedulerFailed = &Event{7018, logrus.ErrorLevel, "a decision of the scheduler panicked, its leadership ends", []string{"fence", "reason", "stack"}, "Report it; the next scheduler reads the rows."}

	RowsNotLogged = &Event{7019, logrus.WarnLevel, "more unusable rows of the platform than are logged", []string{"table"}, "kingcuplatch_cell_rows_ignored_total counts them; check what writes them."}

	PeerCallPanicked = &Event{7020, logrus.ErrorLevel, "a call of another entry panicked, its link is closed", []string{"method", "reason", "stack"}, "Report it; the callers on the link treat their outcomes as unknown."}
	SchedulerMemory  = &Event{7021, logrus.InfoLevel, "memory held for accepted jobs, in bytes, and for runs", []string{"fence", "held", "limit", "runs", "run_limit", "waiting", "largest", "largest_bytes"}, "Written when scheduling starts and while it is scarce; waiting jobs have due work that is opened once other work is done. See OPERATIONS.md, memory."}

	JobAccepted  = &Event{7101, logrus.InfoLevel, "job accepted", []string{"job", "team", "age"}, nothing}
	JobRefused   = &Event{7102, logrus.InfoLevel, "job refused, it will not run", []string{"job", "team", "reason", "retry_after"}, nothing}
	JobEnded     = &Event{7103, logrus.InfoLevel, "job ended", []string{"job", "team", "state", "age"}, nothing}
	JobCancelled = &Event{7104, logrus.InfoLevel, "job cancelled", []string{"job", "team", "age"}, nothing}
	CallRefused  = &Event{7105, logrus.InfoLevel, "call rejected or failed", []string{"job", "queue", "team", "operation", "status", "reason", "catalog", "took"}, nothing}

	JobSetAside = &Event{7106, logrus.ErrorLevel, "job set aside, nothing of it is started or recorded", []string{"job", "team", "reason"}, "Report it with the job's rows; other jobs are not affected. Unless its rows can't be read it is tried again (KCL-7108)."}
	JobLarge    = &Event{7109, logrus.InfoLevel, "job with many tasks accepted or read", []string{"job", "team", "size"}, nothing}
	JobResumed  = &Event{7108, logrus.WarnLevel, "job that was set aside is tried again", []string{"job", "team", "after"}, "If it is set aside again, see KCL-7106."}

	RunPlaced              = &Event{7201, logrus.InfoLevel, "runs of a step placed, one worker per run; task and run are those of the first", []string{"task", "run", "runs", "workers", "age", "waited"}, nothing}
	RunWithdrawn           = &Event{7202, logrus.InfoLevel, "run withdrawn, its worker does not have it", []string{"task", "run", "worker", "reason"}, nothing}
	StartFailed            = &Event{7203, logrus.WarnLevel, "start command rejected or not answered", []string{"task", "run", "worker", "answer", "age"}, nothing}
	RunEnded               = &Event{7204, logrus.InfoLevel, "run ended without success", []string{"task", "run", "worker", "end", "age"}, nothing}
	RunStalled             = &Event{7205, logrus.WarnLevel, "run stopped: no progress within the stall timeout", []string{"task", "run", "worker", "still_for", "percents"}, "Check the worker if it repeats; percents is the progress of all runs of the step."}
	RunUnknown             = &Event{7206, logrus.WarnLevel, "unknown run on a worker stopped", []string{"task", "run", "worker", "error"}, nothing}
	AdviceFailed           = &Event{7207, logrus.WarnLevel, "advice call failed", []string{"step", "entry", "workers", "error"}, "Retried; check the advisory service if it persists."}
	StepWaiting            = &Event{7208, logrus.InfoLevel, "step with the longest wait", []string{"step", "team", "age", "waited", "reason", "steps"}, "The reason counts the workers that remain after each condition."}
	StartsNotRelayed       = &Event{7209, logrus.InfoLevel, "start commands not relayed by another entry", []string{"job", "entry", "runs", "sent", "error"}, "With sent false the scheduler sends them itself; if it persists, check that entry's network."}
	TaskGivenUp            = &Event{7210, logrus.WarnLevel, "task given up, it crashes its workers; its job has failed", []string{"task", "team", "queue", "run", "reason"}, "See OPERATIONS.md, a task crashes its workers."}
	JobWaiting             = &Event{7211, logrus.InfoLevel, "job that could run and doesn't, the longest wait for this reason", []string{"job", "team", "step", "waits_for", "waited", "waiting", "running", "last_run", "detail"}, "See OPERATIONS.md, what accepted jobs wait for."}
	TaskCrashesWorkers     = &Event{7212, logrus.WarnLevel, "long-running task crashes its workers; it is started again later, alone", []string{"task", "team", "queue", "run", "reason"}, "See OPERATIONS.md, a task crashes its workers."}
	CellWorkerAdopted      = &Event{7301, logrus.InfoLevel, "worker adopted by this scheduler", []string{"worker", "runs", "address"}, nothing}
	CellWorkerUnreachable  = &Event{7302, logrus.WarnLevel, "worker unreachable", []string{"worker", "runs", "error"}, "Its runs continue under its lease and start elsewhere once the lease has expired."}
	CellWorkerReachable    = &Event{7303, logrus.InfoLevel, "worker reachable again", []string{"worker"}, nothing}
	CellWorkerLeaseExpired = &Event{7304, logrus.WarnLevel, "worker's lease expired, its runs count as ended", []string{"worker", "runs"}, "Check the worker."}
	CellWorkerRestarted    = &Event{7305, logrus.WarnLevel, "worker restarted", []string{"worker", "runs"}, nothing}
	CellWorkerDraining     = &Event{7306, logrus.InfoLevel, "worker draining, no new work", []string{"worker"}, nothing}
	CellWorkerMissing      = &Event{7307, logrus.InfoLevel, "worker no longer in the directory", []string{"worker"}, nothing}
	CellWorkerQuarantined  = &Event{7308, logrus.WarnLevel, "worker quarantined", []string{"worker", "reason"}, "It is probed and released when it recovers; replace it if it is not released."}
	CellWorkerSetAside     = &Event{7310, logrus.ErrorLevel, "reply of a worker could not be handled", []string{"worker", "reason"}, "Report it; the worker gets no new work for a minute."}
	PollGroupReturned      = &Event{7311, logrus.InfoLevel, "workers polled by the scheduler again, not by another entry", []string{"entry", "workers", "reason"}, "If it persists, check that entry's network and CPU usage."}
	CellWorkerCrashed      = &Event{7312, logrus.WarnLevel, "worker's process has ended, with runs in progress", []string{"worker", "runs", "sign", "after", "common"}, "See OPERATIONS.md, a task crashes its workers."}
	UpkeepStarted          = &Event{7401, logrus.InfoLevel, "upkeep of a machine started", []string{"machine", "wave"}, nothing}
	WaveCompleted          = &Event{7402, logrus.InfoLevel, "upkeep wave completed", []string{"wave", "machines"}, nothing}
	UpkeepFailed           = &Event{7403, logrus.WarnLevel, "step of an upkeep wave failed", []string{"error"}, "Retried; check the platform's machine service if it persists."}
	EvacuationBegun        = &Event{7404, logrus.InfoLevel, "failure domain evacuated, it gets no new work", []string{"failure_domain", "workers", "runs"}, "See OPERATIONS.md, emptying a failure domain; a domain without workers may be misspelled."}
	EvacuationEmpty        = &Event{7405, logrus.InfoLevel, "evacuated failure domain is empty", []string{"failure_domain", "workers", "after"}, nothing}
	EvacuationEnded        = &Event{7406, logrus.InfoLevel, "evacuation taken back, the failure domain gets work", []string{"failure_domain", "workers", "runs"}, nothing}
	CellWorkerReleased     = &Event{7309, logrus.InfoLevel, "worker released from quarantine", []string{"worker"}, nothing}
)

// Catalogue lists all events by number.
var Catalogue = []*Event{
	EntryStarted, EntryDraining, EntryStopped, EntryFailed, ServerDrained,
	BlockGained, BlockLost, OwnershipFailed, EntryTakenOver, PeerFailed, ListFailed,
	VersionInForce, ConfigReadFailed, AdmissionStopped, AdmissionResumed, CatalogBehind, CatalogNotFetched,
	WorkerAdopted, WorkerUnreachable, WorkerQuarantined, WorkerReleased, TeamOverLimit,
	RequestOutcomeUnknown,
	CoordinatorFailed,
	SchedulerObserved, CellLeaseAcquired, SchedulerStarted, SchedulerReplaced, SchedulerStopped, TableUnreachable, TableRecovered,
	SettingsReloaded, FeedFailed, FeedRecovered, RowIgnored, WriteSlow, HandoverDecided, HandoverDone, SchedulerLoad, TeamShares, JobsWaiting, SchedulerFailed, RowsNotLogged, PeerCallPanicked, SchedulerMemory,
	JobAccepted, JobRefused, JobEnded, JobCancelled, CallRefused, JobSetAside, JobResumed, JobLarge,
	RunPlaced, RunWithdrawn, StartFailed, RunEnded, RunStalled, RunUnknown, AdviceFailed, StepWaiting, StartsNotRelayed, TaskGivenUp, JobWaiting, TaskCrashesWorkers,
	CellWorkerAdopted, CellWorkerUnreachable, CellWorkerReachable, CellWorkerLeaseExpired, CellWorkerRestarted, CellWorkerDraining, CellWorkerMissing,
	CellWorkerQuarantined, CellWorkerReleased, CellWorkerSetAside, PollGroupReturned, CellWorkerCrashed, UpkeepStarted, WaveCompleted, UpkeepFailed,
	EvacuationBegun, EvacuationEmpty, EvacuationEnded,
}
