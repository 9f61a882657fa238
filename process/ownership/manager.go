package ownership

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// ErrReplaced is returned when another process runs as the same instance.
var ErrReplaced = errors.New("another process runs as this instance")

// ErrNoWitnesses is returned when this entry has no witnesses to replicate to.
var ErrNoWitnesses = errors.New("no witnesses")

// Manager acquires, renews and releases this entry's lease and its blocks, and
// acts as a witness for other entries. Create it with New.
type Manager struct {
	Options
	terms   terms
	omit    omissions
	witness *witness
	// base is the zero of expiry: when the Manager was created.
	base time.Time
	// expiry is when the lease ends, in nanoseconds since base; 0 without lease.
	expiry atomic.Int64
	// grants holds the blocks that this entry may act for, by block. The map is replaced,
	// never changed.
	grants atomic.Pointer[map[string]Grant]

	wakeups chan struct{}
	// stop is closed by Release, through stopOnce; stopped is closed when Run returns.
	stop     chan struct{}
	stopOnce sync.Once
	stopped  chan struct{}
	// unclaimedNotifiedAt is when notifyUnclaimed last sent; used by Run only.
	unclaimedNotifiedAt time.Time
	// notifications are the announcements under way.
	notifications sync.WaitGroup

	mu sync.Mutex
	// self is this entry with its current incarnation.
	self  Member
	lease lease
	// entries and contacts hold the last known row of, and the outcome of heartbeats to,
	// each entry, by instance.
	entries  map[string]observedEntry
	contacts map[string]contact
	// blocks holds the last known row of each block, by block.
	blocks map[string]seenBlock
	// unusable holds the versions of the rows that could not be decoded, by key.
	unusable map[string]uint64
	// refreshedAt is when RefreshBlock last read each block's row.
	refreshedAt map[string]time.Time
	// deltas are the deltas of the last RetainFor; deltaSeq numbers them.
	deltas   []delta
	deltaSeq uint64
	// scannedAt is when all rows were last read; zero makes the next step read them.
	scannedAt time.Time
	// renewAt is when the next renewal is due; zero makes the next step renew.
	renewAt time.Time
	// rejoins is the number of leases that this process has lost.
	rejoins int
	// announced is set once peers were notified of this incarnation.
	announced bool
}

// New returns a Manager that owns nothing until Run is called.
func New(o Options) *Manager {
	o.setDefaults()
	t := terms{short: o.ShortTerm, long: o.LongTerm, margin: o.Margin}
	now := time.Now()
	m := &Manager{
		Options:     o,
		terms:       t,
		witness:     newWitness(o.Self.ref(), t, o.RetainFor, now),
		base:        now,
		wakeups:     make(chan struct{}, 1),
		stop:        make(chan struct{}),
		stopped:     make(chan struct{}),
		self:        o.Self,
		lease:       lease{terms: t},
		entries:     make(map[string]observedEntry),
		blocks:      make(map[string]seenBlock),
		contacts:    make(map[string]contact),
		unusable:    make(map[string]uint64),
		refreshedAt: make(map[string]time.Time),
	}
	m.grants.Store(&map[string]Grant{})
	return m
}

// Run joins the cluster and maintains this entry's rows until ctx ends or Release is
// called. Errors: ErrReplaced.
func (m *Manager) Run(ctx context.Context) error {
	defer close(m.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer m.notifications.Wait()
	var heartbeats sync.WaitGroup
	heartbeats.Go(func() { m.heartbeatLoop(ctx) })
	heartbeats.Go(func() { m.cancelOnRelease(ctx, cancel) })
	defer heartbeats.Wait()
	defer cancel()
	ticker := time.NewTicker(m.Heartbeat)
	defer ticker.Stop()
	m.sendHeartbeats(ctx)
	for {
		if err := m.step(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.wakeups:
		}
	}
}

// cancelOnRelease cancels the context of Run once Release is called.
func (m *Manager) cancelOnRelease(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-ctx.Done():
	case <-m.stop:
		cancel()
	}
}

// step runs the table operations that are due, renewal first.
func (m *Manager) step(ctx context.Context) error {
	if err := m.renewIfDue(ctx); err != nil {
		return err
	}
	if !m.leaseValid() {
		return nil
	}
	m.scanIfDue(ctx)
	for _, instance := range m.watched() {
		if m.pollEntry(ctx, instance) != nil {
			break
		}
		if err := m.renewIfDue(ctx); err != nil {
			return err
		}
	}
	m.claim(ctx)
	m.releaseMisplaced(ctx)
	m.notifyUnclaimed(ctx)
	m.witness.expire(time.Now())
	return nil
}

// wake makes Run take its next step at once.
func (m *Manager) wake() {
	select {
	case m.wakeups <- struct{}{}:
	default:
	}
}
