package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// noTable is a table that refuses every call.
type noTable struct{ platform.Table }

var errNoTable = errors.New("no table")

func (noTable) Get(context.Context, string) (platform.Row, bool, error) {
	return platform.Row{}, false, errNoTable
}

// FuzzHandlers guards against messages of other entries that end the process of a standby.
func FuzzHandlers(f *testing.F) {
	n := NewNode(Config{Name: "a", Log: events.New(io.Discard, "a"), Table: noTable{}})
	var methods []string
	for method := range n.Handlers() {
		// Advice is passed on to the advisory service, which this node doesn't have.
		if method != methodAdvise {
			methods = append(methods, method)
		}
	}
	slices.Sort(methods)
	for i := range methods {
		f.Add(uint8(i), []byte(`{"name":"b","address":"10.0.0.9:1","cores":0.2,"catalog":7,"stamp":5,"fence":3,"holder":"c"}`))
		f.Add(uint8(i), []byte(`{"op":"submit","id":"j","within_ms":-1,"spec":{"steps":[{"count":-1}]}}`))
		f.Add(uint8(i), []byte(`null`))
	}
	f.Fuzz(func(_ *testing.T, method uint8, params []byte) {
		if !json.Valid(params) {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		// An error is as good as an answer here.
		_, _ = n.Handlers()[methods[int(method)%len(methods)]](ctx, params)
	})
}
