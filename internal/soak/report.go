package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/internal/standin/platformstandin"
)

const megabyte = 1 << 20

// metrics reads the metrics of all entries. It returns an empty map for an entry that does
// not respond.
func (c *cluster) metrics() []map[string]float64 {
	var all []map[string]float64
	for _, e := range c.all() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, text, _ := call(ctx, http.MethodGet, "http://"+e.addresses["metrics"]+"/metrics", "", nil)
		cancel()
		values := make(map[string]float64)
		for line := range strings.Lines(string(text)) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
			values[name], _ = strconv.ParseFloat(value, 64)
		}
		all = append(all, values)
	}
	return all
}

// report prints the resources used by each entry and the calls to the platform, as rates
// per second since before.
func (c *cluster) report(before []map[string]float64, counts platformstandin.Counts, elapsed time.Duration) {
	seconds := elapsed.Seconds()
	fmt.Println("\nentry    core %   RSS MB  bytes per second, sent/received: peers, platform, workers")
	after, entries := c.metrics(), c.all()
	for n := range after {
		if entries[n].restarted || len(after[n]) == 0 {
			fmt.Printf("entry-%d  was restarted or does not respond\n", n+1)
			continue
		}
		rate := func(name string) float64 { return (after[n][name] - before[n][name]) / seconds }
		fmt.Printf("entry-%d %7.1f %8.0f ", n+1, 100*rate("process_cpu_seconds_total"), after[n]["process_resident_memory_bytes"]/megabyte)
		for _, to := range []string{"peers", "platform", "workers"} {
			metric := func(direction string) string {
				return fmt.Sprintf("kingcuplatch_bytes_total{to=%q,direction=%q}", to, direction)
			}
			fmt.Printf(" %8.0f/%-8.0f", rate(metric("sent")), rate(metric("received")))
		}
		fmt.Println()
	}
	now := c.platform.Counts()
	fmt.Printf("\nplatform, per second, all entries: %.1f commits (%.1f rows), %.1f conflicts, %.1f reads, %.1f lists, %.1f refused\n",
		float64(now.Commits-counts.Commits)/seconds, float64(now.RowsWritten-counts.RowsWritten)/seconds,
		float64(now.Conflicts-counts.Conflicts)/seconds, float64(now.Gets+now.Scans-counts.Gets-counts.Scans)/seconds,
		float64(now.Lists-counts.Lists)/seconds, float64(now.Refused-counts.Refused)/seconds)
}
