package httpworker_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/traffic"
	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/conn/worker/httpworker"
	"github.com/kingcuplatch/kingcuplatch/internal/standin/workerstandin"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

const benchLease = time.Hour

// benchClient returns a client of a worker on loopback that runs the given number of tasks.
// The measurements include the worker's side of each call.
func benchClient(b *testing.B, tasks int) (*httpworker.Client, *traffic.Bytes) {
	b.Helper()
	w := workerstandin.New(workerstandin.Config{
		Name: "worker-1", Capacity: resource.Amount{Slots: 8, MilliCPU: 1 << 40, MemoryMB: 1 << 40},
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	go func() { _ = w.Serve(l) }()
	bytes := &traffic.Bytes{}
	c := httpworker.New(httpworker.Options{Address: l.Addr().String(), MaxConnections: 4, FreshWithin: time.Hour, Bytes: bytes})
	b.Cleanup(c.Close)
	if _, err := c.Adopt(b.Context(), 1); err != nil {
		b.Fatal(err)
	}
	for i := range tasks {
		benchStart(b, c, i)
	}
	return c, bytes
}

func benchStart(b *testing.B, c *httpworker.Client, i int) worker.TaskRef {
	b.Helper()
	task := worker.StartTask{
		Task: fmt.Sprintf("attendance-2026-11-30/%d", i), Attempt: 1, Team: "team-17", Kind: "attendance-rebuild",
		Amount: resource.Amount{Running: 1, MilliCPU: 1000, MemoryMB: 2000}, RunTime: time.Hour, Lease: benchLease,
	}
	statuses, err := c.Start(b.Context(), 1, []worker.StartTask{task})
	if err != nil || statuses[0].State != worker.TaskRunning {
		b.Fatal(statuses, err)
	}
	return worker.TaskRef{Task: task.Task, Attempt: task.Attempt}
}

// reportBytes reports the bytes sent and received per operation since the total was before.
func reportBytes(b *testing.B, bytes *traffic.Bytes, before uint64) {
	b.ReportMetric(float64(bytes.Sent()+bytes.Received()-before)/float64(b.N), "wire-B/op")
}

// BenchmarkRenew measures a renewal with its report.
func BenchmarkRenew(b *testing.B) {
	for _, tasks := range []int{0, 7, 28} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			c, bytes := benchClient(b, tasks)
			before := bytes.Sent() + bytes.Received()
			for b.Loop() {
				if _, err := c.Renew(b.Context(), 1, benchLease); err != nil {
					b.Fatal(err)
				}
			}
			reportBytes(b, bytes, before)
		})
	}
}

// BenchmarkStart measures the control calls of one task: start, stop and forget.
func BenchmarkStart(b *testing.B) {
	c, bytes := benchClient(b, 0)
	before := bytes.Sent() + bytes.Received()
	for i := 0; b.Loop(); i++ {
		refs := []worker.TaskRef{benchStart(b, c, i)}
		if _, err := c.Stop(b.Context(), 1, refs); err != nil {
			b.Fatal(err)
		}
		if err := c.Forget(b.Context(), 1, refs); err != nil {
			b.Fatal(err)
		}
	}
	reportBytes(b, bytes, before)
}

// BenchmarkRequest measures a request to a worker.
func BenchmarkRequest(b *testing.B) {
	c, bytes := benchClient(b, 0)
	before := bytes.Sent() + bytes.Received()
	for i := 0; b.Loop(); i++ {
		r := worker.Request{ID: fmt.Sprintf("request-%d", i), Epoch: 1, Team: "team-17", Kind: "quote", Body: []byte("{}")}
		if _, err := c.Do(b.Context(), r, true); err != nil {
			b.Fatal(err)
		}
	}
	reportBytes(b, bytes, before)
}
