package workerstandin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/conn/worker/httpworker"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

var smallWorker = Config{
	Name:     "w1",
	Capacity: resource.Amount{MilliCPU: 1000, Slots: 1},
}

// eachClient runs check on a new worker in process and over HTTP.
func eachClient(t *testing.T, check func(t *testing.T, w *Worker, c worker.Client)) {
	t.Run("in process", func(t *testing.T) {
		w := New(smallWorker)
		check(t, w, w.Client())
	})
	t.Run("http", func(t *testing.T) {
		w := New(smallWorker)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer l.Close()
		go func() { _ = w.Serve(l) }()
		c := httpworker.New(httpworker.Options{Address: l.Addr().String(), MaxConnections: 4})
		defer c.Close()
		check(t, w, c)
	})
}

func newTaskOf(milliCPU int64) worker.StartTask {
	return worker.StartTask{
		Task:    "job/0",
		Attempt: 1,
		Team:    "crew",
		Kind:    "roster",
		Amount:  resource.Amount{MilliCPU: milliCPU},
		Lease:   time.Hour,
	}
}

func assertRefused(t *testing.T, err error, code string, epoch uint64) {
	t.Helper()
	var refused *worker.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Code, code)
	assert.Equal(t, refused.Epoch, epoch)
}

func eventKinds(r Record) []EventKind {
	found := []EventKind{}
	for _, e := range r.Events {
		found = append(found, e.Kind)
	}
	return found
}

// Calls with a lower epoch than one seen before are refused and recorded, over both
// clients. Guards against a worker that accepts commands of an earlier owner.
func TestEpochFence(t *testing.T) {
	eachClient(t, func(t *testing.T, w *Worker, c worker.Client) {
		ctx := t.Context()
		report, err := c.Adopt(ctx, 7)
		assert.NilError(t, err)
		assert.DeepEqual(t, report, worker.Report{Worker: "w1", Epoch: 7, Tasks: []worker.TaskStatus{}})
		_, err = c.Adopt(ctx, 7)
		assert.NilError(t, err)
		_, err = c.Adopt(ctx, 6)
		assertRefused(t, err, worker.RefusedEpoch, 7)
		_, err = c.Start(ctx, 6, []worker.StartTask{newTaskOf(1)})
		assertRefused(t, err, worker.RefusedEpoch, 7)
		_, err = c.Do(ctx, worker.Request{ID: "r", Epoch: 6}, false)
		assertRefused(t, err, worker.RefusedEpoch, 7)
		assert.DeepEqual(t, eventKinds(w.Record()), []EventKind{EventStaleEpoch, EventStaleEpoch, EventStaleEpoch})
	})
}

// A start whose response is lost is repeated, and a start arrives after its stop. Guards
// against a second run of the same attempt, and against a record without the work that
// exceeded the capacity.
func TestStartIsIdempotentAndRecordsWhatDoesNotFit(t *testing.T) {
	eachClient(t, func(t *testing.T, w *Worker, c worker.Client) {
		ctx := t.Context()
		fits, over := newTaskOf(600), newTaskOf(500)
		over.Task = "job/1"
		w.Change(func(s *Switches) { s.LoseStarts = 1 })
		_, err := c.Start(ctx, 1, []worker.StartTask{fits})
		assert.ErrorIs(t, err, worker.ErrUnknown)
		statuses, err := c.Start(ctx, 1, []worker.StartTask{fits, over})
		assert.NilError(t, err)
		assert.Equal(t, statuses[0].State, worker.TaskRunning)
		assert.Equal(t, statuses[0].Usage, fits.Amount)
		assert.Equal(t, statuses[1].State, worker.TaskFailed)
		assert.Equal(t, statuses[1].Error, worker.RefusedCapacity)

		refs := []worker.TaskRef{{Task: "job/0", Attempt: 1}, {Task: "job/9", Attempt: 3}}
		for range 2 {
			statuses, err = c.Stop(ctx, 1, refs)
			assert.NilError(t, err)
			assert.Equal(t, statuses[0].State, worker.TaskStopped)
			assert.Equal(t, statuses[1].State, worker.TaskStopped)
		}
		late := newTaskOf(1)
		late.Task, late.Attempt = "job/9", 3
		statuses, err = c.Start(ctx, 1, []worker.StartTask{late})
		assert.NilError(t, err)
		assert.Equal(t, statuses[0].State, worker.TaskStopped)
		assert.NilError(t, c.Forget(ctx, 1, refs))
		report, err := c.Renew(ctx, 1, time.Hour)
		assert.NilError(t, err)
		assert.Equal(t, len(report.Tasks), 1)

		record := w.Record()
		assert.DeepEqual(t, eventKinds(record), []EventKind{EventTaskStart, EventOverCapacity, EventTaskEnd})
		assert.Equal(t, record.Peak.MilliCPU, int64(600))
		assert.Assert(t, record.Held.Amount.IsZero())
	})
}

