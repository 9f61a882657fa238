package ownership

import (
	"encoding/json"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// Options configures a Manager. Zero durations get the defaults.
type Options struct {
	// Self is this entry; Incarnation must be unique to this process.
	Self  Member
	Table platform.Table
	Peers peer.Caller
	// Blocks returns the blocks of all workers of the region; the Manager adds
	// the shards of keys. Nil means none.
	Blocks func() []Block
	// Members returns the entries that the platform lists. It is called under
	// the Manager's lock and must not call the Manager. Nil means none.
	Members func() []Member

	// ShortTerm (5 s) and LongTerm (6 h) are the terms of the lease; Margin (a
	// tenth of ShortTerm) is the allowance for clock drift.
	ShortTerm, LongTerm, Margin time.Duration
	// Heartbeat (1 s) is the period of heartbeats and of polling rows.
	Heartbeat time.Duration
	// ScanEvery (30 s) is the period of reading all rows; peers send
	// notifications of changes in between.
	ScanEvery time.Duration
	// RetainFor (2 min) is how long witnesses keep a replicated delta.
	RetainFor time.Duration

	// OnGain and OnLoss are called when this entry has gained or lost a block.
	OnGain func(Grant)
	OnLoss func(block string)
	// OnTakeover is called before OnGain with what the witnesses of a dead entry
	// have kept for it, in order for each witness.
	OnTakeover func(dead Member, attachments []json.RawMessage)
	// OnRejoin is called when the lease was lost and this process continues
	// under a new incarnation, after OnLoss for every block.
	OnRejoin func(self Member)
	// OnUnusableRow is called once for each version of a row that can't be decoded. Such a
	// row is skipped: nobody claims its block or takes its entry's blocks over.
	OnUnusableRow func(key string, err error)
	// Idle reports whether a block may be released to another entry now. Nothing
	// can be started in the block during the call. Nil means always.
	Idle func(block string) bool
	// Attachment returns the state that the next heartbeat carries; witnesses
	// keep the latest one.
	Attachment func() json.RawMessage
}

func (o *Options) setDefaults() {
	setDefault(&o.ShortTerm, 5*time.Second)
	setDefault(&o.LongTerm, 6*time.Hour)
	setDefault(&o.Margin, o.ShortTerm/10)
	setDefault(&o.Heartbeat, time.Second)
	setDefault(&o.ScanEvery, 30*time.Second)
	setDefault(&o.RetainFor, 2*time.Minute)
	if o.Blocks == nil {
		o.Blocks = func() []Block { return nil }
	}
	if o.Members == nil {
		o.Members = func() []Member { return nil }
	}
	if o.OnGain == nil {
		o.OnGain = func(Grant) {}
	}
	if o.OnLoss == nil {
		o.OnLoss = func(string) {}
	}
	if o.OnTakeover == nil {
		o.OnTakeover = func(Member, []json.RawMessage) {}
	}
	if o.OnRejoin == nil {
		o.OnRejoin = func(Member) {}
	}
	if o.OnUnusableRow == nil {
		o.OnUnusableRow = func(string, error) {}
	}
	if o.Idle == nil {
		o.Idle = func(string) bool { return true }
	}
	if o.Attachment == nil {
		o.Attachment = func() json.RawMessage { return nil }
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
