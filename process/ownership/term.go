package ownership

import (
	"maps"
	"slices"
	"time"
)

// guardRef identifies one incarnation of a guard.
type guardRef struct {
	Instance    string
	Incarnation string
}

// omissions leaves out mechanisms of the rule, for tests that show what each
// one is needed for. Product code uses the zero value.
type omissions struct {
	promise      bool // guards don't keep their promise
	intersection bool // undecided attempts don't narrow the guards that count
	wait         bool // takers don't wait for ShortTerm since seen
	sentTime     bool // a read-back renews as of the time of reading
}

// terms are the two spans of the rule and the allowance for clock drift.
type terms struct {
	short, long, margin time.Duration
}

// attempt is a renewal whose outcome isn't known yet.
type attempt struct {
	id       uint64
	sent     time.Time
	guards   []Member
	takeover *takeover
}

// term is an incarnation's knowledge of its own right.
type term struct {
	terms
	omit omissions

	held bool
	// version of the row, and the attempt that wrote it.
	version   uint64
	confirmed uint64
	renewed   time.Time
	guards    []Member
	attempts  []attempt
	lastID    uint64
	// acks holds when the last acked heartbeat to each guard was sent.
	acks map[guardRef]time.Time
}

// begin records an attempt about to be sent at now, conditional on version.
func (t *term) begin(now time.Time, guards []Member, extra *takeover) attempt {
	t.fold(guards)
	t.lastID++
	a := attempt{id: t.lastID, sent: now, guards: guards, takeover: extra}
	t.attempts = append(t.attempts, a)
	return a
}

// maxAttempts bounds how many undecided attempts are kept apart.
const maxAttempts = 16

// fold forgets an undecided attempt that names the same guards as the next. If
// it is the one that took effect, readBack won't know when it was sent and
// leaves renewed as it is.
func (t *term) fold(guards []Member) {
	if len(t.attempts) < maxAttempts {
		return
	}
	i := slices.IndexFunc(t.attempts, func(a attempt) bool {
		return a.takeover == nil && slices.Equal(a.guards, guards)
	})
	if i >= 0 {
		t.attempts = slices.Delete(t.attempts, i, i+1)
	}
}

// confirm records that attempt id took effect and gave the row version. All
// other attempts can't take effect any more, as they name an older version.
func (t *term) confirm(id, version uint64) (attempt, bool) {
	i := slices.IndexFunc(t.attempts, func(a attempt) bool { return a.id == id })
	if i < 0 {
		return attempt{}, false
	}
	done := t.attempts[i]
	t.held = true
	t.version = version
	t.confirmed = id
	t.guards = done.guards
	t.renewed = done.sent
	t.attempts = nil
	return done, true
}

// readBack records what the own row was read to be; an answer older than what
// is confirmed changes nothing. It returns the attempt that took effect, if
// any, and false if the right is lost.
func (t *term) readBack(self Member, row entryRow, version uint64, now time.Time) (attempt, bool) {
	own := row.Incarnation == self.Incarnation
	if version == t.version {
		return attempt{}, own == t.held
	}
	if own && row.Live && row.Attempt < t.confirmed {
		return attempt{}, true
	}
	if !own && !t.held {
		t.version = version
		t.attempts = nil
		return attempt{}, true
	}
	if !own || !row.Live {
		t.lose()
		return attempt{}, false
	}
	if done, ok := t.confirm(row.Attempt, version); ok {
		if t.omit.sentTime {
			t.renewed = now
		}
		return done, true
	}
	t.version = version
	t.confirmed = row.Attempt
	t.guards = row.Guards
	t.attempts = nil
	return attempt{}, true
}

// drop records that attempt id surely had no effect.
func (t *term) drop(id uint64) {
	t.attempts = slices.DeleteFunc(t.attempts, func(a attempt) bool { return a.id == id })
}

// ack records that a guard acked a heartbeat sent at sent.
func (t *term) ack(guard guardRef, sent time.Time) {
	if t.acks == nil {
		t.acks = make(map[guardRef]time.Time)
	}
	if sent.After(t.acks[guard]) {
		t.acks[guard] = sent
	}
	maps.DeleteFunc(t.acks, func(_ guardRef, earlier time.Time) bool {
		return earlier.Add(t.short).Before(sent)
	})
}

// lose records that the row is dead or taken: the right never comes back.
func (t *term) lose() {
	*t = term{terms: t.terms, omit: t.omit, lastID: t.lastID}
}

// counts reports whether acks of the guard extend the right.
func (t *term) counts(guard guardRef) bool {
	if t.omit.intersection {
		return names(t.guards, guard)
	}
	for _, a := range t.attempts {
		if !names(a.guards, guard) {
			return false
		}
	}
	return names(t.guards, guard)
}

// alone reports whether every row that may be in force names no guards.
func (t *term) alone() bool {
	for _, a := range t.attempts {
		if len(a.guards) > 0 {
			return false
		}
	}
	return len(t.guards) == 0
}

// until returns the moment at which the right ends; zero if there is none.
func (t *term) until() time.Time {
	if !t.held {
		return time.Time{}
	}
	last := t.renewed.Add(t.long)
	if t.alone() {
		return last
	}
	end := t.renewed.Add(t.short)
	for guard, sent := range t.acks {
		if t.counts(guard) && sent.Add(t.short).After(end) {
			end = sent.Add(t.short)
		}
	}
	if end.After(last) {
		return last
	}
	return end
}

func names(guards []Member, guard guardRef) bool {
	return slices.ContainsFunc(guards, func(m Member) bool { return m.ref() == guard })
}
