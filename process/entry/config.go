// Package entry puts one entry of the scheduler together and runs it.
//
// An entry has four listeners: callers, operators, peers and metrics. It joins
// the platform's table, owns a part of the blocks (workers and key shards), and
// runs the loops that keep its view of the fleet and its configuration current.
//
// Stopping. Stop makes the entry not ready, lets no new work in, waits for the
// calls in progress, hands remembered request ids to its peers, gives its blocks
// and allotments back and ends.
package entry

import (
	"net"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/traffic"
	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// Listeners are the bound listeners of an entry.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
	Metrics   net.Listener
}

// Timings are the periods and bounds of an entry.
type Timings struct {
	// Heartbeat is the period of heartbeats and of the exchange between entries.
	Heartbeat time.Duration
	// QuickTerm and LongTerm are the terms of ownership.
	QuickTerm, LongTerm time.Duration
	// TaskLease is how long a task runs without a renewal.
	TaskLease time.Duration
	// ConfigPoll is the period of reading the configuration's head, ConfigBound
	// how long an entry admits without news of it.
	ConfigPoll, ConfigBound time.Duration
	// ListPoll is the period of reading the instance list.
	ListPoll time.Duration
	// Drain bounds a graceful stop.
	Drain time.Duration
	// ReadHeader bounds the reading of a request's header, ReadBody of all of it.
	ReadHeader, ReadBody time.Duration
}

// Config is what an entry is made of. All fields are required.
type Config struct {
	Instance      string
	Incarnation   string
	FailureDomain string
	Region        string
	// PeerAddress is the address of the peers' listener as others reach it.
	PeerAddress string
	// PerRack makes a rack the unit of ownership; else it is a worker.
	PerRack           bool
	OperatorKeySHA256 string
	MaxBodyBytes      int64
	MaxHeaderBytes    int
	// MaxQueue is how many requests of an upstream may wait.
	MaxQueue  int
	Timings   Timings
	Listeners Listeners

	Table     platform.Table
	Objects   platform.Objects
	Instances platform.Instances
	// Traffic counts the bytes that the adapters and peer links carry.
	Traffic *traffic.Meter
	// Dial returns a client of a worker; it does no I/O.
	Dial func(platform.Instance) worker.Client
	Log  *events.Logger

	// Omit leaves out mechanisms, so that a proof can be seen to fail without
	// them. It is zero in the product and no setting reaches it.
	Omit Omissions
}

// Omissions are the mechanisms that an entry can be run without.
type Omissions struct {
	// AllotmentTable, if set, holds the allotments in place of the shared table, so
	// that each entry has the whole limit to itself.
	AllotmentTable platform.Table
	// Right: what was once granted is acted on without asking whether it holds.
	Right bool
	// Replication: guards remember no request ids.
	Replication bool
	// Dedupe: a repeated request id runs like any other.
	Dedupe bool
	// Drain: a stop doesn't wait for what runs.
	Drain bool
	// ConfigBound: the entry admits however long it had no news of the configuration.
	ConfigBound bool
	// PeerNews: it hears nothing of the configuration from its peers.
	PeerNews bool
	// Conditions: it moves the configuration's head whatever the head is.
	Conditions bool
	// ReadBack: it takes a commit whose answer was lost for one without effect.
	ReadBack bool
	// TeamOfWork: jobs and request ids of all teams are one set.
	TeamOfWork bool
	// Leaving: it doesn't see that workers leave or are drained.
	Leaving bool
	// PeersLeaving: it doesn't learn from its peers which workers leave.
	PeersLeaving bool
}
