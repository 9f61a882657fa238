package ownership

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

type rawMessage = json.RawMessage

// Prefixes of the rows in the platform's table.
const (
	entryPrefix = "entry/"
	blockPrefix = "block/"
)

// entryRow is the value of the row entry/<instance>.
type entryRow struct {
	Member
	Live   bool     `json:"live"`
	Guards []Member `json:"guards,omitempty"`
	// Attempt tells which of the incarnation's renewals wrote the row.
	Attempt uint64 `json:"attempt"`
}

// blockRow is the value of the row block/<id>. Owner is empty when the block
// was given back.
type blockRow struct {
	Owner       string `json:"owner,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	Address     string `json:"address,omitempty"`
	Epoch       uint64 `json:"epoch"`
}

// seenBlock is a block's row as last seen.
type seenBlock struct {
	ID      string   `json:"id"`
	Version uint64   `json:"version"`
	Row     blockRow `json:"row"`
}

// heartbeatParams is the request of guard.heartbeat.
type heartbeatParams struct {
	Owner Member `json:"owner"`
	// Confirmed is the owner's latest attempt known to have taken effect.
	Confirmed  uint64     `json:"confirmed"`
	Attachment rawMessage `json:"attachment,omitempty"`
	// Base is the highest delta that the owner thinks the guard keeps; Deltas
	// are all later ones. A guard that lost some takes none and says so.
	Base   uint64  `json:"base,omitempty"`
	Deltas []delta `json:"deltas,omitempty"`
}

// heartbeatResult is its answer; Acked is the highest delta kept.
type heartbeatResult struct {
	Incarnation string `json:"incarnation"`
	Refused     bool   `json:"refused,omitempty"`
	Acked       uint64 `json:"acked,omitempty"`
}

// releaseParams is the request of guard.release: will the guard never again
// ack the owner, unless it has renewed since?
type releaseParams struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	// Attempt is the one that wrote the row which the asker saw.
	Attempt uint64 `json:"attempt"`
	// Guard is the guard's incarnation as the owner's row names it.
	Guard string `json:"guard"`
	// Gone says that the owner's process has surely ended.
	Gone bool `json:"gone,omitempty"`
}

// releaseResult is its answer.
type releaseResult struct {
	Promised    bool         `json:"promised"`
	Attachments []rawMessage `json:"attachments,omitempty"`
}

// changedParams is the request of ownership.changed: rows just written.
type changedParams struct {
	Entry  *entryRow   `json:"entry,omitempty"`
	Blocks []seenBlock `json:"blocks,omitempty"`
}

func decodeEntry(value []byte) (entryRow, error) {
	var row entryRow
	err := json.Unmarshal(value, &row)
	return row, eris.Wrap(err, "decode entry row")
}

func decodeBlock(value []byte) (blockRow, error) {
	var row blockRow
	err := json.Unmarshal(value, &row)
	return row, eris.Wrap(err, "decode block row")
}

// encode returns the JSON of one of this package's own types, all of which can
// be encoded.
func encode(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return body
}
