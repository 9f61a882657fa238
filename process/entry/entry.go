package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
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

// Entry is one running entry.
type Entry struct {
	Config

	links  *peer.Links
	server *peer.Server

	fleet      *fleet.Fleet
	exchange   *exchange.Exchange
	owners     *ownership.Manager
	config     *store.Store
	allotments *allotment.Ledger
	book       *capacity.Book
	clients    *clients
	places     *requests.Places
	room       *requests.Room
	requests   *requests.Service
	owner      *tasks.Owner
	keeper     *jobs.Coordinator
	jobs       *jobs.Client
	burn       *burn.Recorder
	health     *healthWatch
	metrics    *instruments

	// ctx bounds the loops; the doors end before it.
	ctx      context.Context
	cancel   context.CancelFunc
	loops    sync.WaitGroup
	stopping atomic.Bool
	// heardAs is the incarnation under which each peer was last heard.
	heardAs sync.Map
	// admitting is the last state that was logged.
	admitting atomic.Bool
	// changed wakes the loop that serves the workers of owned blocks.
	changed chan struct{}
	doors   doors
}

// New returns an entry that does nothing until Run.
func New(c Config) *Entry {
	c.leaveOut()
	e := &Entry{Config: c, changed: make(chan struct{}, 1)}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.links = peer.NewCountedLinks(&c.Traffic.Peers)
	e.server = peer.NewServer()
	e.fleet = fleet.New(c.Instances, c.Table)
	e.book = capacity.NewBook()
	e.room = requests.NewRoom()
	e.burn = burn.NewRecorder()
	e.health = newHealthWatch(e.book, c.Log)
	e.clients = newClients(c.Dial, func(name string, sent time.Time, inFlight []string) {
		e.places.WorkerReported(name, sent, inFlight)
	}, c.Log)
	e.config = e.newStore()
	e.owners = e.newOwners()
	e.allotments = e.newAllotments()
	e.exchange = e.newExchange()
	e.places = e.newPlaces()
	e.requests = e.newRequests()
	e.metrics = newInstruments(e)
	e.newJobs()
	e.register()
	return e
}

// register gives the peers' server its methods.
func (e *Entry) register() {
	e.server.Register(e.owners.Handlers())
	e.server.Register(e.exchange.Handlers())
	e.server.Register(e.requests.Handlers())
	e.server.Register(e.owner.Handlers())
	e.server.Register(e.keeper.Handlers())
	e.server.Register(e.configHandlers())
}

// Run serves until ctx ends, then stops gracefully. The error is that of a loop
// that could not go on.
func (e *Entry) Run(ctx context.Context) error {
	e.Log.Log(events.EntryStarted, e.Listeners.Callers.Addr().String(), e.Listeners.Operators.Addr().String(),
		e.Listeners.Peers.Addr().String(), e.Listeners.Metrics.Addr().String())
	failed := make(chan error, 1)
	e.loop(func() { _ = e.server.Serve(e.Traffic.Peers.Listener(e.Listeners.Peers)) })
	e.startLoops(failed)
	e.doors.start(e)
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		e.Log.Log(events.EntryFailed, err)
	}
	e.stop()
	return err
}

// loop runs f until the entry ends.
func (e *Entry) loop(f func()) { e.loops.Go(f) }

// startLoops starts what runs for the life of the process.
func (e *Entry) startLoops(failed chan<- error) {
	e.loop(func() { e.fleet.Run(e.ctx, e.Timings.ListPoll, e.listChanged) })
	e.loop(func() { e.config.Run(e.ctx) })
	e.loop(func() { e.exchange.Run(e.ctx) })
	e.loop(func() { e.allotments.Run(e.ctx) })
	e.loop(func() { e.owner.Run(e.ctx) })
	e.loop(func() { e.keeper.Run(e.ctx) })
	e.loop(e.syncLoop)
	e.loop(e.housekeeping)
	e.loop(func() {
		if err := e.owners.Run(e.ctx); err != nil {
			failed <- err
		}
	})
}

// stop ends the entry gracefully within Timings.Drain.
func (e *Entry) stop() {
	e.stopping.Store(true)
	e.Log.Log(events.EntryDrains, e.doors.inFlight())
	ctx, cancel := context.WithTimeout(context.Background(), e.Timings.Drain)
	defer cancel()
	unfinished := e.drain(ctx)
	e.handOverRemembered(ctx)
	e.releaseAll(ctx)
	e.cancel()
	_ = e.Listeners.Peers.Close()
	_ = e.server.Drain(ctx)
	e.server.Close()
	e.loops.Wait()
	e.doors.close()
	e.links.Close()
	e.clients.close()
	e.Log.Log(events.EntryStopped, unfinished)
}

// drain waits for the calls of callers and then for the requests of other entries.
// It returns how many calls were cut off.
func (e *Entry) drain(ctx context.Context) int64 {
	if e.Omit.Drain {
		e.doors.close()
		return e.doors.inFlight()
	}
	unfinished := e.doors.drain(ctx)
	if err := e.requests.Drain(ctx); err != nil {
		e.Log.Log(events.OwnershipFailed, "drain requests of other entries", err)
	}
	return unfinished
}

// releaseAll gives allotments and blocks back.
func (e *Entry) releaseAll(ctx context.Context) {
	if err := e.allotments.Release(ctx); err != nil {
		e.Log.Log(events.OwnershipFailed, "release allotments", err)
	}
	if err := e.owners.Release(ctx); err != nil {
		e.Log.Log(events.OwnershipFailed, "release blocks", err)
	}
}

// idBytes is the length of a made-up id before encoding.
const idBytes = 12

// newID makes up an id that nobody else makes up.
func newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
