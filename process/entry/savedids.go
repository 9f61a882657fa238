package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

const (
	// savedIDsPrefix begins the keys of the rows with the request ids of stopped entries; the
	// region and the instance follow.
	savedIDsPrefix = "dispatched/"
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

// saveDispatched writes the dispatched request ids to the table. Entries that start later read
// them, since no other entry may be left to pass them on.
func (e *Entry) saveDispatched(ctx context.Context, message json.RawMessage) error {
	value, err := json.Marshal(savedIDs{SavedAt: time.Now(), Message: message})
	if err != nil {
		return eris.Wrap(err, "encode request ids")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = e.Table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: e.savedIDsKeys() + e.Instance, Value: value}}})
	return eris.Wrap(err, "save request ids")
}

// importSaved imports the request ids that stopped entries of the region saved. It retries
// until that succeeds or ctx ends: without them this entry must not own a shard.
func (e *Entry) importSaved(ctx context.Context) {
	for ctx.Err() == nil {
		err := e.readSaved(ctx, time.Now())
		if err == nil {
			return
		}
		e.Log.Log(events.OwnershipFailed, "read saved request ids", err)
		e.sleep(e.Timings.Heartbeat)
	}
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
		e.requests.Import(messagesOf(rows, now))
		if len(rows) < savedIDsPage {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// messagesOf returns the messages of the rows that are not too old. Rows that can't be
// decoded are skipped: the entry that wrote them can't be asked again.
func messagesOf(rows []platform.Row, now time.Time) []json.RawMessage {
	var messages []json.RawMessage
	for _, row := range rows {
		var saved savedIDs
		if json.Unmarshal(row.Value, &saved) == nil && now.Sub(saved.SavedAt) < savedIDsKept {
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
