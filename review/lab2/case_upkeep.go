package main

import (
	"errors"
	"time"
)

// upkeepWave: a gang is at work on six of eight machines while a wave takes all machines down, one
// after the other. Nothing fails.
func upkeepWave(l *lab) (verdict, error) {
	if err := l.begin(smallWeight); err != nil {
		return "", err
	}
	id := newID()
	steps := []step{{Count: 6, CPU: 9000, MemMB: 9000, EstimateMS: 15000, Gang: true, MaxPerServer: 1}}
	if err := accepted(l.submit(keyA, batchPrefix, id, work{MS: 15000, Gang: 6}, steps, 3)); err != nil {
		return "", err
	}
	if _, ok := l.world.awaitRunning(id, 6, 10*time.Second); !ok {
		return "", errors.New("the gang doesn't start")
	}
	time.Sleep(time.Second)
	if l.trouble {
		names := []string{}
		for _, m := range l.world.machines {
			names = append(names, m.name)
		}
		l.record.write("operator", "wave 1 over %d machines, one at once, within 32 s", len(names))
		l.store.write("op", "wave/1", map[string]any{"wave": 1, "machines": names, "duration_s": 32, "cap": 1})
	}
	v := l.judgeJob(id, 80*time.Second)
	if status, ok := l.store.value("status", "wave/1"); ok {
		l.record.write("lab", "status/wave/1: %s", status)
	}
	return v, nil
}
