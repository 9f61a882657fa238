package capacity

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func testWorker(name string, epoch uint64) Worker {
	return Worker{
		Instance: platform.Instance{
			Name: name, Role: platform.RoleWorker, Upstream: "records", Connections: 6,
			Capacity: resource.Amount{MilliCPU: 30_000, MemoryMB: 64_000, Slots: 8},
		},
		Block: name, Epoch: epoch,
	}
}

func request(id string, until time.Time) Holding {
	return Holding{ID: id, Team: "a", Kind: "quote", Amount: resource.Amount{Slots: 1, MemoryMB: 100}, Until: until}
}

func TestWorkerIsClosedUntilReconciled(t *testing.T) {
	tracker := NewTracker()
	now := time.Unix(0, 0)
	var closed *ClosedError
	var full *FullError
	assert.Assert(t, errors.As(tracker.Assume("w", request("r", now)), &closed))
	tracker.AddWorker(testWorker("w", 2))
	assert.Assert(t, errors.As(tracker.Assume("w", request("r", now)), &closed))
	assert.Assert(t, tracker.At(0).Closed && tracker.At(0).Free.IsZero())
	assert.Assert(t, !tracker.Reconcile("w", 1, nil, nil), "an earlier epoch")

	task := Holding{ID: "t", Team: "b", Amount: resource.Amount{MilliCPU: 40_000}}
	assert.Assert(t, tracker.Reconcile("w", 2, []Holding{task}, []string{"x", "y", "z"}))
	err := tracker.Assume("w", Holding{ID: "t2", Amount: resource.Amount{MilliCPU: 1}})
	assert.Error(t, err, "worker w is full: milli_cpu")
	assert.NilError(t, tracker.Assume("w", request("r1", time.Time{})))
	assert.NilError(t, tracker.Assume("w", request("r2", time.Time{})))
	assert.Assert(t, errors.As(tracker.Assume("w", request("r3", time.Time{})), &full))
	assert.Equal(t, full.Dimension, DimensionConnections, "3 untracked and 2 tracked requests on 6 connections, one of which is for control calls")

	tracker.ReportRequests("w", []string{"x", "r1", "r2", "z"})
	assert.NilError(t, tracker.Assume("w", request("r3", time.Time{})))
	tracker.Expire(now.Add(time.Hour))
	assert.Assert(t, errors.As(tracker.Assume("w", request("r4", time.Time{})), &full), "untracked requests don't expire while the worker reports them")
	tracker.ReportRequests("w", []string{"r1"})
	assert.NilError(t, tracker.Assume("w", request("r4", time.Time{})), "the untracked requests have ended")

	tracker.SetLeaving("w", true)
	assert.Assert(t, errors.As(tracker.Assume("w", request("r6", now)), &closed))
	tracker.SetLeaving("w", false)
	tracker.SetQuarantined("w", true)
	assert.Equal(t, tracker.Free().Workers, 0)
	assert.Equal(t, tracker.Free().TotalCapacity.Slots, int64(8))
	assert.Equal(t, tracker.Fleet("records").Len(), 1)
	assert.Equal(t, tracker.Fleet("other").Len(), 0)
	assert.Equal(t, len(tracker.RemoveWorker("w")), 5)
	assert.Equal(t, len(tracker.TeamUsage()), 0)
	assert.Assert(t, tracker.At(0).Closed, "the index is no longer valid")
}

