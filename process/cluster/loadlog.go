package cluster

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/traffic"
	"github.com/kingcuplatch/kingcuplatch/process/cell"
	"github.com/kingcuplatch/kingcuplatch/process/events"
)

// loadLogPeriod is the interval between the lines on the scheduler's load.
const loadLogPeriod = 2 * time.Second

// loadLoop reports, each loadLogPeriod, what may limit the scheduler and who waits for capacity.
func (r *leadership) loadLoop() {
	ticker := time.NewTicker(loadLogPeriod)
	defer ticker.Stop()
	defer r.reportTeams(nil)
	defer r.node.metrics.evacuatedRuns.replace(nil)
	defer r.node.metrics.showWaits(cell.WaitReport{})
	defer r.reportMemory(cell.MemoryReport{})
	before := readLoad(r.node.config.Traffic, time.Now())
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		reports := r.readReports(now)
		current := readLoad(r.node.config.Traffic, now)
		r.logLoad(reports.starts, before, current)
		before = current
		r.reportTeams(reports.teams)
		r.node.metrics.evacuatedRuns.replace(reports.evacuated)
		r.reportWaits(reports.waits)
		r.reportMemory(reports.memory)
	}
}

// cellReports are the reports of a cell at one time.
type cellReports struct {
	starts    cell.StartLoad
	teams     []cell.TeamShare
	evacuated map[string]float64
	waits     cell.WaitReport
	memory    cell.MemoryReport
}

// readReports returns the reports of the cell.
func (r *leadership) readReports(now time.Time) cellReports {
	r.mu.Lock()
	defer r.mu.Unlock()
	return cellReports{
		starts: r.cell.StartLoad(now), teams: r.cell.TeamShares(), evacuated: r.cell.EvacuatedRuns(),
		waits: r.cell.WaitReport(now), memory: r.cell.MemoryReport(now),
	}
}

// reportMemory publishes what is held for accepted jobs as metrics, and logs it while it is scarce.
func (r *leadership) reportMemory(report cell.MemoryReport) {
	r.node.metrics.heldBytes.Set(float64(report.Held))
	r.node.metrics.heldLimit.Set(float64(report.Limit))
	r.node.metrics.heldBack.Set(float64(report.Waiting))
	if report.Scarce() {
		r.logMemory(report)
	}
}

func (r *leadership) logMemory(report cell.MemoryReport) {
	r.node.log.Log(events.SchedulerMemory, r.fence, report.Held, report.Limit, report.Runs, report.RunLimit, report.Waiting, report.Largest, report.LargestBytes)
}

// loadReading is the processor time used and the bytes sent and received up to a time.
type loadReading struct {
	traffic trafficReading
	used    time.Duration
}

func readLoad(meter *traffic.Meter, now time.Time) loadReading {
	return loadReading{traffic: readTraffic(meter, now), used: processorTime()}
}

// logLoad logs the lag of the scheduler's processor, the bytes by kind of peer, and its limit of
// starts.
func (r *leadership) logLoad(starts cell.StartLoad, before, current loadReading) {
	sent, received := current.traffic.ratesSince(before.traffic)
	cores := (current.used - before.used).Seconds() / loadLogPeriod.Seconds()
	r.node.log.Log(events.SchedulerLoad, r.fence, fmt.Sprintf("%.3f", cores), r.node.lag.average().String(), starts.InProgress, int(starts.Limit), int(starts.Replies), sent, received)
}

// reportTeams publishes the shares of the teams as metrics, and logs them while capacity is
// contended.
func (r *leadership) reportTeams(list []cell.TeamShare) {
	used, entitled := make(map[string]float64, len(list)), make(map[string]float64, len(list))
	for _, s := range list {
		used[s.Team], entitled[s.Team] = s.Used, s.Entitled
	}
	r.node.metrics.teamUsed.replace(used)
	r.node.metrics.teamEntitled.replace(entitled)
	r.logShares(list)
}

// logShares logs the teams that use most of contended capacity.
func (r *leadership) logShares(list []cell.TeamShare) {
	if len(list) == 0 {
		return
	}
	slices.SortFunc(list, func(a, b cell.TeamShare) int { return cmp.Compare(b.Used, a.Used) })
	parts := make([]string, 0, maxLoggedTeams)
	for _, s := range list[:min(len(list), maxLoggedTeams)] {
		parts = append(parts, fmt.Sprintf("%s=%.3f/%.3f", s.Team, s.Used, s.Entitled))
	}
	r.node.log.Log(events.TeamShares, r.fence, len(list), strings.Join(parts, " "))
}

// maxLoggedTeams bounds the teams in one line.
const maxLoggedTeams = 12

// processorTime returns the processor time that this process has used; 0 if the system
// doesn't say.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// trafficReading is the state of a meter at a time.
type trafficReading struct {
	at    time.Time
	kinds []kindReading
}

// kindReading holds the bytes sent to and received from one kind of peer.
type kindReading struct {
	name           string
	sent, received uint64
}

func readTraffic(meter *traffic.Meter, now time.Time) trafficReading {
	reading := trafficReading{at: now}
	for _, kind := range meter.Kinds() {
		reading.kinds = append(reading.kinds, kindReading{name: kind.Name, sent: kind.Bytes.Sent(), received: kind.Bytes.Received()})
	}
	return reading
}

// ratesSince returns the bytes a second since an earlier reading of the same meter, as
// text: by kind of peer, those without any left out.
func (t trafficReading) ratesSince(before trafficReading) (sent, received string) {
	seconds := t.at.Sub(before.at).Seconds()
	var sentParts, receivedParts []string
	for i, kind := range t.kinds {
		sentParts = appendRate(sentParts, kind.name, kind.sent-before.kinds[i].sent, seconds)
		receivedParts = appendRate(receivedParts, kind.name, kind.received-before.kinds[i].received, seconds)
	}
	return strings.Join(sentParts, " "), strings.Join(receivedParts, " ")
}

func appendRate(parts []string, name string, bytes uint64, seconds float64) []string {
	if bytes == 0 || seconds <= 0 {
		return parts
	}
	return append(parts, fmt.Sprintf("%s=%.0f", name, float64(bytes)/seconds))
}
