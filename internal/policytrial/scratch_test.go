package policytrial

import (
	"fmt"
	"testing"
	"time"
)

func TestScratchEntries(t *testing.T) {
	for _, load := range []float64{1.5, 3} {
		for _, ex := range []time.Duration{0, 200 * time.Millisecond, time.Second, 2 * time.Second} {
			s := user(load)
			s.Entries = 9
			s.Exchange = ex
			s.QueueLimit = 200
			show(t, fmt.Sprint("user9 ", load, ex), Run(s))
		}
	}
	for _, ex := range []time.Duration{0, time.Second} {
		s := design(1.5)
		s.Entries, s.Exchange, s.QueueLimit = 9, ex, 20000
		show(t, fmt.Sprint("design9 ", ex), Run(s))
	}
}
