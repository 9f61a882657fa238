package cluster

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/cell"
	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// Timings of a node.
type Timings struct {
	// Lease is what workers are given.
	Lease time.Duration
	// KeepEnded is how long ended jobs can be asked for.
	KeepEnded time.Duration
	// ConfigBound is how old the last contact about the configuration may be; 0 is no
	// bound.
	ConfigBound time.Duration
	// MachineLease is how long a new scheduler waits before it gives orders for
	// machines.
	MachineLease time.Duration
}

// Config is what a node is made of.
type Config struct {
	// Name and Address are those of this entry; Incarnation tells its lives apart.
	Name        string
	Address     string
	Incarnation string
	// Cores is the processor that this entry has.
	Cores   float64
	Timings Timings

	Table     platform.Table
	Directory Directory
	Catalogs  CatalogSource
	Workers   WorkerCaller
	Advisor   Advisor
	// Machines is nil where machines aren't ours to maintain.
	Machines Machines
	Peers    peer.Caller
	Log      *events.Logger
}

// Node is this entry's part in a cell: a standby, or its scheduler.
type Node struct {
	config  Config
	metrics *nodeMetrics
	log     *events.Logger

	// turn holds a token while nobody looks at the lease row in order to take it. Its
	// holder uses looks, the period of looks at that row.
	turn    chan struct{}
	looks   pacer
	reaches reachTracker

	mu        sync.Mutex
	published Publication
	// loading is the fence of a leadership whose cell is being read; 0 if there is none.
	// loaded is closed when it has been.
	loading uint64
	loaded  chan struct{}
	// contactAt is when the operators' table was last heard of, directly or through
	// the scheduler.
	contactAt time.Time
	view      leaderView
	// changed is closed, and replaced, when view is replaced.
	changed chan struct{}
	// suspected is set when another entry doesn't hear the scheduler.
	suspected  bool
	leadership *leadership
	// heard are the standbys that sent a heartbeat, by name.
	heard   map[string]heardMember
	leaving bool
	// startedAt is when this life began; yieldedAt when it last gave the lease to a
	// larger entry.
	startedAt time.Time
	yieldedAt time.Time
}

// heardMember is a standby and when it was heard last.
type heardMember struct {
	Member
	at time.Time
	// inherited is when it was taken over from a former scheduler.
	inherited time.Time
}

const (
	// memberFor is how long a standby counts as live after its last heartbeat.
	memberFor = time.Second
	// inheritedFor is how long one counts as live that a former scheduler knew: two
	// heartbeats and some.
	inheritedFor = 700 * time.Millisecond
)

// live reports whether the standby is to be counted on.
func (m heardMember) live() bool {
	return time.Since(m.at) < memberFor || time.Since(m.inherited) < inheritedFor
}

// NewNode returns a node that isn't running.
func NewNode(c Config) *Node {
	n := &Node{config: c, log: c.Log, metrics: newNodeMetrics(), heard: make(map[string]heardMember), startedAt: time.Now(), changed: make(chan struct{})}
	n.turn = make(chan struct{}, 1)
	n.turn <- struct{}{}
	return n
}

// Handlers returns the methods that other entries call.
func (n *Node) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		methodBeat:     n.serveBeat,
		methodSeen:     n.serveSeen,
		methodReleased: n.serveReleased,
		methodTaking:   n.serveTaking,
		methodTook:     n.serveTook,
		methodCall:     n.serveCall,
		methodAdvise:   n.serveAdvise,
		methodCatalog:  n.serveCatalog,
	}
}

// Run takes part in the cell until ctx ends, then gives up what it holds.
func (n *Node) Run(ctx context.Context) {
	var loops sync.WaitGroup
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	for _, loop := range []func(context.Context){n.followCatalog, n.beatLoop, n.elect} {
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

// followCatalog takes in the operators' configuration.
func (n *Node) followCatalog(ctx context.Context) {
	n.config.Catalogs.Follow(ctx, n.publish, func() {
		n.mu.Lock()
		n.contactAt = time.Now()
		n.mu.Unlock()
	})
}

// publish puts a version in force if it is newer.
func (n *Node) publish(p Publication) {
	n.mu.Lock()
	old := n.published.Catalog
	if old != nil && old.Version >= p.Catalog.Version {
		n.mu.Unlock()
		return
	}
	n.published = p
	n.contactAt = time.Now()
	r := n.leadership
	n.mu.Unlock()
	n.log.Log(events.VersionInForce, p.Catalog.Version)
	if r != nil {
		r.setCatalog(p.Catalog)
	}
}

// timings returns the settings in force.
func (n *Node) timings() Timings {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.Timings
}

// catalog returns the version in force, or nil.
func (n *Node) catalog() *catalog.Catalog {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.published.Catalog
}

// Catalog returns the version in force, or nil if there is none yet or if nothing
// has been heard of the operators' table for too long.
func (n *Node) Catalog() *catalog.Catalog {
	n.mu.Lock()
	defer n.mu.Unlock()
	bound := n.config.Timings.ConfigBound
	if bound > 0 && time.Since(n.contactAt) > bound {
		return nil
	}
	return n.published.Catalog
}

// Ready reports whether clients should be sent to this entry.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.leaving && n.published.Catalog != nil
}

// Schedules reports whether this entry is the cell's scheduler.
func (n *Node) Schedules() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leadership != nil && !n.leadership.over()
}

// Leave makes the node not ready and gives the lease to another entry.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	n.leaving = true
	r := n.leadership
	n.mu.Unlock()
	if r != nil && !r.over() {
		n.release(ctx, r)
	}
}

// liveMembers returns this entry and the standbys heard lately, the largest first.
func (n *Node) liveMembers() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membersLocked()
}

func (n *Node) membersLocked() []Member {
	members := []Member{n.member()}
	for name, m := range n.heard {
		if m.live() && name != n.config.Name {
			members = append(members, m.Member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), strings.Compare(a.Name, b.Name))
	})
	return members
}

// allHeard reports whether every standby that was ever heard in this leadership was
// heard lately.
func (n *Node) allHeard() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.heard {
		if time.Since(m.at) >= memberFor {
			return false
		}
	}
	return true
}

// serveCatalog gives the configuration in force to another entry.
func (n *Node) serveCatalog(context.Context, json.RawMessage) (any, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return rawCatalog{Raw: n.published.Raw}, nil
}

// fetchCatalog gets a newer version from another entry.
func (n *Node) fetchCatalog(ctx context.Context, address string) {
	var raw rawCatalog
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	if err := n.config.Peers.Call(ctx, address, methodCatalog, struct{}{}, &raw); err != nil {
		n.log.Log(events.PeerFailed, address, err)
		return
	}
	p, err := n.config.Catalogs.Decode(raw.Raw)
	if err != nil {
		n.log.Log(events.PeerFailed, address, err)
		return
	}
	n.publish(p)
}

// logNote writes a decision of the cell.
func (n *Node) logNote(note cell.Note) {
	n.metrics.count(note)
	logNote(n.log, note)
}

// SetTimings puts changed settings in force.
func (n *Node) SetTimings(t Timings) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.config.Timings = t
}

// LogCall writes that a call was answered without success.
func (n *Node) LogCall(call Call, status int, reason string, version int64, took time.Duration) {
	n.log.Log(events.CallRefused, call.ID, call.Queue, call.Team, string(call.Op), status, reason, version, took.String())
}
