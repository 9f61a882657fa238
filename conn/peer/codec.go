package peer

import (
	"bufio"
	"encoding/binary"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

// minMessageBytes is the size of the shortest JSON-RPC message.
const minMessageBytes = 16

// boundedCodec refuses a message over limit bytes before reading it.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
	limit uint64
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	header, err := stream.Peek(binary.MaxVarintLen64)
	if err != nil {
		return err
	}
	size, n := binary.Uvarint(header)
	if n <= 0 || size < minMessageBytes {
		return fmt.Errorf("message header is not a length")
	}
	if size > c.limit {
		return fmt.Errorf("message of %d bytes is over the limit of %d", size, c.limit)
	}
	return c.VarintObjectCodec.ReadObject(stream, v)
}
