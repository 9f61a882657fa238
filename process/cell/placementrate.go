package cell

import "time"

// rateWindow is the minimum length of the windows over which the rate of placements is
// measured.
const rateWindow = time.Second

// placementRate measures the rate at which jobs of a class are first placed, or that of replies to
// start commands.
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
