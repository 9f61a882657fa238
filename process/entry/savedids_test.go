package entry

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/ownership"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/requests"
)

// One row that can't be decoded must not hide the ids of the others, and old rows must not
// keep ids in use for ever.
func TestMessagesOfSavedIDs(t *testing.T) {
	now := time.Now()
	row := func(key string, age time.Duration) platform.Row {
		value, err := json.Marshal(savedIDs{SavedAt: now.Add(-age), Message: json.RawMessage(`"` + key + `"`)})
		assert.NilError(t, err)
		return platform.Row{Key: key, Value: value}
	}
	rows := []platform.Row{row("new", time.Second), {Key: "malformed", Value: []byte("{")}, row("old", savedIDsKept), row("skewed", -time.Minute)}
	var got []string
	for _, message := range messagesOf(rows, now) {
		got = append(got, string(message))
	}
	assert.DeepEqual(t, got, []string{`"new"`, `"skewed"`})
}

// ownsAll holds the lease on each block in one epoch.
type ownsAll struct {
	requests.Ownership
	epoch uint64
}

// HoldsLease implements ownership.Owners.
func (o ownsAll) HoldsLease(block string) (ownership.Grant, bool) {
	return ownership.Grant{Block: block, Epoch: o.epoch}, true
}

// An entry that ran requests on a shard before it had read the ids that its former owner saved
// ran one of them again: it had joined after the former owner handed its ids over.
func TestShardIsServedOnceItsIDsWereRead(t *testing.T) {
	shard := ownership.Shards()[0]
	shards := newShardsWithIDs()
	held := func(epoch uint64, block string) bool {
		_, held := withIDs{ownsAll{epoch: epoch}, shards}.HoldsLease(block)
		return held
	}
	assert.Assert(t, !held(1, shard))
	assert.Assert(t, held(1, "w/worker-1"))
	shards.add(ownership.Grant{Block: shard, Epoch: 1})
	assert.Assert(t, !held(1, shard))
	shards.set(shards.take())
	assert.Assert(t, held(1, shard))
	assert.Assert(t, !held(2, shard))
}
