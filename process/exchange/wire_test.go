package exchange

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A decoded State has to equal the encoded one, and a table with missing numbers has
// to be rejected.
func TestStateRoundTrip(t *testing.T) {
	want := fullState(6, 2)
	want.Leaving = []string{"w1"}
	data, err := encodeState(want)
	assert.NilError(t, err)
	got, err := decodeState(data)
	assert.NilError(t, err)
	again, err := encodeState(got)
	assert.NilError(t, err)
	assert.Equal(t, string(again), string(data))
	assert.DeepEqual(t, got.Usage, want.Usage)
	assert.DeepEqual(t, got.Free, want.Free)
	_, err = decodeState([]byte(`{"u":{"n":["a"],"v":[1]}}`))
	assert.ErrorContains(t, err, "1 numbers for 1 names")
}
