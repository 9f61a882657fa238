package tasks

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/capacity"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
)

var benchAmount = resource.Amount{Running: 1, MilliCPU: 1000, MemoryMB: 2000}

func benchRef(i int) worker.TaskRef {
	return worker.TaskRef{Task: fmt.Sprintf("attendance-2026-11-30/%d", i), Attempt: 1}
}

func encodedBytes(b *testing.B, messages ...any) float64 {
	total := 0
	for _, m := range messages {
		body, err := json.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		total += len(body)
	}
	return float64(total)
}

// BenchmarkMessageBytes encodes the messages between coordinator, owner and worker
// for the tasks of one job and reports the bytes per task.
func BenchmarkMessageBytes(b *testing.B) {
	for _, n := range []int{1, 28} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			reserve := ReserveRequest{
				Job: "attendance-2026-11-30", Team: "team-17", Kind: "attendance-rebuild",
				Policy: version.PolicyBatch, Amount: benchAmount, TTL: 10 * time.Second,
			}
			var reserved ReserveReply
			var start StartRequest
			var started Outcomes
			var events []Event
			report := worker.Report{Worker: "worker-1234", Epoch: 3}
			for i := range n {
				ref := benchRef(i)
				at := Located{TaskRef: ref, Worker: "worker-1234"}
				reserve.Refs = append(reserve.Refs, ref)
				reserved.Reservations = append(reserved.Reservations, Reservation{
					Located: at, Block: "r/region-1/rack-123", Epoch: 3, FailureDomain: "domain-1", Rack: "rack-123",
				})
				start.Starts = append(start.Starts, Start{Worker: at.Worker, Epoch: 3, Task: worker.StartTask{
					Task: ref.Task, Attempt: 1, Team: "team-17", Kind: "attendance-rebuild", Amount: benchAmount,
					RunTime: 10 * time.Minute, Lease: 30 * time.Second,
				}})
				started.Outcomes = append(started.Outcomes, Outcome{Ref: ref, State: StateRunning})
				events = append(events, Event{Located: at, Block: "r/region-1/rack-123", Epoch: 3, State: worker.TaskDone, Usage: benchAmount})
				report.Tasks = append(report.Tasks, worker.TaskStatus{
					Task: ref.Task, Attempt: 1, Team: "team-17", Kind: "attendance-rebuild", State: worker.TaskRunning,
					Amount: benchAmount, Usage: benchAmount,
				})
			}
			perTask := func(messages ...any) float64 { return encodedBytes(b, messages...) / float64(n) }
			for b.Loop() {
				_, _ = json.Marshal(report)
			}
			b.ReportMetric(perTask(reserve, reserved), "B/task-reserve")
			b.ReportMetric(perTask(start, started), "B/task-start")
			b.ReportMetric(perTask(events), "B/task-event")
			b.ReportMetric(perTask(report), "B/task-report")
		})
	}
}

// BenchmarkApply applies the report of one renewal in which all tasks are known and
// running.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{7, 28} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			o := &Owner{Config: Config{Capacity: capacity.NewTracker(), Lease: 30 * time.Second}}
			a := &agent{
				owner:    o,
				worker:   capacity.Worker{Instance: platform.Instance{Name: "worker-1"}},
				attempts: make(map[worker.TaskRef]*attempt), lost: make(map[worker.TaskRef]bool),
			}
			report := worker.Report{Worker: "worker-1"}
			for i := range n {
				ref := benchRef(i)
				a.attempts[ref] = &attempt{phase: running}
				report.Tasks = append(report.Tasks, worker.TaskStatus{Task: ref.Task, Attempt: 1, State: worker.TaskRunning})
			}
			b.ReportAllocs()
			for b.Loop() {
				a.apply(report, a.settledAttempts())
			}
		})
	}
}
