package requests

import (
	"sync"

	"github.com/kingcuplatch/kingcuplatch/process/exchange"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Room keeps what peers told of free room for requests. It implements RemoteRoom
// and is safe for concurrent use.
type Room struct {
	mu    sync.Mutex
	peers map[string]*peerRoom
}

// peerRoom is what one peer has left, by upstream, since it told.
type peerRoom struct {
	address string
	free    map[string]resource.Amount
}

// NewRoom returns a room without peers.
func NewRoom() *Room {
	return &Room{peers: make(map[string]*peerRoom)}
}

// Heard replaces what is known of a peer.
func (r *Room) Heard(p exchange.Peer) {
	room := &peerRoom{address: p.Address, free: make(map[string]resource.Amount)}
	for _, free := range p.State.Free {
		if free.Upstream != "" {
			room.free[free.Upstream] = free.Total
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers[p.Instance] = room
}

// Forget drops a peer that can't be reached.
func (r *Room) Forget(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.peers, instance)
}

// Pick implements RemoteRoom: the peer with the most free slots.
func (r *Room) Pick(upstream string, amount resource.Amount) (address, instance string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *peerRoom
	for name, room := range r.peers {
		free := room.free[upstream]
		if !amount.Fits(free) {
			continue
		}
		if best == nil || free.Slots > best.free[upstream].Slots {
			best = room
			instance = name
		}
	}
	if best == nil {
		return "", "", false
	}
	best.free[upstream] = best.free[upstream].Sub(amount)
	return best.address, instance, true
}

// Exhausted implements RemoteRoom.
func (r *Room) Exhausted(instance, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if room, ok := r.peers[instance]; ok {
		delete(room.free, upstream)
	}
}
