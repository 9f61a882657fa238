package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/kingcuplatch/kingcuplatch/conn/traffic"
)

// BenchmarkCall measures one call with parameters of the given size in bytes, including
// the server's side.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{100, 10_000} {
		b.Run(fmt.Sprintf("params=%d", size), func(b *testing.B) {
			address := serve(b, map[string]Handler{
				"bench": func(context.Context, json.RawMessage) (any, error) { return struct{}{}, nil },
			})
			bytes := &traffic.Bytes{}
			links := NewCountedLinks(bytes)
			defer links.Close()
			params := strings.Repeat("x", size)
			for b.Loop() {
				var result struct{}
				if err := links.Call(b.Context(), address, "bench", params, &result); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes.Sent()+bytes.Received())/float64(b.N), "wire-B/op")
		})
	}
}
