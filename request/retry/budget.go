package retry

// maxTokens is the maximum number of retries that a budget accumulates.
const maxTokens = 10

// Key identifies a retry budget.
type Key struct {
	Team     string
	Upstream string
}

// Budgets holds the retry budget of each key, in tokens.
type Budgets struct{ tokens map[Key]float64 }

// NewBudgets returns empty budgets.
func NewBudgets() *Budgets { return &Budgets{tokens: make(map[Key]float64)} }

// FirstAttempt records a first attempt. share is the fraction of first attempts that
// may be retried, in [0, 1].
func (b *Budgets) FirstAttempt(key Key, share float64) {
	b.tokens[key] = min(b.tokens[key]+max(0, min(share, 1)), maxTokens)
}

// MayRetry takes one token for a retry and reports whether one was available.
func (b *Budgets) MayRetry(key Key) bool {
	// Sums of shares such as 0.1 come out just below whole numbers.
	const epsilon = 1e-9
	tokens := b.tokens[key]
	if tokens < 1-epsilon {
		return false
	}
	b.tokens[key] = max(0, tokens-1)
	return true
}

// Retain drops the budgets of all keys for which keep returns false.
func (b *Budgets) Retain(keep func(Key) bool) {
	for key := range b.tokens {
		if !keep(key) {
			delete(b.tokens, key)
		}
	}
}
