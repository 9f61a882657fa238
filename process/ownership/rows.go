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
	Live      bool     `json:"live"`
	Witnesses []Member `json:"guards,omitempty"`
	// Attempt is the number of the incarnation's renewal that wrote the row.
	Attempt uint64 `json:"attempt"`
}

// blockRow is the value of the row block/<id>. Owner is empty once the block was
// released.
type blockRow struct {
	Owner       string `json:"owner,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	Address     string `json:"address,omitempty"`
	Epoch       uint64 `json:"epoch"`
}

// seenBlock is the last known row of a block.
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
	// Base is the number of the last delta that the witness acked; Deltas are all
	// later ones. A witness that has lost its state, and so lacks deltas up to Base,
	// accepts none of Deltas; Acked in its answer is the last one that it received.
	Base   uint64  `json:"base,omitempty"`
	Deltas []delta `json:"deltas,omitempty"`
}

// heartbeatResult is the answer to guard.heartbeat. Acked is the number of the last
// delta that the witness has received in order.
type heartbeatResult struct {
	Incarnation string `json:"incarnation"`
	Refused     bool   `json:"refused,omitempty"`
	Acked       uint64 `json:"acked,omitempty"`
}

// releaseParams is the request of guard.release, by which a witness promises not to
// ack the owner again unless the owner has renewed since Attempt.
type releaseParams struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	// Attempt is the renewal that wrote the row which the caller read.
	Attempt uint64 `json:"attempt"`
	// Witness is the witness's incarnation in the owner's row.
	Witness string `json:"guard"`
	// Gone is set if the owner's process is known to have ended.
	Gone bool `json:"gone,omitempty"`
}

// releaseResult is the answer to guard.release. Incarnation is the witness's; an older entry
// leaves it out.
type releaseResult struct {
	Incarnation string       `json:"incarnation,omitempty"`
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

// encode returns the JSON of one of this package's own types. It panics on an
// error, as all of them can be encoded.
func encode(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return body
}
