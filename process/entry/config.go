// Package entry assembles and runs one entry, an instance of the scheduler's daemon.
//
// An entry has four listeners: for callers, operators, peers and metrics. It registers
// in the platform's table, owns a part of the blocks (workers and key shards), and
// refreshes its view of the fleet and its configuration.
//
// A graceful stop reports the entry as not ready, admits no new work, waits for the
// calls in progress, hands the dispatched request ids over, and releases
// the entry's allotments and blocks.
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

// Timings holds the periods and timeouts of an entry.
type Timings struct {
	// Heartbeat is the period of heartbeats and of the exchange between entries.
	Heartbeat time.Duration
	// QuickTerm and LongTerm are the terms of ownership leases.
	QuickTerm, LongTerm time.Duration
	// TaskLease is how long a task runs without renewal of its lease.
	TaskLease time.Duration
	// ConfigPoll is the period of reading the configuration's head. ConfigBound is how
	// long an entry admits without confirmation of its configuration.
	ConfigPoll, ConfigBound time.Duration
	// ListPoll is the period of reading the instance list.
	ListPoll time.Duration
	// Drain bounds a graceful stop.
	Drain time.Duration
	// ReadHeader is the timeout of reading a request's header, ReadBody that of reading
	// the whole request.
	ReadHeader, ReadBody time.Duration
}

// Config configures an entry. All fields except Omit are required.
type Config struct {
	Instance      string
	Incarnation   string
	FailureDomain string
	Region        string
	// PeerAddress is the advertised address of the peers' listener.
	PeerAddress string
	// PerRack makes a rack the unit of ownership, instead of a worker.
	PerRack           bool
	OperatorKeySHA256 string
	MaxBodyBytes      int64
	MaxHeaderBytes    int
	// MaxQueue is the maximum number of waiting requests of an upstream.
	MaxQueue  int
	Timings   Timings
	Listeners Listeners

	Table     platform.Table
	Objects   platform.Objects
	Instances platform.Instances
	// Traffic counts the bytes sent and received by the adapters and peer links.
	Traffic *traffic.Meter
	// Dial returns a client of a worker. It does no I/O.
	Dial func(platform.Instance) worker.Client
	Log  *events.Logger

	// Omit disables mechanisms, so that a test can show that it fails without them. It
	// is zero in production; no setting changes it.
	Omit Omissions
}

// Omissions selects mechanisms to disable.
type Omissions struct {
	// AllotmentTable, if set, replaces the shared table for allotments, so that each
	// entry may use the whole limit of a team.
	AllotmentTable platform.Table
	// LeaseCheck: an owned block is used without checking that its lease is still valid.
	LeaseCheck bool
	// Replication: request ids aren't replicated to the witnesses.
	Replication bool
	// Dedupe: a request with a repeated id runs again.
	Dedupe bool
	// Drain: a stop doesn't wait for work in progress.
	Drain bool
	// ConfigBound: the entry admits however old its configuration is.
	ConfigBound bool
	// PeerUpdates: configuration updates of peers are ignored.
	PeerUpdates bool
	// Conditions: the configuration's head is written without its conditions.
	Conditions bool
	// ReadBack: a commit with unknown outcome counts as one without effect.
	ReadBack bool
	// TeamIsolation: teams share their job and request ids.
	TeamIsolation bool
	// Leaving: leaving and drained workers aren't recognized.
	Leaving bool
	// PeersLeaving: the peers' lists of leaving workers are ignored.
	PeersLeaving bool
}
