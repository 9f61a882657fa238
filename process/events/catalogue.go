package events

import "github.com/sirupsen/logrus"

const nothing = "Nothing."

// The events. Numbers: 1xxx process, 2xxx ownership and membership, 3xxx
// configuration, 4xxx workers and tasks, 5xxx requests, 6xxx jobs,
// 7xxx cells on a platform whose workers hold leases.
var (
	EntryStarted = &Event{1001, logrus.InfoLevel, "entry started", []string{"callers", "operators", "peers", "metrics"}, nothing}
	EntryDrains  = &Event{1002, logrus.InfoLevel, "entry stops: not ready, finishing work", []string{"requests"}, nothing}
	EntryStopped = &Event{1003, logrus.InfoLevel, "entry stopped", []string{"unfinished"}, "If unfinished is above zero, raise timing.drain_timeout."}
	EntryFailed  = &Event{1004, logrus.ErrorLevel, "entry could not run", []string{"error"}, "Read the error; it names the step."}

	BlockGained     = &Event{2001, logrus.InfoLevel, "block gained", []string{"block", "epoch"}, nothing}
	BlockLost       = &Event{2002, logrus.InfoLevel, "block lost", []string{"block"}, nothing}
	OwnershipFailed = &Event{2003, logrus.WarnLevel, "ownership step failed", []string{"step", "error"}, "Look at the platform's table if it lasts."}
	EntryTakenOver  = &Event{2004, logrus.WarnLevel, "another entry was taken over", []string{"entry", "incarnation"}, "Check the instance of that entry."}
	PeerFailed      = &Event{2005, logrus.WarnLevel, "peer can't be reached", []string{"peer", "error"}, "If it lasts, check the network between the two instances."}
	ListFailed      = &Event{2006, logrus.WarnLevel, "instance list can't be read", []string{"error"}, "The last list stays in use; look at the platform."}

	VersionInForce   = &Event{3001, logrus.InfoLevel, "configuration in force", []string{"version"}, nothing}
	StoreFailed      = &Event{3002, logrus.WarnLevel, "configuration can't be read from the platform", []string{"error"}, "Peers keep each other current; look at the platform."}
	AdmissionStopped = &Event{3003, logrus.ErrorLevel, "no contact with platform or peers: admitting nothing", nil, "Check this instance's network; callers get a refusal with a time to come back."}
	AdmissionResumed = &Event{3004, logrus.InfoLevel, "admitting again", nil, nothing}

	WorkerAdopted     = &Event{4001, logrus.InfoLevel, "worker adopted", []string{"worker", "epoch", "tasks"}, nothing}
	WorkerUnreachable = &Event{4002, logrus.WarnLevel, "worker can't be reached", []string{"worker", "error"}, "What it holds counts as used until its leases have surely ended."}
	WorkerAside       = &Event{4003, logrus.WarnLevel, "worker set aside: it fails far more than its peers", []string{"worker"}, "Replace the worker; it is probed and returns by itself if it recovers."}
	WorkerReturned    = &Event{4004, logrus.InfoLevel, "worker works again", []string{"worker"}, nothing}

	TeamShrunk = &Event{4006, logrus.InfoLevel, "tasks checkpointed: the team's limit was lowered below what runs", []string{"team", "tasks"}, nothing}

	RequestUnknown = &Event{5001, logrus.WarnLevel, "request handed over, answer lost", []string{"request", "team", "worker", "error"}, "The caller was told that the outcome is unknown."}

	KeeperError = &Event{6002, logrus.WarnLevel, "job keeper step failed", []string{"step", "error"}, "Retried; look at the platform if it lasts."}

	SchedulerKnown    = &Event{7001, logrus.InfoLevel, "scheduler known", []string{"holder", "fence"}, nothing}
	SchedulerTook     = &Event{7002, logrus.InfoLevel, "lease of the cell taken", []string{"fence", "reason", "took"}, "If it was taken from a live entry, look at that entry's network."}
	SchedulerBegan    = &Event{7003, logrus.InfoLevel, "cell read, scheduling", []string{"fence", "jobs", "live", "took"}, nothing}
	SchedulerReplaced = &Event{7004, logrus.WarnLevel, "another entry schedules the cell", []string{"fence", "reason"}, "Look at this entry's network and processor at that time."}
	SchedulerEnded    = &Event{7005, logrus.InfoLevel, "no longer scheduling", []string{"fence"}, nothing}
	TableLost         = &Event{7006, logrus.WarnLevel, "the table can't be reached", []string{"age", "error"}, "Look at the platform; nothing new is accepted or started meanwhile."}
	TableBack         = &Event{7007, logrus.InfoLevel, "the table answers again", []string{"after"}, nothing}
	SettingsReloaded  = &Event{7008, logrus.InfoLevel, "settings read again", []string{"reason", "outcome"}, nothing}
	FeedLost          = &Event{7009, logrus.WarnLevel, "a feed of the platform can't be read", []string{"table", "error"}, "Look at the platform; the last state stays in use."}
	FeedBack          = &Event{7010, logrus.InfoLevel, "a feed of the platform is read again", []string{"table", "after"}, nothing}
	RowIgnored        = &Event{7011, logrus.WarnLevel, "a row of the platform can't be used", []string{"table", "key", "error"}, "Look at who writes that row."}

	WriteSlow = &Event{7012, logrus.WarnLevel, "a write to the table took long", []string{"took", "under_way", "rows"}, "Look at the platform if it lasts."}

	JobAccepted  = &Event{7101, logrus.InfoLevel, "job accepted", []string{"job", "team", "age"}, nothing}
	JobRefused   = &Event{7102, logrus.InfoLevel, "job refused, it never runs", []string{"job", "team", "reason", "retry_after"}, nothing}
	JobEnded     = &Event{7103, logrus.InfoLevel, "job ended", []string{"job", "team", "state", "age"}, nothing}
	JobCancelled = &Event{7104, logrus.InfoLevel, "job cancelled", []string{"job", "team", "age"}, nothing}
	CallRefused  = &Event{7105, logrus.InfoLevel, "call answered without success", []string{"job", "queue", "team", "operation", "status", "reason", "catalog", "took"}, nothing}

	RunPlaced      = &Event{7201, logrus.InfoLevel, "runs of a step placed; the task is the first, a worker each", []string{"task", "run", "runs", "workers", "age"}, nothing}
	RunWithdrawn   = &Event{7202, logrus.InfoLevel, "run withdrawn, it surely isn't on its worker", []string{"task", "run", "worker", "reason"}, nothing}
	StartFailed    = &Event{7203, logrus.WarnLevel, "order to start wasn't answered with success", []string{"task", "run", "worker", "answer", "age"}, nothing}
	RunEnded       = &Event{7204, logrus.InfoLevel, "run ended without success", []string{"task", "run", "worker", "end", "age"}, nothing}
	RunStuck       = &Event{7205, logrus.WarnLevel, "run stands still, stopped", []string{"task", "run", "worker", "still_for", "percents"}, "Look at the worker if it repeats; percents tells how far all runs of the step are."}
	RunUnknown     = &Event{7206, logrus.WarnLevel, "a worker lists a run that isn't known, stopped", []string{"task", "run", "worker", "error"}, nothing}
	AdviceFailed   = &Event{7207, logrus.WarnLevel, "call for advice failed", []string{"step", "entry", "workers", "error"}, "Asked again by itself; look at the advisory service if it lasts."}
	StepWaits      = &Event{7208, logrus.InfoLevel, "the step that waits longest", []string{"step", "team", "age", "reason", "steps"}, "The reason counts the workers that each condition leaves."}
	WorkerTaken    = &Event{7301, logrus.InfoLevel, "worker adopted by this scheduler", []string{"worker", "runs"}, nothing}
	WorkerSilent   = &Event{7302, logrus.WarnLevel, "worker doesn't answer", []string{"worker", "runs"}, "Its runs go on under its lease; they start elsewhere once that has surely run out."}
	WorkerAnswers  = &Event{7303, logrus.InfoLevel, "worker answers again", []string{"worker"}, nothing}
	WorkerLapsed   = &Event{7304, logrus.WarnLevel, "worker's lease has surely run out, its runs count as gone", []string{"worker", "runs"}, "Look at the worker."}
	WorkerReborn   = &Event{7305, logrus.WarnLevel, "worker started anew", []string{"worker", "runs"}, nothing}
	WorkerDrains   = &Event{7306, logrus.InfoLevel, "worker drains, no new work", []string{"worker"}, nothing}
	WorkerMissing  = &Event{7307, logrus.InfoLevel, "worker left the directory", []string{"worker"}, nothing}
	WorkerUnsound  = &Event{7308, logrus.WarnLevel, "worker set aside", []string{"worker", "reason"}, "It is probed and returns by itself; replace it if it doesn't."}
	UpkeepBegun    = &Event{7401, logrus.InfoLevel, "machine taken down for its upkeep", []string{"machine", "wave"}, nothing}
	WaveCompleted  = &Event{7402, logrus.InfoLevel, "wave of upkeep completed", []string{"wave", "machines"}, nothing}
	UpkeepFailed   = &Event{7403, logrus.WarnLevel, "a step of a wave of upkeep failed", []string{"error"}, "Retried; look at the platform's service for machines if it lasts."}
	WorkerRestored = &Event{7309, logrus.InfoLevel, "worker set aside works again", []string{"worker"}, nothing}
)

// Catalogue lists all events by number.
var Catalogue = []*Event{
	EntryStarted, EntryDrains, EntryStopped, EntryFailed,
	BlockGained, BlockLost, OwnershipFailed, EntryTakenOver, PeerFailed, ListFailed,
	VersionInForce, StoreFailed, AdmissionStopped, AdmissionResumed,
	WorkerAdopted, WorkerUnreachable, WorkerAside, WorkerReturned, TeamShrunk,
	RequestUnknown,
	KeeperError,
	SchedulerKnown, SchedulerTook, SchedulerBegan, SchedulerReplaced, SchedulerEnded, TableLost, TableBack,
	SettingsReloaded, FeedLost, FeedBack, RowIgnored, WriteSlow,
	JobAccepted, JobRefused, JobEnded, JobCancelled, CallRefused,
	RunPlaced, RunWithdrawn, StartFailed, RunEnded, RunStuck, RunUnknown, AdviceFailed, StepWaits,
	WorkerTaken, WorkerSilent, WorkerAnswers, WorkerLapsed, WorkerReborn, WorkerDrains, WorkerMissing,
	WorkerUnsound, WorkerRestored, UpkeepBegun, WaveCompleted, UpkeepFailed,
}
