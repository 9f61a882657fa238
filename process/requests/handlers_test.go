package requests

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An entry that gives up a shard relies on every peer's confirmation that it has stored
// the dispatched ids: a message that a peer can't read and confirms all the same lets a
// repeated request run twice.
func TestRememberConfirmsOnlyWhatItStored(t *testing.T) {
	s := New(t.Context(), Options{})
	remember := s.Handlers()[methodRemember]
	_, err := remember(t.Context(), json.RawMessage(`{"requests":["a"]}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, s.flights.Keys(time.Now()), []string{"a"})
	for _, message := range []string{``, `[]`, `{"requests":"b"}`, `{"requests":["b",1]}`, `{"requests":["b"`} {
		_, err := remember(t.Context(), json.RawMessage(message))
		assert.ErrorContains(t, err, "remember request ids", message)
	}
	assert.DeepEqual(t, s.flights.Keys(time.Now()), []string{"a"})
}
