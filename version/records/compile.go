package records

import (
	"github.com/kingcuplatch/kingcuplatch/version"
)

// UnboundedAttempts is the value of Attempts for services, which are restarted whenever
// they end.
const UnboundedAttempts = 1 << 30

// defaultAttempts is the number of attempts of idempotent work whose record does not set
// it.
const defaultAttempts = 3

// Compile checks all records, including their references to one another, and returns the
// snapshot with the given number. The error is Faults, which lists all faults found.
func Compile(r *Records, number uint64) (*version.Snapshot, error) {
	c := &compiler{records: r, kinds: map[string]bool{}}
	c.faults = duplicates(r)
	c.snapshot = &version.Snapshot{
		Number:    number,
		Teams:     make(map[string]*version.Team, len(r.Teams)),
		Kinds:     make(map[string]*version.Kind, len(r.Kinds)),
		Upstreams: make(map[string]*version.Upstream, len(r.Upstreams)),
		Keys:      make(map[string]*version.Key, len(r.Keys)),
	}
	c.declareKinds()
	c.upstreams()
	c.teams()
	c.keys()
	c.compileKinds()
	if err := c.faults.Err(); err != nil {
		return nil, err
	}
	return c.snapshot, nil
}

type compiler struct {
	records *Records
	// kinds contains the names of all declared kinds.
	kinds    map[string]bool
	snapshot *version.Snapshot
	faults   Faults
}

func (c *compiler) declareKinds() {
	for _, kind := range c.records.Kinds {
		c.kinds[kind.Name] = true
	}
}

func (c *compiler) upstreams() {
	for _, upstream := range c.records.Upstreams {
		upstreamSpec.Check(&c.faults, upstream.File, upstream.label(), &upstream, nil)
		c.snapshot.Upstreams[upstream.Name] = &version.Upstream{
			Name:        upstream.Name,
			RetryBudget: upstream.RetryBudget,
		}
	}
}

func (c *compiler) teams() {
	for _, team := range c.records.Teams {
		teamSpec.Check(&c.faults, team.File, team.label(), &team, nil)
		c.objectives(team)
		c.snapshot.Teams[team.Name] = &version.Team{
			Name:       team.Name,
			Share:      team.Share,
			Limit:      team.Limit,
			QueueLimit: team.QueueLimit,
			Objectives: append([]version.Objective(nil), team.Objectives...),
		}
	}
}

func (c *compiler) objectives(team Team) {
	seen := map[string]bool{}
	for i, objective := range team.Objectives {
		label := team.label() + ", " + tableLabel(objectiveSpec.Name, objective.Kind, i)
		objectiveSpec.Check(&c.faults, team.File, label, &objective, nil)
		if objective.Kind != "" && !c.kinds[objective.Kind] {
			c.faults.Add(team.File, label, "kind", "there is no such kind")
		}
		if seen[objective.Kind] {
			c.faults.Add(team.File, label, "kind", "the team has two objectives for it")
		}
		seen[objective.Kind] = true
	}
}

func (c *compiler) keys() {
	for _, key := range c.records.Keys {
		keySpec.Check(&c.faults, key.File, key.label(), &key, nil)
		if c.snapshot.Teams[key.Team] == nil {
			c.faults.Add(key.File, key.label(), "team", "there is no team %q", key.Team)
		}
		c.snapshot.Keys[key.SHA256] = &version.Key{ID: key.ID, Team: key.Team}
	}
}

func (c *compiler) compileKinds() {
	for _, kind := range c.records.Kinds {
		kindSpec.Check(&c.faults, kind.File, kind.label(), &kind, nil)
		for _, team := range kind.Teams {
			if c.snapshot.Teams[team] == nil {
				c.faults.Add(kind.File, kind.label(), "teams", "there is no team %q", team)
			}
		}
		c.checkPolicyFields(kind)
		c.snapshot.Kinds[kind.Name] = compileKind(kind)
	}
}

// checkPolicyFields checks that the kind has the fields that its policy requires and none
// that the policy does not use.
func (c *compiler) checkPolicyFields(kind Kind) {
	isRequest := version.Policy(kind.Policy) == version.PolicyRequest
	isService := version.Policy(kind.Policy) == version.PolicyService
	c.checkPresence(kind, "upstream", isRequest, kind.Upstream != "")
	c.checkPresence(kind, "run_time", !isRequest && !isService, kind.RunTime != 0)
	switch {
	case isRequest:
		c.checkPresence(kind, "deadline", true, kind.Deadline != 0)
		c.checkPresence(kind, "max_tasks", false, kind.MaxTasks != 0)
	case isService:
		c.checkPresence(kind, "deadline", false, kind.Deadline != 0)
		c.checkPresence(kind, "attempts", false, kind.Attempts != 0)
	}
	if !isRequest {
		c.checkPresence(kind, "amount.milli_cpu", true, kind.Amount.MilliCPU != 0)
		c.checkPresence(kind, "amount.memory_mb", true, kind.Amount.MemoryMB != 0)
	}
	if kind.Upstream != "" && c.snapshot.Upstreams[kind.Upstream] == nil {
		c.faults.Add(kind.File, kind.label(), "upstream", "there is no upstream %q", kind.Upstream)
	}
	if kind.Attempts > 1 && !kind.Idempotent {
		c.faults.Add(kind.File, kind.label(), "attempts", "must be 1: the kind is not idempotent")
	}
}

// checkPresence adds a fault if a required field is not set, or a field that is not required
// is set.
func (c *compiler) checkPresence(kind Kind, field string, required, set bool) {
	switch {
	case required && !set:
		c.faults.Add(kind.File, kind.label(), field, "must be given for policy %s", kind.Policy)
	case set && !required:
		c.faults.Add(kind.File, kind.label(), field, "has no use for policy %s", kind.Policy)
	}
}

func compileKind(kind Kind) *version.Kind {
	out := &version.Kind{
		Name:       kind.Name,
		Policy:     version.Policy(kind.Policy),
		Upstream:   kind.Upstream,
		Idempotent: kind.Idempotent,
		Urgent:     kind.Urgent,
		Deadline:   kind.Deadline,
		Amount:     kind.Amount,
		RunTime:    kind.RunTime,
		MaxTasks:   kind.MaxTasks,
		Attempts:   attempts(kind),
		Teams:      append([]string(nil), kind.Teams...),
	}
	out.Amount.Running = 1
	if out.Policy == version.PolicyRequest {
		out.Amount.Slots = max(out.Amount.Slots, 1)
	} else {
		out.MaxTasks = max(out.MaxTasks, 1)
	}
	return out
}

// attempts returns the number of attempts, including the defaults.
func attempts(kind Kind) int {
	switch {
	case version.Policy(kind.Policy) == version.PolicyService:
		return UnboundedAttempts
	case kind.Attempts != 0:
		return kind.Attempts
	case kind.Idempotent:
		return defaultAttempts
	}
	return 1
}
