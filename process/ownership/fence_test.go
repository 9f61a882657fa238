package ownership

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// A scan that was read before a peer sent a newer row must not restore the older
// one, or no entry claims the block until the next scan.
func TestOlderRowDoesNotReplaceNewer(t *testing.T) {
	older := platform.Row{Key: blockPrefix + "s/00", Version: 3, Value: encode(blockRow{Owner: "e2", Epoch: 1})}
	table := &fakeTable{rows: map[string]platform.Row{older.Key: older}}
	m := New(Options{Self: Member{Instance: "e1"}, Table: table})
	m.changed(changedParams{Blocks: []seenBlock{{ID: "s/00", Version: 5, Row: blockRow{Epoch: 1}}}})
	assert.NilError(t, m.scanBlocks(t.Context()))
	assert.Assert(t, m.refresh(t.Context(), older.Key))
	_, _, owned := m.OwnerOf("s/00")
	assert.Assert(t, !owned, "the older row replaced the newer one")
}

// An entry that missed a notification reads the row when it finds that the last
// known owner is wrong.
func TestRefreshBlockReadsTheRow(t *testing.T) {
	row := platform.Row{Key: blockPrefix + "s/00", Version: 3, Value: encode(blockRow{Owner: "e2", Epoch: 2})}
	m := New(Options{Self: Member{Instance: "e1"}, Table: &fakeTable{rows: map[string]platform.Row{row.Key: row}}})
	m.observeBlock(seenBlock{ID: "s/00", Version: 1, Row: blockRow{Owner: "e3", Epoch: 1}})
	m.RefreshBlock(t.Context(), "s/00")
	_, owner, _ := m.OwnerOf("s/00")
	assert.Equal(t, owner, "e2")
}

// callRecorder records the parameters of calls by address.
type callRecorder struct{ calls map[string]changedParams }

func (r *callRecorder) Call(_ context.Context, address, _ string, params, _ any) error {
	r.calls[address] = params.(changedParams)
	return nil
}

// An entry joins after another one has listed the entries and before that one releases
// a block: an entry that has seen both rows forwards the block's row to the new entry.
func TestUnclaimedBlocksAreSentToTheirOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &callRecorder{calls: make(map[string]changedParams)}
		m := New(Options{Self: Member{Instance: "e1"}, Peers: r, Blocks: func() []Block { return nil }})
		joined := Member{Instance: "e2", Address: "a2"}
		m.entries["e2"] = observedEntry{row: entryRow{Member: joined, Live: true}, version: 1}
		m.observeBlock(seenBlock{ID: "s/01", Version: 4, Row: blockRow{Epoch: 1}})
		m.observeBlock(seenBlock{ID: "s/02", Version: 5, Row: blockRow{Owner: "e2", Epoch: 1}})
		m.notifyUnclaimed(t.Context())
		synctest.Wait()
		assert.Equal(t, len(r.calls["a2"].Blocks), 1)
		assert.Equal(t, r.calls["a2"].Blocks[0].ID, "s/01")
	})
}
