package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// clients holds the client of each owned worker. The owner's agents dial and close the
// clients. Requests share them, so that the connections to a worker are bounded in one
// place.
type clients struct {
	dialWorker func(platform.Instance) worker.Client
	report     reportFunc
	log        *events.Logger

	mu     sync.Mutex
	byName map[string]*sharedClient
}

// sharedClient removes itself from the pool when its agent closes it.
type sharedClient struct {
	reportingClient
	pool *clients
}

func newClients(dial func(platform.Instance) worker.Client, report reportFunc, log *events.Logger) *clients {
	return &clients{dialWorker: dial, report: report, log: log, byName: make(map[string]*sharedClient)}
}

// dial creates the client of a newly owned worker.
func (c *clients) dial(w platform.Instance) worker.Client {
	client := &sharedClient{
		reportingClient: reportingClient{Client: c.dialWorker(w), name: w.Name, report: c.report, log: c.log},
		pool:            c,
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byName[w.Name] = client
	return client
}

// get returns the client of an owned worker.
func (c *clients) get(name string) (worker.Client, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.byName[name]
	return client, ok
}

// Close implements worker.Client.
func (s *sharedClient) Close() {
	s.pool.mu.Lock()
	if s.pool.byName[s.name] == s {
		delete(s.pool.byName, s.name)
	}
	s.pool.mu.Unlock()
	s.Client.Close()
}

// close closes all clients and empties the pool.
func (c *clients) close() {
	c.mu.Lock()
	all := c.byName
	c.byName = make(map[string]*sharedClient)
	c.mu.Unlock()
	for _, client := range all {
		client.Client.Close()
	}
}

// reportFunc handles a worker's report of the ids of its requests in flight, in answer
// to a call sent at the given time.
type reportFunc func(name string, sent time.Time, inFlight []string)

// reportingClient passes a worker's reports of requests in flight to the Placer. It logs
// when the worker is adopted and when it becomes unreachable.
type reportingClient struct {
	worker.Client
	name   string
	report reportFunc
	log    *events.Logger
	// unreachable is set while the last control call failed.
	unreachable atomic.Bool
}

// Adopt implements worker.Client.
func (c *reportingClient) Adopt(ctx context.Context, epoch uint64) (worker.Report, error) {
	report, err := c.Client.Adopt(ctx, epoch)
	c.recordResult(err)
	if err == nil {
		c.log.Log(events.WorkerAdopted, c.name, epoch, len(report.Tasks))
	}
	return report, err
}

// recordResult logs the first failure after a successful call. A refusal is a response, so
// that it doesn't count as a failure.
func (c *reportingClient) recordResult(err error) {
	var refused *worker.RefusedError
	failed := err != nil && !errors.As(err, &refused)
	if failed && !c.unreachable.Swap(true) {
		c.log.Log(events.WorkerUnreachable, c.name, err)
	}
	if !failed {
		c.unreachable.Store(false)
	}
}

// Renew implements worker.Client.
func (c *reportingClient) Renew(ctx context.Context, epoch uint64, lease time.Duration) (worker.Report, error) {
	sent := time.Now()
	report, err := c.Client.Renew(ctx, epoch, lease)
	c.recordResult(err)
	if err == nil {
		c.report(c.name, sent, report.RequestIDs)
	}
	return report, err
}
