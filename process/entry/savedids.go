package entry

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/ownership"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/requests"
)

const (
	// savedIDsPrefix begins the keys of the rows with the request ids of stopped entries; the
	// region and the instance follow.
	savedIDsPrefix = "dispatched/"
	// keptSuffix follows the instance in the key of the row with the ids that a stopped entry
	// kept as a witness.
	keptSuffix = "/witness"
	// savedIDsKept is the age from which such a row is ignored. It exceeds the retention of
	// ids by more than clocks differ.
	savedIDsKept = 10 * time.Minute
	// savedIDsPage is the number of rows that are read at a time.
	savedIDsPage = 100
)

// savedIDs is the value of such a row.
type savedIDs struct {
	SavedAt time.Time `json:"saved_at"`
	// Message is as other entries receive it.
	Message json.RawMessage `json:"message"`
}

func (e *Entry) savedIDsKeys() string { return savedIDsPrefix + e.Region + "/" }

// saveDispatched writes the dispatched request ids to the table. The next owners of this entry's
// shards read them: they may have joined too late to get them from it.
func (e *Entry) saveDispatched(ctx context.Context, message json.RawMessage) error {
	return e.saveIDs(ctx, e.savedIDsKeys()+e.Instance, message)
}

// saveKept writes the request ids that this entry keeps as a witness to the table. The next
// owner of a shard can't ask this entry for them once its process has ended. Call it when no
// other entry can reach this one any more, so that no id is acked afterwards.
func (e *Entry) saveKept(ctx context.Context) {
	kept := e.owners.Kept()
	if len(kept) == 0 {
		return
	}
	key := e.savedIDsKeys() + e.Instance + keptSuffix
	if err := e.saveIDs(ctx, key, requests.MergeIDs(kept)); err != nil {
		e.Log.Log(events.OwnershipFailed, "save request ids kept as a witness", err)
	}
}

// saveIDs writes one row of request ids.
func (e *Entry) saveIDs(ctx context.Context, key string, message json.RawMessage) error {
	value, err := json.Marshal(savedIDs{SavedAt: time.Now(), Message: message})
	if err != nil {
		return eris.Wrap(err, "encode request ids")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = e.Table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: key, Value: value}}})
	return eris.Wrap(err, "save request ids")
}

// shardsWithIDs holds the shards of which this entry has the request ids that its former owner
// saved, with the epoch of the ownership. A former owner saves them before it releases the
// shard, so that they are read after the shard was gained.
type shardsWithIDs struct {
	mu     sync.Mutex
	epochs map[string]uint64
	// gained are those for which the rows are yet to be read. wake has room for one.
	gained []ownership.Grant
	wake   chan struct{}
}

func newShardsWithIDs() *shardsWithIDs {
	return &shardsWithIDs{epochs: make(map[string]uint64), wake: make(chan struct{}, 1)}
}

// add adds a shard for which the rows are to be read.
func (s *shardsWithIDs) add(g ownership.Grant) {
	s.mu.Lock()
	s.gained = append(s.gained, g)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *shardsWithIDs) take() []ownership.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	gained := s.gained
	s.gained = nil
	return gained
}

// set records that the ids of the shards were read.
func (s *shardsWithIDs) set(grants []ownership.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range grants {
		s.epochs[g.Block] = g.Epoch
	}
}

func (s *shardsWithIDs) has(g ownership.Grant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	epoch, read := s.epochs[g.Block]
	return read && epoch == g.Epoch
}

// readIDsLoop imports the saved request ids whenever shards were gained.
func (e *Entry) readIDsLoop() {
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-e.shardIDs.wake:
		}
		gained := e.shardIDs.take()
		if e.importSaved(e.ctx) {
			e.shardIDs.set(gained)
		}
	}
}

// importSaved imports the request ids that stopped entries of the region saved. It retries
// until that succeeds or ctx ends.
func (e *Entry) importSaved(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := e.readSaved(ctx, time.Now())
		if err == nil {
			return true
		}
		e.Log.Log(events.OwnershipFailed, "read saved request ids", err)
		e.sleep(e.Timings.Heartbeat)
	}
	return false
}

// withIDs treats the lease on a shard as held once the request ids of its former owner were
// read.
type withIDs struct {
	requests.Ownership
	shards *shardsWithIDs
}

// HoldsLease implements ownership.Owners.
func (w withIDs) HoldsLease(block string) (ownership.Grant, bool) {
	g, owned := w.Ownership.HoldsLease(block)
	if owned && ownership.IsShard(block) && !w.shards.has(g) {
		return ownership.Grant{}, false
	}
	return g, owned
}

func (e *Entry) readSaved(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	after := ""
	for {
		rows, err := e.Table.Scan(ctx, e.savedIDsKeys(), after, savedIDsPage)
		if err != nil {
			return eris.Wrap(err, "scan saved request ids")
		}
		e.requests.Import(e.messagesOf(rows, now))
		if len(rows) < savedIDsPage {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// messagesOf returns the messages of the rows that are not too old. Rows that can't be
// decoded are logged and skipped: the entry that wrote them can't be asked again.
func (e *Entry) messagesOf(rows []platform.Row, now time.Time) []json.RawMessage {
	var messages []json.RawMessage
	for _, row := range rows {
		var saved savedIDs
		if err := json.Unmarshal(row.Value, &saved); err != nil {
			e.Log.Log(events.RowIgnored, "saved request ids", row.Key, err)
			continue
		}
		if now.Sub(saved.SavedAt) < savedIDsKept {
			messages = append(messages, saved.Message)
		}
	}
	return messages
}

// handOverDispatched gives the dispatched request ids to all other entries of the region and
// to those that start later, before the blocks are released.
func (e *Entry) handOverDispatched(ctx context.Context) {
	message := e.requests.DispatchedIDs()
	saved := make(chan error, 1)
	go func() { saved <- e.saveDispatched(ctx, message) }()
	replicated := e.replicateToPeers(ctx, message)
	if err := errors.Join(replicated, <-saved); err != nil {
		e.Log.Log(events.OwnershipFailed, "hand over request ids before stop", err)
	}
}
