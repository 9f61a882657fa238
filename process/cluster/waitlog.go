package cluster

import (
	"fmt"
	"strings"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
	"github.com/kingcuplatch/kingcuplatch/process/events"
)

// reportWaits publishes the jobs that could run and don't as metrics, and logs how many wait for
// what, with one line for the longest wait for each reason.
func (r *leadership) reportWaits(report cell.WaitReport) {
	r.node.metrics.showWaits(report)
	logWaits(r.node.log, r.fence, report)
}

// logWaits logs the report; nothing if no job waits.
func logWaits(log *events.Logger, fence uint64, report cell.WaitReport) {
	if report.Jobs == 0 {
		return
	}
	var counts []string
	for reason, count := range report.Counts {
		if count.Jobs > 0 {
			counts = append(counts, fmt.Sprintf("%s=%d", cell.WaitReason(reason), count.Jobs))
		}
	}
	log.Log(events.JobsWaiting, fence, report.Jobs, strings.Join(counts, " "), report.Longest[0].Waited.String())
	for _, w := range report.Longest {
		log.Log(events.JobWaiting, w.Job, w.Team, w.Step, w.Reason.String(), w.Waited.String(), w.Waiting, w.Running, w.LastRun, w.Detail)
	}
}

// showWaits shows the report's counts in place of those shown before.
func (m *nodeMetrics) showWaits(report cell.WaitReport) {
	jobs, longest := make(map[string]float64), make(map[string]float64)
	for i, count := range report.Counts {
		if count.Jobs > 0 {
			reason := cell.WaitReason(i).String()
			jobs[reason], longest[reason] = float64(count.Jobs), count.Longest.Seconds()
		}
	}
	m.waitingJobs.replace(jobs)
	m.longestWait.replace(longest)
}
