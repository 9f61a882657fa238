package store

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcuplatch/kingcuplatch/version/records"
	"gotest.tools/v3/assert"
)

const (
	entries = 4
	// maxDelay is the time after which an entry either has an accepted change in force or
	// does not admit work.
	maxDelay = 3 * time.Second
	// exchangeInterval is the interval at which entries exchange their status.
	exchangeInterval = time.Second
	key              = "the-key"
)

// testCluster runs several entries in virtual time. Connections between them and to the
// platform can be interrupted.
type testCluster struct {
	platform *fakePlatform
	links    [entries]*link
	stores   [entries]atomic.Pointer[Store]
	// isolated is the entry that cannot reach its peers, -1 for none.
	isolated atomic.Int32
	// announceTo is the number of entries that receive announcements; those with higher
	// indexes do not.
	announceTo atomic.Int32
}

// newTestCluster starts the entries, applies records with a team and its key, and waits
// until all entries admit. The entries stop when ctx is done.
func newTestCluster(t *testing.T, ctx context.Context) *testCluster {
	c := &testCluster{platform: newFakePlatform()}
	c.isolated.Store(-1)
	c.announceTo.Store(entries)
	for i := range c.stores {
		c.links[i] = &link{fakePlatform: c.platform, stale: -1}
		c.start(ctx, i)
	}
	go c.exchange(ctx)
	c.change(t, "create", func(r *records.Records) {
		r.Teams = []records.Team{{Name: "a", Share: 1, QueueLimit: 1}}
		r.Keys = []records.Key{{ID: "k", Team: "a", SHA256: records.HashKey(key)}}
	})
	time.Sleep(maxDelay)
	for i := range c.stores {
		assert.Assert(t, c.stores[i].Load().Admitting(time.Now()) && c.usable(i))
	}
	return c
}

func (c *testCluster) start(ctx context.Context, i int) {
	s := New(Options{
		Table: c.links[i], Objects: objects{c.links[i]}, Self: fmt.Sprint(i),
		Peers:         func() []string { return c.others(i) },
		Announce:      func(ctx context.Context, number uint64) []string { return c.announce(ctx, i, number) },
		FetchFromPeer: c.fetcher(i),
	})
	c.stores[i].Store(s)
	go s.Run(ctx)
}

func (c *testCluster) others(i int) []string {
	var names []string
	for j := range entries {
		if j != i {
			names = append(names, fmt.Sprint(j))
		}
	}
	return names
}

// partitioned reports whether two entries cannot reach each other.
func (c *testCluster) partitioned(i, j int) bool {
	isolated := int(c.isolated.Load())
	return isolated == i || isolated == j
}

func (c *testCluster) announce(ctx context.Context, from int, number uint64) []string {
	var notified []string
	for to := range int(c.announceTo.Load()) {
		if to != from && !c.partitioned(from, to) {
			_ = c.stores[to].Load().Learn(ctx, fmt.Sprint(from), number)
			notified = append(notified, fmt.Sprint(to))
		}
	}
	return notified
}

func (c *testCluster) fetcher(to int) func(context.Context, string, uint64) (Version, error) {
	return func(_ context.Context, instance string, _ uint64) (Version, error) {
		for from := range entries {
			if fmt.Sprint(from) != instance || c.partitioned(from, to) {
				continue
			}
			if v, ok := c.stores[from].Load().Latest(); ok {
				return v, nil
			}
		}
		return Version{}, ErrNoPeer
	}
}

// exchange makes every entry request the status of every other entry at each interval.
func (c *testCluster) exchange(ctx context.Context) {
	for sleep(ctx, exchangeInterval) == nil {
		for i := range entries {
			for j := range entries {
				if i != j && !c.partitioned(i, j) {
					now := time.Now()
					c.stores[i].Load().ObservePeer(fmt.Sprint(j), c.stores[j].Load().Status().ForPeers(now), now)
				}
			}
		}
	}
}

// change applies a change at entry 0, which must succeed.
func (c *testCluster) change(t *testing.T, id string, edit func(*records.Records)) {
	assert.NilError(t, c.apply(t, id, edit))
}

