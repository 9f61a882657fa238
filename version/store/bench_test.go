package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcuplatch/kingcuplatch/version/records"
)

// benchRecords returns records with two keys and one kind of work per team.
func benchRecords(teams int) *records.Records {
	r := &records.Records{}
	for i := range teams {
		name := fmt.Sprintf("team-%d", i)
		r.Teams = append(r.Teams, records.Team{Name: name, Share: int64(i + 1), QueueLimit: 100})
		for _, id := range []string{name + "-a", name + "-b"} {
			r.Keys = append(r.Keys, records.Key{ID: id, Team: name, SHA256: records.HashKey(id)})
		}
		kind := records.Kind{Name: name + "-work", Policy: "batch", RunTime: time.Minute, Teams: []string{name}}
		kind.Amount.MilliCPU, kind.Amount.MemoryMB = 1000, 1000
		r.Kinds = append(r.Kinds, kind)
	}
	return r
}

// BenchmarkLoad measures the cost of a new version for an entry: checking, decoding and
// compiling the body. Every team has two keys and its own kind of work.
func BenchmarkLoad(b *testing.B) {
	for _, teams := range []int{6, 60, 180} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			built, err := build(benchRecords(teams), 1)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := load(built.version); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(built.version.Body)), "body-bytes")
		})
	}
}

// BenchmarkLookup measures the lookup of a key in the version in force.
func BenchmarkLookup(b *testing.B) {
	for _, teams := range []int{6, 180} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			built, err := build(benchRecords(teams), 1)
			if err != nil {
				b.Fatal(err)
			}
			v, err := load(built.version)
			if err != nil {
				b.Fatal(err)
			}
			hash := records.HashKey("team-3-b")
			for b.Loop() {
				if v.snapshot.Keys[hash] == nil {
					b.Fatal("no key")
				}
			}
		})
	}
}
