// Package platformstandin is a small stand-in for the platform: a transactional
// table, an object store and a lagging list of instances, all in memory.
//
// Platform can be used in process, also in a testing/synctest bubble, or over
// HTTP by the protocol of package httpplatform. Its switches make it
// unavailable, slow, or lose the answers of commits that did or did not take
// effect. Versions come from one counter, so none repeats for a key.
package platformstandin

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kingcuplatch/kingcuplatch/internal/standin"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// Switches make the platform fail. The zero value is a platform that works.
type Switches struct {
	// Down makes every call unavailable at once.
	Down bool `json:"down"`
	// Delay is how long each call takes, half of it before it takes effect.
	Delay standin.Duration `json:"delay"`
	// LoseAnswers is how many of the next commits take effect and are reported
	// as unknown.
	LoseAnswers int `json:"lose_answers"`
	// LoseBefore is how many of the next commits take no effect and are
	// reported as unknown. It is used up before LoseAnswers.
	LoseBefore int `json:"lose_before"`
	// ListLag is how long the list of instances takes to show a change.
	ListLag standin.Duration `json:"list_lag"`
}

// Counts is what the platform was asked to do since it began. Refused calls
// count as Refused only.
type Counts struct {
	Commits     uint64 `json:"commits"`
	Conflicts   uint64 `json:"conflicts"`
	RowsWritten uint64 `json:"rows_written"`
	Gets        uint64 `json:"gets"`
	Scans       uint64 `json:"scans"`
	ObjectPuts  uint64 `json:"object_puts"`
	ObjectGets  uint64 `json:"object_gets"`
	Lists       uint64 `json:"lists"`
	Refused     uint64 `json:"refused"`
}

// Platform is the stand-in. It implements platform.Table and
// platform.Instances; Objects gives its object store. It is safe for concurrent
// use.
type Platform struct {
	mu        sync.Mutex
	switches  Switches
	counts    Counts
	revision  uint64
	rows      map[string]platform.Row
	keys      []string // of rows, sorted
	objects   map[string][]byte
	instances map[string]platform.Instance
	// began tells this platform from an earlier one; listed counts the changes that
	// the list shows.
	began  time.Time
	listed uint64
	// changes are those that the list does not show yet, oldest first.
	changes []instanceChange
}

// Objects is the object store of a Platform.
type Objects struct{ p *Platform }

var (
	_ platform.Table     = (*Platform)(nil)
	_ platform.Instances = (*Platform)(nil)
	_ platform.Objects   = (*Objects)(nil)
)

// New returns an empty platform.
func New() *Platform {
	return &Platform{
		began:     time.Now(),
		rows:      make(map[string]platform.Row),
		objects:   make(map[string][]byte),
		instances: make(map[string]platform.Instance),
	}
}

// Objects returns the object store.
func (p *Platform) Objects() *Objects { return &Objects{p: p} }

// Change edits the switches and returns what they are afterwards.
func (p *Platform) Change(edit func(*Switches)) Switches {
	p.mu.Lock()
	defer p.mu.Unlock()
	edit(&p.switches)
	return p.switches
}

// Counts returns what the platform was asked to do so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Get implements platform.Table.
func (p *Platform) Get(ctx context.Context, key string) (row platform.Row, found bool, err error) {
	err = p.read(ctx, "get row", func() error {
		p.counts.Gets++
		row, found = p.rows[key]
		return nil
	})
	return copyRow(row), found, err
}

// Scan implements platform.Table.
func (p *Platform) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	rows := []platform.Row{}
	err := p.read(ctx, "scan rows", func() error {
		p.counts.Scans++
		start, _ := slices.BinarySearch(p.keys, max(prefix, after))
		for _, key := range p.keys[start:] {
			if len(rows) >= limit || !strings.HasPrefix(key, prefix) {
				break
			}
			if key > after {
				rows = append(rows, copyRow(p.rows[key]))
			}
		}
		return nil
	})
	return rows, err
}