// A response that is cut, truncated or has another id must be an unknown outcome without a
// body, and the request must run once. Guards against a client that retries or returns a
// partial body.
func TestRequestFaults(t *testing.T) {
	eachClient(t, func(t *testing.T, w *Worker, c worker.Client) {
		ctx := t.Context()
		request := worker.Request{ID: "r-1", Epoch: 1, Team: "crew", Kind: "quote", Body: []byte("berth 4")}
		got, err := c.Do(ctx, request, false)
		assert.NilError(t, err)
		var body RequestAnswer
		assert.NilError(t, json.Unmarshal(got.Body, &body))
		assert.DeepEqual(t, body, RequestAnswer{Worker: "w1", ID: "r-1", Team: "crew", Echo: "berth 4"})

		faults := []func(*Switches){
			func(s *Switches) { s.LoseAnswers = 1 },
			func(s *Switches) { s.Truncate = 1 },
			func(s *Switches) { s.WrongID = 1 },
			func(s *Switches) { s.DieAfterRead = 1 },
		}
		for _, fault := range faults {
			w.Change(fault)
			got, err = c.Do(ctx, request, false)
			assert.ErrorIs(t, err, worker.ErrUnknown)
			assert.Assert(t, got.Body == nil, "returned part of a response")
		}
		waitIdle(t, w)
		assert.Equal(t, count(w, EventRequestBegin), 5, "each call must run exactly once")
		w.Change(func(s *Switches) { s.Broken = true })
		_, err = c.Do(ctx, request, true)
		assertRefused(t, err, worker.RefusedBroken, 1)
		assert.Equal(t, count(w, EventRefused), 1)
	})
}

// A response sent twice on a connection must not be returned for the next request on the
// same connection.
func TestDuplicateAnswerReachesNoOtherRequest(t *testing.T) {
	eachClient(t, func(t *testing.T, w *Worker, c worker.Client) {
		for i := range 50 {
			first := worker.Request{ID: fmt.Sprintf("first-%d", i)}
			w.Change(func(s *Switches) { s.Duplicate = 1 })
			_, err := c.Do(t.Context(), first, true)
			assert.NilError(t, err)
			second := worker.Request{ID: fmt.Sprintf("second-%d", i)}
			got, err := c.Do(t.Context(), second, false)
			// The connection may close before or after the call is written.
			if errors.Is(err, worker.ErrNotSent) {
				assert.Equal(t, requestBegins(w, second.ID), 0)
				continue
			}
			if errors.Is(err, worker.ErrUnknown) {
				continue
			}
			assert.NilError(t, err)
			var body RequestAnswer
			assert.NilError(t, json.Unmarshal(got.Body, &body))
			assert.Equal(t, body.ID, second.ID)
		}
	})
}

// waitIdle waits until no request is in progress.
func waitIdle(t *testing.T, w *Worker) {
	t.Helper()
	for w.Record().Held.Requests > 0 {
		assert.NilError(t, t.Context().Err())
	}
}

func requestBegins(w *Worker, id string) int {
	found := 0
	for _, e := range w.Record().Events {
		if e.Kind == EventRequestBegin && e.ID == id {
			found++
		}
	}
	return found
}

func count(w *Worker, kind EventKind) int {
	found := 0
	for _, e := range w.Record().Events {
		if e.Kind == kind {
			found++
		}
	}
	return found
}

