package store

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Run polls the head and fetches versions that peers have, until ctx is done.
func (s *Store) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { s.runPolls(ctx) })
	running.Go(func() { s.runFetches(ctx) })
	running.Wait()
}

func (s *Store) runPolls(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		s.reportError(ctx, s.Poll(ctx))
		_ = sleep(ctx, s.options.PollEvery-time.Since(started))
	}
}

func (s *Store) runFetches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.reportError(ctx, s.Learn(ctx, "", s.Status().Known))
		}
	}
}

func (s *Store) reportError(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil && s.options.OnError != nil {
		s.options.OnError(err)
	}
}

// Poll reads the head once and puts its version in force if it is newer. If the body cannot
// be read, Poll signals Run to fetch it from a peer. The timeout is a fraction of
// Options.MaxStaleness.
func (s *Store) Poll(ctx context.Context) error {
	err := s.poll(ctx)
	if err == nil {
		return nil
	}
	if status := s.Status(); status.Known > status.Number {
		s.wakeUp()
	}
	return eris.Wrapf(err, "%s: poll configuration", s.options.Self)
}

func (s *Store) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.readTimeout())
	defer cancel()
	sent := time.Now()
	before := s.Current().Number
	h, err := s.readHead(ctx)
	s.recordRead(sent, h.Number, err)
	if err != nil {
		return err
	}
	if h.Number < before && !s.acceptLower {
		return ErrHeadBehind
	}
	next, err := s.fetch(ctx, h.head)
	if err != nil {
		return err
	}
	s.adopt(next)
	return nil
}

// recordRead records the outcome of a read of the head.
func (s *Store) recordRead(sent time.Time, number uint64, err error) {
	peers := s.peers()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.freshness.readFailed(sent)
	} else {
		s.freshness.readDone(sent, number)
	}
	s.updateLocked(peers)
}

// Learn puts a version in force that the peer `from` announced. It fetches the version from
// that peer, otherwise from any other peer that has it, otherwise from the platform. It
// returns nil at once if this version or a newer one is in force.
func (s *Store) Learn(ctx context.Context, from string, number uint64) error {
	s.mu.Lock()
	s.freshness.learn(number)
	s.mu.Unlock()
	if number <= s.Current().Number {
		return nil
	}
	for _, peer := range s.peersWith(from, number) {
		if s.learnFrom(ctx, peer, number) == nil {
			return nil
		}
	}
	if err := s.poll(ctx); err != nil {
		return eris.Wrapf(err, "%s: learn version %d", s.options.Self, number)
	}
	if s.Current().Number < number {
		return eris.Wrapf(ErrNoPeer, "%s: learn version %d", s.options.Self, number)
	}
	return nil
}

// learnFrom fetches the version from a peer and puts it in force. Calls at the same time share one
// fetch from a peer; one that gets an older version by another's fetch fetches again.
func (s *Store) learnFrom(ctx context.Context, peer string, number uint64) error {
	for {
		own := false
		fetched := s.fetches.DoChan(peer, func() (any, error) {
			own = true
			return nil, s.fetchFrom(context.WithoutCancel(ctx), peer, number)
		})
		select {
		case result := <-fetched:
			if result.Err != nil {
				return result.Err
			}
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "fetch version %d from peer %s", number, peer)
		}
		if s.Current().Number >= number {
			return nil
		}
		if own {
			return eris.Wrapf(ErrNoPeer, "fetch version %d from peer %s", number, peer)
		}
	}
}

// fetchFrom fetches the version in force of a peer, and puts it in force here if it is newer.
func (s *Store) fetchFrom(ctx context.Context, peer string, number uint64) error {
	ctx, cancel := context.WithTimeout(ctx, s.readTimeout())
	defer cancel()
	v, err := s.options.FetchFromPeer(ctx, peer, number)
	if err != nil {
		return eris.Wrapf(err, "fetch version %d from peer %s", number, peer)
	}
	next, err := load(v)
	if err != nil {
		return eris.Wrapf(err, "load version from peer %s", peer)
	}
	s.adopt(next)
	return nil
}

// peersWith returns the peers that may have the version: first the peer `from`, if it is not
// empty, then those whose status shows the version, the most recently contacted first.
func (s *Store) peersWith(from string, number uint64) []string {
	if s.options.FetchFromPeer == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, o := range s.freshness.observed {
		if name != from && o.status.Number >= number {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := s.freshness.observed[names[i]].sent, s.freshness.observed[names[j]].sent
		if a.Equal(b) {
			return names[i] < names[j]
		}
		return a.After(b)
	})
	if from != "" {
		names = append([]string{from}, names...)
	}
	return names
}
