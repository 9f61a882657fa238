package policytrial

import (
	"fmt"
	"testing"
	"time"
)

func TestScrC(t *testing.T) {
	for _, load := range []float64{1.5, 3} {
		for _, ex := range []time.Duration{200 * time.Millisecond, time.Second} {
			s := user(load)
			s.Entries = 9
			s.Exchange = ex
			s.QueueLimit = 200
			show(t, fmt.Sprint("user9 ", load, ex), Run(s))
		}
	}
}
