package jobs

import (
	"bytes"
	"context"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// reloadTimeout bounds the reading of a shard anew.
const reloadTimeout = time.Minute

// resolveConflict handles a transaction of which the row key had another
// version. It returns false if the next transaction is to be delayed.
func (c *committer) resolveConflict(ctx context.Context, batch []*change, key string) bool {
	for _, ch := range batch {
		if ch.key() != key {
			continue
		}
		c.readBack(ctx, ch)
		for _, other := range batch {
			if other != ch {
				c.againLocked(other, true)
			}
		}
		return true
	}
	for _, ch := range batch {
		fence, ok := c.keeper.Fence(ch.shard.name)
		if ok && fence.Key != key {
			c.againLocked(ch, true)
			continue
		}
		ch.shard.noteRefused(fence)
		c.refuse([]*change{ch})
	}
	return false
}

// noteRefused notes that another keeper may have taken the shard over.
func (s *shard) noteRefused(fence platform.Condition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedBy = fence
}

// mayPlace reports whether tasks of the shard are worth placing: whether their
// starts can be recorded, as far as is known. The caller holds the shard's lock.
func (k *Keeper) mayPlace(s *shard) bool {
	if s.refusedBy == (platform.Condition{}) {
		return true
	}
	fence, ok := k.Fence(s.name)
	return ok && fence != s.refusedBy
}

// resolveUnknown reads one row back: a transaction takes effect whole, so that
// one row tells of all.
func (c *committer) resolveUnknown(ctx context.Context, batch []*change) {
	for _, ch := range batch {
		ch.shard.mu.Lock()
		ch.job.undecided = true
		ch.shard.mu.Unlock()
	}
	first := batch[0]
	row, found, err := c.keeper.Table.Get(ctx, first.key())
	if err == nil && first.isIn(row, found) {
		c.accept(batch, row.Version)
		return
	}
	for _, ch := range batch {
		c.againLocked(ch, true)
	}
}

// isIn reports whether the row, as read, is the one that the change wrote.
func (c *change) isIn(row platform.Row, found bool) bool {
	if c.delete {
		return !found
	}
	return found && row.Version != c.version && bytes.Equal(row.Value, c.value)
}

// readBack finds out why a row has another version: an earlier write of
// unknown outcome took effect, or another keeper has written.
func (c *committer) readBack(ctx context.Context, ch *change) {
	row, found, err := c.keeper.Table.Get(ctx, ch.key())
	if err != nil {
		c.againLocked(ch, true)
		return
	}
	if ch.isIn(row, found) {
		c.accept([]*change{ch}, row.Version)
		return
	}
	if found && !ch.shard.wrote(ch.job, row.Value) {
		c.keeper.reload(ch)
		return
	}
	ch.shard.mu.Lock()
	defer ch.shard.mu.Unlock()
	ch.job.version = row.Version
	if !found {
		ch.job.version = 0
	}
	c.again(ch, true)
}

// wrote reports whether value is one that this keeper sent for the job.
func (s *shard) wrote(j *job, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sent := range j.sent {
		if bytes.Equal(sent, value) {
			return true
		}
	}
	return false
}

// reload reads a shard anew of which another keeper has written a row.
func (k *Keeper) reload(ch *change) {
	ch.shard.mu.Lock()
	for _, w := range ch.waiters {
		w <- ErrUnknown
	}
	ch.shard.mu.Unlock()
	if k.shard(ch.shard.name) != ch.shard {
		return
	}
	k.Lose(ch.shard.name)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reloadTimeout)
		defer cancel()
		for ctx.Err() == nil && k.Gain(ctx, ch.shard.name) != nil {
			sleep(ctx, commitRetryMax)
		}
	}()
}
