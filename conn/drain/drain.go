package drain

import (
	"net"
	"time"
)

// Limits are the ends of the phases of a drain, as times since its beginning.
type Limits struct {
	// Accept is how long new connections are accepted.
	Accept time.Duration
	// Answer is how long requests in progress are waited for before their contexts end.
	Answer time.Duration
	// Cut is when connections are closed even if their requests have not been answered.
	Cut time.Duration
}

// Fractions of a grace period.
const (
	// acceptFraction leaves requests on the last accepted connections half of the grace
	// period.
	acceptFraction = 0.45
	answerFraction = 0.9
	cutFraction    = 0.95
)

// LimitsWithin returns the limits of a process that is killed after the grace period, and
// whose load balancer sends no new connections from notReady on.
func LimitsWithin(grace, notReady time.Duration) Limits {
	return Limits{
		Accept: min(notReady, fraction(grace, acceptFraction)),
		Answer: fraction(grace, answerFraction),
		Cut:    fraction(grace, cutFraction),
	}
}

func fraction(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// Outcome describes how a drain ended.
type Outcome struct {
	// Took is the length of the drain.
	Took time.Duration
	// AtClose counts the connections when the listener was closed.
	AtClose Connections
	// Cancelled is the number of requests whose contexts were ended, Cut the number of
	// those that were not answered.
	Cancelled, Cut int
	// IdleClosed is the number of connections that were closed since no request arrived on
	// them, Crossed the number of those on which bytes arrived after their close.
	IdleClosed, Crossed int
}

// Drain stops the server. Every request that was read before the limit Cut is answered if
// its handler returns when its context ends.
func (s *Server) Drain(l Limits) Outcome {
	began := time.Now()
	s.draining.Store(true)
	time.Sleep(l.Accept)
	s.stopAccepting()
	outcome := Outcome{AtClose: s.Connections()}
	if !s.awaitClosed(began.Add(l.Answer)) {
		outcome.Cancelled = s.Connections().Requests
		s.cancel()
		s.awaitClosed(began.Add(l.Cut))
	}
	outcome.Cut = s.Connections().Requests
	_ = s.Close()
	outcome.IdleClosed, outcome.Crossed = int(s.idleClosed.Load()), int(s.crossed.Load())
	outcome.Took = time.Since(began)
	return outcome
}

// stopAccepting closes the listener after the connections in its queue were accepted, which
// takes at most maxAcceptDelay. The time counts from now: a process that got no processor has
// a queue, however late it is.
func (s *Server) stopAccepting() {
	l := s.listening()
	if l == nil {
		return
	}
	if extendAccept(l) {
		select {
		case <-s.served:
		case <-time.After(maxAcceptDelay):
		}
	}
	_ = l.Close()
}

// listening returns the listener, or nil before Serve.
func (s *Server) listening() net.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener
}

// awaitClosed closes connections without a request in progress, and reports whether all
// connections were closed before the limit.
func (s *Server) awaitClosed(limit time.Time) bool {
	for {
		open := s.open()
		if len(open) == 0 {
			return true
		}
		if !time.Now().Before(limit) {
			return false
		}
		for _, c := range open {
			c.closeUnlessRead()
		}
		time.Sleep(pollInterval)
	}
}

func (s *Server) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}
