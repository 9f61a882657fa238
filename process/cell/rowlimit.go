package cell

import (
	"fmt"
	"strings"
	"time"
)

// The table takes rows up to a size. A job of which a row would be larger can't be recorded, so it is
// refused at once if that can be told from its specification. The row of its progress grows with the
// tasks that have run and aren't done; runs are planned only as far as it has room for them, and what
// a later scheduler can do without is left out of one that is still too large.

const (
	// maxBatchRowBytes bounds the rows of one job, so that the two of them fit into one write.
	maxBatchRowBytes = 320 << 10
	// Bytes of the entry of one task in the row of a job's progress, before any was written: an index,
	// the number of a run and a worker, as JSON and compressed.
	taskEntryBytes       = 64
	packedTaskEntryBytes = 24
	// entrySpreadPercent is the size that an entry may have, in percent of the mean of those written
	// last: it may be larger, or compressed worse.
	entrySpreadPercent = 125
	// doneEntryBytes is the size, in bytes, of a step of which all tasks are done, without these, as JSON;
	// specEntryBytes bounds that of a step of the specification without its lists and texts.
	doneEntryBytes = 16
	specEntryBytes = 320
	// escapedBytes is the size of one byte of a text as JSON at most, numberBytes that of a number of
	// an earlier step.
	escapedBytes = 6
	numberBytes  = 8
	// rowFullDelay is the delay before a task is placed for which the row had no room.
	rowFullDelay = time.Second
)

// rowLimit returns the size of the largest row of a job.
func (c *Cell) rowLimit() int {
	if c.settings.MaxRowBytes <= 0 {
		return maxBatchRowBytes
	}
	return min(c.settings.MaxRowBytes, maxBatchRowBytes)
}

// checkRows returns an error that names the field because of which a job can't be recorded.
func (c *Cell) checkRows(spec *JobSpec) error {
	limit := c.rowLimit()
	if spec.maxBytes() > limit {
		if n := len(c.codec.encode(spec)); n > limit {
			return fmt.Errorf("%s: the job takes %d bytes to keep, and %d can be kept", spec.largestField(), n, limit)
		}
	}
	if n := spec.doneBytes(); n > maxPlainBytes {
		return fmt.Errorf("steps: the job's progress takes %d bytes to keep, and %d can be kept", n, maxPlainBytes)
	} else if n > limit {
		if n := len(c.codec.encode(spec.doneRow().wire())); n > limit {
			return fmt.Errorf("steps: the job's progress takes %d bytes to keep, and %d can be kept", n, limit)
		}
	}
	for i := range spec.Steps {
		if s := &spec.Steps[i]; s.Gang && s.Count*c.entryBytes() > limit {
			return fmt.Errorf("steps[%d].count: the runs of a gang of %d can't be kept in %d bytes", i, s.Count, limit)
		}
	}
	return c.checkLasting(spec)
}

// maxBytes bounds the size of the specification as JSON.
func (s *JobSpec) maxBytes() int {
	n := 2*specEntryBytes + escapedBytes*(len(s.Text)+len(s.ID)+len(s.Queue)+len(s.Team)+len(s.Upstream))
	for i := range s.Steps {
		step := &s.Steps[i]
		n += specEntryBytes + numberBytes*len(step.After) + escapedBytes*(len(step.RequiredLabel)+len(step.PreferredRack))
	}
	return n
}

// largestField names the field that takes most of the specification.
func (s *JobSpec) largestField() string {
	if whole := s.maxBytes(); escapedBytes*len(s.Text) > whole/2 {
		return "spec"
	}
	return "steps"
}

// doneBytes bounds the size of the progress of an occurrence as JSON when all its tasks are done.
func (s *JobSpec) doneBytes() int {
	n := 0
	for i := range s.Steps {
		n += doneEntryBytes + s.Steps[i].Count
	}
	return n
}

// doneRow returns the job's progress when all tasks of an occurrence are done.
func (s *JobSpec) doneRow() stateRow {
	one := occRow{}
	for i := range s.Steps {
		one.Steps = append(one.Steps, stepRow{Done: strings.Repeat("1", s.Steps[i].Count)})
	}
	return stateRow{Occs: occRows{next: 1, rows: []occRow{one}}}
}

// checkLasting returns an error if a job's long-running tasks can't all be kept: none of their
// occurrences is ever done.
func (c *Cell) checkLasting(spec *JobSpec) error {
	if spec.Repeat <= 1 || !spec.hasLongRunning() {
		return nil
	}
	tasks := 0
	for i := range spec.Steps {
		tasks += spec.Steps[i].Count
	}
	most := min(int64(c.rowLimit()/(tasks*c.entryBytes())), c.memoryLimit()/2/spec.occurrenceBytes())
	if int64(spec.Repeat) > most {
		return fmt.Errorf("repeat_count: %d occurrences with long-running tasks can't be kept, %d can", spec.Repeat, most)
	}
	return nil
}

