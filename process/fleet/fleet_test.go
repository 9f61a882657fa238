package fleet

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/internal/standin/platformstandin"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// A worker drained in the table has to count as leaving and not in the total, and the last
// list has to stay in use while the platform is unavailable.
func TestListKeepsLastReadAndCountsDrainedAsLeaving(t *testing.T) {
	p := platformstandin.New()
	worker := func(name string) platform.Instance {
		return platform.Instance{Name: name, Role: platform.RoleWorker, Upstream: "u", Capacity: resource.Amount{Slots: 8}}
	}
	p.ChangeInstances(platformstandin.InstancesChange{Put: []platform.Instance{
		worker("w1"), worker("w2"), {Name: "e1", Role: platform.RoleEntry},
	}})
	f := New(p, p)
	assert.NilError(t, f.Refresh(t.Context()))
	assert.Equal(t, len(f.List().Entries), 1)
	assert.Equal(t, f.List().Total("u").Slots, int64(16))
	before := f.List()
	assert.NilError(t, f.Refresh(t.Context()))
	assert.Assert(t, f.List().ReadAt.After(before.ReadAt))
	assert.DeepEqual(t, f.List().Workers, before.Workers)

	_, err := p.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: DrainPrefix + "w1"}}})
	assert.NilError(t, err)
	assert.NilError(t, f.Refresh(t.Context()))
	p.Change(func(s *platformstandin.Switches) { s.Down = true })
	assert.ErrorIs(t, f.Refresh(t.Context()), platform.ErrUnavailable)
	w1, ok := f.List().Worker("w1")
	assert.Assert(t, ok && w1.Leaving)
	assert.Equal(t, f.List().Total("u").Slots, int64(8))
}
