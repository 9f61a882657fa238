package cell

import "time"

// SetEvacuated replaces the failure domains that get no new work because the operators have
// them emptied. What runs there goes on.
func (c *Cell) SetEvacuated(now time.Time, domains []string) {
	change := c.evacuation.Set(now, domains)
	for _, name := range change.Begun {
		workers, runs := c.domainLoad(name)
		c.note(Note{Kind: NoteEvacuationBegun, FailureDomain: name, Runs: runs, DomainWorkers: workers})
	}
	for _, name := range change.Ended {
		workers, runs := c.domainLoad(name)
		c.note(Note{Kind: NoteEvacuationEnded, FailureDomain: name, Runs: runs, DomainWorkers: workers})
	}
}

// evacuated reports whether w gets no new work because its failure domain is being emptied.
func (c *Cell) evacuated(w *Worker) bool {
	return c.evacuation.Any() && c.evacuation.Covers(w.FailureDomain)
}

// domainLoad returns the numbers of listed workers and of runs in a failure domain.
func (c *Cell) domainLoad(name string) (workers, runs int) {
	for _, w := range c.workerOrder {
		if w.FailureDomain != name {
			continue
		}
		runs += len(w.runs)
		if w.listed {
			workers++
		}
	}
	return workers, runs
}

// noteEmptied notes the evacuated failure domains in which nothing runs any more.
func (c *Cell) noteEmptied(now time.Time) {
	for _, name := range c.evacuation.Names() {
		workers, runs := c.domainLoad(name)
		if lasted, emptied := c.evacuation.ObserveRuns(now, name, runs); emptied {
			c.note(Note{Kind: NoteEvacuationEmpty, FailureDomain: name, Age: lasted, DomainWorkers: workers})
		}
	}
}

// EvacuatedRuns returns the number of runs in each failure domain that is being emptied.
func (c *Cell) EvacuatedRuns() map[string]float64 {
	left := make(map[string]float64)
	for _, name := range c.evacuation.Names() {
		_, runs := c.domainLoad(name)
		left[name] = float64(runs)
	}
	return left
}

// maxColdTime bounds how long a worker is taken for cold by its own statement.
const maxColdTime = 30 * time.Second

// cold reports whether w, by its own statement, is slow because it has started lately.
func (w *Worker) cold(now time.Time) bool { return now.Before(w.ColdUntil) }

// limitCold bounds a worker's statement that it is cold.
func limitCold(now, until time.Time) time.Time {
	if latest := now.Add(maxColdTime); until.After(latest) {
		return latest
	}
	return until
}
