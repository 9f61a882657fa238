package entry

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// One row that can't be decoded must not hide the ids of the others, and old rows must not
// keep ids in use for ever.
func TestMessagesOfSavedIDs(t *testing.T) {
	now := time.Now()
	row := func(key string, age time.Duration) platform.Row {
		value, err := json.Marshal(savedIDs{SavedAt: now.Add(-age), Message: json.RawMessage(`"` + key + `"`)})
		assert.NilError(t, err)
		return platform.Row{Key: key, Value: value}
	}
	rows := []platform.Row{row("new", time.Second), {Key: "malformed", Value: []byte("{")}, row("old", savedIDsKept), row("skewed", -time.Minute)}
	var got []string
	for _, message := range messagesOf(rows, now) {
		got = append(got, string(message))
	}
	assert.DeepEqual(t, got, []string{`"new"`, `"skewed"`})
}
