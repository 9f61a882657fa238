package cell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// waitWorld is a cell with four workers, on which a test arranges what a job waits for.
type waitWorld struct {
	t   *testing.T
	c   *Cell
	now time.Time
	// advice is that of the jobs submitted next.
	advice *catalog.Advice
	// overShare is set for jobs submitted next that are beyond their team's share.
	overShare bool
}

const (
	waitWorkers = 4
	waitCPU     = 8000
	waitMemory  = 8000
)

func newWaitWorld(t *testing.T) *waitWorld {
	teams := []*catalog.Team{{Name: "team"}, {Name: "capped", Cap: resource.Amount{MilliCPU: 2000}}}
	w := &waitWorld{t: t, now: time.Unix(1_700_000_000, 0)}
	w.c = New(Settings{KeepEnded: time.Minute}, catalog.New(1, nil, teams, nil, catalog.Limits{}))
	w.addWorkers(waitWorkers)
	return w
}

func (w *waitWorld) addWorkers(n int) {
	var list []WorkerInfo
	for i := range n {
		list = append(list, WorkerInfo{ID: fmt.Sprintf("w%d", i), Upstream: "desk", Capacity: resource.Amount{MilliCPU: waitCPU, MemoryMB: waitMemory}})
	}
	w.c.SetWorkers(w.now, list)
	for _, info := range list {
		w.c.Listed(w.now, info.ID, Listing{SentAt: w.now, Incarnation: 1})
	}
}

// after lets time pass.
func (w *waitWorld) after(d time.Duration) { w.now = w.now.Add(d) }

func (w *waitWorld) submit(id, team string, steps ...StepSpec) *Job {
	w.t.Helper()
	spec := JobSpec{ID: id, Team: team, Upstream: "desk", Policy: catalog.Policy{MaxAttempts: 9, Target: time.Hour, Advice: w.advice}, Steps: steps}
	assert.Equal(w.t, w.c.Submit(w.now, spec, func(Recorded) {}).Verdict, Recording)
	w.c.jobs[id].OverShare = w.overShare
	return w.c.jobs[id]
}

// plan plans, records the outcome and returns the start commands.
func (w *waitWorld) plan() []StartCommand {
	w.c.Plan(w.now)
	for b := w.c.TakeBatch(w.now); b != nil; b = w.c.TakeBatch(w.now) {
		recordVersion++
		w.c.BatchRecorded(w.now, b, recordVersion)
	}
	return w.c.TakeActions().Starts
}

// confirm has the workers confirm the starts.
func (w *waitWorld) confirm(starts []StartCommand) {
	for _, start := range starts {
		w.c.StartAnswered(w.now, start.Worker, start.RunKey, StartOK)
	}
}

// list has all workers list their runs, but for those that were not started.
func (w *waitWorld) list() {
	for _, worker := range w.c.workerOrder {
		listing := Listing{SentAt: w.now, Incarnation: 1}
		for _, r := range sortedRuns(worker) {
			if r.state >= runStarted {
				listing.Running = append(listing.Running, ListedRun{RunKey: r.RunKey})
			}
		}
		w.c.Listed(w.now, worker.ID, listing)
	}
}

// run plans and has the runs begin.
func (w *waitWorld) run() {
	w.confirm(w.plan())
	w.list()
}

// fill has a job of its own run on each worker, which leaves the given amount free there.
func (w *waitWorld) fill(left resource.Amount) {
	need := resource.Amount{MilliCPU: waitCPU, MemoryMB: waitMemory}.Sub(left)
	w.submit("filling", "team", StepSpec{Count: len(w.c.workerOrder), Need: need, Estimate: time.Hour, LongRunning: true})
	w.run()
}

