package queue

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRemove measures one cancellation while a full queue is being cancelled.
func BenchmarkRemove(b *testing.B) {
	for _, queued := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(queued), func(b *testing.B) {
			names := make([]string, queued)
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			q := New(Config{Total: slot, Limit: queued})
			b.ReportAllocs()
			for k := range b.N {
				if k%queued == 0 {
					b.StopTimer()
					for i, name := range names {
						_, _ = q.Push(start, &Item{ID: name, Team: fmt.Sprint(i % 6), Amount: slot, Deadline: at(time.Duration(i) * time.Second)})
					}
					b.StartTimer()
				}
				q.Remove(names[k%queued])
			}
		})
	}
}

// benchQueue returns a queue with one waiting item of each team.
func benchQueue(teams int) *Queue {
	q := New(Config{Total: slot.Times(8 * 50), Limit: 10 * teams})
	for i := range teams {
		_, _ = q.Push(start, benchItem(i))
	}
	return q
}

func benchItem(i int) *Item {
	return &Item{ID: fmt.Sprint("item-", i), Team: fmt.Sprint("team-", i), Amount: slot, Enqueued: start, Deadline: at(time.Hour)}
}

// BenchmarkDecide measures one scheduling decision with all teams waiting: an item is
// popped, started, finished and queued again.
func BenchmarkDecide(b *testing.B) {
	for _, teams := range []int{6, 180} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			q := benchQueue(teams)
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				it := q.Pop(now, func(*Item) bool { return true })
				q.Started(now, it.Charge())
				q.Finished(now, it.Charge())
				it.Deadline = now.Add(time.Hour)
				if _, err := q.Push(now, it); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPeerTotals measures making one report and applying it in another queue.
func BenchmarkPeerTotals(b *testing.B) {
	for _, teams := range []int{6, 180} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			from, to := benchQueue(teams), benchQueue(teams)
			number := uint64(0)
			for b.Loop() {
				number++
				now := at(time.Duration(number) * time.Millisecond)
				to.SetPeerTotals(now, "peer", number, from.Totals(now))
			}
		})
	}
}
