package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// While the scheduler's own processor can't keep up, jobs that would be late for that reason
// alone must be refused at once, with a time to come back; jobs with more slack are accepted.
func TestOverloadedSchedulerRefusesTightJobs(t *testing.T) {
	queues, kinds := fakeQueues()
	w := newSimulation(t, 5, 48, 6, queues, nil)
	w.run(time.Second)
	quote, roster := kinds[2].job(w.traffic, "quote"), kinds[0].job(w.traffic, "roster")
	w.cell.SetDecisionTime(quote.spec.Steps[0].Estimate/2 + time.Second)

	refused := w.cell.Submit(w.now, quote.spec, func(Recorded) {})
	assert.Equal(t, refused.Verdict, Refused)
	assert.Assert(t, refused.RetryAfter >= time.Second && refused.RetryAfter <= 3*time.Second, "%s", refused.RetryAfter)
	assert.Equal(t, w.cell.Submit(w.now, roster.spec, func(Recorded) {}).Verdict, Recording)

	w.cell.SetDecisionTime(0)
	assert.Equal(t, w.cell.Submit(w.now, quote.spec, func(Recorded) {}).Verdict, Recording)
}
