package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// generateOverShareJobs submits jobs at a steady rate, far beyond the weight of the team
// "hot", and retries refused ones after the delay given in the refusal. It returns the
// jobs as first submitted.
func (w *simulation) generateOverShareJobs(k fakeKind, perSecond float64, length time.Duration) *[]*fakeJob {
	var jobs []*fakeJob
	n := 0
	var next func()
	next = func() {
		if w.now.Sub(w.started) > length {
			return
		}
		n++
		j := k.job(w.traffic, fmt.Sprintf("hot%06d", n))
		j.kind, j.spec.Team = "hot", "hot"
		jobs = append(jobs, j)
		w.submitWithRetries(j, 4)
		w.after(time.Duration(float64(time.Second)/perSecond), next)
	}
	next()
	return &jobs
}

// submitWithRetries submits a job and, while it is refused, retries it after the delay
// given in the refusal, at most retries times.
func (w *simulation) submitWithRetries(j *fakeJob, retries int) {
	sent := j.sent
	after := w.submit(j)
	if !sent.IsZero() {
		j.sent = sent
	}
	if j.rejected && retries > 0 {
		w.after(after, func() { w.submitWithRetries(j, retries-1) })
	}
}

// checkOtherTeams checks that 90% of the other teams' jobs of each kind met their
// objectives, and returns the number of jobs of the over-share team that did.
func (w *simulation) checkOtherTeams(hot []*fakeJob) int {
	w.t.Helper()
	refused, inTime := 0, 0
	for _, j := range hot {
		if j.rejected {
			refused++
		}
		if !j.done.IsZero() && j.done.Sub(j.sent) <= j.objective {
			inTime++
		}
	}
	w.t.Logf("of %d over-share jobs %d refused, %d in time", len(hot), refused, inTime)
	assert.Equal(w.t, len(w.violations), 0, "%v", w.violations)
	for _, kind := range []string{"roster", "provision", "quote"} {
		onTimeShare, _ := w.onTimeShare(kind)
		assert.Assert(w.t, onTimeShare >= 0.9, "%s: %.3f in time", kind, onTimeShare)
	}
	return inTime
}

// One team submits far more than its weight while the other teams leave about a tenth
// of the capacity free, and gangs of theirs wait for whole workers. The team's jobs must
// use the free capacity without delay, and the other teams must meet their objectives.
func TestOverShareTeamUsesFreeCapacity(t *testing.T) {
	queues, kinds := fakeQueues()
	w := newSimulation(t, 41, 48, 9, queues, []*catalog.Team{{Name: "hot", Weight: 5}})
	w.generateJobs(kinds, 24*time.Second, steadyLoad)
	jobs := w.generateOverShareJobs(kinds[2], 25, 24*time.Second)
	w.run(60 * time.Second)
	w.logResults()
	inTime := w.checkOtherTeams(*jobs)
	assert.Assert(t, float64(inTime) >= 0.9*float64(len(*jobs)), "%d of %d over-share jobs in time", inTime, len(*jobs))
}

// One team submits three times the capacity of all workers; the other teams must still
// meet their objectives.
func TestOverloadByOneTeamSparesOtherTeams(t *testing.T) {
	queues, kinds := fakeQueues()
	w := newSimulation(t, 42, 48, 9, queues, []*catalog.Team{{Name: "hot", Weight: 5}})
	w.generateJobs(kinds, 20*time.Second, steadyLoad)
	jobs := w.generateOverShareJobs(kinds[2], 400, 20*time.Second)
	w.run(50 * time.Second)
	w.logResults()
	w.checkOtherTeams(*jobs)
}

// A refused job that is retried must keep the time of its first submission and must not
// take a second token of its team's bucket.
func TestRetriedJobKeepsFirstSubmission(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := New(Settings{}, catalog.New(1, nil, []*catalog.Team{{Name: "team", Weight: 1}}, nil, catalog.Limits{}))
	spec := JobSpec{ID: "a", Team: "team", Policy: catalog.Policy{Stretch: 2}, Steps: []StepSpec{{Count: 1, Estimate: time.Second}}}
	first := firstSubmission{at: now, overShare: true}
	c.refused.add(now, "a", first)
	later := now.Add(500 * time.Millisecond)
	assert.Equal(t, c.Submit(later, spec, func(Recorded) {}).Verdict, Recording)
	assert.Equal(t, c.jobs["a"].FirstSeen, now)
	assert.Assert(t, c.jobs["a"].OverShare)
	assert.Assert(t, c.teams["team"] == nil, "a token was taken again")

	spec.ID = "b"
	c.refused.add(now, "b", first)
	late := c.Submit(now.Add(3*time.Second), spec, func(Recorded) {})
	assert.Equal(t, late.Verdict, Refused, "accepted although it can no longer be in time")
	assert.Assert(t, late.RetryAfter > 0)

	assert.Equal(t, c.refused.lookup(now.Add(refusedRetention+time.Second), "b"), firstSubmission{})
}
