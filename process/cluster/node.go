package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/conn/traffic"
	"github.com/kingcuplatch/kingcuplatch/process/cell"
	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// Timings are the configurable durations of a node.
type Timings struct {
	// Lease is the length of the leases granted to workers.
	Lease time.Duration
	// MaxLease is the longest lease that a worker takes, whatever a call names.
	MaxLease time.Duration
	// KeepEnded is how long the state of ended jobs is kept.
	KeepEnded time.Duration
	// ConfigBound is the maximum age of the last contact with the source of the
	// configuration; 0 means no bound.
	ConfigBound time.Duration
	// ConfigApply is how long after its publication a version of the configuration may be missing
	// here; 0 means no bound.
	ConfigApply time.Duration
	// MachineLease is the minimum time between commands of different entries to the same
	// machine. A new scheduler waits this long before its first command.
	MachineLease time.Duration
	// Leave limits how long a scheduler that leaves keeps scheduling.
	Leave LeaveLimits
}

// Config holds the settings and dependencies of a node.
type Config struct {
	// Name and Address identify this entry; Incarnation is unique to each start of its
	// process.
	Name        string
	Address     string
	Incarnation string
	// Cores is the processor capacity of this entry.
	Cores float64
	// LinkBytes is the bandwidth of this entry's link, in bytes a second; 0 if unknown.
	LinkBytes int64
	// MaxRowBytes is the size of the largest row that the table takes; 0 if unknown.
	MaxRowBytes int
	// MemoryBytes is the memory of this entry's process; 0 if unknown.
	MemoryBytes int64
	Timings     Timings

	Table     platform.Table
	Directory Directory
	Catalogs  CatalogSource
	Workers   WorkerCaller
	Advisor   Advisor
	// Machines is nil if this cluster does not maintain machines.
	Machines Machines
	// Evacuations is nil if no operator can have a failure domain emptied.
	Evacuations Evacuations
	Peers       peer.Caller
	// Traffic counts the bytes that this entry sends and receives.
	Traffic *traffic.Meter
	Log     *events.Logger
}

// Node runs this entry's part in a cell, as a standby or as the scheduler.
type Node struct {
	config  Config
	metrics *nodeMetrics
	log     *events.Logger

	// leaseLock is a mutex in the form of a channel: receiving its only token locks it. It
	// serializes attempts to acquire the lease and guards leaseReads, which limits the
	// reads of the lease row.
	leaseLock  chan struct{}
	leaseReads pacer
	tableReach reachTracker
	lag        lagTracker

	mu        sync.Mutex
	published Publication
	// loading is the fencing token of the leadership whose cell is being loaded, or 0, and
	// loadingSince when the load began. loaded is closed when it ends.
	loading      uint64
	loadingSince time.Time
	loaded       chan struct{}
	// abortLoad cancels the load; abandoned is why and to whom the lease then goes.
	abortLoad context.CancelFunc
	abandoned handover
	// schedulerEvacuations are those of the scheduler's last reply; nil before the first one.
	schedulerEvacuations *evacuations
	// configContact is when the configuration in force was last known to be the newest, by this
	// entry's feed or by that of a scheduler with the same version.
	configContact time.Time
	// newer is the newest version of the configuration that another entry has said it has.
	newer newerCatalog
	// behindSince is since when a newer one has been known than the one in force; zero if none is.
	behindSince time.Time
	// undecodable is the newest version that can't be decoded here.
	undecodable int64
	// fetchingCatalog is set while a configuration is fetched from another entry.
	fetchingCatalog bool
	// catalogHeard wakes fetchCatalogs.
	catalogHeard chan struct{}
	view         leaderView
	takeovers    takeoverCount
	// changed is closed and replaced whenever view is replaced.
	changed chan struct{}
	// suspected is set when another entry that cannot reach the scheduler queries this one.
	suspected  bool
	leadership *leadership
	// standbys are the entries that have sent a heartbeat or were inherited from a former
	// scheduler's list, by name.
	standbys map[string]standby
	// memberList caches the list of live entries.
	memberList memberList
	// leaving is set from leavingSince on, when this entry was told to stop.
	leaving      bool
	leavingSince time.Time
	// offer is the offer of the lease that this entry accepted last.
	offer acceptedOffer
	// acquireFrom is when this entry may acquire a released lease; until then it leaves it to others.
	acquireFrom time.Time
	// polls is the group of workers that this entry polls for the scheduler.
	polls *pollSet
	// forwarded counts the bytes of submissions that wait for the scheduler.
	forwarded inFlight
	// handled counts the memory of submissions in progress here, in bytes.
	handled inFlight
	// throttles refuse submissions here while the scheduler is overloaded.
	throttles throttles
	// texts are those of jobs that were submitted through this entry.
	texts textCache
	// startedAt is when this incarnation started; yieldedAt is when it last yielded the
	// lease to an entry with more cores.
	startedAt time.Time
	yieldedAt time.Time

	unsafe unsafeOptions
}

