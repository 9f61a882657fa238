package jobs

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A job whose row the table refuses was refused together with all jobs that shared its write, as in
// review/6.
func TestRefusedRowHoldsNobodyUp(t *testing.T) {
	inSimulation(t, func(t *testing.T, ctx context.Context) {
		w := newSimulation(ctx, 2, 8)
		w.table.maxRowBytes = 1 << 10
		c := w.takeOver(ctx, t, unsafeOptions{})
		outcomes := make(chan error, 10)
		for i := range cap(outcomes) {
			spec := Spec{ID: fmt.Sprint("job", i), Team: "a", Kind: "batch", Tasks: 1}
			if i == 0 {
				spec.Payload = make([]byte, 4<<10)
			}
			go func() {
				_, err := c.Submit(ctx, spec)
				outcomes <- err
			}()
		}
		refused := 0
		for range cap(outcomes) {
			if err := <-outcomes; err != nil {
				assert.ErrorIs(t, err, ErrUnavailable)
				refused++
			}
		}
		assert.Equal(t, refused, 1)
		waitFor(t, time.Minute, "the others end", func() bool { return w.endedOf("a") == cap(outcomes)-1 })
	})
}
