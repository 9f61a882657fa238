package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
)

// teams are the teams that send requests, with their shares in the example records.
var teams = []struct {
	name  string
	share float64
}{{"swan-brokers", 8}, {"fremantle-brokers", 6}, {"marina-office", 4}, {"skippers", 3}, {"rottnest-charters", 1}}

const (
	// jobInterval is the time between two jobs of each kind.
	jobInterval = 2 * time.Second
	jobTasks    = 8
)

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}

// load sends requests and jobs and records the results.
type load struct {
	c *cluster

	mu sync.Mutex
	// waited is by kind, answered and sent are by team, refused is by kind and code.
	waited         map[string][]time.Duration
	answered, sent map[string]float64
	refused        map[string]int
	calls          sync.WaitGroup
}

func newLoad(c *cluster) *load {
	return &load{
		c: c, waited: make(map[string][]time.Duration), refused: make(map[string]int),
		answered: make(map[string]float64), sent: make(map[string]float64),
	}
}

// run sends until ctx ends and waits for all responses.
func (l *load) run(ctx context.Context) {
	l.calls.Go(func() { l.submitJobs(ctx, "skippers", "crew-roster") })
	l.calls.Go(func() { l.submitJobs(ctx, "skippers", "provisioning-run") })
	ticker := time.NewTicker(time.Second / time.Duration(l.c.rate))
	defer ticker.Stop()
	kinds := []string{"quote", "berth-lookup"}
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			l.calls.Wait()
			return
		case <-ticker.C:
		}
		entries := l.c.all()
		url := "http://" + entries[n%len(entries)].addresses["callers"]
		team, kind := teams[n%len(teams)].name, kinds[n/len(teams)%len(kinds)]
		l.calls.Go(func() { l.request(url, team, kind) })
	}
}

func (l *load) request(url, team, kind string) {
	body := fmt.Appendf(nil, `{"work_ms":%d}`, l.c.workMS)
	header, _, refusal := call(context.Background(), http.MethodPost, url+"/v1/kinds/"+kind+"/requests", "example-key-"+team, body)
	ms, _ := strconv.Atoi(header.Get(api.HeaderWaited))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[team]++
	if refusal != "" {
		l.refused[kind+" "+refusal]++
		return
	}
	l.answered[team]++
	l.waited[kind] = append(l.waited[kind], time.Duration(ms)*time.Millisecond)
}

// submitJobs submits jobs until ctx ends and then records how long they waited.
func (l *load) submitJobs(ctx context.Context, team, kind string) {
	ticker := time.NewTicker(jobInterval)
	defer ticker.Stop()
	url := "http://" + l.c.all()[0].addresses["callers"] + "/v1/jobs"
	for n := 0; ctx.Err() == nil; n++ {
		body, _ := json.Marshal(api.JobSpec{ID: fmt.Sprintf("%s-%d", kind, n), Kind: kind, Tasks: jobTasks, Payload: []byte(`{"run_ms":1000}`)})
		if _, _, refusal := call(ctx, http.MethodPost, url, "example-key-"+team, body); refusal != "" {
			l.countRefusal(kind + " " + refusal)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	_, body, _ := call(context.Background(), http.MethodGet, url, "example-key-"+team, nil)
	var views []api.JobView
	_ = json.Unmarshal(body, &views)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, view := range views {
		if view.Kind == kind && view.Waited > 0 {
			l.waited[kind] = append(l.waited[kind], view.Waited)
		}
	}
}

func (l *load) countRefusal(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[key]++
}

// call makes one call. refusal is empty for a success, the code of a refusal, or
// "no answer".
func call(ctx context.Context, method, url, key string, body []byte) (header http.Header, answer []byte, refusal string) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, "no answer"
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, "no answer"
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return nil, nil, "no answer"
	}
	var failure api.Error
	if response.StatusCode >= http.StatusMultipleChoices {
		_ = json.Unmarshal(answer, &failure)
		return response.Header, answer, cmp.Or(failure.Code, response.Status)
	}
	return response.Header, answer, ""
}

// report prints the waiting times by kind, the refusals by kind and code, and for each
// team the answered requests against its fair share.
func (l *load) report() {
	fmt.Println("\nkind               count      p50      p99      max  waiting time")
	for _, kind := range slices.Sorted(maps.Keys(l.waited)) {
		w := l.waited[kind]
		slices.Sort(w)
		fmt.Printf("%-16s %7d %8v %8v %8v\n", kind, len(w), w[len(w)/2].Round(time.Millisecond), w[len(w)*99/100].Round(time.Millisecond), w[len(w)-1].Round(time.Millisecond))
	}
	fmt.Println("\nrefused or no answer, by kind and code")
	for _, key := range slices.Sorted(maps.Keys(l.refused)) {
		fmt.Printf("%-40s %7d\n", key, l.refused[key])
	}
	fmt.Println("\nteam                sent  answered  fair part  answered/fair")
	fair := l.fairShares()
	for _, t := range teams {
		fmt.Printf("%-18s %5.0f %9.0f %10.0f %14.3f\n", t.name, l.sent[t.name], l.answered[t.name], fair[t.name], l.answered[t.name]/max(1, fair[t.name]))
	}
}

// fairShares divides the answered requests among the teams by weighted max-min: a team
// gets at most what it sent, and the rest goes to the other teams by their shares.
func (l *load) fairShares() map[string]float64 {
	left, weights := 0.0, 0.0
	for _, t := range teams {
		left += l.answered[t.name]
		weights += t.share
	}
	order := slices.Clone(teams)
	slices.SortFunc(order, func(a, b struct {
		name  string
		share float64
	},
	) int {
		return cmp.Compare(l.sent[a.name]/a.share, l.sent[b.name]/b.share)
	})
	fair := make(map[string]float64)
	for _, t := range order {
		fair[t.name] = min(l.sent[t.name], left*t.share/weights)
		left -= fair[t.name]
		weights -= t.share
	}
	return fair
}
