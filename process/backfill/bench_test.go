package backfill

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// BenchmarkNext measures one round on a full fleet with a backlog of every team: one
// item ends, the next is chosen and started, and one is queued.
func BenchmarkNext(b *testing.B) {
	for _, c := range []struct{ workers, teams int }{{50, 6}, {7900, 6}, {50, 180}, {7900, 180}} {
		b.Run(fmt.Sprintf("workers=%d/teams=%d", c.workers, c.teams), func(b *testing.B) { benchmarkNext(b, c.workers, c.teams) })
	}
}

func benchmarkNext(b *testing.B, workers, teams int) {
	capacity := resource.Amount{Running: 64, MilliCPU: 30_000, MemoryMB: 64_000, Slots: 8}
	var fleet []placement.Candidate
	for i := range workers {
		fleet = append(fleet, placement.Candidate{Worker: fmt.Sprint(i), Capacity: capacity, Free: capacity})
	}
	q := queue.New(queue.Config{Total: capacity.Times(int64(workers)), Limit: 1 << 20})
	d := New(q, placement.NewIndex(fleet), Policy{Ask: func(it *queue.Item) placement.Ask {
		return placement.Ask{Amount: it.Amount, Policy: version.PolicyRequest}
	}}, rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(0, 0)
	n := 0
	push := func() {
		n++
		amount := resource.Amount{Running: 1, MilliCPU: int64(1000 * (1 + n%3)), MemoryMB: 2000, Slots: 1}
		_, _ = q.Push(now, &queue.Item{ID: fmt.Sprint(n), Team: fmt.Sprint("t", n%teams), Kind: fmt.Sprint(n % 3), Enqueued: now, Deadline: now.Add(time.Hour), Amount: amount})
	}
	var running []Start
	start := func() {
		for s, ok := d.Next(now); ok; s, ok = d.Next(now) {
			d.Index.Allocate(s.Worker, s.Item.Amount)
			q.Started(now, s.Item.Charge())
			running = append(running, s)
			push()
		}
	}
	for range 20 * teams {
		push()
	}
	start()
	b.ReportAllocs()
	b.ResetTimer()
	durations := make([]time.Duration, 0, 2*b.N)
	start = func() {
		for {
			began := time.Now()
			s, ok := d.Next(now)
			durations = append(durations, time.Since(began))
			if !ok {
				return
			}
			d.Index.Allocate(s.Worker, s.Item.Amount)
			q.Started(now, s.Item.Charge())
			running = append(running, s)
			push()
		}
	}
	for k := range b.N {
		now = now.Add(time.Millisecond)
		last := len(running) - 1
		running[k%len(running)], running[last] = running[last], running[k%len(running)]
		s := running[last]
		running = running[:last]
		d.Index.Release(s.Worker, s.Item.Amount)
		q.Finished(now, s.Item.Charge())
		start()
	}
	b.StopTimer()
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)/2].Nanoseconds()), "p50-ns/decision")
	b.ReportMetric(float64(durations[len(durations)*99/100].Nanoseconds()), "p99-ns/decision")
}
