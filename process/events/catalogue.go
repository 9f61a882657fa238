package events

import "github.com/sirupsen/logrus"

const nothing = "Nothing."

// The events. Numbers: 1xxx process, 2xxx ownership and membership, 3xxx
// configuration, 4xxx workers and tasks, 5xxx requests, 6xxx jobs.
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
)

// Catalogue lists all events by number.
var Catalogue = []*Event{
	EntryStarted, EntryDrains, EntryStopped, EntryFailed,
	BlockGained, BlockLost, OwnershipFailed, EntryTakenOver, PeerFailed, ListFailed,
	VersionInForce, StoreFailed, AdmissionStopped, AdmissionResumed,
	WorkerAdopted, WorkerUnreachable, WorkerAside, WorkerReturned, TeamShrunk,
	RequestUnknown,
	KeeperError,
}
