package allotment

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// commitResult is the outcome of a commit.
type commitResult int

const (
	commitDone commitResult = iota
	commitNoReply
	commitLost
	commitLate // takes effect later, if its conditions still hold
	commitDown
	commitResults
)

type fakeTable struct {
	rows    map[string]platform.Row
	version uint64
	next    commitResult
	late    []platform.Txn
	ended   map[string]bool
	commits int
	scans   int
}

func (f *fakeTable) Get(_ context.Context, key string) (platform.Row, bool, error) {
	if f.next == commitDown {
		return platform.Row{}, false, platform.ErrUnavailable
	}
	row, ok := f.rows[key]
	return row, ok, nil
}

func (f *fakeTable) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	f.scans++
	var rows []platform.Row
	for _, key := range slices.Sorted(maps.Keys(f.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, f.rows[key])
		}
	}
	return rows, nil
}

func (f *fakeTable) Commit(_ context.Context, txn platform.Txn) (uint64, error) {
	f.commits++
	now := f.next
	f.next = commitDone
	switch now {
	case commitNoReply:
		_, _ = f.apply(txn)
	case commitLate:
		f.late = append(f.late, txn)
	case commitDown:
		return 0, platform.ErrUnavailable
	case commitDone:
		return f.apply(txn)
	}
	return 0, platform.ErrUnknown
}

func (f *fakeTable) apply(txn platform.Txn) (uint64, error) {
	for _, c := range txn.Conditions {
		if v := f.rows[c.Key].Version; v != c.Version {
			return 0, &platform.ConflictError{Key: c.Key, Version: v}
		}
	}
	f.version++
	for _, w := range txn.Writes {
		f.rows[w.Key] = platform.Row{Key: w.Key, Version: f.version, Value: w.Value}
	}
	return f.version, nil
}

const teamName = "trentvale"

// node is a ledger with the tasks that it counts and its own view of the limit, which
// may be out of date.
type node struct {
	*Ledger
	limit resource.Amount
	tasks []resource.Amount
}

func newNode(table *fakeTable, name string, limit resource.Amount, omit omissions) *node {
	n := &node{limit: limit}
	n.Ledger = New(Options{
		Incarnation: name, Table: table,
		Limits: func() []TeamLimit { return []TeamLimit{{Team: teamName, Limit: n.limit}} },
		Ended:  func(incarnation string) bool { return table.ended[incarnation] },
	})
	n.omit = omit
	n.Refresh()
	return n
}

func limitOf(running int64) resource.Amount {
	return resource.Amount{Running: running, MilliCPU: running * 700, MemoryMB: version.NoLimit, Accelerators: version.NoLimit, Slots: version.NoLimit}
}

// simulate runs random operations, drawn with draw, on several ledgers and returns the
// first violation of the limit.
func simulate(draw func(n int) int, omit omissions) error {
	table := &fakeTable{rows: map[string]platform.Row{}, ended: map[string]bool{}}
	limit, lowered, incarnations := limitOf(int64(5+draw(60))), false, 0
	var nodes []*node
	for range 3 + draw(7) {
		incarnations++
		nodes = append(nodes, newNode(table, fmt.Sprint(incarnations), limit, omit))
	}
	for range 200 {
		n := nodes[draw(len(nodes))]
		switch op := draw(20); {
		case op < 8:
			n.startTask(draw)
		case op < 10 && len(n.tasks) > 0:
			n.Release(teamName, n.tasks[0])
			n.tasks = n.tasks[1:]
		case op < 15:
			time.Sleep(time.Second)
			_ = n.Step(context.Background())
		case op == 15:
			table.next = commitResult(draw(int(commitResults)))
		case op == 16 && len(table.late) > 0:
			_, _ = table.apply(table.late[0])
			table.late = table.late[1:]
		case op == 17:
			next := limitOf(int64(5 + draw(60)))
			lowered = lowered || next.Running < limit.Running
			limit = next
		case op == 18:
			changed := nodes
			if draw(2) == 0 {
				changed = []*node{n}
			}
			for _, n := range changed {
				n.limit = limit
				n.Refresh()
			}
		case op == 19 && draw(4) == 0:
			incarnations++
			crash(table, nodes, n, newNode(table, fmt.Sprint(incarnations), limit, omit), draw)
		}
		if err := check(nodes, lowered); err != nil {
			return err
		}
	}
	return nil
}

