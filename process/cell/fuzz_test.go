package cell

import (
	"testing"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// FuzzLoad guards against rows of other writers that end the process, when they are read or
// when the jobs that they hold are planned and recorded.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(`{"id":"job","queue":"q","team":"t","text":"x","steps":[{"count":2,"need":{"cpu":1000},"estimate":1000000}]}`),
		[]byte(`{"queue":"q","team":"t","started":true}`))
	f.Add([]byte(`{"id":"job","steps":[{"count":1},{"count":1,"after":[0],"gang":true}],"repeat":3,"interval":-1}`), []byte(`{`))
	f.Fuzz(func(_ *testing.T, spec, state []byte) {
		now := time.Unix(1_700_000_000, 0)
		c := Load(Settings{KeepEnded: time.Minute}, []platform.Row{
			{Key: specPrefix + "job", Value: spec, Version: 1}, {Key: statePrefix + "job", Value: state, Version: 2},
		})
		c.SetCatalog(catalog.New(1, nil, nil, nil, catalog.Limits{}))
		c.SetWorkers(now, []WorkerInfo{{ID: "w0", Upstream: "desk", Capacity: resource.Amount{MilliCPU: 8000, MemoryMB: 8000}}})
		c.Listed(now, "w0", Listing{SentAt: now, Incarnation: 1})
		c.Tick(now)
		c.Plan(now)
		c.TakeBatch(now)
	})
}
