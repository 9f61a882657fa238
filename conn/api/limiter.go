package api

import (
	"net/http"
	"sync"
	"time"
)

// CallLimits are the limits of a CallLimiter.
type CallLimits struct {
	// Calls is the maximum number of calls in progress.
	Calls int
	// Bytes is the maximum total size of their bodies. One team may use at most half of it.
	Bytes int64
}

// overloadRetryAfter is the retry delay sent with a call over the limits.
const overloadRetryAfter = time.Second

// CallLimiter limits the number of calls in progress on an API and the memory used by their
// bodies. It is safe for concurrent use.
type CallLimiter struct {
	limits CallLimits

	mu     sync.Mutex
	calls  int
	bytes  int64
	byTeam map[string]int64
}

// NewCallLimiter returns a limiter without calls in progress.
func NewCallLimiter(limits CallLimits) *CallLimiter {
	return &CallLimiter{limits: limits, byTeam: make(map[string]int64)}
}

// BodyBytes returns the number of bytes to reserve for the body of a call: its declared
// length, at most limit, or limit if it declares none.
func BodyBytes(r *http.Request, limit int64) int64 {
	if r.ContentLength < 0 {
		return limit
	}
	return min(r.ContentLength, limit)
}

// Acquire reserves one call and bytes for its body for the team, without reading the
// body. The caller must call release when it no longer references the body. The error is
// an *Error.
func (l *CallLimiter) Acquire(team string, bytes int64) (release func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calls >= l.limits.Calls {
		return nil, overloaded("too many calls in progress")
	}
	if l.bytes+bytes > l.limits.Bytes || l.byTeam[team]+bytes > l.limits.Bytes/2 {
		return nil, overloaded("too many bytes in the bodies of calls in progress")
	}
	l.add(team, 1, bytes)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.add(team, -1, -bytes)
	}, nil
}

// add changes the counts. The caller holds l.mu.
func (l *CallLimiter) add(team string, calls int, bytes int64) {
	l.calls += calls
	l.bytes += bytes
	l.byTeam[team] += bytes
	if l.byTeam[team] == 0 {
		delete(l.byTeam, team)
	}
}

func overloaded(message string) *Error {
	return &Error{Code: CodeOverloaded, Message: message, Ran: NotRun, RetryAfter: overloadRetryAfter}
}
