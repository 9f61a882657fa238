package cell

import (
	"fmt"
	"time"
)

// Sizes of what is held, in bytes, with the overhead of allocation.
const (
	// jobBytes is that of a job without its specification, endedJobBytes that of an ended one.
	jobBytes      = 1024
	endedJobBytes = 1024
	// stepSpecBytes is that of a step of a specification without its lists and texts. Lists grow by doubling.
	stepSpecBytes = 2 * 192
	afterBytes    = 2 * 8
	// openBytes, stepBytes and taskBytes are those of an open occurrence, of a step of it and of a task.
	openBytes = 192
	stepBytes = 512
	taskBytes = 256
	// spanBytes is that of a span of occurrences that haven't begun.
	spanBytes = 384
	// runBytes is that of a run.
	runBytes = 768
)

// HeldBytes returns the memory, in bytes, that the specification takes.
func (s *JobSpec) HeldBytes() int64 {
	n := jobBytes + len(s.Text) + len(s.ID) + len(s.Queue) + len(s.Team) + len(s.Upstream)
	for i := range s.Steps {
		step := &s.Steps[i]
		n += stepSpecBytes + afterBytes*len(step.After) + len(step.RequiredLabel) + len(step.PreferredRack)
	}
	return int64(n)
}

// occurrenceBytes returns the memory that an open occurrence takes.
func (s *JobSpec) occurrenceBytes() int64 {
	n := openBytes + stepBytes*len(s.Steps)
	for i := range s.Steps {
		n += taskBytes * s.Steps[i].Count
	}
	return int64(n)
}

// largeJobTasks is the number of tasks from which a job that is accepted or read is noted: a process that
// is ended because of its memory logs nothing more.
const largeJobTasks = 100_000

// noteLarge notes a job with many tasks before anything is held for them. rowBytes is the size of its row, 0
// if it has none yet.
func (c *Cell) noteLarge(spec *JobSpec, rowBytes int) {
	tasks := 0
	for i := range spec.Steps {
		tasks += spec.Steps[i].Count
	}
	if spec.total() > largeJobTasks/tasks {
		c.note(Note{Kind: NoteJobLarge, Job: spec.ID, Team: spec.Team, Reason: fmt.Sprintf("%d occurrences of %d tasks, a row of %d bytes", spec.total(), tasks, rowBytes)})
	}
}

// MemoryReport is the memory that a cell holds for accepted jobs.
type MemoryReport struct {
	// Held and Limit are in bytes, without runs.
	Held, Limit int64
	// Runs is the number of runs, RunLimit how many there may be.
	Runs, RunLimit int64
	// Waiting is the number of jobs with due work that isn't open.
	Waiting int
	// Largest is the job that takes most, LargestBytes what it takes.
	Largest      string
	LargestBytes int64
}

// Scarce reports whether new jobs may be refused, or due work waits.
func (r MemoryReport) Scarce() bool {
	return r.Waiting > 0 || 4*r.Held > newQuarters*r.Limit || 4*r.Runs > newQuarters*r.RunLimit
}

// MemoryReport returns the memory that the cell holds for accepted jobs.
func (c *Cell) MemoryReport(now time.Time) MemoryReport {
	report := MemoryReport{Held: c.held().whole, Limit: c.memoryLimit(), Runs: c.runs, RunLimit: c.runLimit()}
	for _, job := range c.live {
		if bytes := job.heldBytes(); bytes > report.LargestBytes {
			report.Largest, report.LargestBytes = job.ID, bytes
		}
		if _, _, due := job.nextDue(now); due && job.accepted && !job.outcome.Ended() {
			report.Waiting++
		}
	}
	return report
}
