package retry

// maxTokens is how many retries a budget may save up for.
const maxTokens = 10

// Key names a retry budget.
type Key struct {
	Team     string
	Upstream string
}

// Budgets holds the retry budget of every key.
type Budgets struct{ tokens map[Key]float64 }

// NewBudgets returns budgets without any token.
func NewBudgets() *Budgets { return &Budgets{tokens: make(map[Key]float64)} }

// FirstAttempt notes a first attempt. share is the fraction of first attempts that
// may be retried, in [0, 1].
func (b *Budgets) FirstAttempt(key Key, share float64) {
	b.tokens[key] = min(b.tokens[key]+max(0, min(share, 1)), maxTokens)
}

// MayRetry takes one token for a retry and reports whether there was one.
func (b *Budgets) MayRetry(key Key) bool {
	// Sums of shares such as 0.1 come out just below whole numbers.
	const rounding = 1e-9
	tokens := b.tokens[key]
	if tokens < 1-rounding {
		return false
	}
	b.tokens[key] = max(0, tokens-1)
	return true
}

// Keep forgets the budgets of keys for which keep returns false.
func (b *Budgets) Keep(keep func(Key) bool) {
	for key := range b.tokens {
		if !keep(key) {
			delete(b.tokens, key)
		}
	}
}