// unsafeOptions leave parts of the protocol out; tests show with them what each part prevents.
type unsafeOptions struct {
	// anyFence accepts forwarded calls whatever fence they were sent for.
	anyFence bool
	// anyTime accepts them after their time.
	anyTime bool
}

// NewNode returns a node that is not running yet.
func NewNode(c Config) *Node {
	n := &Node{config: c, log: c.Log, standbys: make(map[string]standby), startedAt: time.Now(), view: noView(nil), changed: make(chan struct{}), texts: newTextCache(), throttles: newThrottles(), forwarded: newInFlight(), handled: newInFlight(), catalogHeard: make(chan struct{}, 1)}
	if n.config.Traffic == nil {
		n.config.Traffic = &traffic.Meter{}
	}
	n.metrics = newNodeMetrics(&n.lag, n.config.Traffic)
	n.registerCatalogMetrics()
	n.leaseLock = make(chan struct{}, 1)
	n.leaseLock <- struct{}{}
	return n
}

// Handlers returns the methods that other entries call.
func (n *Node) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		methodHeartbeat: n.serveHeartbeat,
		methodSeen:      n.serveSeen,
		methodReleased:  n.serveReleased,
		methodOffer:     n.serveOffer,
		methodAcquiring: n.serveAcquiring,
		methodAcquired:  n.serveAcquired,
		methodLoaded:    n.serveLoaded,
		methodCall:      n.serveCall,
		methodAdvise:    n.serveAdvise,
		methodCatalog:   n.serveCatalog,
		methodStart:     n.serveStart,
		methodStarted:   n.serveStarted,
		methodPoll:      n.servePoll,
	}
}

// Run takes part in the cell until ctx ends, then stops the leadership if there is one.
func (n *Node) Run(ctx context.Context) {
	var loops sync.WaitGroup
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	for _, loop := range []func(context.Context){n.followCatalog, n.fetchCatalogs, n.heartbeatLoop, n.elect} {
		loops.Add(1)
		go func() {
			defer loops.Done()
			loop(inner)
		}()
	}
	<-ctx.Done()
	cancel()
	loops.Wait()
}

// timings returns the settings in force.
func (n *Node) timings() Timings {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.Timings
}

// Ready reports whether this entry should receive client traffic.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.leaving && n.published.Catalog != nil && !n.overdueLocked()
}

// Schedules reports whether this entry is the cell's scheduler.
func (n *Node) Schedules() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leadership != nil && !n.leadership.over()
}

// takesLease reports whether this entry may acquire the lease at all: it knows the operators'
// configuration and evacuations, and it doesn't leave or the lease was released to it after it had
// accepted it.
func (n *Node) takesLease() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.takesLeaseLocked()
}

func (n *Node) takesLeaseLocked() bool {
	_, evacuationsKnown := n.evacuatedLocked()
	return n.published.Catalog != nil && evacuationsKnown && (!n.leaving || n.offer.toMe())
}

// evacuated returns the failure domains that the operators have emptied.
func (n *Node) evacuated() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	domains, _ := n.evacuatedLocked()
	return domains
}

// evacuatedLocked returns the failure domains that the operators have emptied, as this entry has
// read last or, before its first read, as the scheduler has told it. n.mu must be held.
func (n *Node) evacuatedLocked() (domains []string, known bool) {
	if n.config.Evacuations == nil {
		return nil, true
	}
	if domains, known = n.config.Evacuations.Evacuated(); known {
		return domains, true
	}
	if n.schedulerEvacuations == nil {
		return nil, false
	}
	return n.schedulerEvacuations.Domains, true
}

// logNote counts and logs a decision of the cell.
func (n *Node) logNote(note cell.Note) {
	n.metrics.count(note)
	logNote(n.log, note)
}

// SetTimings applies changed settings.
func (n *Node) SetTimings(t Timings) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.config.Timings = t
}

// LogCall logs a client call that was not successful.
func (n *Node) LogCall(call Call, status int, reason string, version int64, took time.Duration) {
	n.log.Log(events.CallRefused, call.ID, call.Queue, call.Team, string(call.Op), status, reason, version, took.String())
}
