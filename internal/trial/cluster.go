// Package trial runs a small scheduler in one process: the platform in memory, and
// entries and workers on loopback. It starts no other process.
package trial

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/traffic"
	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/conn/worker/httpworker"
	"github.com/kingcuplatch/kingcuplatch/internal/standin/platformstandin"
	"github.com/kingcuplatch/kingcuplatch/internal/standin/workerstandin"
	"github.com/kingcuplatch/kingcuplatch/process/entry"
	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/ownership"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version/records"
)

// OperatorKey is the operators' key of a trial's entries.
const OperatorKey = "example-operator-key"

const (
	region      = "r1"
	domainCount = 3
	rackSize    = 8
	// readyInterval is the time between two checks for readiness.
	readyInterval = 20 * time.Millisecond
)

// Shape is the size of a cluster.
type Shape struct {
	Entries int
	// Workers is the number of workers of each upstream.
	Workers   int
	Upstreams []string
	// Logs receives the entries' events.
	Logs io.Writer
	// Drain, unless it is 0, replaces that of Timings.
	Drain time.Duration
}

// Cluster is a running scheduler with its stand-ins.
type Cluster struct {
	Platform *platformstandin.Platform
	Workers  []*workerstandin.Worker
	Entries  []*entry.Entry
	shape    Shape
	configs  []entry.Config

	cancel    context.CancelFunc
	cancels   []context.CancelFunc
	running   sync.WaitGroup
	listeners []net.Listener
}

// workerCapacity is the capacity of a worker, which is the same at both example users.
var workerCapacity = resource.Amount{MilliCPU: 30_000, MemoryMB: 64_000, Slots: 8}

// workerConnections is the number of connections that a worker accepts.
const workerConnections = 64

// Start starts a cluster. Stop ends it.
func Start(shape Shape) (*Cluster, error) {
	c := &Cluster{Platform: platformstandin.New(), shape: shape}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	for n := range shape.Entries {
		if err := c.addEntry(n); err != nil {
			return nil, err
		}
	}
	for _, upstream := range shape.Upstreams {
		for range shape.Workers {
			if err := c.addWorker(upstream); err != nil {
				return nil, err
			}
		}
	}
	for _, e := range c.Entries {
		entryCtx, cancelEntry := context.WithCancel(ctx)
		c.cancels = append(c.cancels, cancelEntry)
		c.running.Go(func() { _ = e.Run(entryCtx) })
	}
	return c, nil
}

// StopEntry begins the graceful stop of the n-th entry.
func (c *Cluster) StopEntry(n int) { c.cancels[n]() }

// Stop shuts down all entries gracefully, then the workers.
func (c *Cluster) Stop() {
	c.cancel()
	c.running.Wait()
	for _, l := range c.listeners {
		_ = l.Close()
	}
}

// Timings returns the timings of a trial: the defaults of the daemon, with a shorter
// heartbeat and drain.
func Timings() entry.Timings {
	return entry.Timings{
		Heartbeat: 700 * time.Millisecond, QuickTerm: 5 * time.Second, LongTerm: 6 * time.Hour,
		TaskLease: 30 * time.Second, ConfigPoll: 500 * time.Millisecond, ConfigBound: 2500 * time.Millisecond,
		ListPoll: 500 * time.Millisecond, Drain: 5 * time.Second,
		ReadHeader: 5 * time.Second, ReadBody: 30 * time.Second,
	}
}

func (c *Cluster) addEntry(n int) error {
	var l entry.Listeners
	for _, target := range []*net.Listener{&l.Callers, &l.Operators, &l.Peers, &l.Metrics} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		*target = listener
	}
	name := fmt.Sprintf("entry-%d", n+1)
	meter := &traffic.Meter{}
	timings := Timings()
	timings.Drain = cmp.Or(c.shape.Drain, timings.Drain)
	config := entry.Config{
		Instance: name, Incarnation: entry.NewIncarnation(name), FailureDomain: domain(n), Region: region,
		PeerAddress: l.Peers.Addr().String(), OperatorKeySHA256: records.HashKey(OperatorKey),
		MaxBodyBytes: 1 << 20, MaxHeaderBytes: 64 << 10, MaxQueue: 1000,
		Timings: timings, Listeners: l,
		Table: c.Platform, Objects: c.Platform.Objects(), Instances: c.Platform,
		Traffic: meter, Dial: dial(meter), Log: events.New(c.shape.Logs, name),
	}
	c.configs = append(c.configs, config)
	c.Entries = append(c.Entries, entry.New(config))
	c.Platform.ChangeInstances(platformstandin.InstancesChange{Put: []platform.Instance{{
		Name: name, Role: platform.RoleEntry, Address: config.PeerAddress,
		Region: region, FailureDomain: config.FailureDomain,
	}}})
	return nil
}

func (c *Cluster) addWorker(upstream string) error {
	n := len(c.Workers)
	name := fmt.Sprintf("worker-%d", n+1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w := workerstandin.New(workerstandin.Config{Name: name, Capacity: workerCapacity, Connections: workerConnections})
	c.Workers = append(c.Workers, w)
	c.listeners = append(c.listeners, listener)
	go func() { _ = w.Serve(listener) }()
	c.Platform.ChangeInstances(platformstandin.InstancesChange{Put: []platform.Instance{{
		Name: name, Role: platform.RoleWorker, Address: listener.Addr().String(), Upstream: upstream,
		Region: region, FailureDomain: domain(n), Rack: fmt.Sprintf("rack-%d", n/rackSize),
		Capacity: workerCapacity, Connections: workerConnections,
	}}})
	return nil
}

func domain(n int) string { return fmt.Sprintf("domain-%d", n%domainCount) }

func dial(meter *traffic.Meter) func(platform.Instance) worker.Client {
	return func(w platform.Instance) worker.Client {
		return httpworker.New(httpworker.Options{
			Address: w.Address, MaxConnections: w.Connections, FreshWithin: time.Second, Bytes: &meter.Workers,
		})
	}
}

// CallerURLs returns the URLs for callers of all entries, separated by commas.
func (c *Cluster) CallerURLs() string {
	return c.urls(func(l entry.Listeners) net.Listener { return l.Callers })
}

// OperatorURLs returns the URLs for operators of all entries, separated by commas.
func (c *Cluster) OperatorURLs() string {
	return c.urls(func(l entry.Listeners) net.Listener { return l.Operators })
}

func (c *Cluster) urls(listener func(entry.Listeners) net.Listener) string {
	var urls []string
	for _, config := range c.configs {
		urls = append(urls, "http://"+listener(config.Listeners).Addr().String())
	}
	return strings.Join(urls, ",")
}

// Ready waits until every worker is served by an entry and all entries are connected
// to each other. It returns the error of ctx if that ends first.
func (c *Cluster) Ready(ctx context.Context) error {
	for !c.isReady() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyInterval):
		}
	}
	return nil
}

func (c *Cluster) isReady() bool {
	open, blocks := 0, 0
	for _, e := range c.Entries {
		if e.ReachablePeers() < c.shape.Entries-1 {
			return false
		}
		open += e.OpenWorkers()
		blocks += e.BlocksOwned()
	}
	return open == len(c.Workers) && blocks == len(c.Workers)+len(ownership.Shards())
}
