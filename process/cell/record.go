package cell

import (
	"slices"
	"time"
)

// Prefixes of the keys of a cell's rows. A job has a spec row, which never changes
// and is removed when the job ends, and a state row with its progress.
const (
	specPrefix  = "s/"
	statePrefix = "t/"
)

// stateRow is the progress of a job. Names are short because it is written often.
//
// encoding/json compacts what a json.Marshaler returns once more, so rows that are written are encoded by wire.
type stateRow struct {
	Outcome State     `json:"o,omitempty"`
	Ended   time.Time `json:"e,omitzero"`
	Queue   string    `json:"q,omitempty"`
	Team    string    `json:"c,omitempty"`
	Started bool      `json:"b,omitempty"`
	Failure string    `json:"f,omitempty"`
	Occs    occRows   `json:"k,omitzero"`
}

// wireStateRow is the encoding of a stateRow; its Occs take the place of those of the row.
type wireStateRow struct {
	stateRow
	Occs any `json:"k,omitempty"`
}

// wire returns what is encoded.
func (r stateRow) wire() wireStateRow { return wireStateRow{stateRow: r, Occs: r.Occs.wire()} }

// stepRow is the progress of a step. Done has one character per task, '1' if it is
// done, and is empty if none is. Failed holds the numbers of a gang's failed runs.
type stepRow struct {
	Done       string    `json:"d,omitempty"`
	Failed     []int     `json:"f,omitempty"`
	Checkpoint string    `json:"p,omitempty"`
	Tasks      []taskRow `json:"t,omitempty"`
	// GangCrashes holds the crashes of workers under a gang as earlier versions wrote them, which
	// don't say under which member.
	GangCrashes []crashRow `json:"x,omitempty"`
}

// taskRow is the progress of a task that has run and isn't done, or whose last run
// hasn't ended. Last is the number of its last run, Failed the numbers of its failed
// runs.
type taskRow struct {
	Index      int    `json:"i"`
	Last       int    `json:"r,omitempty"`
	Failed     []int  `json:"f,omitempty"`
	Checkpoint string `json:"p,omitempty"`
	// Worker is the worker on which the last run may still be live.
	Worker  string     `json:"w,omitempty"`
	Crashes []crashRow `json:"x,omitempty"`
}

// crashRow is the crash of a worker under a run.
type crashRow struct {
	Run     int    `json:"r"`
	Worker  string `json:"w"`
	Machine string `json:"m,omitempty"`
	// At is in milliseconds since 1970.
	At int64 `json:"t"`
	// Age is for how long the run had gone on at most, in milliseconds; 0 if that isn't known.
	Age       int64    `json:"a,omitempty"`
	Evidence  evidence `json:"e,omitempty"`
	Started   bool     `json:"s,omitempty"`
	Doubtful  bool     `json:"d,omitempty"`
	Confirmed bool     `json:"c,omitempty"`
}

func crashRows(crashes []crash) []crashRow {
	var rows []crashRow
	for _, one := range crashes {
		rows = append(rows, crashRow{
			Run: one.run, Worker: one.worker, Machine: one.machine, At: one.at.UnixMilli(), Age: one.age.Milliseconds(),
			Evidence: one.evidence, Started: one.started, Doubtful: one.doubtful, Confirmed: one.confirmed,
		})
	}
	return rows
}

// loadCrashes returns the crashes of rows, of which there are at most maxCrashLog.
func loadCrashes(rows []crashRow) []crash {
	var crashes []crash
	for _, row := range rows[:min(len(rows), maxCrashLog)] {
		crashes = append(crashes, crash{
			run: row.Run, worker: row.Worker, machine: row.Machine, at: time.UnixMilli(row.At), age: time.Duration(row.Age) * time.Millisecond,
			evidence: row.Evidence, started: row.Started, doubtful: row.Doubtful, confirmed: row.Confirmed,
		})
	}
	return crashes
}

// loadGangCrashes returns the crashes under a gang as they count for each of its members: which of
// them was hit isn't known.
func loadGangCrashes(rows []crashRow) []crash {
	crashes := loadCrashes(rows)
	for i := range crashes {
		crashes[i].started = false
	}
	return crashes
}

// hasState reports whether the job has progress to record beyond its acceptance.
func (j *Job) hasState() bool { return j.outcome.Ended() || !j.occRows().IsZero() }

// stateRow returns the job's state row. Once the job has ended and none of its runs may still
// occupy capacity, the row has the outcome but no progress.
func (j *Job) stateRow() stateRow {
	row := stateRow{Outcome: j.outcome, Ended: j.endedAt, Started: j.started, Failure: j.failure}
	if j.outcome.Ended() {
		row.Queue, row.Team = j.Queue, j.Team
	}
	if j.outcome.Ended() && j.liveRuns == 0 {
		return row
	}
	row.Occs = j.occRows()
	return row
}

func (s *step) row() stepRow {
	row := stepRow{Failed: sortedNumbers(s.failedRuns), Checkpoint: s.checkpoint}
	if s.done > 0 {
		done := make([]byte, len(s.tasks))
		for i, t := range s.tasks {
			done[i] = '0'
			if t.done {
				done[i] = '1'
			}
		}
		row.Done = string(done)
	}
	for _, t := range s.tasks {
		if !t.hasEntry() {
			continue
		}
		tr := taskRow{Index: t.index, Last: t.lastRun, Failed: sortedNumbers(t.failedRuns), Checkpoint: t.checkpoint, Crashes: crashRows(t.crashes)}
		if t.current != nil {
			tr.Worker = t.current.worker.ID
		}
		row.Tasks = append(row.Tasks, tr)
	}
	return row
}

func sortedNumbers(set map[int]bool) []int {
	numbers := make([]int, 0, len(set))
	for n := range set {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers
}
