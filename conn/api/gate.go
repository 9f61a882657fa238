package api

import (
	"net/http"
	"sync"
	"time"
)

// GateLimits bound what the calls in progress of a door may hold.
type GateLimits struct {
	// Calls is how many calls may be in progress.
	Calls int
	// Bytes is the sum of their bodies. One team may hold half of it.
	Bytes int64
}

// retryFull is when to come back to a door that is full.
const retryFull = time.Second

// Gate bounds the calls of a door and the memory that their bodies take. It is
// safe for concurrent use.
type Gate struct {
	limits GateLimits

	mu     sync.Mutex
	calls  int
	bytes  int64
	byTeam map[string]int64
}

// NewGate returns a gate without calls.
func NewGate(limits GateLimits) *Gate {
	return &Gate{limits: limits, byTeam: make(map[string]int64)}
}

// BodyBytes returns how much room the body of a call may need: what the call
// says, else the most that is read of one.
func BodyBytes(r *http.Request, most int64) int64 {
	if r.ContentLength < 0 {
		return most
	}
	return min(r.ContentLength, most)
}

// Enter takes room for a call of the team and its body. Call leave when nothing of
// it is held any more. The error is an *Error; nothing was read of the body.
func (g *Gate) Enter(team string, bytes int64) (leave func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.calls >= g.limits.Calls {
		return nil, full("too many calls in progress")
	}
	if g.bytes+bytes > g.limits.Bytes || g.byTeam[team]+bytes > g.limits.Bytes/2 {
		return nil, full("too many bytes in the bodies of calls in progress")
	}
	g.add(team, 1, bytes)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.add(team, -1, -bytes)
	}, nil
}

// add is called with g.mu.
func (g *Gate) add(team string, calls int, bytes int64) {
	g.calls += calls
	g.bytes += bytes
	g.byTeam[team] += bytes
	if g.byTeam[team] == 0 {
		delete(g.byTeam, team)
	}
}

func full(message string) *Error {
	return &Error{Code: CodeOverloaded, Message: message, Ran: NotRun, RetryAfter: retryFull}
}
