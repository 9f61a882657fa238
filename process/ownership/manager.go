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

// ErrReplaced says that another process runs as the same instance.
var ErrReplaced = errors.New("another process runs as this instance")

// ErrNoGuards says that no other entry can remember anything for this one.
var ErrNoGuards = errors.New("no guards")

// Options are what a Manager needs. Zero durations get the defaults.
type Options struct {
	// Self is this entry; Incarnation must be unique to this process.
	Self  Member
	Table platform.Table
	Peers peer.Caller
	// Blocks returns the blocks of all workers of the region; shards of keys
	// are added by the Manager. Nil means none.
	Blocks func() []Block
	// Members returns the entries on the platform's list. It is called under
	// the Manager's lock and must not call the Manager. Nil means none.
	Members func() []Member

	// ShortTerm (5 s) and LongTerm (6 h) are the spans of the rule, Margin
	// (a tenth of ShortTerm) the allowance for clock drift.
	ShortTerm, LongTerm, Margin time.Duration
	// Heartbeat (1 s) is the period of heartbeats and of looking at rows.
	Heartbeat time.Duration
	// ScanEvery (30 s) is the period of reading all rows; changes in between
	// are told by peers.
	ScanEvery time.Duration
	// RetainFor (2 min) is how long guards remember a replicated delta.
	RetainFor time.Duration

	// OnGain and OnLoss tell of blocks that this entry now owns, or no longer.
	OnGain func(Grant)
	OnLoss func(block string)
	// OnTakeover tells, before OnGain, what the guards of a dead entry
	// remembered of it, in order for each guard.
	OnTakeover func(dead Member, attachments []json.RawMessage)
	// OnRejoin tells that the right was lost and that this process goes on
	// under a new incarnation. OnLoss was called for every block before.
	OnRejoin func(self Member)
	// Idle reports whether a block may be given to another entry now. Nothing
	// can be started in the block while it is called. Nil means always.
	Idle func(block string) bool
	// Attachment returns what guards are to remember with the next heartbeat.
	Attachment func() json.RawMessage
}

// Manager is this entry's part in ownership. Create it with New.
type Manager struct {
	Options
	terms terms
	omit  omissions
	book  *guardBook
	base  time.Time
	// until is when the right ends, in nanoseconds since base; 0 without right.
	until  atomic.Int64
	grants atomic.Pointer[map[string]Grant]

	kick    chan struct{}
	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once
	// reminded is when remind last ran; it is used by Run only.
	reminded time.Time
	// tells are the announcements under way.
	tells sync.WaitGroup

	mu       sync.Mutex
	self     Member
	term     term
	entries  map[string]watch
	blocks   map[string]seenBlock
	contacts map[string]contact
	deltas   []delta
	// looked is when Look last read a block's row.
	looked   map[string]time.Time
	deltaSeq uint64
	scanned  time.Time
	renewAt  time.Time
	rejoins  int
	// announced says that peers were told of this incarnation.
	announced bool
}

