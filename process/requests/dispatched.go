package requests

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/ownership"
)

// dispatchedIDs is the message that witnesses store.
type dispatchedIDs struct {
	Requests []string `json:"requests"`
}

// replicate sends ids to the witnesses. If there are none, it succeeds: no other entry
// can take over then, except the next incarnation on this instance.
func (s *Service) replicate(ctx context.Context, keys []string) error {
	message, err := json.Marshal(dispatchedIDs{Requests: keys})
	if err != nil {
		return err
	}
	err = s.o.Ownership.Replicate(ctx, message)
	if errors.Is(err, ownership.ErrNoWitnesses) {
		return nil
	}
	return err
}

// Import adds request ids dispatched by another entry: those that the witnesses of a
// failed entry stored, or those that an entry sent before it stopped or gave up a shard.
// A repeated request with one of these ids isn't dispatched again. A message that can't be
// decoded is skipped: the failed entry that sent it can't be asked again.
func (s *Service) Import(messages []json.RawMessage) {
	now := time.Now()
	for _, message := range messages {
		_ = s.importIDs(message, now)
	}
}

// importIDs adds the request ids of one message, or none if it can't be decoded.
func (s *Service) importIDs(message json.RawMessage, now time.Time) error {
	var m dispatchedIDs
	if err := json.Unmarshal(message, &m); err != nil {
		return err
	}
	s.flights.Import(m.Requests, now)
	return nil
}

// DispatchedIDs returns the encoded request ids that the next owner of the shards needs.
func (s *Service) DispatchedIDs() json.RawMessage {
	// A list of strings can always be encoded.
	message, _ := json.Marshal(dispatchedIDs{Requests: s.flights.Keys(time.Now())})
	return message
}

// ReplicateTo sends the result of DispatchedIDs to another entry, which imports it.
func (s *Service) ReplicateTo(ctx context.Context, address string, ids json.RawMessage) error {
	return s.o.Caller.Call(ctx, address, methodRemember, ids, nil)
}

// MergeIDs returns one message with the request ids of all given ones, each id once. Messages
// that can't be decoded are skipped, as Import does.
func MergeIDs(messages []json.RawMessage) json.RawMessage {
	var merged dispatchedIDs
	seen := make(map[string]bool)
	for _, message := range messages {
		var m dispatchedIDs
		if json.Unmarshal(message, &m) != nil {
			continue
		}
		for _, id := range m.Requests {
			if !seen[id] {
				seen[id] = true
				merged.Requests = append(merged.Requests, id)
			}
		}
	}
	// A list of strings can always be encoded.
	encoded, _ := json.Marshal(merged)
	return encoded
}
