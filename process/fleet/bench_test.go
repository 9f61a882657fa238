package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

func benchInstances(workers int) []platform.Instance {
	var instances []platform.Instance
	for i := range workers {
		instances = append(instances, platform.Instance{
			Name: fmt.Sprintf("worker-%04d", i), Role: platform.RoleWorker, Address: "10.0.12.34:8080",
			FailureDomain: "domain-1", Region: "region-1", Rack: fmt.Sprintf("rack-%d", i/8), Upstream: "bookings",
			Capacity: resource.Amount{MilliCPU: 30_000, MemoryMB: 64_000, Slots: 8}, Connections: 64,
		})
	}
	return instances
}

// BenchmarkList measures one read of the list: decoding the platform's answer and
// indexing it.
func BenchmarkList(b *testing.B) {
	for _, workers := range []int{50, 7900} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			encoded, err := json.Marshal(benchInstances(workers))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				var read []platform.Instance
				if err := json.Unmarshal(encoded, &read); err != nil {
					b.Fatal(err)
				}
				newList(read, nil, time.Time{})
			}
			b.ReportMetric(float64(len(encoded)), "wire-B/op")
		})
	}
}

// BenchmarkUnchangedList measures one read of a list that has not changed.
func BenchmarkUnchangedList(b *testing.B) {
	for _, workers := range []int{50, 7900} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			list := newList(benchInstances(workers), nil, time.Time{})
			b.ReportAllocs()
			for b.Loop() {
				list = list.next(list.source, nil, time.Time{})
			}
		})
	}
}
