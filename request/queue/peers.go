package queue

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

const (
	// firstRatio is how much of a team a peer is taken to run, relative to this
	// queue, before its reports tell.
	firstRatio = 1
	// maxRatio bounds what is made of very uneven reports.
	maxRatio = 16
	// recentDecay is what a report still counts after the next one.
	recentDecay = 0.8
)

// TeamTotal is a team's usage over all of a queue's life. It only grows.
type TeamTotal struct {
	Team string `json:"team"`
	// Used is, by dimension, the sum over time of the fraction of the fleet that
	// its work took, in seconds of the whole fleet.
	Used Usage `json:"used"`
}

// Usage is fractions of the fleet's capacity over time, by dimension, in seconds.
type Usage [resource.Dimensions]float64

// add adds fractions of total that amount takes for some seconds.
func (u *Usage) add(amount, total resource.Amount, seconds float64) {
	part, whole := amount.Vector(), total.Vector()
	for d := range resource.Dimensions {
		if whole[d] > 0 {
			u[d] += float64(part[d]) / float64(whole[d]) * seconds
		}
	}
}

// since returns u less an earlier usage, never below zero.
func (u Usage) since(earlier Usage) Usage {
	for d := range u {
		u[d] = max(0, u[d]-earlier[d])
	}
	return u
}

func (u Usage) plus(v Usage) Usage {
	for d := range u {
		u[d] += v[d]
	}
	return u
}

func (u Usage) decayed() Usage {
	for d := range u {
		u[d] *= recentDecay
	}
	return u
}

// dominant returns the dimension most used.
func (u Usage) dominant() resource.Dimension {
	most := resource.Dimension(0)
	for d := range resource.Dimensions {
		if u[d] > u[most] {
			most = d
		}
	}
	return most
}

// peerAccount is what is known of one team's usage at one peer.
type peerAccount struct {
	// total is the peer's last report, ownAt this queue's own total then.
	total, ownAt Usage
	// recent is what the peer used lately, ownRecent what this queue did: sums
	// over reports, each counting less by recentDecay with every later one.
	recent, ownRecent Usage
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
		t.charge(now, q.total)
		totals = append(totals, TeamTotal{Team: t.name, Used: t.total})
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
func (q *Queue) takeIn(now time.Time, p *peerState, report TeamTotal, first bool) {
	t := q.team(report.Team)
	t.charge(now, q.total)
	account := p.teams[report.Team]
	if account == nil {
		account = &peerAccount{ratio: firstRatio, ownAt: t.total}
		p.teams[report.Team] = account
		t.peerRatio += firstRatio
		t.peers++
		if first {
			account.total = report.Used
		}
	}
	used, ownUsed := report.Used.since(account.total), t.total.since(account.ownAt)
	d := t.dominant
	t.virtual += (used[d] - ownUsed[d]*account.ratio) / t.weight
	account.total, account.ownAt = report.Used, t.total
	account.ownRecent = account.ownRecent.decayed().plus(ownUsed)
	t.setRecent(account, account.recent.decayed().plus(used))
	t.dominant = t.fleetDominant(account.ownRecent)
	d = t.dominant
	if account.ownRecent[d] > 0 {
		t.setRatio(account, min(account.recent[d]/account.ownRecent[d], maxRatio))
	}
	t.measure(q.total)
}

func (t *teamState) setRatio(account *peerAccount, ratio float64) {
	t.peerRatio += ratio - account.ratio
	account.ratio = ratio
}

func (t *teamState) setRecent(account *peerAccount, recent Usage) {
	for d := range recent {
		t.peerRecent[d] += recent[d] - account.recent[d]
	}
	account.recent = recent
}

// fleetDominant returns the dimension that the team used most of, in all the fleet.
func (t *teamState) fleetDominant(own Usage) resource.Dimension {
	return own.plus(t.peerRecent).dominant()
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
			t.charge(now, q.total)
			t.setRatio(account, 0)
			t.setRecent(account, Usage{})
			t.peers--
			t.measure(q.total)
		}
	}
}
