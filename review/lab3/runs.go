package main

import (
	"sync"
	"time"
)

// runRecord is what a worker has seen of a run.
type runRecord struct {
	task   string
	number int
	worker string
	began  time.Time
	// ended is zero while the run goes on; how is how it ended.
	ended time.Time
	how   string
}

// runLog holds all runs that workers have started.
type runLog struct {
	mu   sync.Mutex
	runs []*runRecord
	open map[string]*runRecord
}

func newRunLog() *runLog { return &runLog{open: make(map[string]*runRecord)} }

func (l *runLog) begun(task string, number int, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &runRecord{task: task, number: number, worker: worker, began: time.Now()}
	l.runs = append(l.runs, r)
	l.open[worker+" "+runKey(task, number)] = r
}

func (l *runLog) over(task string, number int, worker, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := worker + " " + runKey(task, number)
	if r := l.open[key]; r != nil {
		r.ended, r.how = time.Now(), how
		delete(l.open, key)
	}
}

func (l *runLog) lost(task string, number int, worker string) { l.over(task, number, worker, "lost") }

// of returns copies of the runs of a task, in the order of their starts.
func (l *runLog) of(task string) []runRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []runRecord
	for _, r := range l.runs {
		if r.task == task {
			runs = append(runs, *r)
		}
	}
	return runs
}

// started returns the number of different tasks that were ever started, and of those that run now.
func (l *runLog) started() (ever, now int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tasks := make(map[string]bool)
	for _, r := range l.runs {
		tasks[r.task] = true
	}
	return len(tasks), len(l.open)
}

// twice returns two runs of one task that went on at the same time, each on a worker that was up.
func (l *runLog) twice() (a, b runRecord, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	end := func(r *runRecord) time.Time {
		if r.ended.IsZero() {
			return now
		}
		return r.ended
	}
	for i, first := range l.runs {
		for _, second := range l.runs[i+1:] {
			if second.task == first.task && second.began.Before(end(first)) && first.began.Before(end(second)) {
				return *first, *second, true
			}
		}
	}
	return runRecord{}, runRecord{}, false
}
