package cell

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
)

const (
	// compressedMark is the first byte of a compressed row; the JSON of other rows begins
	// with a brace. The rest is the row's JSON in DEFLATE.
	compressedMark = 1
	// minCompressedBytes is the size below which compression saves too little.
	minCompressedBytes = 160
	// maxPlainBytes bounds a decompressed row.
	maxPlainBytes = 4 << 20
)

// rowCodec encodes rows. Compressed ones are about half as large, and are written only if
// every entry that may have to read them can.
type rowCodec struct {
	compress bool
	buffer   bytes.Buffer
	writer   *flate.Writer
}

// encode returns the encoding of a row. All row types can be encoded, so an error is a bug
// and panics.
func (k *rowCodec) encode(row any) []byte {
	plain, err := json.Marshal(row)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", row, err))
	}
	if !k.compress || len(plain) < minCompressedBytes {
		return plain
	}
	if packed := k.deflate(plain); len(packed) < len(plain) {
		return packed
	}
	return plain
}

func (k *rowCodec) deflate(plain []byte) []byte {
	if k.writer == nil {
		writer, err := flate.NewWriter(nil, flate.BestSpeed)
		if err != nil {
			panic(fmt.Sprintf("new DEFLATE writer: %v", err))
		}
		k.writer = writer
	}
	k.buffer.Reset()
	k.buffer.WriteByte(compressedMark)
	k.writer.Reset(&k.buffer)
	// Writing to a buffer never fails.
	_, _ = k.writer.Write(plain)
	_ = k.writer.Close()
	return bytes.Clone(k.buffer.Bytes())
}

// decodeRow decodes a row, compressed or not.
func decodeRow(value []byte, into any) error {
	if len(value) == 0 || value[0] != compressedMark {
		return json.Unmarshal(value, into)
	}
	reader := flate.NewReader(bytes.NewReader(value[1:]))
	plain, err := io.ReadAll(io.LimitReader(reader, maxPlainBytes+1))
	if err != nil {
		return fmt.Errorf("decompress: %w", err)
	}
	if len(plain) > maxPlainBytes {
		return fmt.Errorf("decompress: more than %d bytes", maxPlainBytes)
	}
	return json.Unmarshal(plain, into)
}

// SetCompression sets whether rows are compressed: all entries that may have to read them
// must be able to.
func (c *Cell) SetCompression(on bool) { c.codec.compress = on }
