package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/shares"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// othersInTime plays 20 s in which the team "hot", whose weight allows all of it, sends short jobs
// at a rate beside those of the team "team", which alone need half of the fleet, and returns the part
// of the latter that was in time.
func othersInTime(t *testing.T, hotPerSecond float64) float64 {
	queues, kinds := fakeQueues()
	teams := []*catalog.Team{{Name: "hot", Weight: 1000}, {Name: "team", Weight: 4000}}
	w := newSimulation(t, 43, 48, 9, queues, teams)
	short := kinds[2]
	short.perSecond = 140
	w.generateJobs([]fakeKind{short}, 20*time.Second, steadyLoad)
	w.generateOverShareJobs(short, hotPerSecond, 20*time.Second)
	w.run(60 * time.Second)
	assert.Equal(t, len(w.violations), 0, "%v", w.violations)
	inTime, _ := w.onTimeShare("quote")
	return inTime
}

// A team that sends eight times its usual, more than the fleet can do, must queue behind itself: it
// may cost the others less than 5% of what they get in time.
func TestHotTeamQueuesBehindItself(t *testing.T) {
	usual, hot := othersInTime(t, 25), othersInTime(t, 200)
	t.Logf("others in time: %.3f beside the usual load, %.3f beside eight times that", usual, hot)
	assert.Assert(t, hot >= usual-0.05, "%.3f in time, %.3f beside the usual load", hot, usual)
}

// The order of waiting work: a team above its share comes after others of the same tier and
// priority, however early its latest start, but not after work of a lower priority.
func TestTeamsAboveTheirSharesComeLater(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	early, late := now, now.Add(time.Second)
	hot := waitingStep{tier: guaranteed, priority: 0, standing: shares.Above, latest: early}
	assert.Assert(t, compareWaiting(hot, waitingStep{tier: guaranteed, priority: 0, latest: late}) > 0)
	assert.Assert(t, compareWaiting(hot, waitingStep{tier: guaranteed, priority: 1, latest: early}) < 0)
}
