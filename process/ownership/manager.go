package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/rotisserie/eris"
)

// ErrReplaced is returned when another process runs as the same instance.
var ErrReplaced = errors.New("another process runs as this instance")

// ErrNoWitnesses is returned when this entry has no witnesses to replicate to.
var ErrNoWitnesses = errors.New("no witnesses")

// Options configures a Manager. Zero durations get the defaults.
type Options struct {
	// Self is this entry; Incarnation must be unique to this process.
	Self  Member
	Table platform.Table
	Peers peer.Caller
	// Blocks returns the blocks of all workers of the region; the Manager adds
	// the shards of keys. Nil means none.
	Blocks func() []Block
	// Members returns the entries that the platform lists. It is called under
	// the Manager's lock and must not call the Manager. Nil means none.
	Members func() []Member

	// ShortTerm (5 s) and LongTerm (6 h) are the terms of the lease; Margin (a
	// tenth of ShortTerm) is the allowance for clock drift.
	ShortTerm, LongTerm, Margin time.Duration
	// Heartbeat (1 s) is the period of heartbeats and of polling rows.
	Heartbeat time.Duration
	// ScanEvery (30 s) is the period of reading all rows; peers send
	// notifications of changes in between.
	ScanEvery time.Duration
	// RetainFor (2 min) is how long witnesses keep a replicated delta.
	RetainFor time.Duration

	// OnGain and OnLoss are called when this entry has gained or lost a block.
	OnGain func(Grant)
	OnLoss func(block string)
	// OnTakeover is called before OnGain with what the witnesses of a dead entry
	// have kept for it, in order for each witness.
	OnTakeover func(dead Member, attachments []json.RawMessage)
	// OnRejoin is called when the lease was lost and this process continues
	// under a new incarnation, after OnLoss for every block.
	OnRejoin func(self Member)
	// Idle reports whether a block may be released to another entry now. Nothing
	// can be started in the block during the call. Nil means always.
	Idle func(block string) bool
	// Attachment returns the state that the next heartbeat carries; witnesses
	// keep the latest one.
	Attachment func() json.RawMessage
}

// Manager acquires, renews and releases this entry's lease and its blocks, and
// acts as a witness for other entries. Create it with New.
type Manager struct {
	Options
	terms   terms
	omit    omissions
	witness *witness
	base    time.Time
	// expiry is when the lease ends, in nanoseconds since base; 0 without lease.
	expiry atomic.Int64
	grants atomic.Pointer[map[string]Grant]

	wakeups chan struct{}
	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once
	// unclaimedNotifiedAt is when notifyUnclaimed last sent; used by Run only.
	unclaimedNotifiedAt time.Time
	// notifications are the announcements under way.
	notifications sync.WaitGroup

	mu       sync.Mutex
	self     Member
	lease    lease
	entries  map[string]observedEntry
	blocks   map[string]seenBlock
	contacts map[string]contact
	deltas   []delta
	// refreshedAt is when RefreshBlock last read each block's row.
	refreshedAt map[string]time.Time
	deltaSeq    uint64
	scannedAt   time.Time
	renewAt     time.Time
	rejoins     int
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
		refreshedAt: make(map[string]time.Time),
	}
	m.grants.Store(&map[string]Grant{})
	return m
}

