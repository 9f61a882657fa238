package store

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"regexp"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/version/records"
	"github.com/rotisserie/eris"
)

// Keys of rows in the table.
const (
	// HeadKey is the key of the row with the newest version.
	HeadKey      = "config/head"
	changePrefix = "config/change/"
)

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)

// head is the value of the row config/head.
type head struct {
	Number uint64 `json:"number"`
	Object string `json:"object"`
	Change string `json:"change"`
}

// change is the value of a row config/change/ID.
type change struct {
	Number uint64 `json:"number"`
	Object string `json:"object"`
}

// headRow is a head and the version of its row. Both are zero if the row does not exist.
type headRow struct {
	head
	rowVersion uint64
}

func (s *Store) readHead(ctx context.Context) (headRow, error) {
	row, ok, err := s.options.Table.Get(ctx, HeadKey)
	if err != nil {
		return headRow{}, eris.Wrap(err, "read head of table")
	}
	if !ok {
		return headRow{}, nil
	}
	out := headRow{rowVersion: row.Version}
	if err := json.Unmarshal(row.Value, &out.head); err != nil {
		return headRow{}, eris.Wrap(err, "decode head of table")
	}
	return out, nil
}

func (s *Store) readChange(ctx context.Context, id string) (change, bool, error) {
	row, ok, err := s.options.Table.Get(ctx, changePrefix+id)
	if err != nil || !ok {
		return change{}, false, eris.Wrapf(err, "read change %s of table", id)
	}
	var out change
	if err := json.Unmarshal(row.Value, &out); err != nil {
		return change{}, false, eris.Wrapf(err, "decode change %s of table", id)
	}
	return out, true, nil
}

// applyTxn returns the transaction that writes the head of version `to` in place of the
// head `from`, and the row of the change id. Its condition on the head also protects the
// change's row, since no change is written without updating the head.
func applyTxn(from headRow, id string, to Version) (platform.Txn, error) {
	headValue, err := json.Marshal(head{Number: to.Number, Object: to.Object, Change: id})
	if err != nil {
		return platform.Txn{}, eris.Wrap(err, "encode head")
	}
	changeValue, err := json.Marshal(change{Number: to.Number, Object: to.Object})
	if err != nil {
		return platform.Txn{}, eris.Wrap(err, "encode change")
	}
	return platform.Txn{
		Conditions: []platform.Condition{{Key: HeadKey, Version: from.rowVersion}},
		Writes: []platform.Write{
			{Key: HeadKey, Value: headValue},
			{Key: changePrefix + id, Value: changeValue},
		},
	}, nil
}

// objectName returns the hexadecimal SHA-256 of the body.
func objectName(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// load checks, decodes and compiles a version.
func load(v Version) (*loadedVersion, error) {
	if got := objectName(v.Body); got != v.Object {
		return nil, eris.Errorf("body of version %d has hash %s, not %s", v.Number, got, v.Object)
	}
	text, err := unpack(v.Body)
	if err != nil {
		return nil, eris.Wrapf(err, "unpack version %d", v.Number)
	}
	parsed, err := records.Decode(text)
	if err != nil {
		return nil, eris.Wrapf(err, "decode version %d", v.Number)
	}
	snapshot, err := records.Compile(parsed, v.Number)
	if err != nil {
		return nil, eris.Wrapf(err, "compile version %d", v.Number)
	}
	return &loadedVersion{snapshot: snapshot, records: parsed, version: v}, nil
}

// pack compresses encoded records. Every entry fetches the body of every version, so its
// size determines the network traffic of a change.
func pack(text []byte) ([]byte, error) {
	var body bytes.Buffer
	writer := gzip.NewWriter(&body)
	if _, err := writer.Write(text); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return body.Bytes(), nil
}

// unpack is the inverse of pack. It limits its output to one byte more than records.Decode
// accepts, so that a larger body fails there.
func unpack(body []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(reader, records.MaxFileBytes+1))
}

// fetch returns the version that the head refers to.
func (s *Store) fetch(ctx context.Context, h head) (*loadedVersion, error) {
	if h.Number == 0 {
		return &loadedVersion{snapshot: emptySnapshot(), records: &records.Records{}}, nil
	}
	if current := s.current.Load(); current.version.Number == h.Number && current.version.Object == h.Object {
		return current, nil
	}
	body, err := s.options.Objects.Get(ctx, h.Object)
	if err != nil {
		return nil, eris.Wrapf(err, "get object of version %d", h.Number)
	}
	return load(Version{Number: h.Number, Object: h.Object, Body: body})
}
