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

// teams are those that send requests, with their shares in the example records.
var teams = []struct {
	name  string
	share float64
}{{"swan-brokers", 8}, {"fremantle-brokers", 6}, {"marina-office", 4}, {"skippers", 3}, {"rottnest-charters", 1}}

const (
	// jobEvery is the time between two jobs of each kind.
	jobEvery = 2 * time.Second
	jobTasks = 8
)

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}

// load sends work and notes what became of it.
type load struct {
	c *cluster

	mu sync.Mutex
	// waited is by kind; answered and sent by team; refused by code.
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

// run sends until ctx ends and waits for all answers.
func (l *load) run(ctx context.Context) {
	l.calls.Go(func() { l.jobs(ctx, "skippers", "crew-roster") })
	l.calls.Go(func() { l.jobs(ctx, "skippers", "provisioning-run") })
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

// jobs hands in jobs until ctx ends, and then looks how long they waited.
func (l *load) jobs(ctx context.Context, team, kind string) {
	ticker := time.NewTicker(jobEvery)
	defer ticker.Stop()
	url := "http://" + l.c.all()[0].addresses["callers"] + "/v1/jobs"
	for n := 0; ctx.Err() == nil; n++ {
		body, _ := json.Marshal(api.JobSpec{ID: fmt.Sprintf("%s-%d", kind, n), Kind: kind, Tasks: jobTasks, Payload: []byte(`{"run_ms":1000}`)})
		if _, _, refusal := call(ctx, http.MethodPost, url, "example-key-"+team, body); refusal != "" {
			l.refuse(kind + " " + refusal)
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

func (l *load) refuse(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[what]++
}

// call makes one call. refusal is the code of a refusal, or "no answer".
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

// report prints waiting time by kind, refusals by code and closeness to share.
func (l *load) report() {
	fmt.Println("\nkind               count      p50      p99      max  waiting time")
	for _, kind := range slices.Sorted(maps.Keys(l.waited)) {
		w := l.waited[kind]
		slices.Sort(w)
		fmt.Printf("%-16s %7d %8v %8v %8v\n", kind, len(w), w[len(w)/2].Round(time.Millisecond), w[len(w)*99/100].Round(time.Millisecond), w[len(w)-1].Round(time.Millisecond))
	}
	fmt.Println("\nrefused or without answer, by kind and code")
	for _, what := range slices.Sorted(maps.Keys(l.refused)) {
		fmt.Printf("%-40s %7d\n", what, l.refused[what])
	}
	fmt.Println("\nteam                sent  answered  fair part  answered/fair")
	fair := l.fairParts()
	for _, t := range teams {
		fmt.Printf("%-18s %5.0f %9.0f %10.0f %14.3f\n", t.name, l.sent[t.name], l.answered[t.name], fair[t.name], l.answered[t.name]/max(1, fair[t.name]))
	}
}

// fairParts divides what was answered by weighted max-min: nobody gets more than
// it sent, what it leaves goes to the others by their shares.
func (l *load) fairParts() map[string]float64 {
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
