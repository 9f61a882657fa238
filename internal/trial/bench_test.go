package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcuplatch/kingcuplatch/internal/standin/platformstandin"
)

func benchCluster(b *testing.B, entries, workers int) *Cluster {
	b.Helper()
	c, err := Start(Shape{Entries: entries, Workers: workers, Upstreams: []string{"bookings"}, Logs: io.Discard})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(c.Stop)
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	if err := c.Ready(ctx); err != nil {
		b.Fatal(err)
	}
	apply(b, c)
	return c
}

func apply(b testing.TB, c *Cluster) {
	b.Helper()
	request, err := ExampleRecords()
	if err != nil {
		b.Fatal(err)
	}
	body, _ := json.Marshal(request)
	if status := post(b, strings.Split(c.OperatorURLs(), ",")[0]+"/v1/apply", OperatorKey, body); status != http.StatusOK {
		b.Fatal("apply: status", status)
	}
}

func post(b testing.TB, url, key string, body []byte) int {
	request, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// BenchmarkRequest measures one request through an entry to a worker and back, one at a
// time. The caller, all entries and the workers share the process.
func BenchmarkRequest(b *testing.B) {
	for _, kind := range []string{"quote", "berth-lookup"} {
		b.Run(kind, func(b *testing.B) {
			c := benchCluster(b, 3, 8)
			url := strings.Split(c.CallerURLs(), ",")[0] + "/v1/kinds/" + kind + "/requests"
			for b.Loop() {
				if status := post(b, url, "example-key-swan-brokers", []byte("{}")); status != http.StatusOK {
					b.Fatal("status", status)
				}
			}
		})
	}
}

// BenchmarkIdleSecond runs a cluster without work for a second and reports the calls
// of each entry to the platform. Use -benchtime 60x for a minute.
func BenchmarkIdleSecond(b *testing.B) {
	for _, shape := range []struct{ entries, workers int }{{3, 50}, {9, 50}, {9, 150}} {
		b.Run(fmt.Sprintf("entries=%d/workers=%d", shape.entries, shape.workers), func(b *testing.B) {
			c := benchCluster(b, shape.entries, shape.workers)
			before := c.Platform.Counts()
			for b.Loop() {
				<-time.After(time.Second)
			}
			reportCounts(b, before, c.Platform.Counts(), float64(b.N*shape.entries))
		})
	}
}

func reportCounts(b *testing.B, before, after platformstandin.Counts, per float64) {
	b.ReportMetric(float64(after.Commits-before.Commits)/per, "writes/entry-s")
	b.ReportMetric(float64(after.Gets-before.Gets+after.Scans-before.Scans)/per, "reads/entry-s")
	b.ReportMetric(float64(after.Lists-before.Lists)/per, "lists/entry-s")
}
