package main

import (
	"errors"
	"fmt"
	"time"
)

// Limits of the rule for a task that lasts.
const (
	// lastRunTime is how long after its last run a task may have nothing running, idleTime how long
	// from then on.
	lastRunTime = 6 * time.Second
	idleTime    = 3 * time.Second
)

// lastingTask: a worker with a task that lasts and the machine of the scheduler lose power at the same
// moment, for good.
func lastingTask(l *lab) (verdict, error) {
	if err := l.begin(smallWeight); err != nil {
		return "", err
	}
	id := newID()
	steps := []step{{Count: 2, CPU: 4000, MemMB: 2000, EstimateMS: 1000, LongRunning: true, MaxPerServer: 1}}
	if err := accepted(l.submit(keyA, batchPrefix, id, work{}, steps, 3)); err != nil {
		return "", err
	}
	found, ok := l.world.awaitRunning(id, 2, 10*time.Second)
	if !ok {
		return "", errors.New("the service doesn't start")
	}
	time.Sleep(5 * time.Second)
	task := id + ".0.0.0"
	if !l.trouble {
		time.Sleep(lastRunTime + idleTime)
		if len(l.world.running(id)) < 2 {
			return "LOST: a task that lasts has nothing running, without a disruption", nil
		}
		return "", nil
	}
	k := found[task]
	l.record.write("trouble", "the machine of worker %s, with %s, loses power for good", k.id, task)
	k.machine.powerOff("down")
	lostAt := l.record.since()
	l.holder().removePower()
	if _, ok = l.world.awaitRunning(id, 2, 40*time.Second); !ok {
		return verdict(fmt.Sprintf("LOST: %s has nothing running 40 s after its last run", task)), nil
	}
	away := l.record.since() - lostAt
	l.record.write("lab", "%s is at work again %.1f s after its last run ended", task, away.Seconds())
	if away > lastRunTime+idleTime {
		return verdict(fmt.Sprintf("LOST: %s has nothing running for %.1f s after its last run, with six workers idle and no disruption after the first moment", task, away.Seconds())), nil
	}
	return "", nil
}
