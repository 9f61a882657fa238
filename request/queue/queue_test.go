package queue

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	slot  = resource.Amount{Slots: 1}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func item(id, team string, deadline time.Duration) *Item {
	it := &Item{ID: id, Team: team, Amount: slot, Enqueued: start}
	if deadline > 0 {
		it.Deadline = at(deadline)
	}
	return it
}

func ids(items []*Item) []string {
	var names []string
	for _, it := range items {
		names = append(names, it.ID)
	}
	return names
}

func TestOrderInsideTeam(t *testing.T) {
	q := New(Config{Total: slot.Times(10), Limit: 10})
	urgent := item("urgent", "a", 9*time.Second)
	urgent.Urgent = true
	long := item("long", "a", 4*time.Second)
	long.RunTime = 3 * time.Second
	for _, it := range []*Item{item("none", "a", 0), item("late", "a", 3*time.Second), item("early", "a", 2*time.Second), long, urgent} {
		shed, err := q.Push(start, it)
		assert.NilError(t, err)
		assert.Equal(t, len(shed), 0)
	}
	var got []string
	for it := q.Pop(start, nil); it != nil; it = q.Pop(start, nil) {
		got = append(got, it.ID)
	}
	assert.DeepEqual(t, got, []string{"urgent", "long", "early", "late", "none"})
}

func TestFullQueueShedsTeamMostOverShare(t *testing.T) {
	q := New(Config{Total: slot.Times(10), Limit: 4, Teams: []Team{
		{Name: "big", Weight: 2}, {Name: "small", Weight: 1}, {Name: "capped", Weight: 1, QueueLimit: 1},
	}})
	for i := range 4 {
		_, err := q.Push(start, item(fmt.Sprint("big", i), "big", time.Duration(i+1)*time.Second))
		assert.NilError(t, err)
	}
	var full *FullError
	_, err := q.Push(start, item("big9", "big", 9*time.Second))
	assert.Assert(t, errors.As(err, &full))
	assert.Equal(t, full.RetryAfter, maxRetryAfter)
	shed, err := q.Push(start, item("small0", "small", time.Second))
	assert.NilError(t, err)
	assert.DeepEqual(t, ids(shed), []string{"big3"})
	_, err = q.Push(start, item("capped0", "capped", time.Second))
	assert.NilError(t, err)
	_, err = q.Push(start, item("capped1", "capped", 2*time.Second))
	assert.Assert(t, errors.As(err, &full))
	assert.Assert(t, full.TeamLimit)
	assert.Equal(t, q.Len(), 4)
}

func TestExpireAndRemove(t *testing.T) {
	q := New(Config{Total: slot, Limit: 10})
	for i := range 4 {
		_, err := q.Push(start, item(fmt.Sprint(i), "a", time.Duration(i+1)*time.Second))
		assert.NilError(t, err)
	}
	next, ok := q.NextExpiry()
	assert.Assert(t, ok)
	assert.Equal(t, len(q.Expire(next.Add(-1))), 0)
	assert.DeepEqual(t, ids(q.Expire(next)), []string{"0"})
	_, removed := q.Remove("2")
	assert.Assert(t, removed)
	_, removed = q.Remove("2")
	assert.Assert(t, !removed)
	assert.Equal(t, q.Pop(at(3*time.Second), nil).ID, "3")
	assert.DeepEqual(t, ids(q.Expire(at(3*time.Second))), []string{"1"})
	var late *LateError
	_, err := q.Push(at(3*time.Second), item("5", "a", time.Second))
	assert.Assert(t, errors.As(err, &late))
	assert.Equal(t, q.Len(), 0)
}

