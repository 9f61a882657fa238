package jobs

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// fakeTable holds rows in memory. before is called before each commit.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version uint64
	commits int
	before  func(platform.Txn)
	down    bool
	// maxRowBytes is the size of the largest row that the table takes; 0 means any.
	maxRowBytes int
	// lostReplies is how many commits take effect and return ErrUnknown.
	lostReplies int
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
	var rows []platform.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(x, y platform.Row) int { return strings.Compare(x.Key, y.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (f *fakeTable) Commit(_ context.Context, txn platform.Txn) (uint64, error) {
	f.mu.Lock()
	before := f.before
	f.mu.Unlock()
	if before != nil {
		before(txn)
	}
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	if f.down {
		return 0, platform.ErrUnavailable
	}
	for _, w := range txn.Writes {
		if f.maxRowBytes > 0 && len(w.Value) > f.maxRowBytes {
			return 0, platform.ErrInvalid
		}
	}
	for _, c := range txn.Conditions {
		if have := f.rows[c.Key].Version; have != c.Version {
			return 0, &platform.ConflictError{Key: c.Key, Version: have}
		}
	}
	f.version++
	for _, w := range txn.Writes {
		if w.Delete {
			delete(f.rows, w.Key)
			continue
		}
		f.rows[w.Key] = platform.Row{Key: w.Key, Version: f.version, Value: w.Value}
	}
	if f.lostReplies > 0 {
		f.lostReplies--
		return 0, platform.ErrUnknown
	}
	return f.version, nil
}
