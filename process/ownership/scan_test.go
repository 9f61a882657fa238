package ownership

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// One row that can't be decoded made every scan fail, and with it claims and takeovers of all
// other blocks, without a line in the log.
func TestUnusableRowsAreSkipped(t *testing.T) {
	rows := map[string]platform.Row{
		entryPrefix + "e0": {Key: entryPrefix + "e0", Version: 1, Value: []byte("{")},
		entryPrefix + "e2": {Key: entryPrefix + "e2", Version: 2, Value: encode(entryRow{Member: Member{Instance: "e2"}, Live: true})},
		blockPrefix + "a":  {Key: blockPrefix + "a", Version: 3, Value: []byte(`{"epoch":"x"}`)},
		blockPrefix + "b":  {Key: blockPrefix + "b", Version: 4, Value: encode(blockRow{Owner: "e2", Epoch: 1})},
	}
	reported := make(map[string]int)
	m := New(Options{
		Self: Member{Instance: "e1"}, Table: &fakeTable{rows: rows},
		OnUnusableRow: func(key string, err error) {
			assert.Assert(t, err != nil)
			reported[key]++
		},
	})
	for range 2 {
		assert.NilError(t, m.scanEntries(t.Context()))
		assert.NilError(t, m.scanBlocks(t.Context()))
	}
	assert.Assert(t, m.entries["e2"].row.Live)
	_, owner, _ := m.OwnerOf("b")
	assert.Equal(t, owner, "e2")
	assert.DeepEqual(t, reported, map[string]int{entryPrefix + "e0": 1, blockPrefix + "a": 1})
}