// Commit implements platform.Table.
func (p *Platform) Commit(ctx context.Context, txn platform.Txn) (version uint64, err error) {
	err = p.write(ctx, "commit", func() error {
		if p.switches.LoseBefore > 0 {
			p.switches.LoseBefore--
			return platform.ErrUnknown
		}
		version, err = p.commitLocked(txn)
		if err == nil && p.switches.LoseAnswers > 0 {
			p.switches.LoseAnswers--
			return platform.ErrUnknown
		}
		return err
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

func (p *Platform) commitLocked(txn platform.Txn) (uint64, error) {
	for _, condition := range txn.Conditions {
		have := p.rows[condition.Key].Version
		if have != condition.Version {
			p.counts.Conflicts++
			return 0, &platform.ConflictError{Key: condition.Key, Version: have}
		}
	}
	p.revision++
	for _, write := range txn.Writes {
		p.writeLocked(write)
	}
	p.counts.Commits++
	p.counts.RowsWritten += uint64(len(txn.Writes))
	return p.revision, nil
}

func (p *Platform) writeLocked(write platform.Write) {
	_, exists := p.rows[write.Key]
	at, _ := slices.BinarySearch(p.keys, write.Key)
	if write.Delete {
		delete(p.rows, write.Key)
		if exists {
			p.keys = slices.Delete(p.keys, at, at+1)
		}
		return
	}
	p.rows[write.Key] = platform.Row{
		Key:     write.Key,
		Version: p.revision,
		Value:   bytes.Clone(write.Value),
	}
	if !exists {
		p.keys = slices.Insert(p.keys, at, write.Key)
	}
}

// Put implements platform.Objects. A name that holds other bytes is a
// *platform.ConflictError with the name as its key.
func (o *Objects) Put(ctx context.Context, name string, body []byte) error {
	return o.p.write(ctx, "put object", func() error {
		o.p.counts.ObjectPuts++
		have, found := o.p.objects[name]
		if found && !bytes.Equal(have, body) {
			return &platform.ConflictError{Key: name}
		}
		o.p.objects[name] = bytes.Clone(body)
		return nil
	})
}

// Get implements platform.Objects.
func (o *Objects) Get(ctx context.Context, name string) (body []byte, err error) {
	err = o.p.read(ctx, "get object", func() error {
		o.p.counts.ObjectGets++
		have, found := o.p.objects[name]
		if !found {
			return platform.ErrNotFound
		}
		body = bytes.Clone(have)
		return nil
	})
	return body, err
}

// read runs a read under the lock; a read that is cut short is unavailable.
func (p *Platform) read(ctx context.Context, step string, act func() error) error {
	return p.call(ctx, step, platform.ErrUnavailable, act)
}

// write runs a change under the lock; one whose caller has gone is unknown.
func (p *Platform) write(ctx context.Context, step string, act func() error) error {
	return p.call(ctx, step, platform.ErrUnknown, act)
}

// call runs act between the two halves of the delay.
func (p *Platform) call(ctx context.Context, step string, cut error, act func() error) error {
	half, err := p.enter()
	if err != nil {
		return wrap(err, step)
	}
	if !sleep(ctx, half) {
		return wrap(cut, step)
	}
	p.mu.Lock()
	err = act()
	p.mu.Unlock()
	if !sleep(ctx, half) {
		return wrap(cut, step)
	}
	return wrap(err, step)
}

// enter refuses the call while the platform is down, and returns half its delay.
func (p *Platform) enter() (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.switches.Down {
		p.counts.Refused++
		return 0, platform.ErrUnavailable
	}
	return time.Duration(p.switches.Delay) / 2, nil
}

func wrap(err error, step string) error {
	return eris.Wrapf(err, "%s peer platform stand-in", step)
}

// sleep waits for d and reports whether ctx is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func copyRow(row platform.Row) platform.Row {
	row.Value = bytes.Clone(row.Value)
	return row
}
