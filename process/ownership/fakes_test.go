package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"gotest.tools/v3/assert"
)

// fakeTable is a table in memory that can be made unavailable.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version uint64
	down    bool
	// loseEvery is the period, in commits, of lost replies; every second commit that
	// is lost does not take effect. 0 loses none.
	loseEvery, commits int
}

func (f *fakeTable) Get(_ context.Context, key string) (platform.Row, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.Row{}, false, platform.ErrUnavailable
	}
	row, ok := f.rows[key]
	return row, ok, nil
}

func (f *fakeTable) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, platform.ErrUnavailable
	}
	var rows []platform.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (f *fakeTable) Commit(_ context.Context, txn platform.Txn) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, platform.ErrUnavailable
	}
	f.commits++
	lost := f.loseEvery > 0 && f.commits%f.loseEvery == 0
	if lost && f.commits%(2*f.loseEvery) == 0 {
		return 0, platform.ErrUnknown
	}
	for _, c := range txn.Conditions {
		if v := f.rows[c.Key].Version; v != c.Version {
			return 0, &platform.ConflictError{Key: c.Key, Version: v}
		}
	}
	f.version++
	for _, w := range txn.Writes {
		f.rows[w.Key] = platform.Row{Key: w.Key, Version: f.version, Value: w.Value}
	}
	if lost {
		return 0, platform.ErrUnknown
	}
	return f.version, nil
}

func (f *fakeTable) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// lateAccept is how long an entry waits for a connection that isn't accepted.
const lateAccept = 100 * time.Millisecond

// fakeFleet is a set of entries with a network between them.
type fakeFleet struct {
	t        *testing.T
	table    *fakeTable
	mu       sync.Mutex
	handlers map[string]map[string]peer.Handler
	members  []Member
	blocks   []Block
	entries  []*fakeEntry
	// acceptsFrom is when entries accept connections again; until then each takes lateAccept to fail.
	acceptsFrom time.Time
}

type fakeEntry struct {
	*Manager
	cancel context.CancelFunc
	done   chan error
	events []string
}

func newFleet(t *testing.T, entries int) *fakeFleet {
	f := &fakeFleet{t: t, table: &fakeTable{rows: map[string]platform.Row{}}, handlers: map[string]map[string]peer.Handler{}}
	for i := range entries {
		f.members = append(f.members, Member{Instance: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), FailureDomain: fmt.Sprintf("fd%d", i%3)})
	}
	for i := range 12 {
		f.blocks = append(f.blocks, Block{ID: fmt.Sprintf("w/%d", i), FailureDomain: fmt.Sprintf("fd%d", i%3)})
	}
	return f
}

// Call implements peer.Caller; a stopped entry is unreachable.
func (f *fakeFleet) Call(ctx context.Context, address, method string, params, result any) error {
	f.mu.Lock()
	handler := f.handlers[address][method]
	late := time.Now().Before(f.acceptsFrom)
	f.mu.Unlock()
	if late {
		// The process is there, and doesn't get to accepting the connection.
		time.Sleep(lateAccept)
		return errors.Join(peer.ErrNotSent, os.ErrDeadlineExceeded)
	}
	if handler == nil {
		return peer.ErrNotSent
	}
	answer, err := handler(ctx, encode(params))
	if err != nil {
		return err
	}
	return json.Unmarshal(encode(answer), result)
}

func (f *fakeFleet) start(i, incarnation int) *fakeEntry {
	self := f.members[i]
	self.Incarnation = fmt.Sprintf("%s.%d", self.Instance, incarnation)
	e := &fakeEntry{done: make(chan error, 1)}
	e.Manager = New(Options{
		Self: self, Table: f.table, Peers: f,
		Blocks:  func() []Block { return f.blocks },
		Members: func() []Member { return f.members },
		OnGain:  func(g Grant) { f.onGain(e, g.Block) },
		OnLoss:  func(b string) { e.events = append(e.events, "loss "+b) },
		OnTakeover: func(dead Member, all []json.RawMessage) {
			for _, a := range all {
				e.events = append(e.events, fmt.Sprintf("takeover %s %s", dead.Instance, a))
			}
		},
		Attachment: func() json.RawMessage { return json.RawMessage(`"usage"`) },
	})
	f.mu.Lock()
	f.entries = append(f.entries, e)
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = func() { f.handle(self.Address, nil); cancel() }
	f.handle(self.Address, e.Handlers())
	go func() { e.done <- e.Run(ctx) }()
	return e
}

// onGain checks that no other entry may use a block when it is gained; earlier
// incarnations of the same instance are dead.
func (f *fakeFleet) onGain(e *fakeEntry, block string) {
	e.events = append(e.events, "gain "+block)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range f.entries {
		if _, ok := other.HoldsLease(block); ok && other.Options.Self.Instance != e.Options.Self.Instance {
			f.t.Errorf("%s gained %s, which %s may use", e.Options.Self.Instance, block, other.Options.Self.Instance)
		}
	}
}

func (f *fakeFleet) handle(address string, handlers map[string]peer.Handler) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handlers[address] = handlers
}

// startAll starts all entries and waits until all blocks have an owner.
func (f *fakeFleet) startAll() []*fakeEntry {
	var all []*fakeEntry
	for i := range f.members {
		all = append(all, f.start(i, 1))
	}
	time.Sleep(40 * time.Second)
	assert.Equal(f.t, f.usable(all), len(f.blocks)+shardCount)
	return all
}

// usable returns how many blocks an entry may use, and fails if two may use one.
// It counts while all entries wait, since they transfer blocks within one instant of
// the virtual time.
func (f *fakeFleet) usable(entries []*fakeEntry) int {
	synctest.Wait()
	by := map[string]string{}
	for _, e := range entries {
		for _, g := range e.Owned() {
			if _, ok := e.HoldsLease(g.Block); !ok {
				continue
			}
			assert.Equal(f.t, by[g.Block], "", "block %s", g.Block)
			by[g.Block] = e.Self().Instance
		}
	}
	return len(by)
}

// waitUsable returns how long it took until all blocks are usable.
func (f *fakeFleet) waitUsable(entries ...*fakeEntry) time.Duration {
	startedAt := time.Now()
	for f.usable(entries) < len(f.blocks)+shardCount {
		assert.Assert(f.t, time.Since(startedAt) < time.Minute, "%d usable", f.usable(entries))
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(startedAt)
}

func inFleet(t *testing.T, entries int, test func(t *testing.T, f *fakeFleet, all []*fakeEntry)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, entries)
		all := f.startAll()
		test(t, f, all)
		for _, e := range all {
			e.cancel()
		}
		synctest.Wait()
	})
}
