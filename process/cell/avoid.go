package cell

import "time"

// A worker may answer polls and yet start nothing: its directory entry is late, its address is taken, calls to
// it get lost. Having nothing to run it has most free capacity, so a step would be placed there again and
// again. Each failed start keeps its step from the worker for a while, which doubles with the next one.
// Other steps only prefer other workers for a while, until a start succeeds there: the cause may be
// the task.

const (
	// avoidRefusing is how long a step is first kept from a worker that refused its start.
	avoidRefusing = 500 * time.Millisecond
	// avoidSilent replaces it if the start got no reply: until it is known that the run isn't there, the
	// command, a stop and a poll take longer than avoidRefusing.
	avoidSilent = 2 * time.Second
	// maxAvoidance bounds the time.
	maxAvoidance = 4 * time.Second
	// A step avoids at most one in avoidedDivisor of the workers that it may run on, or minAvoided, and
	// never more than one in maxAvoidedDivisor. If more seem to start nothing, the cause is more likely
	// elsewhere, and none is avoided.
	avoidedDivisor    = 3
	minAvoided        = 4
	maxAvoidedDivisor = 2
	// startFailedFor is how long a worker comes after others if no start succeeds there.
	startFailedFor = 30 * time.Second
)

// avoidance is how long a step is kept from a worker.
type avoidance struct {
	until time.Time
	lasts time.Duration
}

// avoid keeps the step from w after a start there had the given result.
func (c *Cell) avoid(now time.Time, s *step, w *Worker, answer StartAnswer) {
	w.startFailedUntil = now.Add(startFailedFor)
	if s.avoids(now, w) {
		return
	}
	if s.countAvoided(now) >= c.maxAvoided(s) {
		clear(s.avoided)
		return
	}
	first := avoidRefusing
	if answer == StartNoReply {
		first = avoidSilent
	}
	lasts := min(max(first, 2*s.avoided[w].lasts), maxAvoidance)
	if s.avoided == nil {
		s.avoided = make(map[*Worker]avoidance)
	}
	s.avoided[w] = avoidance{now.Add(lasts), lasts}
}

// maxAvoided returns how many workers the step may avoid at a time.
func (c *Cell) maxAvoided(s *step) int {
	upstream := c.upstreamOf(s.occ.job)
	matching := 0
	for _, w := range c.workerOrder {
		matching += boolToInt(w.listed && s.matches(upstream, w))
	}
	return min(max(minAvoided, matching/avoidedDivisor), matching/maxAvoidedDivisor)
}

// startFailed reports whether the last start on the worker failed, not long ago.
func (w *Worker) startFailed(now time.Time) bool { return w.startFailedUntil.After(now) }

// countAvoided returns the number of workers that the step is kept from.
func (s *step) countAvoided(now time.Time) int {
	n := 0
	for w := range s.avoided {
		n += boolToInt(s.avoids(now, w))
	}
	return n
}

// avoids reports whether the step is kept from w.
func (s *step) avoids(now time.Time, w *Worker) bool {
	return len(s.avoided) > 0 && s.avoided[w].until.After(now)
}
