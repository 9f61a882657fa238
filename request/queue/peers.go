package queue

import "time"

const (
	// firstRatio is how much of a team a peer is taken to run, relative to this
	// queue, before its reports tell.
	firstRatio = 1
	// maxRatio bounds what is made of very uneven reports.
	maxRatio = 16
)

// TeamTotal is a team's usage over all of a queue's life: the sum over time of the
// dominant share, of the whole fleet, that its work took. It only grows.
type TeamTotal struct {
	Team string `json:"team"`
	// ShareSeconds is usage in seconds of the whole fleet.
	ShareSeconds float64 `json:"share_seconds"`
}

// peerAccount is what is known of one team's usage at one peer.
type peerAccount struct {
	// total is the peer's last report, ownAt this queue's own total then.
	total, ownAt float64
	// ratio is the peer's usage relative to this queue's own. Until the next
	// report the peer is taken to use this much for each unit used here, so that
	// peers who all correct the same error do not correct it several times over.
	ratio float64
}

// peerState is what one peer reported.
type peerState struct {
	version uint64
	teams   map[string]*peerAccount
}

// Totals returns what peers need from this queue. The version of a report made of it
// must grow with every report.
func (q *Queue) Totals(now time.Time) []TeamTotal {
	now = q.advance(now)
	totals := make([]TeamTotal, 0, len(q.order))
	for _, t := range q.order {
		t.charge(now)
		totals = append(totals, TeamTotal{Team: t.name, ShareSeconds: t.total})
	}
	return totals
}

// SetPeerTotals takes in the Totals of another queue that hands out other workers.
// peer names one incarnation of it; a report whose version is not above the last
// one is passed over. Lost and doubled reports do no harm, as totals replace each
// other. The first report of a peer is only the base for the following.
func (q *Queue) SetPeerTotals(now time.Time, peer string, version uint64, totals []TeamTotal) {
	now = q.advance(now)
	p := q.peers[peer]
	if p == nil {
		p = &peerState{teams: make(map[string]*peerAccount)}
		q.peers[peer] = p
	}
	if version <= p.version {
		return
	}
	first := p.version == 0
	p.version = version
	for _, total := range totals {
		q.takeIn(now, p, total, first)
	}
}

// takeIn replaces what the peer was taken to use of a team by what it did use.
func (q *Queue) takeIn(now time.Time, p *peerState, total TeamTotal, first bool) {
	t := q.team(total.Team)
	t.charge(now)
	account := p.teams[total.Team]
	if account == nil {
		account = &peerAccount{ratio: firstRatio}
		p.teams[total.Team] = account
		t.peerRatio += firstRatio
		if first {
			account.total = total.ShareSeconds
		}
		account.ownAt = t.total
	}
	used := max(0, total.ShareSeconds-account.total)
	ownUsed := t.total - account.ownAt
	t.virtual += (used - ownUsed*account.ratio) / t.weight
	account.total, account.ownAt = total.ShareSeconds, t.total
	if ownUsed > 0 {
		ratio := (account.ratio + min(used/ownUsed, maxRatio)) / 2
		t.peerRatio += ratio - account.ratio
		account.ratio = ratio
	}
}

// ForgetPeer drops a peer that is gone. What it used stays counted.
func (q *Queue) ForgetPeer(now time.Time, peer string) {
	now = q.advance(now)
	p := q.peers[peer]
	if p == nil {
		return
	}
	delete(q.peers, peer)
	for name, account := range p.teams {
		if t := q.teams[name]; t != nil {
			t.charge(now)
			t.peerRatio -= account.ratio
		}
	}
}
