package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minMessageBytes is the minimum size of a JSON-RPC message.
	minMessageBytes = 16
	// minPayloadBytes is the size from which parameters and results are sent as payloads.
	minPayloadBytes = 200
	// payloadMark is the first byte of a message with a payload. No length begins with it.
	payloadMark = 0
	// unclaimedPayloadAge is how long a payload is kept whose call doesn't wait any more.
	unclaimedPayloadAge = 5 * time.Second
)

// payloadsMethod is a notification that the sender reads messages with payloads. Peers that
// don't know it ignore it, and are sent none.
const payloadsMethod = "peer.payloads"

// linkCodec is the codec of one link. It rejects a message larger than limit bytes before reading
// its body.
//
// A message is a length and a JSON-RPC object. jsonrpc2 encodes and decodes an object several
// times, once for each of its layers, which costs most for large parameters and results. Between
// peers that have announced it these are sent beside the object, as a payload: the object holds a
// reference in their place, and the payload is decoded once, by its receiver.
type linkCodec struct {
	limit uint64
	// peerReads is set once the peer has announced that it reads payloads.
	peerReads atomic.Bool

	mu       sync.Mutex
	last     uint64
	outgoing map[string][]byte
	incoming map[string]incomingPayload
	// arrived holds the incoming references in the order of their arrival.
	arrived []arrivedPayload
}

// incomingPayload is a payload that its receiver hasn't claimed yet.
type incomingPayload struct {
	data []byte
	at   time.Time
}

type arrivedPayload struct {
	reference string
	at        time.Time
}

func newLinkCodec() *linkCodec {
	return &linkCodec{limit: MaxMessageBytes, outgoing: make(map[string][]byte), incoming: make(map[string]incomingPayload)}
}

// referencePrefix begins the JSON string that stands for a payload. Parameters and results are
// objects, so no other string stands in their place.
const referencePrefix = `"payload:`

// offer encodes a value for a message: as a reference to a payload if it is large and the peer
// reads those, else as itself. withdraw must be called once the message has been sent.
func (c *linkCodec) offer(v any) (json.RawMessage, error) {
	data, err := json.Marshal(v)
	if err != nil || len(data) < minPayloadBytes || !c.peerReads.Load() {
		return data, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	reference := referencePrefix + strconv.FormatUint(c.last, 10) + `"`
	c.outgoing[reference] = data
	return json.RawMessage(reference), nil
}

// withdraw drops the payload of an offered value if it wasn't sent.
func (c *linkCodec) withdraw(offered json.RawMessage) {
	if !isReference(offered) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.outgoing, string(offered))
}

// errPayloadMissing means that a reference has no payload.
var errPayloadMissing = errors.New("the payload of a message is missing")

// resolve returns the value of a message: the payload if it is a reference. A payload can be
// claimed once.
func (c *linkCodec) resolve(value json.RawMessage) (json.RawMessage, error) {
	if !isReference(value) {
		return value, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.incoming[string(value)]
	if !ok {
		return nil, errPayloadMissing
	}
	delete(c.incoming, string(value))
	return p.data, nil
}

func isReference(value json.RawMessage) bool { return bytes.HasPrefix(value, []byte(referencePrefix)) }

// WriteObject implements jsonrpc2.ObjectCodec.
func (c *linkCodec) WriteObject(stream io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	var prefix []byte
	payload, ok := c.takeOutgoing(data)
	if ok {
		prefix = binary.AppendUvarint([]byte{payloadMark}, uint64(len(payload)))
	}
	prefix = binary.AppendUvarint(prefix, uint64(len(data)))
	for _, part := range [][]byte{prefix, data, payload} {
		if _, err := stream.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// takeOutgoing returns the payload to which an encoded object refers.
func (c *linkCodec) takeOutgoing(object []byte) ([]byte, bool) {
	reference := referenceIn(object)
	if reference == "" {
		return nil, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	payload, ok := c.outgoing[reference]
	delete(c.outgoing, reference)
	return payload, ok
}

// referenceIn returns the first reference in an encoded object, or "".
func referenceIn(object []byte) string {
	begin := bytes.Index(object, []byte(referencePrefix))
	if begin < 0 {
		return ""
	}
	length := bytes.IndexByte(object[begin+1:], '"')
	if length < 0 {
		return ""
	}
	return string(object[begin : begin+length+2])
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c *linkCodec) ReadObject(stream *bufio.Reader, v any) error {
	first, err := stream.Peek(1)
	if err != nil {
		return err
	}
	var payloadSize uint64
	marked := first[0] == payloadMark
	if marked {
		// Discard can't fail: the byte has been peeked at.
		_, _ = stream.Discard(1)
		if payloadSize, err = binary.ReadUvarint(stream); err != nil {
			return err
		}
	}
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size < minMessageBytes {
		return errors.New("message header is not a length")
	}
	if size > c.limit || payloadSize > c.limit {
		return fmt.Errorf("message of %d and %d bytes is over the limit of %d", size, payloadSize, c.limit)
	}
	object, err := readBytes(stream, size)
	if err != nil {
		return err
	}
	if marked {
		payload, err := readBytes(stream, payloadSize)
		if err != nil {
			return err
		}
		c.keepIncoming(time.Now(), referenceIn(object), payload)
	}
	return json.Unmarshal(object, v)
}

// keepIncoming keeps a payload until it is claimed, and drops those that nobody will claim.
func (c *linkCodec) keepIncoming(now time.Time, reference string, payload []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.arrived) > 0 && now.Sub(c.arrived[0].at) > unclaimedPayloadAge {
		if p, ok := c.incoming[c.arrived[0].reference]; ok && p.at.Equal(c.arrived[0].at) {
			delete(c.incoming, c.arrived[0].reference)
		}
		c.arrived = c.arrived[1:]
	}
	c.incoming[reference] = incomingPayload{data: payload, at: now}
	c.arrived = append(c.arrived, arrivedPayload{reference, now})
}

// readBytes reads size bytes. The buffer grows with what arrives, so that a false length alone
// takes no memory.
func readBytes(stream io.Reader, size uint64) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(int(min(size, 1<<16)))
	if _, err := io.CopyN(&b, stream, int64(size)); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
