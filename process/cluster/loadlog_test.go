package cluster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/conn/traffic"
)

// TestTrafficRates checks that the line on the scheduler's load tells the kinds of peers
// apart and counts only what came since the line before.
func TestTrafficRates(t *testing.T) {
	now := time.Unix(0, 0)
	before := trafficReading{at: now, kinds: []kindReading{{"peers", 100, 50}, {"workers", 1000, 0}}}
	after := trafficReading{at: now.Add(2 * time.Second), kinds: []kindReading{{"peers", 100, 250}, {"workers", 5000, 0}}}
	sent, received := after.ratesSince(before)
	assert.Equal(t, sent, "workers=2000")
	assert.Equal(t, received, "peers=100")
	assert.Equal(t, len(readTraffic(&traffic.Meter{}, now).kinds), len((&traffic.Meter{}).Kinds()))
}
