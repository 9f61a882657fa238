package ownership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestGuardKeepsItsPromise(t *testing.T) {
	now := time.Unix(0, 0)
	book := newGuardBook(guardRef{"g", "g.2"}, modelTerms, time.Minute, now)
	owner := Member{Instance: "o", Incarnation: "o.1"}
	ask := releaseParams{Instance: "o", Incarnation: "o.1", Attempt: 7, Guard: "g.1"}

	assert.Assert(t, !book.release(ask, now.Add(modelTerms.short)).Promised, "a successor must wait")
	now = now.Add(modelTerms.short + modelTerms.margin)
	assert.Assert(t, book.release(ask, now).Promised)
	book.expire(now)
	assert.Assert(t, book.heartbeat(heartbeatParams{Owner: owner, Confirmed: 7}, now).Refused)
	assert.Assert(t, !book.heartbeat(heartbeatParams{Owner: owner, Confirmed: 8}, now).Refused, "renewed since")
	assert.Assert(t, !book.release(ask, now).Promised, "acked just now")
}

func TestGuardKeepsDeltasInOrder(t *testing.T) {
	now := time.Unix(0, 0)
	book := newGuardBook(guardRef{"g", "g.1"}, modelTerms, time.Minute, now)
	owner := Member{Instance: "o", Incarnation: "o.1"}
	send := func(base uint64, seqs ...uint64) uint64 {
		p := heartbeatParams{Owner: owner, Base: base}
		for _, seq := range seqs {
			p.Deltas = append(p.Deltas, delta{Seq: seq, Body: encode(seq)})
		}
		return book.heartbeat(p, now).Acked
	}
	assert.Equal(t, send(3, 4), uint64(0), "a gap is not taken")
	assert.Equal(t, send(0, 2, 3, 4), uint64(4))
	assert.Equal(t, send(2, 3, 4, 5), uint64(5))
	result := book.release(releaseParams{Instance: "o", Incarnation: "o.1", Gone: true}, now)
	assert.DeepEqual(t, result.Attachments, []rawMessage{rawMessage("2"), rawMessage("3"), rawMessage("4"), rawMessage("5")})
	book.expire(now.Add(2 * time.Minute))
	assert.Equal(t, len(book.wards[owner.ref()].deltas), 0)
}
