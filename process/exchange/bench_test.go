package exchange

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/capacity"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
)

// fullState returns the state of an entry where every team has work running and every
// queue has usage of every team.
func fullState(teams, upstreams int) State {
	amount := resource.Amount{Running: 1220, MilliCPU: 1_500_000, MemoryMB: 3_000_000, Accelerators: 61, Slots: 350}
	s := State{Tasks: capacity.Summary{
		Generation: 1 << 40, Workers: 878, Total: amount, Largest: amount, LargestCapacity: amount, TotalCapacity: amount,
	}}
	for i := range teams {
		s.Usage = append(s.Usage, capacity.TeamUsage{Team: fmt.Sprintf("team-%d", i), Amount: amount})
	}
	for u := range upstreams {
		name := fmt.Sprintf("upstream-%d", u)
		s.Free = append(s.Free, Free{Upstream: name, Total: amount})
		totals := QueueTotals{Upstream: name}
		for i := range teams {
			used := queue.Usage{123.456789012, 0.123456789, 0.123456789, 0, 1234.56789012345}
			totals.Totals = append(totals.Totals, queue.TeamTotal{Team: fmt.Sprintf("team-%d", i), Used: used})
		}
		s.Queues = append(s.Queues, totals)
	}
	return s
}

// BenchmarkCall measures one call and its answer between two entries, encoded but
// without a network: with unchanged states, and with both states changed since the
// last call.
func BenchmarkCall(b *testing.B) {
	for _, teams := range []int{6, 180} {
		for _, changed := range []bool{false, true} {
			b.Run(fmt.Sprintf("teams=%d/changed=%v", teams, changed), func(b *testing.B) {
				all, caller, states := group(2)
				for i := range states {
					states[i] = fullState(teams, 1)
				}
				for range 3 {
					round(all)
				}
				caller.bytes = 0
				var n int64
				for b.Loop() {
					if changed {
						n++
						states[0].Usage[0].Amount.Running, states[1].Usage[0].Amount.Running = n, n
						all[0].encodedAt, all[1].encodedAt = time.Time{}, time.Time{}
					}
					all[0].call(context.Background(), Member{Instance: "entry-1", Address: "entry-1"})
				}
				b.ReportMetric(float64(caller.bytes)/float64(b.N), "B/call")
			})
		}
	}
}
