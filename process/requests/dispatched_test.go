package requests

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// The ids that a stopping witness keeps for several entries go into one row. An attachment or
// a message that can't be decoded must not hide the others.
func TestMergeIDs(t *testing.T) {
	merged := MergeIDs([]json.RawMessage{
		json.RawMessage(`{"requests":["a","b"]}`), json.RawMessage(`"usage"`),
		json.RawMessage(`{"requests":["b","c"]}`),
	})
	assert.Equal(t, string(merged), `{"requests":["a","b","c"]}`)
}
