package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/allotment"
	"github.com/kingcuplatch/kingcuplatch/process/burn"
	"github.com/kingcuplatch/kingcuplatch/process/capacity"
	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/exchange"
	"github.com/kingcuplatch/kingcuplatch/process/fleet"
	"github.com/kingcuplatch/kingcuplatch/process/jobs"
	"github.com/kingcuplatch/kingcuplatch/process/ownership"
	"github.com/kingcuplatch/kingcuplatch/process/requests"
	"github.com/kingcuplatch/kingcuplatch/process/tasks"
	"github.com/kingcuplatch/kingcuplatch/version/store"
)

// Entry is one entry of the scheduler.
type Entry struct {
	Config

	links  *peer.Links
	server *peer.Server

	fleet        *fleet.Fleet
	exchange     *exchange.Exchange
	owners       *ownership.Manager
	config       *store.Store
	allotments   *allotment.Ledger
	capacity     *capacity.Tracker
	clients      *clients
	placer       *requests.Placer
	peerCapacity *requests.PeerCapacity
	requests     *requests.Service
	owner        *tasks.Owner
	coordinator  *jobs.Coordinator
	jobs         *jobs.Client
	burn         *burn.Recorder
	health       *healthWatch
	metrics      *instruments

	// ctx ends the loops. The callers' and operators' servers are shut down before.
	ctx      context.Context
	cancel   context.CancelFunc
	loops    sync.WaitGroup
	stopping atomic.Bool
	// peerIncarnations holds the incarnation of each peer's last message, by instance.
	peerIncarnations sync.Map
	// loggedAdmitting is the admission state that was last logged.
	loggedAdmitting atomic.Bool
	// shardIDs holds the shards whose request ids were read.
	shardIDs *shardsWithIDs
	// syncRequested wakes syncLoop.
	syncRequested chan struct{}
	servers       servers
}

// New returns an entry. It is inactive until Run is called.
func New(c Config) *Entry {
	c.applyOmissions()
	e := &Entry{Config: c, syncRequested: make(chan struct{}, 1), shardIDs: newShardsWithIDs()}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.links = peer.NewCountedLinks(&c.Traffic.Peers)
	e.server = peer.NewServer()
	e.server.OnPanic = func(method string, cause any, stack []byte) {
		c.Log.Log(events.PeerCallPanicked, method, fmt.Sprint(cause), string(stack))
	}
	e.fleet = fleet.New(c.Instances, c.Table)
	e.capacity = capacity.NewTracker()
	e.peerCapacity = requests.NewPeerCapacity()
	e.burn = burn.NewRecorder()
	e.health = newHealthWatch(e.capacity, c.Log)
	e.clients = newClients(c.Dial, func(name string, sent time.Time, inFlight []string) {
		e.placer.WorkerReported(name, sent, inFlight)
	}, c.Log)
	e.config = e.newStore()
	e.owners = e.newOwners()
	e.allotments = e.newAllotments()
	e.exchange = e.newExchange()
	e.placer = e.newPlacer()
	e.requests = e.newRequests()
	e.metrics = newInstruments(e)
	e.newJobs()
	e.register()
	return e
}

// register registers the peer methods.
func (e *Entry) register() {
	e.server.Register(e.owners.Handlers())
	e.server.Register(e.exchange.Handlers())
	e.server.Register(e.requests.Handlers())
	e.server.Register(e.owner.Handlers())
	e.server.Register(e.coordinator.Handlers())
	e.server.Register(e.configHandlers())
}

// Run serves until ctx ends or the ownership manager fails, then stops gracefully. The
// error is that of the ownership manager.
func (e *Entry) Run(ctx context.Context) error {
	e.Log.Log(events.EntryStarted, e.Listeners.Callers.Addr().String(), e.Listeners.Operators.Addr().String(),
		e.Listeners.Peers.Addr().String(), e.Listeners.Metrics.Addr().String())
	failed := make(chan error, 1)
	e.loop(func() { _ = e.server.Serve(e.Traffic.Peers.Listener(e.Listeners.Peers)) })
	e.startLoops(failed)
	e.servers.start(e)
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		e.Log.Log(events.EntryFailed, err)
	}
	e.stop()
	return err
}

// loop runs f in a goroutine that the entry waits for when it stops.
func (e *Entry) loop(f func()) { e.loops.Go(f) }

// startLoops starts the background loops.
func (e *Entry) startLoops(failed chan<- error) {
	e.loop(func() { e.fleet.Run(e.ctx, e.Timings.ListPoll, e.listChanged) })
	e.loop(func() { e.config.Run(e.ctx) })
	e.loop(func() { e.exchange.Run(e.ctx) })
	e.loop(func() { e.allotments.Run(e.ctx) })
	e.loop(func() { e.owner.Run(e.ctx) })
	e.loop(func() { e.coordinator.Run(e.ctx) })
	e.loop(e.syncLoop)
	e.loop(e.readIDsLoop)
	e.loop(e.housekeeping)
	e.loop(func() {
		if err := e.owners.Run(e.ctx); err != nil {
			failed <- err
		}
	})
}

// idBytes is the length of a generated id before encoding.
const idBytes = 12

// newID returns a new random id.
func newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