// New returns a Manager that owns nothing until Run.
func New(o Options) *Manager {
	o.setDefaults()
	t := terms{short: o.ShortTerm, long: o.LongTerm, margin: o.Margin}
	now := time.Now()
	m := &Manager{
		Options:  o,
		terms:    t,
		book:     newGuardBook(o.Self.ref(), t, o.RetainFor, now),
		base:     now,
		kick:     make(chan struct{}, 1),
		stop:     make(chan struct{}),
		stopped:  make(chan struct{}),
		self:     o.Self,
		term:     term{terms: t},
		entries:  make(map[string]watch),
		blocks:   make(map[string]seenBlock),
		contacts: make(map[string]contact),
		looked:   make(map[string]time.Time),
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

// Run joins and keeps this entry's rows until ctx ends or Release is called.
// Errors: ErrReplaced.
func (m *Manager) Run(ctx context.Context) error {
	defer close(m.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer m.tells.Wait()
	var beats sync.WaitGroup
	beats.Go(func() { m.beatLoop(ctx) })
	beats.Go(func() { m.cancelOnRelease(ctx, cancel) })
	defer beats.Wait()
	defer cancel()
	ticker := time.NewTicker(m.Heartbeat)
	defer ticker.Stop()
	m.beat(ctx)
	for {
		if err := m.step(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.kick:
		}
	}
}

// cancelOnRelease ends what Run is waiting for once Release is called.
func (m *Manager) cancelOnRelease(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-ctx.Done():
	case <-m.stop:
		cancel()
	}
}

// step does what is due at the table, renewal first.
func (m *Manager) step(ctx context.Context) error {
	if err := m.renewIfDue(ctx); err != nil {
		return err
	}
	if !m.right() {
		return nil
	}
	m.scanIfDue(ctx)
	for _, instance := range m.watched() {
		if m.look(ctx, instance) != nil {
			break
		}
		if err := m.renewIfDue(ctx); err != nil {
			return err
		}
	}
	m.claim(ctx)
	m.giveBack(ctx)
	m.remind(ctx)
	m.book.expire(time.Now())
	return nil
}

// MayHandOver implements Owners without taking a lock.
func (m *Manager) MayHandOver(block string) (Grant, bool) {
	g, ok := (*m.grants.Load())[block]
	return g, ok && m.right()
}

// right reports whether this incarnation's right holds now.
func (m *Manager) right() bool {
	until := m.until.Load()
	return int64(time.Since(m.base)) < until
}

// publish makes a change of the term visible to MayHandOver. Call with m.mu.
func (m *Manager) publish() {
	until := m.term.until()
	if until.IsZero() {
		m.until.Store(0)
		return
	}
	m.until.Store(int64(until.Sub(m.base)))
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

// Self returns this entry with its present incarnation.
func (m *Manager) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// MemberState is what this entry knows of an entry.
type MemberState struct {
	Member
	Live bool
	// Guards are the instances that guard it.
	Guards []string
	// SeenAt is when its row was last seen to change.
	SeenAt time.Time
	// Blocks is how many blocks it owns, as last seen.
	Blocks int
}

// Members returns all entries known from the table, sorted by instance.
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
		state := MemberState{Member: w.row.Member, Live: w.row.Live, SeenAt: w.seen, Blocks: owned[instance]}
		for _, g := range w.row.Guards {
			state.Guards = append(state.Guards, g.Instance)
		}
		all = append(all, state)
	}
	return all
}

// live returns the live entries of the region, with this one only while it
// holds its row. Call with m.mu.
func (m *Manager) live() []Member {
	var all []Member
	for _, w := range m.entries {
		if w.row.Live && w.row.Region == m.self.Region && w.row.Instance != m.self.Instance {
			all = append(all, w.row.Member)
		}
	}
	if m.term.held {
		all = append(all, m.self)
	}
	return all
}

// wake makes Run look at the rows now.
func (m *Manager) wake() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// grant adds blocks to what this entry may act for.
func (m *Manager) grant(added []Grant) {
	next := maps.Clone(*m.grants.Load())
	for _, g := range added {
		next[g.Block] = g
	}
	m.grants.Store(&next)
}

// revoke takes a block away; its grant is returned.
func (m *Manager) revoke(block string) Grant {
	old := *m.grants.Load()
	next := maps.Clone(old)
	delete(next, block)
	m.grants.Store(&next)
	return old[block]
}

// storeContext bounds one call to the table.
func (m *Manager) storeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, m.ShortTerm/2)
}

// get reads one row of the table within the bound.
func (m *Manager) get(ctx context.Context, key string) (platform.Row, bool, error) {
	ctx, cancel := m.storeContext(ctx)
	defer cancel()
	row, found, err := m.Table.Get(ctx, key)
	return row, found, eris.Wrapf(err, "read row %s", key)
}

// commit sends a transaction within the bound. An error that is neither a
// conflict nor ErrUnavailable leaves the outcome unknown.
func (m *Manager) commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	ctx, cancel := m.storeContext(ctx)
	defer cancel()
	return m.Table.Commit(ctx, txn)
}

// outcome is what became of a transaction.
type outcome int

const (
	outcomeDone outcome = iota
	outcomeNone
	outcomeUnknown
)

func outcomeOf(err error) outcome {
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return outcomeDone
	case errors.As(err, &conflict), errors.Is(err, platform.ErrUnavailable):
		return outcomeNone
	}
	return outcomeUnknown
}
