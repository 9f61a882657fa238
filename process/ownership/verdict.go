package ownership

import "time"

// watch is what a possible taker has seen of another entry's row.
type watch struct {
	row entryRow
	// version of the row, and when the read that first showed it returned.
	version uint64
	seen    time.Time
}

// observe records a read that returned at now.
func (w *watch) observe(row entryRow, version uint64, now time.Time) {
	if w.version == version && !w.seen.IsZero() {
		return
	}
	*w = watch{row: row, version: version, seen: now}
}

// verdict is what a watcher may do about a row.
type verdict int

const (
	// verdictWait: the owner's right may still hold.
	verdictWait verdict = iota
	// verdictAsk: the row may be taken if every guard promises.
	verdictAsk
	// verdictTake: the owner's right has surely ended.
	verdictTake
)

// takeoverVerdict decides over a row that was just read.
func takeoverVerdict(w watch, t terms, omit omissions, now time.Time) verdict {
	if !w.row.Live {
		return verdictWait
	}
	unchanged := now.Sub(w.seen)
	if unchanged >= t.long+t.margin {
		return verdictTake
	}
	if len(w.row.Guards) == 0 {
		return verdictWait
	}
	if unchanged >= t.short+t.margin || omit.wait {
		return verdictAsk
	}
	return verdictWait
}
