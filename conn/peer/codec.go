package peer

import (
	"bufio"
	"encoding/binary"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

// minMessageBytes is the minimum size of a JSON-RPC message.
const minMessageBytes = 16

// boundedCodec rejects a message larger than limit bytes before reading its body.
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
