package cluster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
)

var (
	slowAsk  = cell.Ask{Decide: time.Second, Takes: time.Second}
	quickAsk = cell.Ask{Decide: time.Millisecond, Takes: time.Millisecond}
)

func nineMembers() []Member {
	var members []Member
	for i := range 9 {
		members = append(members, Member{Name: fmt.Sprintf("n%d", i)})
	}
	return members
}

func TestQuickAdviceNeverWaitsBehindSlow(t *testing.T) {
	now := time.Unix(1000, 0)
	members := nineMembers()
	q := adviceQueue{busyUntil: make(map[string]time.Time)}
	slow := make(map[string]bool)
	for range 30 {
		m, _ := q.take(now, members, slowAsk)
		slow[m.Name] = true
	}
	assert.Equal(t, len(slow), 6)
	quick, ready := q.take(now, members, quickAsk)
	assert.Assert(t, !slow[quick.Name])
	assert.Equal(t, ready.Sub(now), time.Millisecond)
	alone, _ := q.take(now, members[:1], quickAsk)
	assert.Equal(t, alone.Name, "n0")
}

// An entry whose calls fail at once isn't asked again and again, although it is the
// one that is free first.
func TestEntryThatCannotAskRests(t *testing.T) {
	now := time.Unix(1000, 0)
	members := nineMembers()
	q := adviceQueue{busyUntil: make(map[string]time.Time)}
	first, _ := q.take(now, members, slowAsk)
	q.busyUntil[first.Name] = now
	q.failed(now, first)
	for range 5 {
		next, _ := q.take(now, members, slowAsk)
		assert.Assert(t, next.Name != first.Name)
	}
	again, _ := q.take(now.Add(adviserRest), members, slowAsk)
	assert.Equal(t, again.Name, first.Name)
}
