package scenario

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/internal/standin/workerstandin"
)

// refusedTry was refused as not run under id.
func refusedTry(id string, at time.Time) try {
	return try{id: id, started: at, ended: at, status: http.StatusServiceUnavailable, refusal: api.Error{Ran: api.NotRun}}
}

// answeredTry was answered with what body asked for, under id.
func answeredTry(id, body string, at time.Time) try {
	return try{id: id, started: at, ended: at, status: http.StatusOK, echo: workerstandin.RequestAnswer{ID: "team/" + id + "#1", Team: "team", Echo: body}}
}

// A call without a name that was refused first and then answered got two ids. Each
// answer is held to its own.
func TestUnnamedCallHasAnIDForEachTry(t *testing.T) {
	now := time.Now()
	call := &loadCall{team: "team", body: "b", tries: []try{refusedTry("one", now), answeredTry("two", "b", now.Add(time.Second))}}
	begun := map[string][]time.Time{"team/two": {now.Add(time.Second)}}
	var found violations
	checkCall(&found, call, begun)
	assert.Equal(t, len(found), 0, "%v", found)

	// The refused try was begun after all, even after the second was sent.
	begun["team/one"] = []time.Time{now.Add(2 * time.Second)}
	checkCall(&found, call, begun)
	assert.Equal(t, len(found), 1, "%v", found)
}

// An answer under another id than the try's, of another body or never begun is
// found out, named or not.
func TestForeignAnswersAreFound(t *testing.T) {
	now := time.Now()
	for _, id := range []string{"", "one"} {
		call := &loadCall{id: id, team: "team", body: "b", tries: []try{answeredTry("one", "b", now)}}
		call.tries[0].echo.ID = "team/other#1"
		var found violations
		checkCall(&found, call, map[string][]time.Time{"team/one": {now}})
		assert.Equal(t, len(found), 1, "%v", found)
	}
	call := &loadCall{id: "one", team: "team", body: "b", tries: []try{answeredTry("one", "other", now)}}
	var found violations
	checkCall(&found, call, nil)
	assert.Equal(t, len(found), 2, "%v", found)
}

// A call that the caller names may be begun after a refusal only if it was handed
// in again.
func TestNamedCallBegunAfterItsRefusal(t *testing.T) {
	now := time.Now()
	call := &loadCall{id: "one", team: "team", body: "b", tries: []try{refusedTry("one", now), answeredTry("one", "b", now.Add(time.Second))}}
	var found violations
	checkCall(&found, call, map[string][]time.Time{"team/one": {now.Add(2 * time.Second)}})
	assert.Equal(t, len(found), 0, "%v", found)
	checkCall(&found, call, map[string][]time.Time{"team/one": {now.Add(time.Millisecond)}})
	assert.Equal(t, len(found), 1, "%v", found)
}
