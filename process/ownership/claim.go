package ownership

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

const (
	// scanPage is how many rows one read returns.
	scanPage = 500
	// claimBatch is how many blocks one transaction claims.
	claimBatch = 64
	// claimRounds is the largest number of transactions of one step.
	claimRounds = 16
	// releaseBatch is how many blocks are released to other entries in one step,
	// each in a transaction of its own.
	releaseBatch = 8
)

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

// scan reads all rows with the prefix and passes each to visit, under m.mu.
func (m *Manager) scan(ctx context.Context, prefix string, visit func(platform.Row, time.Time) error) error {
	after := ""
	for {
		rows, err := m.scanPage(ctx, prefix, after)
		if err != nil {
			return err
		}
		now := time.Now()
		m.mu.Lock()
		for _, r := range rows {
			if err == nil {
				err = visit(r, now)
			}
		}
		m.mu.Unlock()
		if err != nil || len(rows) < scanPage {
			return err
		}
		after = rows[len(rows)-1].Key
	}
}

func (m *Manager) scanPage(ctx context.Context, prefix, after string) ([]platform.Row, error) {
	ctx, cancel := m.tableContext(ctx)
	defer cancel()
	return m.Table.Scan(ctx, prefix, after, scanPage)
}

// claimable is a block that this entry should own. dead is the condition on the row
// of its dead owner; nil if the block has none.
type claimable struct {
	block seenBlock
	dead  *platform.Condition
}

// allBlocks returns the region's blocks and the shards of keys.
func (m *Manager) allBlocks() []Block {
	all := slices.Clone(m.Blocks())
	for _, id := range Shards() {
		all = append(all, Block{ID: id})
	}
	return all
}

// claim claims the blocks that this entry should own and that have no live owner.
func (m *Manager) claim(ctx context.Context) {
	blocks := m.allBlocks()
	for range claimRounds {
		batch := m.claimables(blocks)
		if len(batch) == 0 || !m.commitClaims(ctx, batch) {
			return
		}
	}
}

func (m *Manager) claimables(blocks []Block) []claimable {
	grants := *m.grants.Load()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lease.held {
		return nil
	}
	live := m.live()
	var batch []claimable
	for _, b := range blocks {
		if _, granted := grants[b.ID]; granted {
			continue
		}
		seen := m.blocks[b.ID]
		seen.ID = b.ID
		if c, ok := m.mayClaim(b, seen, live); ok {
			batch = append(batch, c)
		}
		if len(batch) == claimBatch {
			break
		}
	}
	return batch
}

// mayClaim reports whether this entry should claim a block that it has no
// grant for. Call with m.mu.
func (m *Manager) mayClaim(b Block, seen seenBlock, live []Member) (claimable, bool) {
	c := claimable{block: seen}
	if seen.Row.Owner == m.self.Instance {
		return c, true
	}
	w := m.entries[seen.Row.Owner]
	if seen.Row.Owner != "" && w.row.Live {
		return c, false
	}
	if owner, ok := desiredOwner(b, live); !ok || owner.Instance != m.self.Instance {
		return c, false
	}
	if seen.Row.Owner == "" {
		return c, true
	}
	c.dead = &platform.Condition{Key: entryPrefix + seen.Row.Owner, Version: w.version}
	return c, true
}

// commitClaims claims a batch. It returns false if further batches can't succeed
// now.
func (m *Manager) commitClaims(ctx context.Context, batch []claimable) bool {
	self := m.Self()
	var txn platform.Txn
	var blocks []seenBlock
	for _, c := range batch {
		addBlock(&txn, c.block, c.block.Row.ownedBy(self))
		blocks = append(blocks, c.block)
		if c.dead != nil && !slices.Contains(txn.Conditions, *c.dead) {
			txn.Conditions = append(txn.Conditions, *c.dead)
		}
	}
	version, err := m.commit(ctx, txn)
	if err == nil {
		m.gained(ctx, blocks, self, version)
		return true
	}
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		m.scheduleScan()
		return false
	}
	return m.refresh(ctx, conflict.Key)
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

// scheduleScan makes the next step read all rows.
func (m *Manager) scheduleScan() {
	m.mu.Lock()
	m.scannedAt = time.Time{}
	m.mu.Unlock()
}

// gained grants the blocks that self is confirmed to own by rows written at version,
// and notifies the other entries.
func (m *Manager) gained(ctx context.Context, blocks []seenBlock, self Member, version uint64) {
	if len(blocks) == 0 {
		return
	}
	now := make([]seenBlock, len(blocks))
	grants := make([]Grant, len(blocks))
	for i, b := range blocks {
		now[i] = seenBlock{ID: b.ID, Version: version, Row: b.Row.ownedBy(self)}
		grants[i] = Grant{Block: b.ID, Epoch: now[i].Row.Epoch}
	}
	m.observeBlocks(now)
	m.grant(grants)
	for _, g := range grants {
		m.OnGain(g)
	}
	m.notify(ctx, changedParams{Blocks: now})
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

// releaseMisplaced releases up to releaseBatch of the blocks that another live entry
// should own.
func (m *Manager) releaseMisplaced(ctx context.Context) {
	released := 0
	for _, b := range m.misplaced() {
		if _, granted := (*m.grants.Load())[b.ID]; !granted {
			continue
		}
		if m.releaseBlock(ctx, b.ID) {
			released++
		}
		if released == releaseBatch {
			return
		}
	}
}

// misplaced returns the blocks granted to this entry that another live entry should
// own.
func (m *Manager) misplaced() []Block {
	grants := *m.grants.Load()
	m.mu.Lock()
	live := m.live()
	m.mu.Unlock()
	var all []Block
	for _, b := range m.allBlocks() {
		if _, granted := grants[b.ID]; !granted {
			continue
		}
		if owner, ok := desiredOwner(b, live); ok && owner.Instance != m.Options.Self.Instance {
			all = append(all, b)
		}
	}
	return all
}

// releaseBlock releases a block if nothing runs in it. It revokes the grant before
// it checks whether anything runs, so that nothing starts in between.
func (m *Manager) releaseBlock(ctx context.Context, id string) bool {
	g := m.revoke(id)
	if !m.Idle(id) {
		m.grant([]Grant{g})
		return false
	}
	m.OnLoss(id)
	m.mu.Lock()
	seen := m.blocks[id]
	m.mu.Unlock()
	next := blockRow{Epoch: seen.Row.Epoch}
	var txn platform.Txn
	addBlock(&txn, seen, next)
	version, err := m.commit(ctx, txn)
	if err == nil {
		m.observeBlocks([]seenBlock{{ID: id, Version: version, Row: next}})
	} else if !m.refresh(ctx, blockPrefix+id) {
		m.scheduleScan()
		return true
	}
	m.notifyReleased(ctx, id)
	return true
}

// notifyReleased notifies the other entries of a block that has no owner.
func (m *Manager) notifyReleased(ctx context.Context, id string) {
	m.mu.Lock()
	seen := m.blocks[id]
	m.mu.Unlock()
	if seen.Row.Owner == "" {
		m.notify(ctx, changedParams{Blocks: []seenBlock{seen}})
	}
}
