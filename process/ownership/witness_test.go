package ownership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWitnessKeepsItsPromise(t *testing.T) {
	now := time.Unix(0, 0)
	witness := newWitness(memberRef{"g", "g.2"}, modelTerms, time.Minute, now)
	owner := Member{Instance: "o", Incarnation: "o.1"}
	request := releaseParams{Instance: "o", Incarnation: "o.1", Attempt: 7, Witness: "g.1"}

	assert.Assert(t, !witness.release(request, now.Add(modelTerms.short)).Promised, "a new incarnation must wait")
	now = now.Add(modelTerms.short + modelTerms.margin)
	assert.Assert(t, witness.release(request, now).Promised)
	witness.expire(now)
	assert.Assert(t, witness.heartbeat(heartbeatParams{Owner: owner, Confirmed: 7}, now).Refused)
	assert.Assert(t, !witness.heartbeat(heartbeatParams{Owner: owner, Confirmed: 8}, now).Refused, "the owner has renewed since")
	assert.Assert(t, !witness.release(request, now).Promised, "acked just now")
}

func TestWitnessKeepsDeltasInOrder(t *testing.T) {
	now := time.Unix(0, 0)
	witness := newWitness(memberRef{"g", "g.1"}, modelTerms, time.Minute, now)
	owner := Member{Instance: "o", Incarnation: "o.1"}
	send := func(base uint64, seqs ...uint64) uint64 {
		p := heartbeatParams{Owner: owner, Base: base}
		for _, seq := range seqs {
			p.Deltas = append(p.Deltas, delta{Seq: seq, Body: encode(seq)})
		}
		return witness.heartbeat(p, now).Acked
	}
	assert.Equal(t, send(3, 4), uint64(0), "a delta after a gap is not accepted")
	assert.Equal(t, send(0, 2, 3, 4), uint64(4))
	assert.Equal(t, send(2, 3, 4, 5), uint64(5))
	result := witness.release(releaseParams{Instance: "o", Incarnation: "o.1", Gone: true}, now)
	assert.DeepEqual(t, result.Attachments, []rawMessage{rawMessage("2"), rawMessage("3"), rawMessage("4"), rawMessage("5")})
	witness.expire(now.Add(2 * time.Minute))
	assert.Equal(t, len(witness.owners[owner.ref()].deltas), 0)
}

// A witness that stops leaves the deltas of all its owners, but none past their retention.
func TestKeptOfAllOwners(t *testing.T) {
	now := time.Unix(0, 0)
	witness := newWitness(memberRef{"g", "g.1"}, modelTerms, time.Minute, now)
	keep := func(owner string, at time.Time) {
		p := heartbeatParams{Owner: Member{Instance: owner, Incarnation: owner + ".1"}}
		p.Deltas = []delta{{Seq: 1, Body: encode(owner)}}
		witness.heartbeat(p, at)
	}
	keep("old", now)
	keep("o", now.Add(time.Minute))
	keep("p", now.Add(time.Minute))
	kept := witness.kept(now.Add(time.Minute + time.Second))
	assert.Equal(t, len(kept), 2)
}
