package cell

import (
	"testing"
	"time"
)

// BenchmarkLargeFleet plays 15 s of work for 540 workers, of which 3 s bring more gangs than fit
// at once, and reports the processor time of planning for a second of that, and the rounds.
func BenchmarkLargeFleet(b *testing.B) {
	const played = 15 * time.Second
	var planTime time.Duration
	var rounds uint64
	for range b.N {
		queues, kinds := largeKinds()
		w := newSimulation(&testing.T{}, 31, 540, 97, queues, nil)
		w.generateJobs(kinds, played, func(kind string, at time.Duration) float64 {
			if kind == "roster" && at > 6*time.Second && at < 9*time.Second {
				return 1.7
			}
			return 1
		})
		w.run(played)
		planTime += w.planTime
		rounds += w.cell.rounds
	}
	seconds := played.Seconds() * float64(b.N)
	b.ReportMetric(float64(planTime.Milliseconds())/seconds, "plan-ms/s")
	b.ReportMetric(float64(rounds)/seconds, "rounds/s")
}
