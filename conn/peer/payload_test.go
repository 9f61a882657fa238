package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// largeMessage has a text that is sent as a payload, and one that looks like a reference to one.
type largeMessage struct {
	Text  string `json:"text"`
	Looks string `json:"looks"`
}

// Large parameters and results go beside their messages once both ends have announced that they
// read them; many at a time must not be confused with each other.
func TestLargeValuesArriveWhole(t *testing.T) {
	address := serve(t, map[string]Handler{"echo": func(_ context.Context, params json.RawMessage) (any, error) {
		var m largeMessage
		err := json.Unmarshal(params, &m)
		return m, err
	}})
	links := NewLinks()
	defer links.Close()
	assert.NilError(t, links.Call(t.Context(), address, pingMethod, struct{}{}, nil))
	ln, err := links.open(t.Context(), address)
	assert.NilError(t, err)
	for deadline := time.Now().Add(5 * time.Second); !ln.codec.peerReads.Load(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the server has announced nothing")
	}
	var calls sync.WaitGroup
	for i := range 200 {
		calls.Go(func() {
			sent := largeMessage{Text: strings.Repeat(string(rune('a'+i%26)), 10*i), Looks: `"payload:1"`}
			var got largeMessage
			assert.Check(t, links.Call(t.Context(), address, "echo", sent, &got))
			assert.Check(t, got == sent)
		})
	}
	calls.Wait()
	ln.codec.mu.Lock()
	defer ln.codec.mu.Unlock()
	assert.Equal(t, len(ln.codec.outgoing)+len(ln.codec.incoming), 0, "payloads are left")
}

// A peer of an earlier version announces nothing: it must get no message that it can't read.
func TestNoPayloadsForEarlierVersions(t *testing.T) {
	c := newLinkCodec()
	offered, err := c.offer(largeMessage{Text: strings.Repeat("x", 1000)})
	assert.NilError(t, err)
	assert.Assert(t, !isReference(offered))
}

// Whatever is written is read back, with and without a payload, and a cut message is an error.
func TestMessagesSurviveTheCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		writer, reader := newLinkCodec(), newLinkCodec()
		writer.peerReads.Store(rapid.Bool().Draw(t, "peer reads payloads"))
		sent := largeMessage{Text: rapid.StringN(0, 600, -1).Draw(t, "text"), Looks: rapid.SampledFrom([]string{"", `"payload:1"`, "payload:2"}).Draw(t, "looks")}
		offered, err := writer.offer(sent)
		assert.NilError(t, err)
		var stream bytes.Buffer
		assert.NilError(t, writer.WriteObject(&stream, map[string]any{"method": "work", "params": offered}))
		whole := stream.Bytes()

		var message struct{ Params json.RawMessage }
		assert.NilError(t, reader.ReadObject(bufio.NewReader(bytes.NewReader(whole)), &message))
		value, err := reader.resolve(message.Params)
		assert.NilError(t, err)
		var got largeMessage
		assert.NilError(t, json.Unmarshal(value, &got))
		assert.Equal(t, got, sent)

		cut := rapid.IntRange(0, len(whole)-1).Draw(t, "cut")
		assert.Assert(t, newLinkCodec().ReadObject(bufio.NewReader(bytes.NewReader(whole[:cut])), &message) != nil)
	})
}

// Replies to calls that nobody waits for any more must not fill the memory.
func TestUnclaimedPayloadsAreDropped(t *testing.T) {
	c := newLinkCodec()
	now := time.Unix(1_700_000_000, 0)
	c.keepIncoming(now, `"payload:1"`, []byte("{}"))
	c.keepIncoming(now.Add(unclaimedPayloadAge+1), `"payload:2"`, []byte("{}"))
	_, err := c.resolve(json.RawMessage(`"payload:1"`))
	assert.Assert(t, errors.Is(err, errPayloadMissing))
	value, err := c.resolve(json.RawMessage(`"payload:2"`))
	assert.NilError(t, err)
	assert.Equal(t, string(value), "{}")
}
