package cell

import "time"

// drainWindow is the time over which the rate of placements is measured.
const drainWindow = time.Second

// drain measures how many jobs of a queue, beyond their teams' weights, are placed.
type drain struct {
	// began is when the running window began, placed counts the jobs placed in it,
	// perSecond is the rate of the window before.
	began     time.Time
	placed    int
	perSecond float64
}

// roll ends the window if it is over.
func (d *drain) roll(now time.Time) {
	passed := now.Sub(d.began)
	if passed < drainWindow {
		return
	}
	d.perSecond = float64(d.placed) / passed.Seconds()
	d.began, d.placed = now, 0
}

// rate is the larger one of the rates of the last window and of the running one, and
// at least one a second.
func (d *drain) rate(now time.Time) float64 {
	d.roll(now)
	return max(d.perSecond, float64(d.placed)/drainWindow.Seconds(), 1)
}

// drainOf returns the drain of a queue.
func (c *Cell) drainOf(now time.Time, queue string) *drain {
	d := c.drains[queue]
	if d == nil {
		d = &drain{began: now}
		c.drains[queue] = d
	}
	return d
}

// noteFirstPlaced counts the first placement of a job.
func (c *Cell) noteFirstPlaced(now time.Time, job *Job) {
	if job.placed {
		return
	}
	job.placed = true
	if job.Surplus {
		d := c.drainOf(now, job.Queue)
		d.roll(now)
		d.placed++
	}
}

// surplusWait is how long work beyond its team's weight waits for what others leave:
// as long as the oldest of the same queue has waited for its first task, or as those
// that wait take at the measured rate. What is left can't be told from the work of the
// others, since much of that waits for more than room: advice, whole workers.
func (c *Cell) surplusWait(now time.Time, queue string) time.Duration {
	var longest time.Duration
	waiting := 0
	for _, j := range c.live {
		if j.Surplus && j.Queue == queue && !j.placed && !j.outcome.Ended() {
			waiting++
			longest = max(longest, now.Sub(j.arrived))
		}
	}
	if waiting == 0 {
		return 0
	}
	drained := time.Duration(float64(waiting) / c.drainOf(now, queue).rate(now) * float64(time.Second))
	return max(longest, drained)
}
