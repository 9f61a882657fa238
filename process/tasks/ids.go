package tasks

import (
	"fmt"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
)

const (
	// holdingPrefix starts the IDs of holdings that belong to tasks.
	holdingPrefix = "task:"
	// expiryInterval is the interval at which expired reservations are freed.
	expiryInterval = 250 * time.Millisecond
	// renewalsPerLease is the number of renewals in the duration of one lease.
	renewalsPerLease = 3
	// retryInterval is the pause after a failed call to a worker.
	retryInterval = time.Second
	// minRenewalAfterStart is the shortest pause between renewals after an attempt
	// was started. The pause grows with the age of the attempt, so it doubles with
	// each renewal.
	minRenewalAfterStart = time.Second
	// minRenewalInterval is the shortest pause between two renewals.
	minRenewalInterval = 200 * time.Millisecond
	// deliveryInterval is how long events are collected into one message.
	deliveryInterval = 50 * time.Millisecond
	// maxDeliveryBatch bounds the number of events in one message.
	maxDeliveryBatch = 1000
	// maxParallelStarts bounds how many workers one start request calls in
	// parallel.
	maxParallelStarts = 32
)

func holdingID(ref worker.TaskRef) string {
	return fmt.Sprintf("%s%s#%d", holdingPrefix, ref.Task, ref.Attempt)
}

func isTaskHolding(id string) bool { return strings.HasPrefix(id, holdingPrefix) }

// JobOf returns the job ID in the name of a task, "JOB/INDEX".
func JobOf(task string) string {
	cut := strings.LastIndexByte(task, '/')
	if cut < 0 {
		return task
	}
	return task[:cut]
}
