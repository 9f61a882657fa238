package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// finishTime is finish_s and the 3 s for which a job may have nothing running.
	finishTime = 17 * time.Second
	// serviceCPU is the need of a replica, in thousandths of a core; a server has 32000.
	serviceCPU = 13000
	// hopelessReplicas is more than there are servers.
	hopelessReplicas = 24
	// overShareJobs come one each overSharePause, five times the tenant's weight.
	overShareJobs  = 24
	overSharePause = 100 * time.Millisecond
)

// starvation: a service wants more replicas, one a server at most, than there are servers, and another
// tenant sends more jobs than its weight.
func starvation(l *lab) (verdict, error) {
	if err := l.begin(smallWeight); err != nil {
		return "", err
	}
	replicas := machineCount
	if l.trouble {
		replicas = hopelessReplicas
	}
	service := newID()
	steps := []step{{Count: replicas, CPU: serviceCPU, MemMB: 2000, EstimateMS: 1000, LongRunning: true, MaxPerServer: 1}}
	if err := accepted(l.submit(keyA, batchPrefix, service, work{}, steps, 3)); err != nil {
		return "", err
	}
	if _, ok := l.world.awaitRunning(service, machineCount, 10*time.Second); !ok {
		return "", errors.New("the service doesn't start")
	}
	time.Sleep(time.Second)
	var ids []string
	for range overShareJobs {
		id := newID()
		steps := []step{{Count: 1, CPU: 1000, MemMB: 500, EstimateMS: 1000}}
		if l.submit(keyB, batchPrefix, id, work{MS: 1000}, steps, 1).status == http.StatusOK {
			ids = append(ids, id)
		}
		time.Sleep(overSharePause)
	}
	l.record.write("lab", "%d of %d jobs of tenant-b are accepted; the traffic ends", len(ids), overShareJobs)
	if len(ids) == 0 {
		return "", errors.New("no job was accepted")
	}
	time.Sleep(finishTime)
	var waiting []string
	for _, id := range ids {
		if s := l.state(keyB, batchPrefix, id); s != "completed" {
			waiting = append(waiting, fmt.Sprintf("%s: %s, %d starts", id, s, l.world.startsOf(id)))
		}
	}
	used := machineCount * serviceCPU / 1000
	if len(waiting) == 0 {
		return "", nil
	}
	return verdict(fmt.Sprintf("LOST: %d of %d accepted jobs of tenant-b, of 1 core each, haven't run %v after the traffic, with %d of %d cores in use: %v",
		len(waiting), len(ids), finishTime, used, machineCount*32, waiting)), nil
}
