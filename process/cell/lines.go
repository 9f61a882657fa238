package cell

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/admission"
)

// linePeriod is how long the lines of waiting jobs are used before they are collected again.
// Collecting them goes over all live jobs.
const linePeriod = 20 * time.Millisecond

// lines holds what the jobs of each class wait for their first placement.
type lines struct {
	rates       map[admission.Class]*placementRate
	collectedAt time.Time
	ages        map[admission.Class][]time.Duration
}

func newLines() lines { return lines{rates: make(map[admission.Class]*placementRate)} }

// classOf returns the class of a job.
func (c *Cell) classOf(now time.Time, j *Job) admission.Class {
	class := admission.Class{Queue: j.Queue, OverShare: j.OverShare}
	if !j.OverShare {
		class.Standing = c.standing(now, j.Team)
	}
	return class
}

// rate returns the placement rate of a class.
func (l *lines) rate(now time.Time, class admission.Class) *placementRate {
	p := l.rates[class]
	if p == nil {
		p = &placementRate{windowStart: now}
		l.rates[class] = p
	}
	return p
}

// countFirstPlaced counts the first placement of a job.
func (c *Cell) countFirstPlaced(now time.Time, job *Job) {
	if job.placed {
		return
	}
	job.placed = true
	p := c.lines.rate(now, c.classOf(now, job))
	p.roll(now)
	p.placed++
}

// line returns the jobs of a class that wait for their first placement.
func (c *Cell) line(now time.Time, class admission.Class) admission.Line {
	if c.lines.ages == nil || now.Sub(c.lines.collectedAt) >= linePeriod {
		c.collectLines(now)
	}
	return admission.Line{Ages: c.lines.ages[class], PerSecond: c.lines.rate(now, class).rate(now)}
}

// collectLines collects the lines of all classes. Work within guaranteed shares that is late comes
// after work that isn't, so new jobs don't wait for it.
func (c *Cell) collectLines(now time.Time) {
	c.lines.collectedAt = now
	c.lines.ages = make(map[admission.Class][]time.Duration)
	for _, j := range c.live {
		if j.placed || j.outcome.Ended() || j.Repeat > 0 || (!j.OverShare && j.late(now)) {
			continue
		}
		class := c.classOf(now, j)
		c.lines.ages[class] = append(c.lines.ages[class], now.Sub(j.arrivedAt))
	}
}

// late reports whether a job that hasn't begun can't meet its objective any more.
func (j *Job) late(now time.Time) bool {
	return now.Add(j.fullCriticalPath()).After(j.FirstSeen.Add(j.objective()))
}
