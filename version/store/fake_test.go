package store

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

// fault is the fault injected into one commit.
type fault int

const (
	noFault fault = iota
	refused
	replyLost   // applied, and the reply is lost
	requestLost // not applied, and no reply is sent
	delayed     // the reply is lost, and the transaction may be applied later
	faultKinds
)

// fakePlatform is an in-memory table and object store that records the history of heads.
type fakePlatform struct {
	mu           sync.Mutex
	rows         map[string]platform.Row
	version      uint64
	objects      map[string][]byte
	history      []head
	heads        []platform.Row
	downUntil    time.Time
	faults       []fault
	downAfter    time.Duration
	inFlight     []platform.Txn
	beforeCommit func()
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

// goDownAfterCommit makes the platform unavailable for d after the next commit.
func (f *fakePlatform) goDownAfterCommit(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.downAfter = d
}

func (f *fakePlatform) down() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.downUntil)
}

// applyDelayed applies all delayed commits whose conditions still hold.
func (f *fakePlatform) applyDelayed() {
	for _, txn := range f.inFlight {
		_ = f.apply(txn)
	}
	f.inFlight = nil
}

// apply applies a transaction if its conditions hold.
func (f *fakePlatform) apply(txn platform.Txn) error {
	for _, c := range txn.Conditions {
		if f.rows[c.Key].Version != c.Version {
			return &platform.ConflictError{Key: c.Key, Version: f.rows[c.Key].Version}
		}
	}
	f.version++
	for _, w := range txn.Writes {
		row := platform.Row{Key: w.Key, Version: f.version, Value: w.Value}
		f.rows[w.Key] = row
		if w.Key == HeadKey {
			var h head
			if err := json.Unmarshal(w.Value, &h); err != nil {
				return err
			}
			f.history = append(f.history, h)
			f.heads = append(f.heads, row)
		}
	}
	return nil
}

func (f *fakePlatform) commit(txn platform.Txn) (uint64, error) {
	if hook := f.beforeCommit; hook != nil {
		f.beforeCommit = nil
		hook()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Now().Before(f.downUntil) {
		return 0, platform.ErrUnavailable
	}
	kind := noFault
	if len(f.faults) > 0 {
		kind, f.faults = f.faults[0], f.faults[1:]
	}
	f.downUntil = time.Now().Add(f.downAfter)
	switch kind {
	case refused:
		return 0, platform.ErrUnavailable
	case requestLost:
		return 0, platform.ErrUnknown
	case delayed:
		f.inFlight = append(f.inFlight, txn)
		return 0, platform.ErrUnknown
	case replyLost:
		_ = f.apply(txn)
		return 0, platform.ErrUnknown
	}
	return f.version, f.apply(txn)
}

// link is one entry's connection to the platform.
type link struct {
	*fakePlatform
	mu sync.Mutex
	// refuse makes all calls fail, and hang makes them wait until their context is done.
	refuse, hang bool
	// stale is the index in the history of the head that is read, -1 for the newest.
	stale int
}

func (l *link) interrupt(refuse, hang bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuse, l.hang = refuse, hang
}

// reach returns an error if the platform is unreachable.
func (l *link) reach(ctx context.Context) error {
	l.mu.Lock()
	refuse, hang := l.refuse, l.hang
	l.mu.Unlock()
	if hang {
		<-ctx.Done()
		return platform.ErrUnknown
	}
	if refuse || l.fakePlatform.down() {
		return platform.ErrUnavailable
	}
	return nil
}

func (l *link) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	if err := l.reach(ctx); err != nil {
		return 0, err
	}
	return l.commit(txn)
}

func (l *link) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, platform.ErrUnavailable
}

func (l *link) Get(ctx context.Context, key string) (platform.Row, bool, error) {
	if err := l.reach(ctx); err != nil {
		return platform.Row{}, false, err
	}
	f := l.fakePlatform
	f.mu.Lock()
	defer f.mu.Unlock()
	if key == HeadKey && l.stale >= 0 {
		return f.heads[l.stale], true, nil
	}
	row, ok := f.rows[key]
	return row, ok, nil
}

// objects is the object store behind a link.
type objects struct{ *link }

func (o objects) Put(ctx context.Context, name string, body []byte) error {
	if err := o.reach(ctx); err != nil {
		return err
	}
	f := o.fakePlatform
	f.mu.Lock()
	defer f.mu.Unlock()
	if old, ok := f.objects[name]; ok && string(old) != string(body) {
		return fmt.Errorf("object %s has other bytes", name)
	}
	f.objects[name] = body
	return nil
}

func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.reach(ctx); err != nil {
		return nil, err
	}
	f := o.fakePlatform
	f.mu.Lock()
	defer f.mu.Unlock()
	body, ok := f.objects[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return body, nil
}

// changeCounts returns the number of times each change is in the history.
func (f *fakePlatform) changeCounts() map[string]int {
	counts := map[string]int{}
	for _, h := range f.history {
		counts[strings.TrimPrefix(h.Change, changePrefix)]++
	}
	return counts
}
