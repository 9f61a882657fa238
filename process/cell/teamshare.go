package cell

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/process/shares"
)

// teamShares holds how teams stand to their shares of contended capacity.
type teamShares struct {
	comparedAt time.Time
	teams      []shares.Team
	standings  map[string]shares.Standing
}

// sharePeriod is how long the standings of teams are used before the teams are compared again.
const sharePeriod = 20 * time.Millisecond

// standing returns how the team stands to its share of contended capacity. It orders work of the
// same tier and priority.
func (c *Cell) standing(now time.Time, team string) shares.Standing {
	if now.Sub(c.shares.comparedAt) >= sharePeriod {
		c.compareTeams(now)
	}
	return c.shares.standings[team]
}

// compareTeams compares what the teams use and want with their shares. With a single team there is
// nothing to divide.
func (c *Cell) compareTeams(now time.Time) {
	c.shares.comparedAt, c.shares.standings = now, nil
	if c.catalog == nil || len(c.catalog.Teams) < 2 {
		return
	}
	total := c.totalCapacity(now)
	wanted := make(map[string]resource.Amount)
	for _, job := range c.live {
		if !job.outcome.Ended() {
			wanted[job.Team] = wanted[job.Team].Add(job.workLeft().waiting)
		}
	}
	c.shares.teams = c.shares.teams[:0]
	for _, t := range c.catalog.Teams {
		used := c.usage[t.Name]
		c.shares.teams = append(c.shares.teams, shares.Team{
			Name: t.Name, Weight: t.Weight, Used: used.DominantShare(total), Wanted: used.Add(wanted[t.Name]).DominantShare(total),
		})
	}
	c.shares.standings = shares.Standings(c.shares.teams)
}

// totalCapacity returns the capacity of all workers that accept new work.
func (c *Cell) totalCapacity(now time.Time) resource.Amount {
	var total resource.Amount
	for _, w := range c.workerOrder {
		if c.acceptsWork(now, w) {
			total = total.Add(w.Capacity)
		}
	}
	return total
}

// TeamShare is what a team uses, as a part of the capacity, and what it is entitled to by its
// weight and the demand of the others.
type TeamShare struct {
	Team           string
	Used, Entitled float64
}

// TeamShares returns the shares of the teams as of the last comparison; nil unless capacity was
// contended then.
func (c *Cell) TeamShares() []TeamShare {
	if c.shares.standings == nil {
		return nil
	}
	entitled := shares.Entitled(c.shares.teams)
	list := make([]TeamShare, 0, len(c.shares.teams))
	for _, t := range c.shares.teams {
		list = append(list, TeamShare{Team: t.Name, Used: t.Used, Entitled: entitled[t.Name]})
	}
	return list
}
