package ownership

import (
	"context"
	"errors"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/rotisserie/eris"
)

// tableContext returns the context with the timeout of one call to the table.
func (m *Manager) tableContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, m.ShortTerm/2)
}

// get reads one row of the table within the timeout.
func (m *Manager) get(ctx context.Context, key string) (platform.Row, bool, error) {
	ctx, cancel := m.tableContext(ctx)
	defer cancel()
	row, found, err := m.Table.Get(ctx, key)
	return row, found, eris.Wrapf(err, "read row %s", key)
}

// commit sends a transaction within the timeout. After an error that is neither
// a conflict nor ErrUnavailable the outcome is unknown.
func (m *Manager) commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	ctx, cancel := m.tableContext(ctx)
	defer cancel()
	return m.Table.Commit(ctx, txn)
}

// outcome is the result of a transaction.
type outcome int

// Outcomes of a transaction.
const (
	outcomeCommitted outcome = iota
	// outcomeNotApplied means that the transaction has had no effect and will have none.
	outcomeNotApplied
	// outcomeUnknown means that the transaction may have taken effect, or still may.
	outcomeUnknown
)

// outcomeOf returns the outcome of a transaction whose commit returned err.
func outcomeOf(err error) outcome {
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return outcomeCommitted
	case errors.As(err, &conflict), errors.Is(err, platform.ErrUnavailable):
		return outcomeNotApplied
	}
	return outcomeUnknown
}