// Urgent work comes first only up to its team's share, and usage reported by peers is
// charged like the queue's own.
func TestUrgentShareAndPeerUsage(t *testing.T) {
	q := New(Config{Total: slot.Times(4), Limit: 100, Teams: []Team{{Name: "a"}, {Name: "b"}}})
	for i := range 4 {
		it := item(fmt.Sprint("a", i), "a", time.Hour)
		it.Urgent = true
		_, _ = q.Push(start, it)
		_, _ = q.Push(start, item(fmt.Sprint("b", i), "b", time.Hour))
	}
	q.Started(start, Charge{Team: "a", Amount: slot})
	pop := func() string {
		it := q.Pop(start, nil)
		q.Started(start, it.Charge())
		return it.ID
	}
	assert.DeepEqual(t, []string{pop(), pop(), pop(), pop()}, []string{"a0", "a1", "b0", "b1"})
	q.SetPeerTotals(start, "peer", 1, []TeamTotal{{Team: "b", Used: Usage{resource.Slots: 100}}})
	q.SetPeerTotals(start, "peer", 2, []TeamTotal{{Team: "b", Used: Usage{resource.Slots: 101}}})
	q.SetPeerTotals(start, "peer", 2, []TeamTotal{{Team: "a", Used: Usage{resource.Slots: 999}}})
	assert.DeepEqual(t, []string{pop(), pop()}, []string{"a2", "a3"})
	skipped := q.Pop(start, func(it *Item) bool { return it.ID != "b2" })
	assert.Assert(t, skipped == nil)
}

// A team that is always backlogged gets its weighted share of slot time, whatever the
// run time of its items.
func TestWeightedShare(t *testing.T) {
	const slots, step, window = 40, 10 * time.Millisecond, 10 * time.Second
	q := New(Config{Total: slot.Times(slots), Limit: 1 << 20, Teams: []Team{
		{Name: "one", Weight: 1}, {Name: "two", Weight: 2}, {Name: "five", Weight: 5},
	}})
	runTime := map[string]time.Duration{"one": 400 * time.Millisecond, "two": 50 * time.Millisecond, "five": 130 * time.Millisecond}
	used := make(map[string]float64)
	finish := make(map[time.Duration][]Charge)
	free, n := slots, 0
	for now := time.Duration(0); now < 2*window; now += step {
		for _, c := range finish[now] {
			q.Finished(at(now), c)
			free++
		}
		for team := range runTime {
			n++
			for q.Waiting(team) < 100 {
				n++
				_, err := q.Push(at(now), item(fmt.Sprint(n), team, 0))
				assert.NilError(t, err)
			}
		}
		for ; free > 0; free-- {
			it := q.Pop(at(now), nil)
			q.Started(at(now), it.Charge())
			finish[now+runTime[it.Team]] = append(finish[now+runTime[it.Team]], it.Charge())
			if now >= window {
				used[it.Team] += runTime[it.Team].Seconds()
			}
		}
	}
	for team, weight := range map[string]float64{"one": 1, "two": 2, "five": 5} {
		want := weight / 8 * slots * window.Seconds()
		assert.Assert(t, used[team] > 0.95*want, "%s used %.1f of %.1f slot seconds", team, used[team], want)
	}
}

// Under any sequence of calls, every item leaves the queue exactly once and the limits
// hold.
func TestEveryItemLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{Total: slot.Times(5), Limit: 8, Teams: []Team{{Name: "a", QueueLimit: 3}, {Name: "b", Weight: 3}}})
		waiting := make(map[string]bool)
		leave := func(items ...*Item) {
			for _, it := range items {
				assert.Assert(t, waiting[it.ID], it.ID)
				delete(waiting, it.ID)
			}
		}
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 100).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0:
				if it := q.Pop(at(now), nil); it != nil {
					assert.Assert(t, !it.late(at(now)))
					leave(it)
				}
			case 1:
				leave(q.Expire(at(now))...)
			case 2:
				if it, ok := q.Remove(fmt.Sprint(rapid.IntRange(0, i).Draw(t, "id"))); ok {
					leave(it)
				}
			default:
				it := item(fmt.Sprint(i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), now+time.Duration(rapid.IntRange(0, 5).Draw(t, "s"))*time.Second)
				it.Urgent = rapid.Bool().Draw(t, "urgent")
				shed, err := q.Push(at(now), it)
				if err == nil {
					waiting[it.ID] = true
				}
				leave(shed...)
			}
			assert.Assert(t, q.Len() <= 8 && q.Waiting("a") <= 3)
		}
		leave(q.Expire(at(now + time.Hour))...)
		for it := q.Pop(at(now+time.Hour), nil); it != nil; it = q.Pop(at(now+time.Hour), nil) {
			leave(it)
		}
		assert.Equal(t, len(waiting), 0)
	})
}
