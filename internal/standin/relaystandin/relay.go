// Package relaystandin is a small TCP relay that takes the place of the network
// between two processes.
//
// It passes bytes on to one target until its switches make it refuse
// connections, or go silent: then connections stay open, and what arrives at
// either end is swallowed. A connection that went silent stays so for good; after
// a change back to ModePass only new connections work.
package relaystandin

import (
	"errors"
	"io"
	"net"
	"sync"
)

// Mode is what a relay does with connections.
type Mode string

// The modes of a relay.
const (
	ModePass   Mode = "pass"
	ModeRefuse Mode = "refuse"
	ModeSilent Mode = "silent"
)

// Switches make the relay fail. Target is the address that bytes are passed to;
// without one connections are refused.
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

// pair is an accepted connection and the one to the target.
type pair struct {
	near, far net.Conn
	silent    bool
}

// New returns a relay that passes bytes to target.
func New(target string) *Relay {
	return &Relay{
		switches: Switches{Mode: ModePass, Target: target},
		pairs:    make(map[*pair]struct{}),
	}
}

// Change edits the switches and returns what they are afterwards.
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
		near, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go r.relay(near)
	}
}

// relay serves one connection until either end closes it.
func (r *Relay) relay(near net.Conn) {
	defer near.Close()
	r.mu.Lock()
	now := r.switches
	r.mu.Unlock()
	if now.Mode == ModeRefuse || now.Target == "" {
		return
	}
	far, err := net.Dial("tcp", now.Target)
	if err != nil {
		return
	}
	p := &pair{near: near, far: far}
	if !r.track(p) {
		p.close()
		return
	}
	defer r.forget(p)
	var pumps sync.WaitGroup
	pumps.Go(func() { r.pump(p, near, far) })
	pumps.Go(func() { r.pump(p, far, near) })
	pumps.Wait()
}

// track adds the pair under the mode of now; false if that refuses it.
func (r *Relay) track(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.silent = r.switches.Mode == ModeSilent
	r.pairs[p] = struct{}{}
	return r.switches.Mode != ModeRefuse
}

func (r *Relay) forget(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

// pump passes bytes one way and ends the pair when that way ends.
func (r *Relay) pump(p *pair, from io.Reader, to io.Writer) {
	defer p.close()
	var buffer [16 << 10]byte
	for {
		n, err := from.Read(buffer[:])
		if err != nil {
			return
		}
		if r.silent(p) {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *Relay) silent(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.silent
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}
