// Package platformstandin is a small in-memory stand-in for the platform: a
// transactional table, an object store and a list of instances that shows changes
// with a delay.
//
// Platform can be used in process, including in a testing/synctest bubble, or over
// HTTP with the protocol of package httpplatform. Its switches make it unavailable or
// slow, or drop the responses of commits that did or did not take effect. Versions
// come from one counter, so none repeats for a key.
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

// Switches select the faults of the platform. The zero value has none.
type Switches struct {
	// Down makes each call fail at once with platform.ErrUnavailable.
	Down bool `json:"down"`
	// Delay is the duration of each call. A call takes effect after half of it.
	Delay standin.Duration `json:"delay"`
	// LoseAnswers is how many of the next commits take effect and return
	// platform.ErrUnknown.
	LoseAnswers int `json:"lose_answers"`
	// LoseRequests is how many of the next commits take no effect and return
	// platform.ErrUnknown. They precede those of LoseAnswers.
	LoseRequests int `json:"lose_before"`
	// ListLag is the delay after which the list of instances shows a change.
	ListLag standin.Duration `json:"list_lag"`
}

// Counts holds the number of calls since the platform was created. A call refused
// because of Switches.Down counts as Refused only.
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
// platform.Instances; Objects returns its object store. It is safe for concurrent
// use.
type Platform struct {
	mu        sync.Mutex
	switches  Switches
	counts    Counts
	revision  uint64
	rows      map[string]platform.Row
	keys      []string // the keys of rows, sorted
	objects   map[string][]byte
	instances map[string]platform.Instance
	// startedAt distinguishes this platform from an earlier one at the same address;
	// shownChanges counts the changes that the list shows. Both are part of its ETag.
	startedAt    time.Time
	shownChanges uint64
	// changes holds the changes that the list does not show yet, oldest first.
	changes []instanceChange
}

// Objects is the object store of a Platform.
type Objects struct{ p *Platform }

var (
	_ platform.Table     = (*Platform)(nil)
	_ platform.Instances = (*Platform)(nil)
	_ platform.Objects   = (*Objects)(nil)
)

// New returns an empty platform without faults.
func New() *Platform {
	return &Platform{
		startedAt: time.Now(),
		rows:      make(map[string]platform.Row),
		objects:   make(map[string][]byte),
		instances: make(map[string]platform.Instance),
	}
}

// Objects returns the object store.
func (p *Platform) Objects() *Objects { return &Objects{p: p} }

// Change edits the switches and returns the result.
func (p *Platform) Change(edit func(*Switches)) Switches {
	p.mu.Lock()
	defer p.mu.Unlock()
	edit(&p.switches)
	return p.switches
}

// Counts returns the numbers of calls so far.
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
		if p.switches.LoseRequests > 0 {
			p.switches.LoseRequests--
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
		current := p.rows[condition.Key].Version
		if current != condition.Version {
			p.counts.Conflicts++
			return 0, &platform.ConflictError{Key: condition.Key, Version: current}
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

// Put implements platform.Objects. If the object already has other bytes, the error is a
// *platform.ConflictError with the object's name as its key.
func (o *Objects) Put(ctx context.Context, name string, body []byte) error {
	return o.p.write(ctx, "put object", func() error {
		o.p.counts.ObjectPuts++
		current, found := o.p.objects[name]
		if found && !bytes.Equal(current, body) {
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
		current, found := o.p.objects[name]
		if !found {
			return platform.ErrNotFound
		}
		body = bytes.Clone(current)
		return nil
	})
	return body, err
}

// read calls act under the lock. If ctx ends first, the error is
// platform.ErrUnavailable.
func (p *Platform) read(ctx context.Context, step string, act func() error) error {
	return p.call(ctx, step, platform.ErrUnavailable, act)
}

// write calls act under the lock. If ctx ends first, the error is platform.ErrUnknown.
func (p *Platform) write(ctx context.Context, step string, act func() error) error {
	return p.call(ctx, step, platform.ErrUnknown, act)
}

// call calls act between the two halves of the delay. If ctx ends during the delay, it
// returns canceledErr.
func (p *Platform) call(ctx context.Context, step string, canceledErr error, act func() error) error {
	half, err := p.admit()
	if err != nil {
		return wrapError(err, step)
	}
	if !sleep(ctx, half) {
		return wrapError(canceledErr, step)
	}
	p.mu.Lock()
	err = act()
	p.mu.Unlock()
	if !sleep(ctx, half) {
		return wrapError(canceledErr, step)
	}
	return wrapError(err, step)
}

// admit returns half the delay of a call, or platform.ErrUnavailable while the platform
// is down.
func (p *Platform) admit() (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.switches.Down {
		p.counts.Refused++
		return 0, platform.ErrUnavailable
	}
	return time.Duration(p.switches.Delay) / 2, nil
}

func wrapError(err error, step string) error {
	return eris.Wrapf(err, "%s peer platform stand-in", step)
}

// sleep waits for d or until ctx ends, and reports whether ctx is still valid.
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
