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

// clients holds the client of each owned worker. The owner's agents dial and
// close; requests share the agent's client, so that a worker's connections are
// bounded in one place.
type clients struct {
	dialWorker func(platform.Instance) worker.Client
	report     reportFunc
	log        *events.Logger

	mu     sync.Mutex
	byName map[string]*sharedClient
}

// sharedClient leaves the pool when its agent closes it.
type sharedClient struct {
	reportingClient
	pool *clients
}

func newClients(dial func(platform.Instance) worker.Client, report reportFunc, log *events.Logger) *clients {
	return &clients{dialWorker: dial, report: report, log: log, byName: make(map[string]*sharedClient)}
}

// dial makes the client of a worker that the owner begins to serve.
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

// close ends all clients.
func (c *clients) close() {
	c.mu.Lock()
	all := c.byName
	c.byName = make(map[string]*sharedClient)
	c.mu.Unlock()
	for _, client := range all {
		client.Client.Close()
	}
}

// reportFunc takes in the ids of a worker's requests in flight, given in answer to
// a call sent at the given time.
type reportFunc func(name string, sent time.Time, inFlight []string)

// reportingClient passes the requests in flight that a worker reports to Places,
// and logs when the worker is adopted and when it stops answering.
type reportingClient struct {
	worker.Client
	name   string
	report reportFunc
	log    *events.Logger
	// silent says that the last control call failed.
	silent atomic.Bool
}

// Adopt implements worker.Client.
func (c *reportingClient) Adopt(ctx context.Context, epoch uint64) (worker.Report, error) {
	report, err := c.Client.Adopt(ctx, epoch)
	c.note(err)
	if err == nil {
		c.log.Log(events.WorkerAdopted, c.name, epoch, len(report.Tasks))
	}
	return report, err
}

// note logs the first failure after a call that succeeded.
func (c *reportingClient) note(err error) {
	var refused *worker.RefusedError
	fails := err != nil && !errors.As(err, &refused)
	if fails && !c.silent.Swap(true) {
		c.log.Log(events.WorkerUnreachable, c.name, err)
	}
	if !fails {
		c.silent.Store(false)
	}
}

// Renew implements worker.Client.
func (c *reportingClient) Renew(ctx context.Context, epoch uint64, lease time.Duration) (worker.Report, error) {
	sent := time.Now()
	report, err := c.Client.Renew(ctx, epoch, lease)
	c.note(err)
	if err == nil {
		c.report(c.name, sent, report.RequestIDs)
	}
	return report, err
}