// TestTrackerAgainstModel compares the tracker with sums over all holdings.
func TestTrackerAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker()
		now := time.Unix(1000, 0)
		model := map[holdingKey]Holding{}
		for _, w := range []string{"w0", "w1", "w2"} {
			tracker.AddWorker(testWorker(w, 1))
			tracker.Reconcile(w, 1, nil, nil)
		}
		draw := func(t *rapid.T) holdingKey {
			return holdingKey{
				rapid.SampledFrom([]string{"w0", "w1", "w2"}).Draw(t, "worker"),
				rapid.StringMatching("[a-f]").Draw(t, "id"),
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"assume": func(t *rapid.T) {
				key := draw(t)
				h := Holding{ID: key.id, Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), Amount: resource.Amount{
					MilliCPU: rapid.Int64Range(0, 20_000).Draw(t, "cpu"), Slots: rapid.Int64Range(0, 4).Draw(t, "slots"),
				}, Until: now.Add(time.Duration(rapid.IntRange(1, 10).Draw(t, "for")) * time.Second)}
				if tracker.Assume(key.worker, h) == nil {
					model[key] = h
				}
			},
			"add": func(t *rapid.T) {
				key := draw(t)
				h, known := model[key]
				ok := tracker.ConfirmUnexpired(key.worker, key.id, now)
				assert.Equal(t, ok, known && (h.Until.IsZero() || !now.After(h.Until)))
				if ok {
					h.Until = time.Time{}
					model[key] = h
				}
			},
			"forget": func(t *rapid.T) {
				key := draw(t)
				_, known := model[key]
				_, ok := tracker.Release(key.worker, key.id)
				assert.Equal(t, ok, known)
				delete(model, key)
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second)
				for _, h := range tracker.Expire(now) {
					key := holdingKey{h.Worker, h.ID}
					assert.Assert(t, !model[key].Until.IsZero() && !now.Before(model[key].Until))
					delete(model, key)
				}
			},
			"": func(t *rapid.T) { compare(t, tracker, model) },
		})
	})
}

func compare(t *rapid.T, b *Tracker, model map[holdingKey]Holding) {
	used := map[string]resource.Amount{}
	teams := map[string]resource.Amount{}
	for key, h := range model {
		used[key.worker] = used[key.worker].Add(h.Amount)
		teams[h.Team] = teams[h.Team].Add(h.Amount)
	}
	for i := range b.Len() {
		c := b.At(i)
		free := c.Capacity.Sub(used[c.Worker])
		assert.Assert(t, used[c.Worker].Fits(c.Capacity), "worker %s over capacity", c.Worker)
		free.Slots = min(free.Slots, 6-controlConnections-used[c.Worker].Slots)
		assert.Equal(t, c.Free, free)
	}
	for _, u := range b.TeamUsage() {
		assert.Equal(t, u.Amount, teams[u.Team])
		delete(teams, u.Team)
	}
	for team, amount := range teams {
		assert.Assert(t, amount.IsZero(), "team %s is missing", team)
	}
}

var sizes = []int{50, 7900}

// filledTracker returns a tracker of n workers with the given number of holdings on
// each.
func filledTracker(n, holdings int) *Tracker {
	tracker := NewTracker()
	for i := range n {
		name := fmt.Sprintf("worker-%d", i)
		tracker.AddWorker(testWorker(name, 1))
		tracker.Reconcile(name, 1, nil, nil)
		for h := range holdings {
			if err := tracker.Assume(name, Holding{ID: fmt.Sprintf("task:job-%d/%d#1", i, h), Team: "a", Kind: "k", Amount: resource.Amount{MilliCPU: 1}}); err != nil {
				panic(err)
			}
		}
	}
	return tracker
}

func BenchmarkAssumeRelease(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			tracker := filledTracker(n, 28)
			h := request("r", time.Time{})
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("worker-%d", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				name := names[i%n]
				if err := tracker.Assume(name, h); err != nil {
					b.Fatal(err)
				}
				tracker.Release(name, "r")
			}
		})
	}
}

func BenchmarkFree(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			tracker := filledTracker(n, 1)
			for b.Loop() {
				tracker.Free()
			}
		})
	}
}

// BenchmarkBytes reports the heap used per worker and per holding.
func BenchmarkBytes(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			const holdings = 28
			var empty, full int64
			for b.Loop() {
				empty, full = heapOf(n, 0), heapOf(n, holdings)
			}
			b.ReportMetric(float64(empty)/float64(n), "B/worker")
			b.ReportMetric(float64(full-empty)/float64(n*holdings), "B/holding")
		})
	}
}

func heapOf(n, holdings int) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	tracker := filledTracker(n, holdings)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(tracker)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}