func (n *node) startTask(draw func(n int) int) {
	a := resource.Amount{Running: 1, MilliCPU: int64(100 + draw(900)), MemoryMB: 10}
	if n.TryAcquire(teamName, a) {
		n.tasks = append(n.tasks, a)
	}
}

// crash replaces a node by its next incarnation; other nodes adopt its tasks one by
// one.
func crash(table *fakeTable, nodes []*node, dead, next *node, draw func(n int) int) {
	name, tasks := dead.Incarnation, dead.tasks
	*dead = *next
	dead.Options.Limits = func() []TeamLimit { return []TeamLimit{{Team: teamName, Limit: dead.limit}} }
	table.ended[name] = true
	for _, a := range tasks {
		adopter := nodes[draw(len(nodes))]
		adopter.ForceAcquire(teamName, a)
		adopter.tasks = append(adopter.tasks, a)
	}
}

func check(nodes []*node, lowered bool) error {
	var allotted, used, limit resource.Amount
	for _, n := range nodes {
		allotted, used = allotted.Add(n.Allotted(teamName)), used.Add(n.Used(teamName))
		limit = limit.Max(n.limit)
	}
	allotted.MemoryMB, allotted.Accelerators, allotted.Slots = 0, 0, 0
	if d, over := allotted.FirstOver(limit); over {
		return fmt.Errorf("%s: allotted %+v over limit %+v", d, allotted, limit)
	}
	if d, over := used.FirstOver(limit); over && !lowered {
		return fmt.Errorf("%s: used %+v over limit %+v", d, used, limit)
	}
	return nil
}

// The allotments of all entries together stay within the team's limit, under lost and
// late writes, changed limits and crashes.
func TestSumStaysWithinTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for seed := range uint64(2000) {
			rnd := rand.New(rand.NewPCG(seed, 3))
			assert.NilError(t, simulate(rnd.IntN, omissions{}), "seed %d", seed)
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "") }
			if err := simulate(draw, omissions{}); err != nil {
				rt.Fatal(err)
			}
		})
	})
}

// Each case disables one mechanism; the simulation must then exceed the limit.
func TestEachMechanismIsNeeded(t *testing.T) {
	cases := []struct {
		name string
		omit omissions
	}{
		{"growth after the write", omissions{growFirst: true}},
		{"shrink before the write", omissions{shrinkLate: true}},
		{"scaling under a lower limit", omissions{scale: true}},
	}
	const runs = 200
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for seed := range uint64(runs) {
					rnd := rand.New(rand.NewPCG(seed, 3))
					if err := simulate(rnd.IntN, c.omit); err != nil {
						t.Logf("violation in run %d: %v", seed+1, err)
						return
					}
				}
				t.Errorf("no violation in %d runs", runs)
			})
		})
	}
}

// With more demand at all entries than the limit allows, the whole limit is used, in
// nearly equal parts, even if one entry had most of it before.
func TestDemandLevelsTheGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &fakeTable{rows: map[string]platform.Row{}}
		var nodes []*node
		for i := range 9 {
			nodes = append(nodes, newNode(table, fmt.Sprint(i), limitOf(90), omissions{}))
		}
		one := resource.Amount{Running: 1}
		round := func(loaded []*node) {
			for _, n := range loaded {
				for n.TryAcquire(teamName, one) {
				}
				_ = n.Step(context.Background())
				if n.Used(teamName).Running > 0 {
					n.Release(teamName, one)
				}
			}
			time.Sleep(time.Second)
		}
		for range 20 {
			round(nodes[:1])
		}
		assert.Assert(t, nodes[0].Allotted(teamName).Running >= 89)
		for range 200 {
			round(nodes)
		}
		sum := int64(0)
		for _, n := range nodes {
			allotted := n.Allotted(teamName).Running
			assert.Assert(t, allotted >= 8 && allotted <= 12, "%d", allotted)
			sum += allotted
		}
		assert.Assert(t, sum >= 85, "%d", sum)
		commits := table.commits
		for _, n := range nodes {
			for n.Used(teamName).Running > 0 {
				n.Release(teamName, one)
			}
			assert.NilError(t, n.ReturnUnused(context.Background()))
			assert.Equal(t, n.Allotted(teamName).Running, int64(0))
		}
		assert.Assert(t, table.commits > commits)
		var left row
		assert.NilError(t, json.Unmarshal(table.rows[rowPrefix+teamName].Value, &left))
		assert.Equal(t, len(left.Entries), 0)
	})
}

