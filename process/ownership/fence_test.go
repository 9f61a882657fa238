package ownership

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// A scan that was read before a peer told of a newer row must not bring the older
// one back: nobody would claim the block until the next scan.
func TestOlderRowsAreNotTakenBack(t *testing.T) {
	older := platform.Row{Key: blockPrefix + "s/00", Version: 3, Value: encode(blockRow{Owner: "e2", Epoch: 1})}
	table := &fakeTable{rows: map[string]platform.Row{older.Key: older}}
	m := New(Options{Self: Member{Instance: "e1"}, Table: table})
	m.changed(changedParams{Blocks: []seenBlock{{ID: "s/00", Version: 5, Row: blockRow{Epoch: 1}}}})
	assert.NilError(t, m.scanBlocks(t.Context()))
	assert.Assert(t, m.refresh(t.Context(), older.Key))
	_, _, owned := m.OwnerOf("s/00")
	assert.Assert(t, !owned, "the older row came back")
}

// What an entry missed it reads when it is told that it is wrong.
func TestLookReadsTheRow(t *testing.T) {
	row := platform.Row{Key: blockPrefix + "s/00", Version: 3, Value: encode(blockRow{Owner: "e2", Epoch: 2})}
	m := New(Options{Self: Member{Instance: "e1"}, Table: &fakeTable{rows: map[string]platform.Row{row.Key: row}}})
	m.see(seenBlock{ID: "s/00", Version: 1, Row: blockRow{Owner: "e3", Epoch: 1}})
	m.Look(t.Context(), "s/00")
	_, owner, _ := m.OwnerOf("s/00")
	assert.Equal(t, owner, "e2")
}

// heard records calls by address.
type heard struct{ calls map[string]changedParams }

func (h *heard) Call(_ context.Context, address, _ string, params, _ any) error {
	h.calls[address] = params.(changedParams)
	return nil
}

// An entry joins between another one's list of entries and its giving a block up:
// whoever knows of both passes the row on.
func TestUnclaimedBlocksAreToldToTheirOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &heard{calls: make(map[string]changedParams)}
		m := New(Options{Self: Member{Instance: "e1"}, Peers: h, Blocks: func() []Block { return nil }})
		joined := Member{Instance: "e2", Address: "a2"}
		m.entries["e2"] = watch{row: entryRow{Member: joined, Live: true}, version: 1}
		m.see(seenBlock{ID: "s/01", Version: 4, Row: blockRow{Epoch: 1}})
		m.see(seenBlock{ID: "s/02", Version: 5, Row: blockRow{Owner: "e2", Epoch: 1}})
		m.remind(t.Context())
		synctest.Wait()
		assert.Equal(t, len(h.calls["a2"].Blocks), 1)
		assert.Equal(t, h.calls["a2"].Blocks[0].ID, "s/01")
	})
}
