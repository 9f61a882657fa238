package entry

import (
	"sync"

	"github.com/kingcuplatch/kingcuplatch/process/dispatch"
	"github.com/kingcuplatch/kingcuplatch/request/retry"
)

// upstreamBudget implements dispatch.Budget with the retry budgets of an upstream's teams.
type upstreamBudget struct {
	upstream string
	// share returns the fraction of first attempts that may be retried.
	share func() float64

	mu      sync.Mutex
	budgets *retry.Budgets
}

func (e *Entry) newBudget(upstream string) dispatch.Budget {
	return &upstreamBudget{
		upstream: upstream,
		budgets:  retry.NewBudgets(),
		share: func() float64 {
			if u, ok := e.config.Current().Upstreams[upstream]; ok {
				return u.RetryBudget
			}
			return 0
		},
	}
}

// FirstAttempt implements dispatch.Budget.
func (b *upstreamBudget) FirstAttempt(team string) {
	share := b.share()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgets.FirstAttempt(retry.Key{Team: team, Upstream: b.upstream}, share)
}

// MayRetry implements dispatch.Budget.
func (b *upstreamBudget) MayRetry(team string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgets.MayRetry(retry.Key{Team: team, Upstream: b.upstream})
}