// task is a step with one small task.
var smallTask = StepSpec{Count: 1, Need: resource.Amount{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Minute}

// small submits the job that has to wait.
func (w *waitWorld) small() *Job { return w.submit("job", "team", smallTask) }

// gang submits the job that has to wait, with a gang that takes whole workers.
func (w *waitWorld) gang(count int) *Job {
	return w.submit("job", "team", StepSpec{Count: count, Gang: true, Need: resource.Amount{MilliCPU: waitCPU, MemoryMB: waitMemory}, Estimate: time.Minute})
}

// firstStep returns the first step of the job.
func firstStep(job *Job) *step { return job.occurrences[0].steps[0] }

// firstRun returns the run of the job's first task.
func firstRun(job *Job) *Run { return firstStep(job).tasks[0].current }

// long is longer than reportWaitAfter.
const long = reportWaitAfter + time.Second

// waitAdvice is advice whose calls take long.
var waitAdvice = &catalog.Advice{Decide: SlowAdvice, Each: time.Millisecond, Valid: time.Second}

// A job that could run and doesn't must be told apart by what it waits for: each case arranges one
// reason, and the report must name it for the job "job", with a detail that says more.
func TestReportNamesWhatAJobWaitsFor(t *testing.T) {
	cases := []struct {
		reason  WaitReason
		detail  string
		arrange func(w *waitWorld)
	}{
		{WaitSetAside, "panic: test", func(w *waitWorld) {
			job := w.small()
			w.plan()
			w.c.setAside(w.now, job, "panic: test")
			w.c.WaitReport(w.now)
			w.after(long)
		}},
		{WaitAcceptance, "changed, one of 1 jobs in no write yet", func(w *waitWorld) {
			w.small()
			w.after(long)
		}},
		{WaitAcceptance, "in a write of 1 jobs taken 3s ago", func(w *waitWorld) {
			w.small()
			w.c.TakeBatch(w.now)
			w.after(long)
		}},
		{WaitEndRecord, "in no write yet", func(w *waitWorld) {
			job := w.small()
			w.run()
			r := firstRun(job)
			w.c.Listed(w.now, r.worker.ID, Listing{SentAt: w.now, Incarnation: 1, Ends: []End{{Seq: 1, RunKey: r.RunKey, Kind: EndDone}}})
			w.after(long)
		}},
		{WaitUnreachable, "job.0.0.0 run 1 on w0, listed, so for 3s", func(w *waitWorld) {
			job := w.small()
			w.run()
			w.c.WorkerUnreachable(w.now, firstRun(job).worker.ID, LossSilent, nil)
			w.after(long)
		}},
		{WaitStop, "listed, so for 3s, stop wanted for 3s, in progress: true, answered: false", func(w *waitWorld) {
			job := w.small()
			w.run()
			w.c.stopRun(w.now, firstRun(job))
			w.after(long)
			w.list()
		}},
		{WaitPlacementRecord, "planned, so for 3s; in a write of 1 jobs taken 3s ago; table unavailable for 1s", func(w *waitWorld) {
			w.small()
			record(w.t, w.c, w.now)
			w.c.Plan(w.now)
			w.c.TakeBatch(w.now)
			w.after(long)
			w.c.SetTableUnavailable(time.Second)
		}},
		{WaitStart, "starting, so for 3s", func(w *waitWorld) {
			w.small()
			w.plan()
			w.after(long)
		}},
		{WaitStartOutcome, "start without reply, so for 3s", func(w *waitWorld) {
			w.small()
			for _, start := range w.plan() {
				w.c.StartAnswered(w.now, start.Worker, start.RunKey, StartNoReply)
			}
			w.after(long)
		}},
		{WaitListing, "started, so for 3s", func(w *waitWorld) {
			w.small()
			w.confirm(w.plan())
			w.after(long)
		}},
		{WaitRetry, "4 usable", func(w *waitWorld) {
			w.small()
			starts := w.plan()
			w.after(long)
			w.c.StartAnswered(w.now, starts[0].Worker, starts[0].RunKey, StartRefused)
			w.plan()
		}},
		{WaitNoRound, "last round 3s ago", func(w *waitWorld) {
			w.fill(resource.Amount{})
			w.small()
			w.plan()
			w.after(long)
		}},
		{WaitNotPlanned, "4 usable", func(w *waitWorld) {
			w.small()
			starts := w.plan()
			w.after(long)
			w.plan()
			w.c.StartAnswered(w.now, starts[0].Worker, starts[0].RunKey, StartTicketRejected)
		}},
		{WaitQuota, "the team's quota is used up", func(w *waitWorld) {
			step := smallTask
			step.Need.MilliCPU = 1500
			w.submit("first", "capped", step)
			w.run()
			w.submit("job", "capped", step)
			w.plan()
			w.after(long)
			w.plan()
		}},
		{WaitIsolation, "tasks wait to run apart", func(w *waitWorld) {
			w.fill(resource.Amount{MilliCPU: 2000, MemoryMB: 2000})
			job := w.small()
			firstStep(job).tasks[0].setCrashes(crash{run: 1, worker: "w9", at: w.now, evidence: evidenceSole, confirmed: true})
			w.plan()
			w.after(long)
			w.plan()
		}},
		{WaitTooFewWorkers, "no new work on workers: 1 draining", func(w *waitWorld) {
			w.gang(4)
			w.c.workers["w3"].Draining = true
			w.plan()
			w.after(long)
			w.plan()
		}},
		{WaitCapacity, "capacity for 0 of 1 tasks", func(w *waitWorld) {
			w.fill(resource.Amount{})
			w.small()
			w.plan()
			w.after(long)
			w.plan()
		}},
		{WaitAdviceCall, "advice requests in flight: 1", func(w *waitWorld) {
			w.advice = waitAdvice
			w.small()
			w.plan()
			w.after(long)
			w.plan()
		}},
		{WaitAdviceRetry, "advice requests in flight: 0", func(w *waitWorld) {
			w.advice = waitAdvice
			w.small()
			w.c.Plan(w.now)
			request := w.c.TakeActions().AdviceRequests[0]
			record(w.t, w.c, w.now)
			w.after(long)
			w.c.Advised(w.now, w.now, request, nil, true)
			w.plan()
		}},
		{WaitAdviceRefused, "4 eligible, 0 advised", func(w *waitWorld) {
			w.advice = waitAdvice
			s := firstStep(w.small())
			for _, worker := range w.c.workerOrder {
				s.advice.setRefused(worker)
			}
			w.plan()
			w.after(long)
			w.plan()
		}},
		{WaitAdviceTurn, "all advice requests in flight: 1 of 1 slow, 0 of 2 quick", func(w *waitWorld) {
			w.advice = waitAdvice
			w.submit("first", "team", smallTask)
			w.plan()
			w.small()
			w.plan()
			w.after(long)
			w.plan()
		}},
		{WaitTooFewAllowed, "free for 1 without regard to tickets, for 4 without regard to advice, which is unknown on 3", func(w *waitWorld) {
			// The gang knows one worker, and has looked for others a moment ago.
			w.advice = waitAdvice
			s := firstStep(w.gang(2))
			s.advice.setAllowed(w.c.workers["w0"], "ticket", w.now.Add(time.Hour))
			s.advice.exploreAt = w.now.Add(time.Hour)
			w.plan()
			w.after(long)
			w.plan()
		}},
		{WaitTicket, "4 advised, 0 with a ticket; capacity for 0 of 1 tasks, 0 of it reserved for other steps; free for 4 without regard to tickets", func(w *waitWorld) {
			w.advice = waitAdvice
			s := firstStep(w.small())
			for _, worker := range w.c.workerOrder {
				s.advice.setAllowed(worker, "ticket", w.now)
			}
			w.c.SetAdviceLimits(AdviceLimits{})
			w.plan()
			w.after(long)
			w.plan()
		}},
		{WaitReserved, "capacity for 2 of 1 tasks, 2 of it reserved", func(w *waitWorld) {
			w.submit("busy", "team", StepSpec{Count: 2, Need: resource.Amount{MilliCPU: waitCPU, MemoryMB: 100}, Estimate: time.Minute})
			w.run()
			whole := resource.Amount{MilliCPU: waitCPU, MemoryMB: waitMemory}
			w.submit("waiting", "team", StepSpec{Count: 4, Gang: true, Need: whole, Estimate: time.Minute})
			w.plan()
			w.after(time.Millisecond)
			step := smallTask
			step.Estimate = time.Hour
			w.submit("job", "team", step)
			w.plan()
			w.after(long)
			w.plan()
		}},
		{WaitStartLimit, "1 starts in progress, limit 1", func(w *waitWorld) {
			w.c.starts.limit = 1
			w.submit("first", "team", smallTask)
			w.plan()
			w.small()
			w.plan()
			w.after(long)
			w.plan()
		}},
		{WaitShare, "capacity for 4 of 1 tasks", func(w *waitWorld) {
			// Processors are free, and kept for work within its share that waits for memory, which is
			// expected to come free.
			w.submit("soon", "team", StepSpec{Count: waitWorkers, Need: resource.Amount{MemoryMB: 7000}, MaxPerWorker: 1, Estimate: time.Second})
			w.confirm(w.plan())
			w.submit("within", "team", StepSpec{Count: 40, Need: resource.Amount{MilliCPU: 1000, MemoryMB: 2000}, Estimate: time.Minute})
			w.overShare = true
			w.small()
			w.plan()
			w.after(long)
			w.plan()
		}},
		{WaitUnexplained, "capacity for 4 of 1 tasks", func(w *waitWorld) {
			// Workers come free after the last round, and none follows.
			w.small()
			for _, worker := range w.c.workerOrder {
				worker.pausedUntil = w.now.Add(long)
			}
			w.plan()
			w.after(long - time.Millisecond)
			w.plan()
			w.after(time.Millisecond)
		}},
	}
	seen := make(map[WaitReason]bool)
	for _, one := range cases {
		seen[one.reason] = true
		t.Run(one.reason.String(), func(t *testing.T) {
			w := newWaitWorld(t)
			one.arrange(w)
			report := w.c.WaitReport(w.now)
			for _, waiting := range report.Longest {
				if waiting.Job != "job" {
					continue
				}
				assert.Equal(t, waiting.Reason.String(), one.reason.String(), waiting.Detail)
				assert.Assert(t, strings.Contains(waiting.Detail, one.detail), waiting.Detail)
				assert.Equal(t, waiting.Waited, long)
				assert.Assert(t, report.Counts[one.reason].Jobs > 0)
				return
			}
			t.Fatalf("the job isn't reported: %+v", report)
		})
	}
	for reason := range waitReasons {
		assert.Assert(t, seen[reason] || reason == WaitRoundCut || reason == WaitUnexamined, "no case for %s", reason)
	}
}