func (c *testCluster) apply(t *testing.T, id string, edit func(*records.Records)) error {
	_, err := c.stores[0].Load().Apply(t.Context(), id, 0, func(r *records.Records) (*records.Records, error) {
		edit(r)
		return r, nil
	})
	return err
}

// withdraw applies a change that withdraws the key.
func (c *testCluster) withdraw(t *testing.T) {
	c.change(t, "withdraw", func(r *records.Records) { r.Keys = nil })
}

// usable reports whether the entry admits work with the key.
func (c *testCluster) usable(i int) bool {
	s := c.stores[i].Load()
	return s.Admitting(time.Now()) && s.Current().Keys[records.HashKey(key)] != nil
}

// cutPlatform makes the platform unreachable for the entries: their calls hang until their
// context is done, or are refused.
func (c *testCluster) cutPlatform(hang bool, list ...int) {
	for _, i := range list {
		c.links[i].interrupt(!hang, hang)
	}
}

// admits reports whether the entries admitted work continuously for d.
func (c *testCluster) admits(d time.Duration, list ...int) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, i := range list {
			if !c.stores[i].Load().Admitting(time.Now()) {
				return false
			}
		}
	}
	return true
}

// withCluster runs f in virtual time with a new cluster.
func withCluster(t *testing.T, f func(t *testing.T, ctx context.Context, c *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f(t, ctx, newTestCluster(t, ctx))
	})
}

// TestChangeInForceOnAllEntries cuts an entry off from the platform, so that its calls are
// refused or hang, and in some cases drops all announcements. The entry must continue to
// admit, and must have the change in force within maxDelay.
func TestChangeInForceOnAllEntries(t *testing.T) {
	for _, hang := range []bool{false, true} {
		for _, announceTo := range []int32{entries, 0} {
			t.Run(fmt.Sprintf("hang %t, announced to %d", hang, announceTo), func(t *testing.T) {
				withCluster(t, func(t *testing.T, _ context.Context, c *testCluster) {
					c.announceTo.Store(announceTo)
					c.cutPlatform(hang, entries-1)
					assert.Assert(t, c.admits(time.Minute, entries-1))
					c.withdraw(t)
					assert.Assert(t, c.admits(maxDelay, entries-1))
					for i := range entries {
						assert.Assert(t, !c.usable(i), "entry %d", i)
						assert.Equal(t, c.stores[i].Load().Current().Number, uint64(2))
					}
				})
			})
		}
	}
}

// TestIsolatedEntryStopsAdmitting cuts an entry off from the platform and its peers. It must
// stop admitting, since it cannot receive the change that withdraws the key.
func TestIsolatedEntryStopsAdmitting(t *testing.T) {
	withCluster(t, func(t *testing.T, _ context.Context, c *testCluster) {
		isolated := entries - 1
		c.cutPlatform(true, isolated)
		c.isolated.Store(entries - 1)
		c.withdraw(t)
		time.Sleep(maxDelay)
		assert.Assert(t, !c.stores[isolated].Load().Admitting(time.Now()))
		c.stores[isolated].Load().ignoreStaleness = true
		assert.Assert(t, c.usable(isolated), "the entry must reject the key only because its version is too old")
		c.stores[isolated].Load().ignoreStaleness = false
		c.isolated.Store(-1)
		time.Sleep(maxDelay)
		assert.Assert(t, c.admits(time.Second, isolated) && !c.usable(isolated))
	})
}

// TestTableUnreachableForAll accepts a change that is announced to one peer only, and right
// after that makes the platform unreachable for a long time. All entries must put the change
// in force and continue to admit, including a restarted one. An isolated entry must stop.
func TestTableUnreachableForAll(t *testing.T) {
	for _, hang := range []bool{false, true} {
		t.Run(fmt.Sprintf("hang %t", hang), func(t *testing.T) {
			withCluster(t, func(t *testing.T, ctx context.Context, c *testCluster) {
				c.announceTo.Store(2)
				c.platform.goDownAfterCommit(time.Hour)
				c.withdraw(t)
				c.cutPlatform(hang, 0, 1, 2, 3)
				time.Sleep(maxDelay)
				for i := range entries {
					assert.Equal(t, c.stores[i].Load().Current().Number, uint64(2))
				}
				assert.Assert(t, c.admits(10*time.Minute, 0, 1, 2, 3))
				c.start(ctx, 2)
				assert.Assert(t, !c.stores[2].Load().Admitting(time.Now()), "admits with an empty version")
				time.Sleep(maxDelay)
				assert.Assert(t, c.stores[2].Load().Current().Number == 2 && c.admits(time.Minute, 2))
				c.isolated.Store(3)
				time.Sleep(maxDelay)
				assert.Assert(t, !c.stores[3].Load().Admitting(time.Now()))
			})
		})
	}
}

