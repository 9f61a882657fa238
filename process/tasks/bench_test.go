package tasks

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/capacity"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// BenchmarkReserve reserves and releases capacity for the tasks of one job at one
// owner, most of whose workers are full.
func BenchmarkReserve(b *testing.B) {
	for _, workers := range []int{20, 880, 7900} {
		for _, tasks := range []int{1, 128} {
			b.Run(fmt.Sprintf("workers=%d/tasks=%d", workers, tasks), func(b *testing.B) {
				o := benchOwner(workers)
				r := ReserveRequest{Job: "j", Team: "t", Amount: oneTask, TTL: time.Hour}
				for i := range tasks {
					r.Refs = append(r.Refs, worker.TaskRef{Task: fmt.Sprintf("j/%d", i), Attempt: 1})
				}
				placed := 0
				for b.Loop() {
					for _, made := range o.Reserve(context.Background(), r).Reservations {
						if h, ok := o.Capacity.Release(made.Worker, holdingID(made.TaskRef)); ok {
							o.Allotments.Release(h.Team, h.Amount)
							placed++
						}
					}
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(placed), "ns/placed")
			})
		}
	}
}

func benchOwner(workers int) *Owner {
	w := &simulation{ownerOf: make(map[string]string), epochs: make(map[string]uint64)}
	o := NewOwner(Config{Owners: fakeOwners{w, "A"}, Capacity: capacity.NewTracker(), Allotments: &fakeAllotments{}, Choose: NewChooser().Choose})
	for i := range workers {
		name := fmt.Sprintf("w%d", i)
		w.ownerOf[name], w.epochs[name] = "A", 1
		o.Capacity.AddWorker(capacity.Worker{
			Instance: platform.Instance{Name: name, Capacity: resource.Amount{MilliCPU: 28}}, Block: name, Epoch: 1,
		})
		held := capacity.Holding{ID: "held", Team: "t", Amount: resource.Amount{MilliCPU: int64(28 - i%20/19*28)}}
		o.Capacity.Reconcile(name, 1, []capacity.Holding{held}, nil)
	}
	return o
}
