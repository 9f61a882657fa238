package queue

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

const (
	// firstRatio is the assumed usage of a team at a peer, relative to this queue's
	// usage, before the peer's reports give a ratio.
	firstRatio = 1
	// maxRatio bounds the ratio that is derived from very uneven reports.
	maxRatio = 16
	// reportDecay is the factor by which the weight of a report falls with every later
	// one.
	reportDecay = 0.8
)

// TeamTotal is a team's usage over the lifetime of a queue. It only grows.
type TeamTotal struct {
	Team string `json:"team"`
	// Used is the integral over time, per dimension, of the fraction of the fleet that
	// the work of the team took, in seconds of the whole fleet.
	Used Usage `json:"used"`
}

// Usage is the integral over time of fractions of the fleet's capacity, per dimension,
// in seconds.
type Usage [resource.Dimensions]float64

// add adds the fractions of total that amount takes over the given number of seconds.
func (u *Usage) add(amount, total resource.Amount, seconds float64) {
	part, whole := amount.Vector(), total.Vector()
	for d := range resource.Dimensions {
		if whole[d] > 0 {
			u[d] += float64(part[d]) / float64(whole[d]) * seconds
		}
	}
}

// since returns u minus an earlier usage, at least zero in every dimension.
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
		u[d] *= reportDecay
	}
	return u
}

// dominant returns the dimension with the largest usage.
func (u Usage) dominant() resource.Dimension {
	most := resource.Dimension(0)
	for d := range resource.Dimensions {
		if u[d] > u[most] {
			most = d
		}
	}
	return most
}

// peerUsage is the usage of one team at one peer.
type peerUsage struct {
	// total is the peer's last report, and ownAt this queue's own total at that time.
	total, ownAt Usage
	// recent is the recent usage at the peer, and ownRecent the recent usage at this
	// queue: sums over reports, the weight of each falling by reportDecay with every
	// later one.
	recent, ownRecent Usage
	// ratio is the peer's usage relative to this queue's own. Until the next report,
	// the peer is assumed to use this much for each unit used here. Otherwise, peers
	// that all correct the same error would correct it several times over.
	ratio float64
}

// peerState holds the usage of each team at one peer, as of the peer's last report.
type peerState struct {
	version uint64
	teams   map[string]*peerUsage
}

// Totals returns the usage report for peers. The version that the caller gives to a
// report must grow with every report.
func (q *Queue) Totals(now time.Time) []TeamTotal {
	now = q.advance(now)
	totals := make([]TeamTotal, 0, len(q.order))
	for _, t := range q.order {
		t.charge(now, q.total)
		totals = append(totals, TeamTotal{Team: t.name, Used: t.total})
	}
	return totals
}

// SetPeerTotals applies the Totals of another queue, which schedules other workers.
// peer identifies one incarnation of that queue. A report whose version is not above
// the last one is ignored. Lost and duplicate reports do no harm, because totals
// replace each other. The first report of a peer is only the baseline for the following
// ones.
func (q *Queue) SetPeerTotals(now time.Time, peer string, version uint64, totals []TeamTotal) {
	now = q.advance(now)
	p := q.peers[peer]
	if p == nil {
		p = &peerState{teams: make(map[string]*peerUsage)}
		q.peers[peer] = p
	}
	if version <= p.version {
		return
	}
	first := p.version == 0
	p.version = version
	for _, total := range totals {
		q.applyPeerTotal(now, p, total, first)
	}
}

// applyPeerTotal replaces the usage that was assumed for a team at the peer with the
// usage that the peer reported.
func (q *Queue) applyPeerTotal(now time.Time, p *peerState, report TeamTotal, first bool) {
	t := q.team(report.Team)
	t.charge(now, q.total)
	usage := p.teams[report.Team]
	if usage == nil {
		usage = &peerUsage{ratio: firstRatio, ownAt: t.total}
		p.teams[report.Team] = usage
		t.peerRatio += firstRatio
		t.peers++
		if first {
			usage.total = report.Used
		}
	}
	used, ownUsed := report.Used.since(usage.total), t.total.since(usage.ownAt)
	d := t.dominant
	t.virtual += (used[d] - ownUsed[d]*usage.ratio) / t.weight
	usage.total, usage.ownAt = report.Used, t.total
	usage.ownRecent = usage.ownRecent.decayed().plus(ownUsed)
	t.setRecent(usage, usage.recent.decayed().plus(used))
	t.dominant = t.fleetDominant(usage.ownRecent)
	d = t.dominant
	if usage.ownRecent[d] > 0 {
		t.setRatio(usage, min(usage.recent[d]/usage.ownRecent[d], maxRatio))
	}
	t.updateShares(q.total)
}

func (t *teamState) setRatio(usage *peerUsage, ratio float64) {
	t.peerRatio += ratio - usage.ratio
	usage.ratio = ratio
}

func (t *teamState) setRecent(usage *peerUsage, recent Usage) {
	for d := range recent {
		t.peerRecent[d] += recent[d] - usage.recent[d]
	}
	usage.recent = recent
}

// fleetDominant returns the dimension that the team uses most of in the whole fleet.
func (t *teamState) fleetDominant(own Usage) resource.Dimension {
	return own.plus(t.peerRecent).dominant()
}

// ForgetPeer removes a peer that has stopped. Its past usage stays counted.
func (q *Queue) ForgetPeer(now time.Time, peer string) {
	now = q.advance(now)
	p := q.peers[peer]
	if p == nil {
		return
	}
	delete(q.peers, peer)
	for name, usage := range p.teams {
		if t := q.teams[name]; t != nil {
			t.charge(now, q.total)
			t.setRatio(usage, 0)
			t.setRecent(usage, Usage{})
			t.peers--
			t.updateShares(q.total)
		}
	}
}