// A task ends after the run time in its checkpoint or its payload or its declared run time,
// or when its lease expires. Guards against a task that runs on after its lease, and against the
// wrong precedence of run times.
func TestTaskLifetime(t *testing.T) {
	start := func(edit func(*worker.StartTask)) worker.StartTask {
		s := newTaskOf(100)
		s.Lease = time.Minute
		edit(&s)
		return s
	}
	cases := []struct {
		name  string
		task  worker.StartTask
		runs  time.Duration
		state worker.TaskState
	}{
		{"payload's run time", start(func(s *worker.StartTask) { s.Payload = []byte(`{"run_ms":2000}`) }), 2 * time.Second, worker.TaskDone},
		{"declared run time", start(func(s *worker.StartTask) { s.RunTime = time.Second }), time.Second, worker.TaskDone},
		{"resumed", start(func(s *worker.StartTask) { s.RunTime, s.Checkpoint = time.Hour, "3s" }), 3 * time.Second, worker.TaskDone},
		{"fails", start(func(s *worker.StartTask) { s.Payload = []byte(`{"run_ms":1,"fail":true}`) }), time.Millisecond, worker.TaskFailed},
		{"lease expires", start(func(s *worker.StartTask) { s.RunTime = time.Hour }), time.Minute, worker.TaskLeaseExpired},
		{"service lease expires", start(func(*worker.StartTask) {}), time.Minute, worker.TaskLeaseExpired},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := New(smallWorker)
				started := time.Now()
				_, err := w.Client().Start(t.Context(), 1, []worker.StartTask{c.task})
				assert.NilError(t, err)
				time.Sleep(2 * time.Minute)
				record := w.Record()
				assert.Equal(t, len(record.Events), 2)
				assert.Equal(t, record.Events[1].Time.Sub(started), c.runs)
				assert.Equal(t, record.Events[1].Detail, string(c.state))
				assert.Equal(t, record.Held, Totals{})
			})
		})
	}
}

// A renewed task outlives its first lease; throttling lengthens its remaining 12 s by a
// factor of 4, so that a checkpoint 8 s later has 10 s of unthrottled run time left.
func TestRenewThrottleCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(smallWorker)
		c := w.Client()
		ctx := t.Context()
		task := newTaskOf(100)
		task.Lease, task.RunTime = 10*time.Second, 20*time.Second
		refs := []worker.TaskRef{{Task: task.Task, Attempt: task.Attempt}}
		_, err := c.Start(ctx, 1, []worker.StartTask{task})
		assert.NilError(t, err)
		time.Sleep(8 * time.Second)
		_, err = c.Renew(ctx, 1, time.Minute)
		assert.NilError(t, err)
		_, err = c.Throttle(ctx, 1, refs, true)
		assert.NilError(t, err)
		time.Sleep(8 * time.Second)
		statuses, err := c.Checkpoint(ctx, 1, refs)
		assert.NilError(t, err)
		assert.Equal(t, statuses[0].State, worker.TaskCheckpointed)
		assert.Equal(t, statuses[0].Checkpoint, "10s")
	})
}

// A request continues and occupies its slot after its caller has timed out. Guards against
// a stand-in that frees the slot early and hides work above the capacity.
func TestRequestContinuesAfterCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(smallWorker)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := w.Client().Do(ctx, worker.Request{ID: "a", Body: []byte(`{"work_ms":5000}`)}, false)
		assert.ErrorIs(t, err, worker.ErrUnknown)
		_, err = w.Client().Do(t.Context(), worker.Request{ID: "b"}, false)
		assertRefused(t, err, worker.RefusedCapacity, 0)
		time.Sleep(4 * time.Second)
		synctest.Wait()
		_, err = w.Client().Do(t.Context(), worker.Request{ID: "c"}, false)
		assert.NilError(t, err)
		assert.Equal(t, w.Record().OverCapacity, 1)
		w.Change(func(s *Switches) { s.Unreachable = true })
		_, err = w.Client().Do(t.Context(), worker.Request{ID: "d"}, false)
		assert.ErrorIs(t, err, worker.ErrNotSent)
	})
}
