package ownership

import (
	"context"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// scanPage is the largest number of rows that one read returns.
const scanPage = 500

// scanIfDue reads all rows when the period has passed or a peer has sent a new row
// of an entry.
func (m *Manager) scanIfDue(ctx context.Context) {
	m.mu.Lock()
	due := m.scannedAt.IsZero() || time.Since(m.scannedAt) >= m.ScanEvery
	m.mu.Unlock()
	if !due {
		return
	}
	startedAt := time.Now()
	if m.scanEntries(ctx) != nil || m.scanBlocks(ctx) != nil {
		return
	}
	m.mu.Lock()
	m.scannedAt = startedAt
	m.mu.Unlock()
}

func (m *Manager) scanEntries(ctx context.Context) error {
	return m.scan(ctx, entryPrefix, func(r platform.Row, now time.Time) error {
		row, err := decodeEntry(r.Value)
		if err != nil {
			return err
		}
		w := m.entries[row.Instance]
		w.observe(row, r.Version, now)
		m.entries[row.Instance] = w
		return nil
	})
}

func (m *Manager) scanBlocks(ctx context.Context) error {
	return m.scan(ctx, blockPrefix, func(r platform.Row, _ time.Time) error {
		row, err := decodeBlock(r.Value)
		if err != nil {
			return err
		}
		id := strings.TrimPrefix(r.Key, blockPrefix)
		m.observeBlock(seenBlock{ID: id, Version: r.Version, Row: row})
		return nil
	})
}

// scan reads all rows with the prefix and passes each to visit, under m.mu. A row that visit
// can't decode is skipped.
func (m *Manager) scan(ctx context.Context, prefix string, visit func(platform.Row, time.Time) error) error {
	after := ""
	for {
		rows, err := m.scanPage(ctx, prefix, after)
		if err != nil {
			return err
		}
		m.visitRows(rows, visit)
		if len(rows) < scanPage {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// visitRows passes rows to visit and reports those that can't be decoded.
func (m *Manager) visitRows(rows []platform.Row, visit func(platform.Row, time.Time) error) {
	now := time.Now()
	unusable := make(map[string]error)
	m.mu.Lock()
	for _, r := range rows {
		if err := visit(r, now); err != nil && m.unusable[r.Key] != r.Version {
			m.unusable[r.Key] = r.Version
			unusable[r.Key] = err
		}
	}
	m.mu.Unlock()
	for key, err := range unusable {
		m.OnUnusableRow(key, err)
	}
}

func (m *Manager) scanPage(ctx context.Context, prefix, after string) ([]platform.Row, error) {
	ctx, cancel := m.tableContext(ctx)
	defer cancel()
	return m.Table.Scan(ctx, prefix, after, scanPage)
}

// scheduleScan makes the next step read all rows.
func (m *Manager) scheduleScan() {
	m.mu.Lock()
	m.scannedAt = time.Time{}
	m.mu.Unlock()
}

// refresh reads a row whose version differed from the last known one. It returns
// false if the read failed.
func (m *Manager) refresh(ctx context.Context, key string) bool {
	id, isBlock := strings.CutPrefix(key, blockPrefix)
	if !isBlock {
		return m.scanEntries(ctx) == nil
	}
	found, ok, err := m.get(ctx, key)
	if err != nil {
		return false
	}
	seen := seenBlock{ID: id, Version: found.Version}
	if ok {
		if seen.Row, err = decodeBlock(found.Value); err != nil {
			return false
		}
	}
	m.mu.Lock()
	m.observeBlock(seen)
	m.mu.Unlock()
	return true
}

func (m *Manager) observeBlocks(blocks []seenBlock) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range blocks {
		m.observeBlock(b)
	}
}

// observeBlock records a row unless a newer one is known. Call with m.mu.
func (m *Manager) observeBlock(b seenBlock) {
	if b.Version > m.blocks[b.ID].Version {
		m.blocks[b.ID] = b
	}
}
