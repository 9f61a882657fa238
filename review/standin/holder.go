package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// holders checks ONE: orders for a machine with a lower fencing token after a higher one.
type holders struct {
	mu      sync.Mutex
	highest map[string]uint64
	broken  []string
	// listed is signalled when the list of machines is asked for.
	listed chan struct{}
	// proceed is closed when the list may be answered.
	proceed chan struct{}
}

// wrap passes the calls of the machine service on.
func (h *holders) wrap(next http.Handler, s *site) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			h.mu.Lock()
			listed, proceed := h.listed, h.proceed
			h.mu.Unlock()
			if listed != nil {
				select {
				case listed <- struct{}{}:
					<-proceed
				default:
				}
			}
			next.ServeHTTP(rw, r)
			return
		}
		h.order(s, r)
		next.ServeHTTP(rw, r)
	})
}

// order checks an order. Its body is left as it was.
func (h *holders) order(s *site, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	var what struct {
		Machine string `json:"machine"`
	}
	if err != nil || json.Unmarshal(body, &what) != nil {
		return
	}
	holder := r.Header.Get("Duty-Holder")
	fence, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s.log.printf("%s orders %s with fence %d", holder, what.Machine, fence)
	if high := h.highest[what.Machine]; fence < high {
		h.broken = append(h.broken, fmt.Sprintf("ONE: %s orders the upkeep of %s with fence %d after an order with fence %d", holder, what.Machine, fence, high))
	}
	h.highest[what.Machine] = max(h.highest[what.Machine], fence)
}

const (
	// holderFreezes is how many times the scheduler freezes, for freezeTime each; after it there are
	// holderCalm without a disruption.
	holderFreezes = 9
	holderCalm    = 5 * time.Second
)

// playHolder freezes the scheduler, again and again, while the list of machines that it has asked
// for is on its way. When it wakes it must not act on the list: another one has taken over.
func playHolder(ctx context.Context, s *site, trouble bool) ([]string, error) {
	m := newMachines(s)
	h := &holders{highest: make(map[string]uint64)}
	at, err := s.serve(s.network+".3:0", h.wrap(m.handler(), s))
	if err != nil {
		return nil, err
	}
	s.machinesAt = at
	s.configure(queue{maxAttempts: 3, stretch: 2, targetMS: 1000})
	if err := s.addWorkers(48, 32000); err != nil {
		return nil, err
	}
	if err := s.addEntries(ctx, 3); err != nil {
		return nil, err
	}
	if err := pause(ctx, 4*time.Second); err != nil {
		return nil, err
	}
	var names []string
	for _, w := range s.workers {
		names = append(names, machineOf(w))
	}
	s.store.put("op", "wave/1", map[string]any{"wave": 1, "machines": names, "duration_s": 90, "cap": 1})
	if err := pause(ctx, 5*time.Second); err != nil {
		return nil, err
	}
	for range holderFreezes {
		h.mu.Lock()
		h.listed, h.proceed = make(chan struct{}), make(chan struct{})
		listed, proceed := h.listed, h.proceed
		h.mu.Unlock()
		<-listed
		leader := s.leader()
		if trouble {
			leader.signal(syscall.SIGSTOP)
		}
		h.mu.Lock()
		h.listed = nil
		h.mu.Unlock()
		close(proceed)
		if err := pause(ctx, freezeTime); err != nil {
			leader.signal(syscall.SIGCONT)
			return nil, err
		}
		if trouble {
			leader.signal(syscall.SIGCONT)
		}
		if err := pause(ctx, holderCalm); err != nil {
			return nil, err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.broken, nil
}
