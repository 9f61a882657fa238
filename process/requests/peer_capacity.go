package requests

import (
	"maps"
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

// freeAtPeer is the free capacity of one peer by upstream.
type freeAtPeer struct {
	address string
	// reported is what the last report said, free the same less the requests sent there
	// since and not yet answered.
	reported map[string]resource.Amount
	free     map[string]resource.Amount
}

// NewPeerCapacity returns a PeerCapacity without peers.
func NewPeerCapacity() *PeerCapacity {
	return &PeerCapacity{peers: make(map[string]*freeAtPeer)}
}

// Update replaces the free capacity of a peer by that of its last message.
func (r *PeerCapacity) Update(p exchange.Peer) {
	next := &freeAtPeer{address: p.Address, reported: make(map[string]resource.Amount)}
	for _, free := range p.State.Free {
		if free.Upstream != "" {
			next.reported[free.Upstream] = free.Total
		}
	}
	next.free = maps.Clone(next.reported)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers[p.Instance] = next
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
	for name, peer := range r.peers {
		free := peer.free[upstream]
		if !amount.Fits(free) {
			continue
		}
		if best == nil || free.Slots > best.free[upstream].Slots {
			best = peer
			instance = name
		}
	}
	if best == nil {
		return "", "", false
	}
	best.free[upstream] = best.free[upstream].Sub(amount)
	return best.address, instance, true
}

// Freed implements RemoteCapacity. No more is free than the peer reported: its report may
// be from after the end of the request, and may count work of other entries.
func (r *PeerCapacity) Freed(instance, upstream string, amount resource.Amount) {
	r.mu.Lock()
	defer r.mu.Unlock()
	peer, ok := r.peers[instance]
	if !ok {
		return
	}
	if free, ok := peer.free[upstream]; ok {
		peer.free[upstream] = free.Add(amount).Min(peer.reported[upstream])
	}
}

// Exhausted implements RemoteCapacity. The upstream has nothing free at the peer until its
// next report.
func (r *PeerCapacity) Exhausted(instance, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if peer, ok := r.peers[instance]; ok {
		delete(peer.free, upstream)
	}
}
