package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A task is given up only after crashes right after its start that nothing else can have caused, or
// after so many that it must not be started again and again: the worker under a task may crash by
// itself twice, also when the task is alone there (review/8).
func TestGuilty(t *testing.T) {
	own := func(machine string, e evidence) crash {
		return crash{machine: machine, evidence: e, started: true, confirmed: true}
	}
	unconfirmed, doubtful, notStarted := own("c", evidenceAloneRecent), own("c", evidenceAloneRecent), own("c", evidenceSole)
	unconfirmed.confirmed, doubtful.doubtful, notStarted.started = false, true, false
	late := func(ages ...time.Duration) []crash {
		var crashes []crash
		for _, age := range ages {
			crashes = append(crashes, crash{machine: age.String(), age: age * time.Second, evidence: evidenceAlone, started: true, confirmed: true})
		}
		return crashes
	}
	for _, test := range []struct {
		name    string
		crashes []crash
		want    bool
	}{
		{"none", nil, false},
		{"one alone", []crash{own("a", evidenceAloneRecent)}, false},
		{"two alone, at once", []crash{own("a", evidenceAloneRecent), own("b", evidenceAloneRecent)}, true},
		{"two alone", late(3, 3), false},
		{"two alone, one perhaps not started", []crash{{evidence: evidenceAloneRecent, confirmed: true}, own("b", evidenceAloneRecent)}, false},
		{"three alone", late(3, 3, 3), false},
		{"four alone", late(9, 3, 7, 1), true},
		{"two alone on one machine", []crash{own("a", evidenceAlone), own("a", evidenceAlone)}, false},
		{"two alone on one machine, at once", []crash{own("a", evidenceAloneRecent), own("a", evidenceAloneRecent)}, true},
		{"sole, then alone at once", []crash{own("a", evidenceSole), own("b", evidenceAloneRecent)}, true},
		{"sole, then alone later", []crash{own("a", evidenceSole), own("b", evidenceAlone)}, false},
		{"sole, perhaps not started", []crash{notStarted, own("b", evidenceAloneRecent)}, false},
		{"sole twice", []crash{own("a", evidenceSole), own("b", evidenceSole)}, false},
		{"one of several, then alone", []crash{own("a", evidenceRecent), own("b", evidenceAloneRecent)}, false},
		{"alone, unconfirmed", []crash{own("a", evidenceSole), unconfirmed}, false},
		{"alone, doubtful", []crash{own("a", evidenceSole), doubtful}, false},
		{"several, then alone", []crash{own("a", evidenceWeak), own("b", evidenceWeak), own("c", evidenceWeak), own("d", evidenceAlone)}, true},
		{"several beside others", []crash{own("a", evidenceWeak), own("b", evidenceWeak), own("c", evidenceWeak), own("d", evidenceWeak)}, false},
		{"the most that may be", []crash{own("a", evidenceWeak), own("b", evidenceWeak), own("c", evidenceWeak), own("d", evidenceWeak), own("e", evidenceWeak)}, true},
		{"the most that may be, one by another task", []crash{own("a", evidenceWeak), own("b", evidenceNone), own("c", evidenceWeak), own("d", evidenceWeak), own("e", evidenceWeak)}, false},
		{"the most that may be, one alone", []crash{own("a", evidenceNone), own("b", evidenceWeak), own("c", evidenceNone), own("d", evidenceWeak), {machine: "e", evidence: evidenceAlone, doubtful: true, started: true, confirmed: true}}, true},
		{"some by other tasks, then alone", []crash{own("a", evidenceNone), own("b", evidenceNone), own("c", evidenceWeak), own("d", evidenceAlone)}, true},
	} {
		assert.Equal(t, guilty(test.crashes), test.want, test.name)
	}
}

// A run that went on for some time shows that its task doesn't crash workers at once.
func TestSuspicionEndsWithARunThatGoesOn(t *testing.T) {
	recent, weak, alone := crash{evidence: evidenceRecent}, crash{evidence: evidenceWeak}, crash{evidence: evidenceAlone}
	assert.Assert(t, suspected([]crash{recent}))
	assert.Assert(t, !suspected([]crash{weak}))
	assert.Assert(t, !suspected([]crash{recent, weak}))
	assert.Assert(t, suspected([]crash{alone, weak}))
	assert.Assert(t, suspected([]crash{weak, weak, weak}))
	none := crash{evidence: evidenceNone}
	assert.Assert(t, !suspected([]crash{none, none, none}))
	assert.Assert(t, mustRunAlone([]crash{none, none, weak, weak}), "one more may be its last")
}

// The crashes under tasks and gangs outlive the scheduler in the rows, and rows of earlier
// versions, which have none, are read as before.
func TestCrashesAreRecorded(t *testing.T) {
	at := time.UnixMilli(1_700_000_000_123)
	crashes := []crash{
		{run: 1, worker: "w1", machine: "a1", at: at, age: 7 * time.Second, evidence: evidenceSole, started: true, confirmed: true},
		{run: 2, worker: "w2", machine: "a2", at: at, doubtful: true},
	}
	assert.DeepEqual(t, crashRows(loadCrashes(crashRows(crashes))), crashRows(crashes))
	assert.Equal(t, len(loadCrashes(make([]crashRow, 2*maxCrashLog))), maxCrashLog)
	var row taskRow
	assert.NilError(t, decodeRow([]byte(`{"i":3,"r":2,"f":[1],"w":"w1"}`), &row))
	assert.Equal(t, len(loadCrashes(row.Crashes)), 0)
}
