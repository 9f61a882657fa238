package queue

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRemove measures one cancellation in a wave over a whole queue.
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
