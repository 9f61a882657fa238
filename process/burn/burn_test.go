package burn

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	quotes = Objective{Team: "brokers", Kind: "quote", Waiting: time.Second, Target: 0.9}
	all    = Objective{Team: "brokers", Waiting: time.Minute, Target: 0.99}
)

// A request has to count for each objective of its team and kind, in the windows that
// include its time, and no longer than Retention.
func TestRecorderCountsByObjectiveAndWindow(t *testing.T) {
	r := NewRecorder()
	r.SetObjectives([]Objective{quotes, all})
	for range 9 {
		r.Record(start, "brokers", "quote", time.Millisecond, true)
	}
	r.Record(start, "brokers", "quote", 2*time.Second, true)
	r.Record(start.Add(20*time.Minute), "brokers", "roster", 0, false)
	r.Record(start, "skippers", "quote", 0, false)

	series := r.Series(start.Add(20 * time.Minute))
	assert.Equal(t, len(series), 2)
	assert.DeepEqual(t, series[0].Windows, []Count{{1, 1}, {11, 1}, {11, 1}, {11, 1}})
	assert.DeepEqual(t, series[1].Windows, []Count{{}, {10, 1}, {10, 1}, {10, 1}})
	late := r.Series(start.Add(Retention + time.Hour))
	assert.DeepEqual(t, late[1].Windows[3], Count{})
}

// A report has to list the entries without counts, and an alert must not fire while only
// one of its windows is above the threshold.
func TestMergeShowsMissingAndNeedsBothWindows(t *testing.T) {
	count := func(short, long Count) Series {
		s := emptySeries(quotes)
		s.Windows = []Count{short, long, long, long}
		return *s
	}
	bad, good := Count{Total: 10, Bad: 10}, Count{Total: 10}
	high := Objective{Team: "brokers", Kind: "quote", Waiting: time.Second, Target: 0.99}
	burning, over := count(bad, bad), count(good, bad)
	burning.Target, over.Target = high.Target, high.Target

	report := Merge(start, []Part{{Entry: "e1", Series: []Series{burning}}, {Entry: "e2", Missing: "no answer"}})
	assert.Equal(t, report.Lines[0].Alert, "page")
	assert.Equal(t, len(report.Missing), 1)
	report = Merge(start, []Part{{Entry: "e1", Series: []Series{over}}})
	assert.Equal(t, report.Lines[0].Alert, "ticket", "the 30 minute window still burns")
	report = Merge(start, []Part{{Entry: "e1", Series: []Series{count(good, good)}}, {Entry: "e2", Series: []Series{count(bad, bad)}}})
	assert.Equal(t, report.Lines[0].Total, int64(20))
	assert.Equal(t, report.Lines[0].Alert, "")

	var text, html bytes.Buffer
	report.Missing = []string{"e3: no answer"}
	assert.NilError(t, report.WriteText(&text))
	assert.NilError(t, report.WriteHTML(&html))
	assert.Assert(t, strings.Contains(text.String(), "MISSING e3"))
	assert.Assert(t, strings.Contains(html.String(), "<polyline points="))
}
