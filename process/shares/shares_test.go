package shares

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A team that wants many times its weight must not lower what the others get.
func TestHotTeamTakesOnlyWhatOthersLeave(t *testing.T) {
	teams := []Team{{Name: "hot", Weight: 1, Used: 0.8, Wanted: 8}, {Name: "a", Weight: 1, Used: 0.05, Wanted: 0.2}, {Name: "b", Weight: 2, Used: 0.1, Wanted: 0.3}}
	entitled := Entitled(teams)
	assert.Equal(t, fmt.Sprintf("%.2f %.2f %.2f", entitled["hot"], entitled["a"], entitled["b"]), "0.50 0.20 0.30")
	assert.DeepEqual(t, Standings(teams), map[string]Standing{"hot": Above})
	teams[0].Used = 0.1
	assert.DeepEqual(t, Standings(teams), map[string]Standing{"hot": Below})
	teams[0].Wanted = 0.3
	assert.Assert(t, Standings(teams) == nil, "nothing is contended")
}

// Max-min fairness, for any demands: nobody gets more than wanted, the capacity is used as far as it
// is wanted, and a team that gets less than it wants has at least the weighted part of any other.
func TestEntitledIsMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var teams []Team
		wanted := 0.0
		for i := range rapid.IntRange(1, 8).Draw(t, "teams") {
			team := Team{Name: fmt.Sprint(i), Weight: rapid.Float64Range(0.5, 8).Draw(t, "weight"), Wanted: rapid.Float64Range(0, 2).Draw(t, "wanted")}
			wanted += team.Wanted
			teams = append(teams, team)
		}
		entitled := Entitled(teams)
		sum := 0.0
		for _, a := range teams {
			got := entitled[a.Name]
			sum += got
			assert.Assert(t, got <= a.Wanted+1e-9)
			if got > a.Wanted-1e-9 {
				continue
			}
			for _, b := range teams {
				assert.Assert(t, got/a.Weight >= entitled[b.Name]/b.Weight-1e-9, "%s has less than %s", a.Name, b.Name)
			}
		}
		assert.Assert(t, sum <= 1+1e-9 && sum >= min(1, wanted)-1e-9, "%v of %v", sum, wanted)
	})
}
