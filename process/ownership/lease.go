package ownership

import (
	"maps"
	"slices"
	"time"
)

// memberRef identifies one incarnation of an entry.
type memberRef struct {
	Instance    string
	Incarnation string
}

// omissions disables single mechanisms of the rule, for tests that show what each
// one is needed for. Production code uses the zero value.
type omissions struct {
	promise      bool // witnesses don't keep their promise
	intersection bool // undecided attempts don't restrict whose acks extend the lease
	wait         bool // a takeover doesn't wait for ShortTerm since the row was seen
	sentTime     bool // a read-back sets renewed to the time of the read
}

// terms are the two terms of a lease and the allowance for clock drift.
type terms struct {
	short, long, margin time.Duration
}

// attempt is a renewal whose outcome isn't known yet.
type attempt struct {
	id        uint64
	sent      time.Time
	witnesses []Member
	takeover  *takeover
}

// lease is the state of an incarnation's own lease, as known to it.
type lease struct {
	terms
	omit omissions

	held bool
	// version of the row, and the attempt that wrote it.
	version   uint64
	confirmed uint64
	renewed   time.Time
	witnesses []Member
	attempts  []attempt
	lastID    uint64
	// acks holds when the last acked heartbeat to each witness was sent.
	acks map[memberRef]time.Time
}

// begin records an attempt about to be sent at now, conditional on version.
func (t *lease) begin(now time.Time, witnesses []Member, extra *takeover) attempt {
	t.dropDuplicate(witnesses)
	t.lastID++
	a := attempt{id: t.lastID, sent: now, witnesses: witnesses, takeover: extra}
	t.attempts = append(t.attempts, a)
	return a
}

// maxAttempts is the number of undecided attempts from which duplicates are
// dropped.
const maxAttempts = 16

// dropDuplicate drops an undecided attempt that names the same witnesses as the
// next one. If the dropped attempt is the one that took effect, readBack does not
// find when it was sent and leaves renewed unchanged.
func (t *lease) dropDuplicate(witnesses []Member) {
	if len(t.attempts) < maxAttempts {
		return
	}
	i := slices.IndexFunc(t.attempts, func(a attempt) bool {
		return a.takeover == nil && slices.Equal(a.witnesses, witnesses)
	})
	if i >= 0 {
		t.attempts = slices.Delete(t.attempts, i, i+1)
	}
}

// confirm records that attempt id took effect and set the row's version. No other
// attempt can take effect any more, since all are conditional on an older
// version.
func (t *lease) confirm(id, version uint64) (attempt, bool) {
	i := slices.IndexFunc(t.attempts, func(a attempt) bool { return a.id == id })
	if i < 0 {
		return attempt{}, false
	}
	done := t.attempts[i]
	t.held = true
	t.version = version
	t.confirmed = id
	t.witnesses = done.witnesses
	t.renewed = done.sent
	t.attempts = nil
	return done, true
}

// readBack applies a read of this entry's row; a read older than the confirmed attempt
// changes nothing. It returns the attempt that took effect, if any, and false if
// the lease is lost.
func (t *lease) readBack(self Member, row entryRow, version uint64, now time.Time) (attempt, bool) {
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
	t.witnesses = row.Witnesses
	t.attempts = nil
	return attempt{}, true
}

// drop removes attempt id, which is known not to have taken effect.
func (t *lease) drop(id uint64) {
	t.attempts = slices.DeleteFunc(t.attempts, func(a attempt) bool { return a.id == id })
}

// ack records that a witness acked a heartbeat sent at sent.
func (t *lease) ack(witness memberRef, sent time.Time) {
	if t.acks == nil {
		t.acks = make(map[memberRef]time.Time)
	}
	if sent.After(t.acks[witness]) {
		t.acks[witness] = sent
	}
	maps.DeleteFunc(t.acks, func(_ memberRef, earlier time.Time) bool {
		return earlier.Add(t.short).Before(sent)
	})
}

// lose ends the lease: the row is dead or taken over, so this incarnation can't
// hold it again.
func (t *lease) lose() {
	*t = lease{terms: t.terms, omit: t.omit, lastID: t.lastID}
}

// extendedBy reports whether acks of the witness extend the lease.
func (t *lease) extendedBy(witness memberRef) bool {
	if t.omit.intersection {
		return includes(t.witnesses, witness)
	}
	for _, a := range t.attempts {
		if !includes(a.witnesses, witness) {
			return false
		}
	}
	return includes(t.witnesses, witness)
}

// withoutWitnesses reports whether no row that may be in force names a witness.
func (t *lease) withoutWitnesses() bool {
	for _, a := range t.attempts {
		if len(a.witnesses) > 0 {
			return false
		}
	}
	return len(t.witnesses) == 0
}

// expiry returns the time at which the lease ends; zero if it isn't held.
func (t *lease) expiry() time.Time {
	if !t.held {
		return time.Time{}
	}
	last := t.renewed.Add(t.long)
	if t.withoutWitnesses() {
		return last
	}
	end := t.renewed.Add(t.short)
	for witness, sent := range t.acks {
		if t.extendedBy(witness) && sent.Add(t.short).After(end) {
			end = sent.Add(t.short)
		}
	}
	if end.After(last) {
		return last
	}
	return end
}

func includes(witnesses []Member, witness memberRef) bool {
	return slices.ContainsFunc(witnesses, func(m Member) bool { return m.ref() == witness })
}
