package main

import (
	"fmt"
	"net/http"
	"time"
)

// Queues and tenants of the cases.
const (
	batchPrefix = "/lohu930/"
	quotePrefix = "/pule252/"
	keyA        = "key-of-tenant-a"
	keyB        = "key-of-tenant-b"
	smallWeight = 2.0
	largeWeight = 40.0
)

func routes() []route {
	return []route{
		{Name: "r-batch", Host: hostName, Prefix: batchPrefix, Type: "non_idempotent", TimeoutMS: 3000, TargetMS: 1000, Priority: 1, Service: serviceName, MaxAttempts: 4, Stretch: 2.2},
		{Name: "r-quote", Host: hostName, Prefix: quotePrefix, Type: "non_idempotent", TimeoutMS: 3000, TargetMS: 250, Priority: 0, Service: serviceName, MaxAttempts: 3, Stretch: 1.5},
	}
}

// tenants returns two tenants with a weight, in jobs a second.
func tenants(weight float64) []tenant {
	limit := map[string]int64{"cpu": 2000000, "mem_mb": 8000000}
	return []tenant{
		{Name: "tenant-a", APIKeys: []string{keyA}, Weight: weight, Cap: limit},
		{Name: "tenant-b", APIKeys: []string{keyB}, Weight: weight, Cap: limit},
	}
}

// Sizes of the deployment of the cases.
const (
	machineCount = 8
	entryCount   = 3
)

// begin publishes the configuration and starts machines and entries.
func (l *lab) begin(weight float64) error {
	l.publish(routes(), tenants(weight))
	if err := l.addMachines(machineCount, []string{"a", "b"}, 4); err != nil {
		return err
	}
	return l.startEntries(entryCount)
}

func accepted(a answer) error {
	if a.status != http.StatusOK {
		return fmt.Errorf("a job was not accepted: %d %s", a.status, a.body)
	}
	return nil
}

// gangCrashes: one gang on an otherwise idle fleet, and two crashes of single workers, each under
// another member.
func gangCrashes(l *lab) (verdict, error) {
	if err := l.begin(smallWeight); err != nil {
		return "", err
	}
	id := newID()
	a := l.submit(keyA, batchPrefix, id, work{MS: 5000, Gang: 3}, []step{{Count: 3, CPU: 9000, MemMB: 9000, EstimateMS: 5000, Gang: true, MaxPerServer: 1}}, 3)
	if err := accepted(a); err != nil {
		return "", err
	}
	hit := make(map[string]bool)
	for crash := range 2 {
		found, ok := l.world.awaitRunning(id, 3, 10*time.Second)
		if !ok {
			break
		}
		time.Sleep(1500 * time.Millisecond)
		if !l.trouble {
			break
		}
		// The worker of a member whose worker hasn't crashed yet.
		for index := range 3 {
			task := fmt.Sprintf("%s.0.0.%d", id, index)
			k := found[task]
			if k == nil || hit[task] || hit[k.machine.name] {
				continue
			}
			hit[task], hit[k.machine.name] = true, true
			l.record.write("trouble", "crash %d: worker %s, for 1.5 s", crash+1, k.id)
			m := k.machine
			m.crash()
			time.AfterFunc(1500*time.Millisecond, func() { _ = m.start() })
			break
		}
		time.Sleep(2500 * time.Millisecond)
	}
	return l.judgeJob(id, 30*time.Second), nil
}

// judgeJob waits for the end of a job that can be done and that nobody has cancelled.
func (l *lab) judgeJob(id string, within time.Duration) verdict {
	state := l.awaitState(keyA, batchPrefix, id, within, "completed", "failed")
	ends := l.world.countEnds(id)
	l.record.write("lab", "the job is shown as %q; ends of its runs: %v", state, ends)
	switch {
	case state == "completed":
		return ""
	case state == "failed" && ends["failed"] == 0:
		return verdict(fmt.Sprintf("LOST: the accepted job %s is shown as failed, and no run of it has ended failed (max_attempts is 4; ends: %v)", id, ends))
	default:
		return verdict(fmt.Sprintf("LOST: the accepted job %s is shown as %q after %v", id, state, within))
	}
}
