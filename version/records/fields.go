package records

import (
	"errors"

	"github.com/kingcuplatch/kingcuplatch/internal/tomlcheck"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// Bounds and defaults of numbers in records. Times are in seconds.
const (
	minShare          = 1
	maxShare          = 1_000_000
	maxQueueLimit     = 100_000
	defaultQueueLimit = 1000
	maxMilliCPU       = 1_000_000
	maxMemoryMB       = 16_000_000
	maxAccelerators   = 64
	maxSlots          = 64
	minDeadline       = 0.01
	maxDeadline       = 86_400
	maxRunTime        = 30 * 86_400
	maxTasks          = 100_000
	maxAttempts       = 100
	minWaiting        = 0.001
	maxWaiting        = 7 * 86_400
	minTarget         = 0.5
	maxTarget         = 0.999999
	maxRetryBudget    = 1
)

// DefaultRetryBudget is the retry budget of an upstream whose record does not set it, as in
// schema 1.
const DefaultRetryBudget = 0.1

func checkPolicy(policy string) error {
	switch version.Policy(policy) {
	case version.PolicyRequest, version.PolicyService, version.PolicyBatch, version.PolicyAllAtOnce:
		return nil
	}
	return errors.New("must be request, service, batch or all-at-once")
}

var unlimited = resource.Amount{
	Running:      version.NoLimit,
	MilliCPU:     version.NoLimit,
	MemoryMB:     version.NoLimit,
	Accelerators: version.NoLimit,
	Slots:        version.NoLimit,
}

// limitField returns the field for one dimension of a team's limit. value selects the
// dimension.
func limitField(key, unit, doc string, value func(*resource.Amount) *int64) tomlcheck.Field[Team] {
	return tomlcheck.Field[Team]{
		Key: "limit." + key, At: func(t *Team) any { return value(&t.Limit) },
		Min: 0, Max: float64(version.NoLimit), Unit: unit, DefaultText: "no limit", Doc: doc,
	}
}

var teamSpec = &tomlcheck.Spec[Team]{
	Name:     "team",
	Defaults: Team{Limit: unlimited, QueueLimit: defaultQueueLimit},
	Children: []string{"objective"},
	Fields: []tomlcheck.Field[Team]{
		{Key: "name", At: func(t *Team) any { return &t.Name }, Required: true, Check: tomlcheck.CheckName, Doc: "Name of the team."},
		{
			Key: "share", At: func(t *Team) any { return &t.Share }, Required: true, Min: minShare, Max: maxShare,
			Unit: "weight", Doc: "Weight of the team when everything is full.",
		},
		limitField("running", "tasks and requests", "Most tasks and requests running across the fleet.",
			func(a *resource.Amount) *int64 { return &a.Running }),
		limitField("milli_cpu", "1/1000 core", "Most processor time.", func(a *resource.Amount) *int64 { return &a.MilliCPU }),
		limitField("memory_mb", "10^6 bytes", "Most memory.", func(a *resource.Amount) *int64 { return &a.MemoryMB }),
		limitField("accelerators", "accelerators", "Most accelerators.",
			func(a *resource.Amount) *int64 { return &a.Accelerators }),
		limitField("slots", "slots", "Most request slots.", func(a *resource.Amount) *int64 { return &a.Slots }),
		{
			Key: "queue_limit", At: func(t *Team) any { return &t.QueueLimit }, Min: 1, Max: maxQueueLimit,
			Unit: "requests", Doc: "Most requests of the team that one entry keeps waiting.",
		},
	},
}

var objectiveSpec = &tomlcheck.Spec[version.Objective]{
	Name: "objective",
	Fields: []tomlcheck.Field[version.Objective]{
		{
			Key: "kind", At: func(o *version.Objective) any { return &o.Kind }, Check: tomlcheck.CheckName, Since: Schema2,
			DefaultText: "all kinds", Doc: "Kind of work that the objective is for.",
		},
		{
			Key: "waiting", At: func(o *version.Objective) any { return &o.Waiting }, Required: true, Since: Schema2,
			Min: minWaiting, Max: maxWaiting, Doc: "Bound on the waiting time.",
		},
		{
			Key: "target", At: func(o *version.Objective) any { return &o.Target }, Required: true, Since: Schema2,
			Min: minTarget, Max: maxTarget, Unit: "fraction", Doc: "Fraction of the work that must start within the bound.",
		},
	},
}

var keySpec = &tomlcheck.Spec[Key]{
	Name: "key",
	Fields: []tomlcheck.Field[Key]{
		{Key: "id", At: func(k *Key) any { return &k.ID }, Required: true, Check: tomlcheck.CheckName, Doc: "Name of the key; not secret."},
		{Key: "team", At: func(k *Key) any { return &k.Team }, Required: true, Check: tomlcheck.CheckName, Doc: "Team that the holder acts for."},
		{
			Key: "sha256", At: func(k *Key) any { return &k.SHA256 }, Required: true, Check: tomlcheck.CheckSHA256,
			Unit: "hex", Doc: "SHA-256 of the key.",
		},
	},
}

var kindSpec = &tomlcheck.Spec[Kind]{
	Name: "kind",
	Fields: []tomlcheck.Field[Kind]{
		{Key: "name", At: func(k *Kind) any { return &k.Name }, Required: true, Check: tomlcheck.CheckName, Doc: "Name of the kind of work."},
		{
			Key: "policy", At: func(k *Kind) any { return &k.Policy }, Required: true, Check: checkPolicy,
			Doc: "`request`, `service`, `batch` or `all-at-once`.",
		},
		{
			Key: "upstream", At: func(k *Kind) any { return &k.Upstream }, Check: tomlcheck.CheckName, DefaultText: "none",
			Doc: "Upstream that answers. Request kinds must give it, others must not.",
		},
		{Key: "idempotent", At: func(k *Kind) any { return &k.Idempotent }, Doc: "Whether the work may be done twice."},
		{
			Key: "urgent", At: func(k *Kind) any { return &k.Urgent }, Since: Schema2,
			Doc: "Whether the work goes before all other work of its team.",
		},
		{
			Key: "deadline", At: func(k *Kind) any { return &k.Deadline }, Min: minDeadline, Max: maxDeadline, DefaultText: "none",
			Doc: "Time from admission to answer, or to the end of a job. Request kinds must give it, services must not.",
		},
		{
			Key: "amount.milli_cpu", At: func(k *Kind) any { return &k.Amount.MilliCPU }, Min: 1, Max: maxMilliCPU,
			Unit: "1/1000 core", Doc: "Processor time of one task or request. All but request kinds must give it.",
		},
		{
			Key: "amount.memory_mb", At: func(k *Kind) any { return &k.Amount.MemoryMB }, Min: 1, Max: maxMemoryMB,
			Unit: "10^6 bytes", Doc: "Memory of one task or request. All but request kinds must give it.",
		},
		{
			Key: "amount.accelerators", At: func(k *Kind) any { return &k.Amount.Accelerators }, Min: 1, Max: maxAccelerators,
			Since: Schema2, Unit: "accelerators", Doc: "Whole accelerators of one task or request.",
		},
		{
			Key: "amount.slots", At: func(k *Kind) any { return &k.Amount.Slots }, Min: 1, Max: maxSlots,
			Unit: "slots", DefaultText: "1 for request kinds, else 0", Doc: "Request slots of one task or request.",
		},
		{
			Key: "run_time", At: func(k *Kind) any { return &k.RunTime }, Min: 1, Max: maxRunTime, DefaultText: "none",
			Doc: "Declared run time of a task. Batch and all-at-once kinds must give it, others must not.",
		},
		{
			Key: "max_tasks", At: func(k *Kind) any { return &k.MaxTasks }, Min: 1, Max: maxTasks, Unit: "tasks",
			DefaultText: "1, 0 for request kinds", Doc: "Most tasks of one job. Request kinds must not give it.",
		},
		{
			Key: "attempts", At: func(k *Kind) any { return &k.Attempts }, Min: 1, Max: maxAttempts, Unit: "starts",
			DefaultText: "3 if idempotent, else 1",
			Doc:         "Most starts of one task or request. Above 1 only if idempotent. Services are restarted without bound and must not give it.",
		},
		{
			Key: "teams", At: func(k *Kind) any { return &k.Teams }, Check: tomlcheck.CheckName, DefaultText: "all teams",
			Doc: "Teams that may hand the work in, each once.",
		},
	},
}

var upstreamSpec = &tomlcheck.Spec[Upstream]{
	Name:     "upstream",
	Defaults: Upstream{RetryBudget: DefaultRetryBudget},
	Fields: []tomlcheck.Field[Upstream]{
		{Key: "name", At: func(u *Upstream) any { return &u.Name }, Required: true, Check: tomlcheck.CheckName, Doc: "Name of the upstream."},
		{
			Key: "retry_budget", At: func(u *Upstream) any { return &u.RetryBudget }, Since: Schema2,
			Min: 0, Max: maxRetryBudget, Unit: "fraction", Doc: "Share of first attempts that may be retried.",
		},
	},
}
