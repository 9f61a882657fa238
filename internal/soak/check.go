package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/internal/standin/workerstandin"
)

// run is one start of a request or of an attempt of a task on a worker.
type run struct {
	worker     string
	begin, end time.Time
}

// runsOf returns the runs on all workers in the order of their begins: requests by team/id,
// tasks by name. A run that goes on has an end in the future.
func runsOf(workers []*workerstandin.Worker) map[string][]run {
	runs := make(map[string][]run)
	for _, w := range workers {
		record := w.Record()
		for _, e := range record.Events {
			switch e.Kind {
			case workerstandin.EventRequestBegin:
				key, _, _ := strings.Cut(e.ID, "#")
				runs[key] = append(runs[key], run{worker: record.Worker, begin: e.Time, end: e.Time})
			case workerstandin.EventTaskStart:
				runs[e.Task] = append(runs[e.Task], run{record.Worker, e.Time, time.Now().Add(time.Hour)})
			case workerstandin.EventTaskEnd:
				endRun(runs[e.Task], record.Worker, e.Time)
			}
		}
	}
	for _, of := range runs {
		slices.SortFunc(of, func(a, b run) int { return a.begin.Compare(b.begin) })
	}
	return runs
}

// endRun sets the end of the last run of a task on a worker.
func endRun(runs []run, worker string, at time.Time) {
	for i := len(runs) - 1; i >= 0; i-- {
		if runs[i].worker == worker {
			runs[i].end = at
			return
		}
	}
}

// check compares what the callers were told with the runs on the workers.
func (a *callers) check() {
	if n := a.count(unaccepted); n > maxUnaccepted {
		a.found.add("no answer: %d requests on new connections that were reset", n)
	}
	runs := runsOf(a.c.workers)
	for _, w := range a.sent {
		if w.job {
			a.checkJob(w, runs)
		} else {
			a.checkRequest(w, runs[w.team+"/"+w.id])
		}
	}
}

// count counts the tries with a verdict.
func (a *callers) count(v verdict) int {
	n := 0
	for _, w := range a.sent {
		for _, t := range w.tries {
			if t.verdict == v {
				n++
			}
		}
	}
	return n
}

// checkRequest checks that a request ran once, unless it is idempotent, and that it had not
// run when a caller was told so and didn't run afterwards unless it was sent again.
func (a *callers) checkRequest(w *wanted, runs []run) {
	if len(runs) > 1 && w.kind == "quote" {
		a.found.add("ran twice: %s on %s at %v and on %s at %v, tries: %+v", w.id,
			runs[0].worker, runs[0].begin, runs[1].worker, runs[1].begin, w.tries)
	}
	for i, t := range w.tries {
		if t.verdict == answered && len(runs) == 0 {
			a.found.add("answered but never run: %s", w.id)
		}
		if t.verdict != notRun {
			continue
		}
		for _, r := range runs {
			if i+1 == len(w.tries) || r.begin.Before(w.tries[i+1].sent) {
				a.found.add("not run, but it ran: %s at %v, refused by entry-%d at %v: %s: %s", w.id, r.begin, t.entry+1, t.ended, t.code, t.detail)
			}
		}
	}
}

// checkJob checks that no task of a job ran in two places at a time, and that a job of which
// each try was refused as not run has run nothing.
func (a *callers) checkJob(w *wanted, runs map[string][]run) {
	refused := len(w.tries) > 0
	for _, t := range w.tries {
		refused = refused && t.verdict == notRun
	}
	for task := range 2 {
		name := fmt.Sprintf("%s/%d", w.id, task)
		of := runs[name]
		if refused && len(of) > 0 {
			a.found.add("job refused as not run, but it ran: %s at %v", w.id, of[0].begin)
		}
		for i := 1; i < len(of); i++ {
			if of[i].begin.Before(of[i-1].end) {
				a.found.add("ran in two places: %s on %s and on %s at %v", name, of[i-1].worker, of[i].worker, of[i].begin)
			}
		}
	}
}

func (w *wanted) what() string {
	if w.job {
		return "job"
	}
	return "request"
}

// summary counts the tries by verdict and the jobs.
func (a *callers) summary() string {
	counts, codes, reused, jobs, done := make(map[verdict]int), make(map[string]int), 0, 0, 0
	for _, w := range a.sent {
		for _, t := range w.tries {
			counts[t.verdict]++
			if t.code != "" {
				codes[w.what()+" "+string(t.verdict)+" "+t.code]++
			}
			if t.reused {
				reused++
			}
		}
		if w.accepted() {
			jobs++
		}
		if w.done {
			done++
		}
	}
	text := fmt.Sprintf("calls %d", len(a.sent))
	for _, v := range []verdict{answered, notRun, unknown, unsent, cut, unaccepted, lost} {
		text += fmt.Sprintf(", %s %d", v, counts[v])
	}
	return text + fmt.Sprintf(", on used connections %d, jobs accepted %d, done %d, codes %v", reused, jobs, done, codes)
}
