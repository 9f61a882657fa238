package requests

import (
	"sync"

	"github.com/kingcuplatch/kingcuplatch/process/exchange"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// PeerCapacity keeps the free capacity for requests that peers reported. It implements
// RemoteCapacity and is safe for concurrent use.
type PeerCapacity struct {
	mu    sync.Mutex
	peers map[string]*freeAtPeer
}

// freeAtPeer is the free capacity of one peer by upstream: the reported one less the
// requests sent there since.
type freeAtPeer struct {
	address string
	free    map[string]resource.Amount
}

// NewPeerCapacity returns a PeerCapacity without peers.
func NewPeerCapacity() *PeerCapacity {
	return &PeerCapacity{peers: make(map[string]*freeAtPeer)}
}

// Update replaces the free capacity of a peer by that of its last message.
func (r *PeerCapacity) Update(p exchange.Peer) {
	reported := &freeAtPeer{address: p.Address, free: make(map[string]resource.Amount)}
	for _, free := range p.State.Free {
		if free.Upstream != "" {
			reported.free[free.Upstream] = free.Total
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers[p.Instance] = reported
}

// Forget drops a peer that is unreachable.
func (r *PeerCapacity) Forget(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.peers, instance)
}

// Pick implements RemoteCapacity. It chooses the peer with the most free slots.
func (r *PeerCapacity) Pick(upstream string, amount resource.Amount) (address, instance string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *freeAtPeer
	for name, reported := range r.peers {
		free := reported.free[upstream]
		if !amount.Fits(free) {
			continue
		}
		if best == nil || free.Slots > best.free[upstream].Slots {
			best = reported
			instance = name
		}
	}
	if best == nil {
		return "", "", false
	}
	best.free[upstream] = best.free[upstream].Sub(amount)
	return best.address, instance, true
}

// Exhausted implements RemoteCapacity.
func (r *PeerCapacity) Exhausted(instance, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reported, ok := r.peers[instance]; ok {
		delete(reported.free, upstream)
	}
}
