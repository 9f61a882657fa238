package ownership

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// idleManager returns a Manager that owns its part of the blocks, all of which have
// an owner, so that no action is due.
func idleManager(b *testing.B, blocks, entries int) *Manager {
	b.Helper()
	var listed []Block
	for i := range blocks {
		listed = append(listed, Block{ID: fmt.Sprintf("w/domain-%d/rack-%d", i%3, i), FailureDomain: fmt.Sprintf("domain-%d", i%3)})
	}
	members := make([]Member, entries)
	for i := range members {
		members[i] = Member{
			Instance: fmt.Sprintf("entry-%d", i), Incarnation: fmt.Sprintf("entry-%d.0123456789abc", i),
			Address: "10.0.0.1:7003", FailureDomain: fmt.Sprintf("domain-%d", i%3), Region: "region-1",
		}
	}
	m := New(Options{Self: members[0], Blocks: func() []Block { return listed }})
	m.lease.held = true
	for _, member := range members {
		m.entries[member.Instance] = observedEntry{row: entryRow{Member: member, Live: true}, version: 1, firstSeen: time.Now()}
	}
	var grants []Grant
	for _, block := range m.allBlocks() {
		owner, _ := desiredOwner(block, members)
		m.observeBlock(seenBlock{ID: block.ID, Version: 1, Row: blockRow{}.ownedBy(owner)})
		if owner.Instance == m.self.Instance {
			grants = append(grants, Grant{Block: block.ID, Epoch: 1})
		}
	}
	m.grant(grants)
	return m
}

// BenchmarkIdleStep measures the pass over all blocks in each step while nothing
// changes.
func BenchmarkIdleStep(b *testing.B) {
	for _, blocks := range []int{50, 500, 4000} {
		for _, entries := range []int{9, 36} {
			b.Run(fmt.Sprintf("blocks=%d/entries=%d", blocks, entries), func(b *testing.B) {
				m := idleManager(b, blocks, entries)
				for b.Loop() {
					m.claim(context.Background())
					m.releaseMisplaced(context.Background())
					m.unclaimed()
				}
			})
		}
	}
}

// BenchmarkHeartbeat measures decoding and answering one heartbeat at a witness.
func BenchmarkHeartbeat(b *testing.B) {
	m := idleManager(b, 0, 3)
	params := encode(heartbeatParams{Owner: Member{Instance: "entry-1", Incarnation: "1", Region: "region-1"}, Confirmed: 1})
	answer := m.Handlers()[methodHeartbeat]
	for b.Loop() {
		if _, err := answer(context.Background(), json.RawMessage(params)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkBlockBytes reports the heap that an entry needs for each block of the
// region.
func BenchmarkBlockBytes(b *testing.B) {
	for _, blocks := range []int{50, 4000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				m := idleManager(b, blocks, 9)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(m)
			}
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(blocks+shardCount), "B/block")
		})
	}
}
