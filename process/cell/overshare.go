package cell

import "time"

// rateWindow is the minimum length of the windows over which the rate of placements is
// measured.
const rateWindow = time.Second

// placementRate measures the rate at which over-share jobs of a queue, which are beyond
// their team's guaranteed share, are placed, or that of replies to start commands.
type placementRate struct {
	// windowStart is the start of the current window, placed the number of jobs placed or
	// replies in it, perSecond the rate of the previous window.
	windowStart time.Time
	placed      int
	perSecond   float64
}

// roll starts a new window once the current one is at least rateWindow long.
func (p *placementRate) roll(now time.Time) {
	elapsed := now.Sub(p.windowStart)
	if elapsed < rateWindow {
		return
	}
	p.perSecond = float64(p.placed) / elapsed.Seconds()
	p.windowStart, p.placed = now, 0
}

// rate returns the larger of the rates of the previous and the current window, a second,
// and at least 1.
func (p *placementRate) rate(now time.Time) float64 {
	p.roll(now)
	return max(p.perSecond, float64(p.placed)/rateWindow.Seconds(), 1)
}

// placementRateOf returns the placement rate of a queue.
func (c *Cell) placementRateOf(now time.Time, queue string) *placementRate {
	p := c.placementRates[queue]
	if p == nil {
		p = &placementRate{windowStart: now}
		c.placementRates[queue] = p
	}
	return p
}

// countFirstPlaced counts the first placement of a job.
func (c *Cell) countFirstPlaced(now time.Time, job *Job) {
	if job.placed {
		return
	}
	job.placed = true
	if job.OverShare {
		p := c.placementRateOf(now, job.Queue)
		p.roll(now)
		p.placed++
	}
}

// overShareWait estimates how long a new over-share job of the queue waits for its first
// placement: the longest wait of the queue's unplaced over-share jobs, or the time to
// place all of them at the measured rate, whichever is longer. The wait can't be derived
// from the remaining work of other jobs, since much of that waits for more than free
// capacity: advice, whole workers.
func (c *Cell) overShareWait(now time.Time, queue string) time.Duration {
	var longest time.Duration
	waiting := 0
	for _, j := range c.live {
		if j.OverShare && j.Queue == queue && !j.placed && !j.outcome.Ended() {
			waiting++
			longest = max(longest, now.Sub(j.arrivedAt))
		}
	}
	if waiting == 0 {
		return 0
	}
	backlog := time.Duration(float64(waiting) / c.placementRateOf(now, queue).rate(now) * float64(time.Second))
	return max(longest, backlog)
}
