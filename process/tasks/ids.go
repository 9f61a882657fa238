package tasks

import (
	"fmt"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
)

const (
	// holdingPrefix marks the holdings of tasks in the book.
	holdingPrefix = "task:"
	// expiryInterval is how often expired reservations are freed.
	expiryInterval = 250 * time.Millisecond
	// renewalsPerLease is how often a lease is renewed while it lasts.
	renewalsPerLease = 3
	// retryInterval is the pause after a failed call to a worker.
	retryInterval = time.Second
	// freshRenewal is the least pause while an attempt has just been started; the
	// pause doubles from there.
	minRenewalAfterStart = time.Second
	// earliestRenewal is the least pause between two renewals.
	minRenewalInterval = 200 * time.Millisecond
	// deliveryInterval is how long events are gathered into one message.
	deliveryInterval = 50 * time.Millisecond
	// deliveryBatch is the most events in one message.
	maxDeliveryBatch = 1000
	// startParallelism is how many workers one start request calls at once.
	maxParallelStarts = 32
)

func holdingID(ref worker.TaskRef) string {
	return fmt.Sprintf("%s%s#%d", holdingPrefix, ref.Task, ref.Attempt)
}

func isTaskHolding(id string) bool { return strings.HasPrefix(id, holdingPrefix) }

// JobOf returns the job of a task named "JOB/INDEX".
func JobOf(task string) string {
	cut := strings.LastIndexByte(task, '/')
	if cut < 0 {
		return task
	}
	return task[:cut]
}
