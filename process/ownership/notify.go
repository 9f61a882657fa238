package ownership

import (
	"context"
	"sync"
	"time"
)

// changed applies rows that another entry has just written.
func (m *Manager) changed(p changedParams) struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range p.Blocks {
		m.observeBlock(b)
	}
	if p.Entry != nil && p.Entry.Instance != m.self.Instance {
		m.scannedAt = time.Time{}
	}
	m.wake()
	return struct{}{}
}

// notify announces rows without waiting for the answers, so that an unreachable
// entry delays nothing.
func (m *Manager) notify(ctx context.Context, p changedParams) {
	m.notifications.Go(func() { m.announce(ctx, p) })
}

// announce notifies all other entries of rows just written.
func (m *Manager) announce(ctx context.Context, p changedParams) {
	m.mu.Lock()
	others := m.others()
	m.mu.Unlock()
	var calls sync.WaitGroup
	for _, to := range others {
		calls.Go(func() { m.sendChanged(ctx, to, p) })
	}
	calls.Wait()
}

// sendChanged notifies one entry of rows. A failure is ignored: the entry reads the rows
// at its next scan.
func (m *Manager) sendChanged(ctx context.Context, to Member, p changedParams) {
	ctx, cancel := context.WithTimeout(ctx, m.Heartbeat)
	defer cancel()
	var none struct{}
	_ = m.Peers.Call(ctx, to.Address, methodChanged, p, &none)
}