// maxOpen returns how many occurrences of a job may be open, so that the row of its progress has room for
// what is done of them.
func (c *Cell) maxOpen(job *Job) int {
	if job.hasLongRunning() {
		return job.total()
	}
	room := c.rowLimit() / doneRowShare
	if c.codec.compress {
		room *= doneCompression
	}
	return max(1, room/job.doneBytes())
}

const (
	// doneRowShare is the part of the row of a job's progress that is for what is done, as a divisor.
	doneRowShare = 4
	// doneCompression is how many times smaller what is done is at least when it is compressed: a byte
	// says of one task whether it is.
	doneCompression = 5
)

// entryBytes returns the size of a task's entry before any was written.
func (c *Cell) entryBytes() int {
	if c.codec.compress {
		return packedTaskEntryBytes
	}
	return taskEntryBytes
}

// roomForTasks returns how many more of the job's tasks fit into the row of its progress, by the size of
// the entries written last. Those that have run before have their entries.
func (c *Cell) roomForTasks(job *Job) int {
	entry := c.entryBytes()
	if job.stateEntries > 0 {
		entry = max(entry, entrySpreadPercent*job.stateBytes/job.stateEntries/100)
	}
	room := c.rowLimit() / entry
	if job.tasks*(len(job.occurrences)+len(job.unopened)) <= room {
		return room
	}
	for _, s := range job.unopened {
		if s.recorded != nil {
			room -= s.recorded.entries()
		}
	}
	for _, o := range job.occurrences {
		for _, s := range o.steps {
			room -= s.entries()
		}
	}
	return room
}

// entries returns the number of the step's tasks that have an entry in the row.
func (s *step) entries() int {
	n := 0
	for _, t := range s.tasks {
		n += boolToInt(t.hasEntry())
	}
	return n
}

// hasEntry reports whether the task has an entry in the row of its job's progress.
func (t *task) hasEntry() bool { return t.current != nil || (!t.done && t.lastRun > 0) }

// encodeState returns the row of the job's progress. One that is too large even without what a later
// scheduler can do without is for the table to refuse.
func (c *Cell) encodeState(now time.Time, job *Job) []byte {
	value, fits := job.encodeState(&c.codec, c.rowLimit())
	if !fits {
		c.withdrawUnrecorded(now, job)
		value, _ = job.encodeState(&c.codec, c.rowLimit())
	}
	return value
}

// encodeState returns the row of the job's progress, without what a later scheduler can do without if
// the whole doesn't fit: checkpoints, then crashes. fits is false if it is still too large.
func (j *Job) encodeState(codec *rowCodec, limit int) (value []byte, fits bool) {
	row := j.stateRow()
	value = codec.encode(row.wire())
	j.stateBytes, j.stateEntries = len(value), row.entries()
	for _, leaveOut := range []func(*taskRow){
		func(t *taskRow) { t.Checkpoint = "" },
		func(t *taskRow) { t.Crashes = nil },
	} {
		if len(value) <= limit {
			return value, true
		}
		row.change(leaveOut)
		value = codec.encode(row.wire())
	}
	return value, len(value) <= limit
}

// entries returns the number of the row's tasks.
func (r *stateRow) entries() int {
	n := 0
	r.change(func(*taskRow) { n++ })
	return n
}

// entries returns the number of the row's tasks.
func (r *occRow) entries() int {
	n := 0
	for _, s := range r.Steps {
		n += len(s.Tasks)
	}
	return n
}

// change changes each task of the row.
func (r *stateRow) change(change func(*taskRow)) {
	for _, o := range r.Occs.rows {
		for _, s := range o.Steps {
			for i := range s.Tasks {
				change(&s.Tasks[i])
			}
		}
	}
}

// withdrawUnrecorded drops the planned runs of a job whose row has no room for them. They were never
// recorded, so their numbers are free again.
func (c *Cell) withdrawUnrecorded(now time.Time, job *Job) {
	for _, o := range job.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if r := t.current; r != nil && r.state == runPlanned {
					c.dropRun(r)
					c.health.AbortProbe(r.worker.ID)
					t.current, t.retryAt = nil, now.Add(rowFullDelay)
					t.lastRun--
					c.note(Note{Kind: NoteRunWithdrawn, Job: job.ID, Task: r.Task, Run: r.Number, Worker: r.worker.ID, Reason: "the job's row is full"})
				}
			}
		}
	}
}
