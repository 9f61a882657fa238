package store

import (
	"context"

	"github.com/rotisserie/eris"
)

// awaitMajority announces a version until it is known to a majority of the entries.
func (s *Store) awaitMajority(ctx context.Context, number uint64) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), majorityTimeout)
	defer cancel()
	notified := make(map[string]bool)
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		s.announce(ctx, number, notified)
		if s.knownToMajority(number, notified) {
			return nil
		}
		if sleep(ctx, backoff) != nil {
			return eris.Wrapf(ErrOutcomeUnknown, "version %d is in the table, but most entries have not heard of it", number)
		}
	}
}

// announce announces the version once and adds the peers that confirmed it to notified.
func (s *Store) announce(ctx context.Context, number uint64, notified map[string]bool) {
	if s.options.Announce == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	for _, instance := range s.options.Announce(ctx, number) {
		notified[instance] = true
	}
}

// knownToMajority reports whether a version is known to a majority of the entries.
func (s *Store) knownToMajority(number uint64, notified map[string]bool) bool {
	peers := s.peers()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.skipMajority || s.freshness.knownTo(number, peers, notified)
}
