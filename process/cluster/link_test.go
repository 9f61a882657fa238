package cluster

import (
	"context"
	"time"
)

// nodeLink is the network link of a node, of the same bandwidth in both directions.
type nodeLink struct {
	// bytesPerSecond is the bandwidth; sentUntil and receivedUntil are the times until
	// which the bytes queued so far occupy the link.
	bytesPerSecond           float64
	sentUntil, receivedUntil time.Time
}

// Sizes, in bytes, of what surrounds a message: the envelope of a call between entries, the
// head and the other fields of a request to a worker or to the table, the names of a row in a
// transaction, the head of a reply, and a run in a worker's list.
const (
	messageOverhead = 120
	requestOverhead = 350
	rowOverhead     = 90
	replyOverhead   = 250
	listedRunBytes  = 50
)

// transmit waits until bytes have passed the links of both nodes, or until ctx ends. The
// bytes occupy the links in any case. An empty name is a peer whose link has no limit.
func (w *simulation) transmit(ctx context.Context, from, to string, bytes int) {
	w.mu.Lock()
	now := time.Now()
	arrived := now
	if link := w.links[from]; link != nil {
		link.sentUntil = maxTime(now, link.sentUntil).Add(link.duration(bytes))
		arrived = link.sentUntil
	}
	if link := w.links[to]; link != nil {
		link.receivedUntil = maxTime(arrived, link.receivedUntil).Add(link.duration(bytes))
		arrived = link.receivedUntil
	}
	w.mu.Unlock()
	sleep(ctx, time.Until(arrived))
}

// duration returns how long bytes occupy the link.
func (l *nodeLink) duration(bytes int) time.Duration {
	return time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second))
}

// linkBytes returns the bandwidth of a node's link in bytes a second; 0 if it has no limit.
func (w *simulation) linkBytes(name string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if link := w.links[name]; link != nil {
		return int64(link.bytesPerSecond)
	}
	return 0
}
