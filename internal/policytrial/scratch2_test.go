package policytrial

import (
	"fmt"
	"testing"
	"time"
)

func TestScrB(t *testing.T) {
	for _, load := range []float64{1.5, 3} {
		s := user(load)
		s.Kinds[2].Amount = s.Kinds[1].Amount
		s.Entries = 9
		s.Exchange = time.Second
		s.QueueLimit = 200
		show(t, fmt.Sprint("user9 same size ", load), Run(s))
		s.Kinds[2].RunTime = s.Kinds[1].RunTime
		show(t, fmt.Sprint("user9 same time ", load), Run(s))
	}
}
