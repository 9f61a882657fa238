package scenario

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/internal/standin/workerstandin"
)

// refusedTry returns a try with the id that was refused as not run.
func refusedTry(id string, at time.Time) try {
	return try{id: id, started: at, ended: at, status: http.StatusServiceUnavailable, refusal: api.Error{Ran: api.NotRun}}
}

// answeredTry returns a try with the id that was answered with an echo of body.
func answeredTry(id, body string, at time.Time) try {
	return try{id: id, started: at, ended: at, status: http.StatusOK, answer: workerstandin.RequestAnswer{ID: "team/" + id + "#1", Team: "team", Echo: body}}
}

// Without an id from the caller, a call that is refused and sent again has two ids.
// Guards against a check that compares an answer with the id of another try.
func TestUnnamedCallHasAnIDForEachTry(t *testing.T) {
	now := time.Now()
	call := &loadCall{team: "team", body: "b", tries: []try{refusedTry("one", now), answeredTry("two", "b", now.Add(time.Second))}}
	begun := map[string][]time.Time{"team/two": {now.Add(time.Second)}}
	var found violations
	checkCall(&found, call, begun)
	assert.Equal(t, len(found), 0, "%v", found)

	// The request of the refused try starts, even though the second was sent before.
	begun["team/one"] = []time.Time{now.Add(2 * time.Second)}
	checkCall(&found, call, begun)
	assert.Equal(t, len(found), 1, "%v", found)
}

// An answer with another id than its try, with another body, or to a request that no
// worker started is a violation, with and without an id from the caller.
func TestForeignAnswersAreViolations(t *testing.T) {
	now := time.Now()
	for _, id := range []string{"", "one"} {
		call := &loadCall{id: id, team: "team", body: "b", tries: []try{answeredTry("one", "b", now)}}
		call.tries[0].answer.ID = "team/other#1"
		var found violations
		checkCall(&found, call, map[string][]time.Time{"team/one": {now}})
		assert.Equal(t, len(found), 1, "%v", found)
	}
	call := &loadCall{id: "one", team: "team", body: "b", tries: []try{answeredTry("one", "other", now)}}
	var found violations
	checkCall(&found, call, nil)
	assert.Equal(t, len(found), 2, "%v", found)
}

// A request with an id from the caller may start after a refusal only if it was sent
// again.
func TestNamedCallBegunAfterItsRefusal(t *testing.T) {
	now := time.Now()
	call := &loadCall{id: "one", team: "team", body: "b", tries: []try{refusedTry("one", now), answeredTry("one", "b", now.Add(time.Second))}}
	var found violations
	checkCall(&found, call, map[string][]time.Time{"team/one": {now.Add(2 * time.Second)}})
	assert.Equal(t, len(found), 0, "%v", found)
	checkCall(&found, call, map[string][]time.Time{"team/one": {now.Add(time.Millisecond)}})
	assert.Equal(t, len(found), 1, "%v", found)
}