// TestChangeNotAcceptedWithMinority makes the platform unreachable for all entries but one,
// which is cut off from its peers. The peers continue to admit, so the change that it writes
// must not be reported as accepted. The change must be in force on all entries once they are
// connected again.
func TestChangeNotAcceptedWithMinority(t *testing.T) {
	for _, unsafe := range []bool{false, true} {
		withCluster(t, func(t *testing.T, _ context.Context, c *testCluster) {
			c.stores[0].Load().skipMajority = unsafe
			c.cutPlatform(false, 1, 2, 3)
			c.isolated.Store(0)
			err := c.apply(t, "withdraw", func(r *records.Records) { r.Keys = nil })
			time.Sleep(maxDelay)
			assert.Assert(t, c.usable(1) && c.usable(2) && c.usable(3))
			assert.Equal(t, err == nil, unsafe, "must be accepted only if the majority check is disabled")
			assert.Assert(t, unsafe || errors.Is(err, ErrOutcomeUnknown), "%v", err)
			c.isolated.Store(-1)
			time.Sleep(maxDelay)
			for i := range entries {
				assert.Assert(t, !c.usable(i) && c.stores[i].Load().Admitting(time.Now()), "entry %d", i)
			}
		})
	}
}

// TestEntryLostWhileTableUnreachable makes the platform unreachable for all entries. They
// must continue to admit after one of the entries is isolated, and stop after a second one
// has restarted and lost its state.
func TestEntryLostWhileTableUnreachable(t *testing.T) {
	withCluster(t, func(t *testing.T, ctx context.Context, c *testCluster) {
		c.cutPlatform(true, 0, 1, 2, 3)
		assert.Assert(t, c.admits(time.Minute, 0, 1, 2, 3))
		c.isolated.Store(3)
		assert.Assert(t, c.admits(10*time.Minute, 0, 1, 2))
		assert.Assert(t, !c.stores[3].Load().Admitting(time.Now()))
		c.start(ctx, 2)
		time.Sleep(maxDelay)
		assert.Assert(t, !c.stores[0].Load().Admitting(time.Now()), "a restarted entry must not count towards the majority")
	})
}

// TestAcceptedChangeOutlivesAcceptor isolates the entry that accepted a change and makes the
// platform unreachable. The change is known to a majority of the entries, so the entry that
// was not notified must receive it from them.
func TestAcceptedChangeOutlivesAcceptor(t *testing.T) {
	withCluster(t, func(t *testing.T, _ context.Context, c *testCluster) {
		c.announceTo.Store(3)
		c.platform.goDownAfterCommit(time.Hour)
		c.withdraw(t)
		c.isolated.Store(0)
		assert.Assert(t, c.usable(3), "entry 3 must not have been notified")
		time.Sleep(maxDelay)
		for i := range entries {
			assert.Assert(t, !c.usable(i), "entry %d", i)
		}
		assert.Assert(t, c.admits(10*time.Minute, 1, 2, 3))
	})
}

// TestHeadBehind checks that no change is accepted if the table has lost the version in
// force, and that this version stays in force.
func TestHeadBehind(t *testing.T) {
	withCluster(t, func(t *testing.T, _ context.Context, c *testCluster) {
		first := c.platform.heads[0]
		c.withdraw(t)
		c.platform.mu.Lock()
		c.platform.rows[HeadKey] = first
		c.platform.mu.Unlock()
		assert.ErrorIs(t, c.stores[0].Load().Poll(t.Context()), ErrHeadBehind)
		_, err := c.stores[0].Load().Apply(t.Context(), "late", 0, func(r *records.Records) (*records.Records, error) {
			return r, nil
		})
		assert.ErrorIs(t, err, ErrHeadBehind)
		assert.Equal(t, c.stores[0].Load().Current().Number, uint64(2))
	})
}
