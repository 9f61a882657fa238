package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Tasks that may have crashed a worker run apart from others on all workers there are, and last. An
// accepted job waited for isolationEndsAfter with most of the capacity free.
func TestWorkWaitsForIsolatedTasks(t *testing.T) {
	w := newWaitWorld(t)
	suspects := smallTask
	suspects.Count = waitWorkers
	apart := w.submit("apart", "team", suspects)
	for _, task := range firstStep(apart).tasks {
		task.setCrashes(crash{run: 1, worker: "w9", at: w.now, evidence: evidenceAlone, confirmed: true})
	}
	for range waitWorkers {
		w.run()
		w.after(2 * recentStart)
		w.list()
	}
	for _, worker := range w.c.workerOrder {
		assert.Assert(t, worker.isolated(w.now), worker.ID)
	}
	job := w.small()
	submitted := w.now
	for firstStep(job).tasks[0].current == nil {
		w.run()
		w.after(100 * time.Millisecond)
		w.list()
		assert.Assert(t, w.now.Sub(submitted) < 2*isolationPatience, "the job still waits")
	}
	assert.Assert(t, w.now.Sub(submitted) >= isolationPatience, "isolation ends early")
}

// The workers that run nothing apart are full of tasks that last.
func TestWorkWaitsForIsolatedTasksBesideServices(t *testing.T) {
	w := newWaitWorld(t)
	full := smallTask
	full.Count, full.LongRunning = waitWorkers/2, true
	full.Need = resource.Amount{MilliCPU: waitCPU, MemoryMB: waitMemory}
	w.submit("services", "team", full)
	w.run()
	apart := w.submit("apart", "team", smallTask, smallTask)
	for _, s := range apart.occurrences[0].steps {
		s.tasks[0].setCrashes(crash{run: 1, worker: "w9", at: w.now, evidence: evidenceAlone, confirmed: true})
	}
	w.run()
	job := w.small()
	submitted := w.now
	for firstStep(job).tasks[0].current == nil {
		w.run()
		w.after(100 * time.Millisecond)
		w.list()
		assert.Assert(t, w.now.Sub(submitted) < 2*isolationPatience+time.Second, "the job still waits")
	}
}

// A task that had hardly anything to do with a crash waited for an empty worker as long as others ran
// on each one. One that is more likely to blame still does.
func TestBystanderWaitsForAnEmptyWorker(t *testing.T) {
	for found, waits := range map[evidence]bool{evidenceRecent: false, evidenceAlone: true} {
		w := newWaitWorld(t)
		filling := smallTask
		filling.Count, filling.Estimate = waitWorkers, time.Hour
		filling.Need = resource.Amount{MilliCPU: waitCPU - 2000, MemoryMB: 100}
		w.submit("filling", "team", filling)
		w.run()
		job := w.small()
		firstStep(job).tasks[0].setCrashes(crash{run: 1, worker: "w9", at: w.now, evidence: found, confirmed: true})
		for range 120 {
			w.run()
			w.after(100 * time.Millisecond)
			w.list()
		}
		assert.Equal(t, firstStep(job).tasks[0].current == nil, waits, "evidence %d", found)
	}
}

// The same for a gang, for which many workers would have to be empty at once.
func TestGangOfBystandersWaitsForEmptyWorkers(t *testing.T) {
	w := newWaitWorld(t)
	filling := smallTask
	filling.Count, filling.Estimate = waitWorkers, time.Hour
	filling.Need = resource.Amount{MilliCPU: waitCPU - 2000, MemoryMB: 100}
	w.submit("filling", "team", filling)
	w.run()
	gang := smallTask
	gang.Count, gang.Gang = waitWorkers, true
	job := w.submit("job", "team", gang)
	firstStep(job).tasks[0].setCrashes(crash{run: 1, worker: "w9", at: w.now, evidence: evidenceRecent, confirmed: true})
	for range 120 {
		w.run()
		w.after(100 * time.Millisecond)
		w.list()
	}
	assert.Assert(t, firstStep(job).tasks[0].current != nil)
}

// A task that was the only one just started when its worker was lost waits for an empty worker as long
// as others run on each one, with most of the capacity free. Accepted work must run well before that.
func TestLikelyCulpritWaitsForAnEmptyWorker(t *testing.T) {
	const endOfTheWait = 14 * time.Second
	waitBesideLongTasks(t, evidenceSole, endOfTheWait)
}

// One that was alone on its worker waits longer, since it most likely crashes the next one too, but not
// for good.
func TestSureCulpritWaitsForABoundedTime(t *testing.T) {
	waitBesideLongTasks(t, evidenceAlone, isolationBound+time.Second)
}

// waitBesideLongTasks checks that a task with a crash that tells so much about it runs before a time,
// although a long task runs on each worker.
func waitBesideLongTasks(t *testing.T, found evidence, before time.Duration) {
	w := newWaitWorld(t)
	filling := smallTask
	filling.Count, filling.MaxPerWorker, filling.Estimate = waitWorkers, 1, time.Hour
	w.submit("filling", "team", filling)
	w.run()
	job := w.small()
	firstStep(job).tasks[0].setCrashes(crash{run: 1, worker: "w9", at: w.now, evidence: found, confirmed: true, started: true})
	for submitted := w.now; firstStep(job).tasks[0].current == nil; {
		w.run()
		w.after(100 * time.Millisecond)
		w.list()
		assert.Assert(t, w.now.Sub(submitted) < before, "waits after %s", w.now.Sub(submitted))
	}
}
