package backfill

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
	"github.com/kingcuplatch/kingcuplatch/version"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A large task that competes with a steady stream of small tasks starts only if it gets
// a reservation.
func TestReservationStartsLargeTask(t *testing.T) {
	for _, c := range []struct{ maxReservations, large int }{{-1, 1}, {0, 0}} {
		t.Run(fmt.Sprint(c.maxReservations), func(t *testing.T) {
			assert.Equal(t, largeStarts(t, c.maxReservations), c.large)
		})
	}
}

// largeStarts returns how many times the large task starts on two workers with 8 cores
// that are kept full by small tasks of 1 s, one of which ends every 100 ms.
func largeStarts(t *testing.T, maxReservations int) int {
	capacity := resource.Amount{Running: 8, MilliCPU: 8000}
	ix := placement.NewIndex([]placement.Candidate{{Worker: "a", Capacity: capacity, Free: capacity}, {Worker: "b", Capacity: capacity, Free: capacity}})
	q := queue.New(queue.Config{Total: capacity.Times(2), Limit: 1000})
	d := New(q, ix, Policy{Ask: func(it *queue.Item) placement.Ask {
		return placement.Ask{Amount: it.Amount, Policy: version.PolicyBatch}
	}}, rand.New(rand.NewPCG(1, 2)))
	d.maxReservations = maxReservations
	push := func(now time.Time, id string, cores int64) {
		it := &queue.Item{ID: id, Team: id[:5], Kind: id[:5], Enqueued: now, Amount: resource.Amount{Running: 1, MilliCPU: 1000 * cores}}
		_, err := q.Push(now, it)
		assert.NilError(t, err)
	}
	var running []Start
	large := 0
	for step := range 600 {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		for q.Waiting("small") < 20 {
			push(now, fmt.Sprint("small", step, "-", q.Len()), 1)
		}
		if step == 1 {
			push(now, "large", 4)
		}
		if len(running) > 15 || step > 20 && len(running) > 0 {
			ix.Release(running[0].Worker, running[0].Item.Amount)
			q.Finished(now, running[0].Item.Charge())
			running = running[1:]
		}
		for s, ok := d.Next(now); ok; s, ok = d.Next(now) {
			ix.Allocate(s.Worker, s.Item.Amount)
			q.Started(now, s.Item.Charge())
			running = append(running, s)
			if s.Item.Kind == "large" {
				large++
			}
		}
	}
	return large
}

// Under any sequence of calls, no worker is overcommitted and reservations end with
// their items.
func TestReservationsDoNotLeak(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := resource.Amount{Running: 8, MilliCPU: 4000}
		var fleet []placement.Candidate
		for i := range 3 {
			fleet = append(fleet, placement.Candidate{Worker: fmt.Sprint(i), Capacity: capacity, Free: capacity})
		}
		q := queue.New(queue.Config{Total: capacity.Times(3), Limit: 20})
		d := New(q, placement.NewIndex(fleet), Policy{Ask: func(it *queue.Item) placement.Ask {
			return placement.Ask{Amount: it.Amount, Policy: version.PolicyBatch}
		}}, rand.New(rand.NewPCG(1, 2)))
		now := start
		var running []Start
		for i := range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "call") {
			case 0:
				q.Remove(fmt.Sprint(rapid.IntRange(0, i).Draw(t, "id")))
			case 1:
				d.Index.SetClosed(rapid.IntRange(0, 2).Draw(t, "worker"), rapid.Bool().Draw(t, "closed"))
			case 2:
				if len(running) > 0 {
					d.Index.Release(running[0].Worker, running[0].Item.Amount)
					q.Finished(now, running[0].Item.Charge())
					running = running[1:]
				}
			default:
				cores := rapid.Int64Range(1, 4).Draw(t, "cores")
				_, _ = q.Push(now, &queue.Item{ID: fmt.Sprint(i), Team: fmt.Sprint(i % 3), Enqueued: now, Deadline: now.Add(time.Minute), Amount: resource.Amount{Running: 1, MilliCPU: cores * 1000}})
			}
			for s, ok := d.Next(now); ok; s, ok = d.Next(now) {
				assert.Assert(t, !d.Index.At(s.Worker).Closed)
				d.Index.Allocate(s.Worker, s.Item.Amount)
				q.Started(now, s.Item.Charge())
				running = append(running, s)
				assert.Assert(t, d.Index.At(s.Worker).Free.MilliCPU >= 0)
			}
			assert.Assert(t, len(d.reservations) <= d.reservationLimit())
		}
		q.Expire(now.Add(time.Hour))
		_, ok := d.Next(now.Add(time.Hour))
		assert.Assert(t, !ok && q.Len() == 0 && len(d.reservations) == 0)
		for i := range 3 {
			d.Index.SetClosed(i, false)
			assert.Assert(t, !d.Index.Reserved(i))
		}
	})
}

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
