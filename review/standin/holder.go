package main

import (
	"context"
	"fmt"
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
		holder := r.Header.Get("Duty-Holder")
		fence, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
		h.mu.Lock()
		s.log.printf("order by %s with fence %d", holder, fence)
		for name, high := range h.highest {
			if fence < high {
				h.broken = append(h.broken, fmt.Sprintf("%s orders with fence %d after fence %d for %s", holder, fence, high, name))
				break
			}
		}
		h.highest["any"] = max(h.highest["any"], fence)
		h.mu.Unlock()
		next.ServeHTTP(rw, r)
	})
}

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
	for range 9 {
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
		time.Sleep(4 * time.Second)
		if trouble {
			leader.signal(syscall.SIGCONT)
		}
		if err := pause(ctx, 5*time.Second); err != nil {
			return nil, err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.broken, nil
}
