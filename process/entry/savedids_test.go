package entry

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/events"
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
	var logged strings.Builder
	e := &Entry{Config: Config{Log: events.New(&logged, "entry-1")}}
	var got []string
	for _, message := range e.messagesOf(rows, now) {
		got = append(got, string(message))
	}
	assert.DeepEqual(t, got, []string{`"new"`, `"skewed"`})
	assert.Equal(t, strings.Count(logged.String(), "KCL-7011"), 1, logged.String())
	assert.Assert(t, strings.Contains(logged.String(), `"malformed"`), logged.String())
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