func (o *Options) setDefaults() {
	setDefault(&o.ShortTerm, 5*time.Second)
	setDefault(&o.LongTerm, 6*time.Hour)
	setDefault(&o.Margin, o.ShortTerm/10)
	setDefault(&o.Heartbeat, time.Second)
	setDefault(&o.ScanEvery, 30*time.Second)
	setDefault(&o.RetainFor, 2*time.Minute)
	if o.Blocks == nil {
		o.Blocks = func() []Block { return nil }
	}
	if o.Members == nil {
		o.Members = func() []Member { return nil }
	}
	if o.OnGain == nil {
		o.OnGain = func(Grant) {}
	}
	if o.OnLoss == nil {
		o.OnLoss = func(string) {}
	}
	if o.OnTakeover == nil {
		o.OnTakeover = func(Member, []json.RawMessage) {}
	}
	if o.OnRejoin == nil {
		o.OnRejoin = func(Member) {}
	}
	if o.Idle == nil {
		o.Idle = func(string) bool { return true }
	}
	if o.Attachment == nil {
		o.Attachment = func() json.RawMessage { return nil }
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
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

// HoldsLease implements Owners. It takes no lock.
func (m *Manager) HoldsLease(block string) (Grant, bool) {
	g, ok := (*m.grants.Load())[block]
	return g, ok && m.leaseValid()
}

// leaseValid reports whether this incarnation's lease holds now.
func (m *Manager) leaseValid() bool {
	expiry := m.expiry.Load()
	return int64(time.Since(m.base)) < expiry
}

// publishExpiry makes a change of the lease visible to HoldsLease. Call with m.mu.
func (m *Manager) publishExpiry() {
	expiry := m.lease.expiry()
	if expiry.IsZero() {
		m.expiry.Store(0)
		return
	}
	m.expiry.Store(int64(expiry.Sub(m.base)))
}

// Owned implements Owners.
func (m *Manager) Owned() []Grant {
	grants := *m.grants.Load()
	owned := make([]Grant, 0, len(grants))
	for _, id := range slices.Sorted(maps.Keys(grants)) {
		owned = append(owned, grants[id])
	}
	return owned
}

// OwnerOf implements Owners.
func (m *Manager) OwnerOf(block string) (address, instance string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row := m.blocks[block].Row
	return row.Address, row.Owner, row.Owner != ""
}

// Self returns this entry with its current incarnation.
func (m *Manager) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// MemberState is the last known state of an entry.
type MemberState struct {
	Member
	Live bool
	// Witnesses are the instance names of its witnesses.
	Witnesses []string
	// SeenAt is when a change of its row was last seen.
	SeenAt time.Time
	// Blocks is the last known number of blocks that it owns.
	Blocks int
}

// Members returns all entries that have a row in the table, sorted by instance.
func (m *Manager) Members() []MemberState {
	m.mu.Lock()
	defer m.mu.Unlock()
	owned := make(map[string]int)
	for _, b := range m.blocks {
		owned[b.Row.Owner]++
	}
	var all []MemberState
	for _, instance := range slices.Sorted(maps.Keys(m.entries)) {
		w := m.entries[instance]
		state := MemberState{Member: w.row.Member, Live: w.row.Live, SeenAt: w.firstSeen, Blocks: owned[instance]}
		for _, witness := range w.row.Witnesses {
			state.Witnesses = append(state.Witnesses, witness.Instance)
		}
		all = append(all, state)
	}
	return all
}

// live returns the live entries of the region, including this one only while it
// holds its row. Call with m.mu.
func (m *Manager) live() []Member {
	var all []Member
	for _, w := range m.entries {
		if w.row.Live && w.row.Region == m.self.Region && w.row.Instance != m.self.Instance {
			all = append(all, w.row.Member)
		}
	}
	if m.lease.held {
		all = append(all, m.self)
	}
	return all
}

// wake makes Run take its next step at once.
func (m *Manager) wake() {
	select {
	case m.wakeups <- struct{}{}:
	default:
	}
}

// grant adds blocks to those that this entry may act for.
func (m *Manager) grant(added []Grant) {
	next := maps.Clone(*m.grants.Load())
	for _, g := range added {
		next[g.Block] = g
	}
	m.grants.Store(&next)
}

// revoke removes a block from those that this entry may act for and returns its
// grant.
func (m *Manager) revoke(block string) Grant {
	old := *m.grants.Load()
	next := maps.Clone(old)
	delete(next, block)
	m.grants.Store(&next)
	return old[block]
}

// tableContext returns the context with the timeout of one call to the table.
func (m *Manager) tableContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, m.ShortTerm/2)
}

// get reads one row of the table within the timeout.
func (m *Manager) get(ctx context.Context, key string) (platform.Row, bool, error) {
	ctx, cancel := m.tableContext(ctx)
	defer cancel()
	row, found, err := m.Table.Get(ctx, key)
	return row, found, eris.Wrapf(err, "read row %s", key)
}

// commit sends a transaction within the timeout. After an error that is neither
// a conflict nor ErrUnavailable the outcome is unknown.
func (m *Manager) commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	ctx, cancel := m.tableContext(ctx)
	defer cancel()
	return m.Table.Commit(ctx, txn)
}

// outcome is the result of a transaction.
type outcome int

const (
	outcomeCommitted outcome = iota
	outcomeNotApplied
	outcomeUnknown
)

func outcomeOf(err error) outcome {
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return outcomeCommitted
	case errors.As(err, &conflict), errors.Is(err, platform.ErrUnavailable):
		return outcomeNotApplied
	}
	return outcomeUnknown
}
