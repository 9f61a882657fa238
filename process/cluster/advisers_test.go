package cluster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
)

var (
	slowRequest  = cell.AdviceRequest{Decide: time.Second, Estimate: time.Second}
	quickRequest = cell.AdviceRequest{Decide: time.Millisecond, Estimate: time.Millisecond}
)

func nineMembers() []Member {
	var members []Member
	for i := range 9 {
		members = append(members, Member{Name: fmt.Sprintf("n%d", i)})
	}
	return members
}

// Quick calls must go to other entries than slow ones, even if many slow ones are queued.
func TestQuickAdviceNeverWaitsBehindSlow(t *testing.T) {
	now := time.Unix(1000, 0)
	members := nineMembers()
	q := adviceQueue{busyUntil: make(map[string]time.Time)}
	slow := make(map[string]bool)
	for range 30 {
		m, _ := q.choose(now, members, slowRequest)
		slow[m.Name] = true
	}
	assert.Equal(t, len(slow), 6)
	quick, ready := q.choose(now, members, quickRequest)
	assert.Assert(t, !slow[quick.Name])
	assert.Equal(t, ready.Sub(now), time.Millisecond)
	alone, _ := q.choose(now, members[:1], quickRequest)
	assert.Equal(t, alone.Name, "n0")
}

// An entry whose calls fail at once is free first. It must not receive every further call.
func TestAdviserBackoffAfterFailure(t *testing.T) {
	now := time.Unix(1000, 0)
	members := nineMembers()
	q := adviceQueue{busyUntil: make(map[string]time.Time)}
	first, _ := q.choose(now, members, slowRequest)
	q.busyUntil[first.Name] = now
	q.failed(now, first)
	for range 5 {
		next, _ := q.choose(now, members, slowRequest)
		assert.Assert(t, next.Name != first.Name)
	}
	again, _ := q.choose(now.Add(adviserBackoff), members, slowRequest)
	assert.Equal(t, again.Name, first.Name)
}

// A scheduler that lags reads a reply long after it was sent. The validity of its tickets must
// count from the reply, or starts are sent with tickets that have expired.
func TestTicketsAgeWhileReplyIsUnread(t *testing.T) {
	began := time.Unix(1_700_000_000, 0)
	now := began.Add(3 * time.Second)
	assert.Equal(t, adviceAnsweredAt(now, began, 600*time.Millisecond), began.Add(600*time.Millisecond))
	assert.Equal(t, adviceAnsweredAt(now, began, 4*time.Second), now, "a clock that runs fast doesn't make a reply of the future")
	assert.Equal(t, adviceAnsweredAt(now, began, 0), now, "an entry that doesn't say how long the call took")
}
