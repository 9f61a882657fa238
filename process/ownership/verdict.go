package ownership

import "time"

// observedEntry is another entry's row as read by an entry that may take it over.
type observedEntry struct {
	row entryRow
	// version of the row, and when the read that first returned it ended.
	version   uint64
	firstSeen time.Time
}

// observe records a read that ended at now.
func (w *observedEntry) observe(row entryRow, version uint64, now time.Time) {
	if w.version == version && !w.firstSeen.IsZero() {
		return
	}
	*w = observedEntry{row: row, version: version, firstSeen: now}
}

// verdict is what a watching entry may do with a row.
type verdict int

const (
	// verdictWait: the owner's lease may still hold.
	verdictWait verdict = iota
	// verdictRequestRelease: the row may be taken over if every witness promises.
	verdictRequestRelease
	// verdictTakeOver: the long term has passed, so the owner's lease has ended.
	verdictTakeOver
)

// takeoverVerdict returns the verdict on a row that was just read.
func takeoverVerdict(w observedEntry, t terms, omit omissions, now time.Time) verdict {
	if !w.row.Live {
		return verdictWait
	}
	unchanged := now.Sub(w.firstSeen)
	if unchanged >= t.long+t.margin {
		return verdictTakeOver
	}
	if len(w.row.Witnesses) == 0 {
		return verdictWait
	}
	if unchanged >= t.short+t.margin || omit.wait {
		return verdictRequestRelease
	}
	return verdictWait
}
