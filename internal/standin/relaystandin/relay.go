// Package relaystandin is a small TCP relay that stands in for the network between two
// processes.
//
// It forwards to one target. Its switches make it refuse connections, or discard all data:
// in ModeSilent connections stay open, but nothing that arrives at either end is
// forwarded. A connection that was open in ModeSilent discards data for the rest of its
// lifetime. After a change back to ModePass only new connections work.
package relaystandin

import (
	"errors"
	"io"
	"net"
	"sync"
)

// Mode selects what a relay does with connections.
type Mode string

// The modes of a relay.
const (
	ModePass   Mode = "pass"
	ModeRefuse Mode = "refuse"
	ModeSilent Mode = "silent"
)

// Switches select the mode and the target. Target is the address to forward to. If it is
// empty, connections are refused.
type Switches struct {
	Mode   Mode   `json:"mode"`
	Target string `json:"target"`
}

// Relay is the stand-in. It is safe for concurrent use.
type Relay struct {
	mu       sync.Mutex
	switches Switches
	pairs    map[*pair]struct{}
}

// pair is an accepted connection and the corresponding one to the target.
type pair struct {
	client, target net.Conn
	// silent is set while data is discarded.
	silent bool
}

// New returns a relay that forwards to target.
func New(target string) *Relay {
	return &Relay{
		switches: Switches{Mode: ModePass, Target: target},
		pairs:    make(map[*pair]struct{}),
	}
}

// Change edits the switches under their lock and returns the switches after it.
func (r *Relay) Change(edit func(*Switches)) Switches {
	r.mu.Lock()
	defer r.mu.Unlock()
	edit(&r.switches)
	for p := range r.pairs {
		switch r.switches.Mode {
		case ModeRefuse:
			p.close()
		case ModeSilent:
			p.silent = true
		}
	}
	return r.switches
}

// Serve accepts connections until the listener is closed.
func (r *Relay) Serve(listener net.Listener) error {
	for {
		client, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go r.relay(client)
	}
}

// relay serves one connection until either end closes it.
func (r *Relay) relay(client net.Conn) {
	defer client.Close()
	r.mu.Lock()
	current := r.switches
	r.mu.Unlock()
	if current.Mode == ModeRefuse || current.Target == "" {
		return
	}
	target, err := net.Dial("tcp", current.Target)
	if err != nil {
		return
	}
	p := &pair{client: client, target: target}
	if !r.add(p) {
		p.close()
		return
	}
	defer r.remove(p)
	var copies sync.WaitGroup
	copies.Go(func() { r.copy(p, client, target) })
	copies.Go(func() { r.copy(p, target, client) })
	copies.Wait()
}

// add adds the pair and reports whether the present mode accepts it.
func (r *Relay) add(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.silent = r.switches.Mode == ModeSilent
	r.pairs[p] = struct{}{}
	return r.switches.Mode != ModeRefuse
}

func (r *Relay) remove(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

// copy forwards data in one direction and closes the pair when that direction ends.
func (r *Relay) copy(p *pair, src io.Reader, dst io.Writer) {
	defer p.close()
	var buffer [16 << 10]byte
	for {
		n, err := src.Read(buffer[:])
		if err != nil {
			return
		}
		if r.isSilent(p) {
			continue
		}
		if _, err := dst.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *Relay) isSilent(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.silent
}

func (p *pair) close() {
	_ = p.client.Close()
	_ = p.target.Close()
}