// One entry uses the whole limit and crashes. Another one adopts its tasks while a
// third one acquires as much as it can: the limit holds only because the grant of the
// ended entry covers the adopted tasks.
func TestAdoptedWorkStaysCovered(t *testing.T) {
	for _, omit := range []omissions{{}, {dropEnded: true}} {
		synctest.Test(t, func(t *testing.T) {
			table := &fakeTable{rows: map[string]platform.Row{}, ended: map[string]bool{}}
			dead, adopter, busy := newNode(table, "1", limitOf(10), omit), newNode(table, "2", limitOf(10), omit), newNode(table, "3", limitOf(10), omit)
			one := resource.Amount{Running: 1}
			fill := func(n *node, rounds int) {
				for range rounds {
					for n.TryAcquire(teamName, one) {
					}
					assert.NilError(t, n.Step(t.Context()))
					time.Sleep(time.Second)
				}
			}
			fill(dead, 20)
			assert.Equal(t, dead.Used(teamName).Running, int64(10))
			table.ended["1"] = true
			fill(busy, 70)
			adopter.ForceAcquire(teamName, one.Times(10))
			fill(adopter, 5)
			fill(busy, 70)
			over := adopter.Used(teamName).Running+busy.Used(teamName).Running > 10
			assert.Equal(t, over, omit.dropEnded)
		})
	}
}

// The grant of an ended incarnation that adopted work does not use is free after the
// time in which all of its work has ended.
func TestUnusedGrantOfEndedEntryIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &fakeTable{rows: map[string]platform.Row{}, ended: map[string]bool{}}
		dead, adopter := newNode(table, "1", limitOf(10), omissions{}), newNode(table, "2", limitOf(10), omissions{})
		adopter.FreeEndedAfter = func() time.Duration { return time.Hour }
		one := resource.Amount{Running: 1}
		fill := func(n *node) {
			for range 200 {
				_ = n.TryAcquire(teamName, one)
				assert.NilError(t, n.Step(t.Context()))
				time.Sleep(time.Second)
			}
		}
		fill(dead)
		table.ended["1"] = true
		adopter.ForceAcquire(teamName, one.Times(4))
		fill(adopter)
		assert.Equal(t, adopter.Used(teamName).Running, int64(4), "six are still in the grant of the ended incarnation")
		time.Sleep(time.Hour)
		fill(adopter)
		assert.Equal(t, adopter.Used(teamName).Running, int64(10))
	})
}

func TestLoweredLimitIsReported(t *testing.T) {
	table := &fakeTable{rows: map[string]platform.Row{}}
	n := newNode(table, "1", limitOf(10), omissions{})
	for range 12 {
		_ = n.TryAcquire(teamName, resource.Amount{Running: 1})
		_ = n.Step(t.Context())
	}
	assert.Equal(t, n.Used(teamName).Running, int64(10))
	n.limit = limitOf(4)
	n.Refresh()
	assert.DeepEqual(t, n.OverLimits(), []OverLimit{{Team: teamName, Excess: resource.Amount{Running: 6}}})
	assert.Assert(t, !n.TryAcquire(teamName, resource.Amount{Running: 1}))
}

// At the design size of 180 teams, the changes of all teams take one write and one
// scan.
func TestOneWriteForAllTeams(t *testing.T) {
	table := &fakeTable{rows: map[string]platform.Row{}}
	var limits []TeamLimit
	for i := range 180 {
		limits = append(limits, TeamLimit{Team: fmt.Sprint("team", i), Limit: limitOf(10)})
	}
	l := New(Options{Incarnation: "1", Table: table, Limits: func() []TeamLimit { return limits }})
	l.Refresh()
	for _, limit := range limits {
		assert.Assert(t, !l.TryAcquire(limit.Team, resource.Amount{Running: 3}))
	}
	assert.NilError(t, l.Step(t.Context()))
	for _, limit := range limits {
		assert.Assert(t, l.TryAcquire(limit.Team, resource.Amount{Running: 3}))
	}
	assert.Equal(t, table.commits, 1)
	assert.Equal(t, table.scans, 1)
}
