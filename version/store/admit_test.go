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
	// promise is the time within which an accepted change is in force, or the
	// entry doesn't admit.
	promise = 3 * time.Second
	// exchangeEvery is how often entries ask one another for their status.
	exchangeEvery = time.Second
	key           = "the-key"
)

// cell is a few entries in virtual time, with cuts between them and to the
// platform.
type cell struct {
	platform *fakePlatform
	links    [entries]*link
	stores   [entries]atomic.Pointer[Store]
	// island is cut off from its peers, -1 for none.
	island atomic.Int32
	// announceTo is the number of the first entry that no announcement reaches.
	announceTo atomic.Int32
}

// newCell starts the entries, gives them a team with a key, and waits until all
// admit. They end with ctx.
func newCell(t *testing.T, ctx context.Context) *cell {
	c := &cell{platform: newFakePlatform()}
	c.island.Store(-1)
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
	time.Sleep(promise)
	for i := range c.stores {
		assert.Assert(t, c.stores[i].Load().Admitting(time.Now()) && c.usable(i))
	}
	return c
}

func (c *cell) start(ctx context.Context, i int) {
	s := New(Options{
		Table: c.links[i], Objects: objects{c.links[i]}, Self: fmt.Sprint(i),
		Peers:         func() []string { return c.others(i) },
		Announce:      func(ctx context.Context, number uint64) []string { return c.announce(ctx, i, number) },
		FetchFromPeer: c.fetcher(i),
	})
	c.stores[i].Store(s)
	go s.Run(ctx)
}

func (c *cell) others(i int) []string {
	var names []string
	for j := range entries {
		if j != i {
			names = append(names, fmt.Sprint(j))
		}
	}
	return names
}

func (c *cell) cut(i, j int) bool {
	island := int(c.island.Load())
	return island == i || island == j
}

func (c *cell) announce(ctx context.Context, from int, number uint64) []string {
	var told []string
	for to := range int(c.announceTo.Load()) {
		if to != from && !c.cut(from, to) {
			_ = c.stores[to].Load().Learn(ctx, fmt.Sprint(from), number)
			told = append(told, fmt.Sprint(to))
		}
	}
	return told
}

func (c *cell) fetcher(to int) func(context.Context, string, uint64) (Version, error) {
	return func(_ context.Context, instance string, _ uint64) (Version, error) {
		for from := range entries {
			if fmt.Sprint(from) != instance || c.cut(from, to) {
				continue
			}
			if v, ok := c.stores[from].Load().Latest(); ok {
				return v, nil
			}
		}
		return Version{}, ErrNoPeer
	}
}

// exchange has every entry ask every other for its status.
func (c *cell) exchange(ctx context.Context) {
	for sleep(ctx, exchangeEvery) == nil {
		for i := range entries {
			for j := range entries {
				if i != j && !c.cut(i, j) {
					now := time.Now()
					c.stores[i].Load().ObservePeer(fmt.Sprint(j), c.stores[j].Load().Status().ForPeers(now), now)
				}
			}
		}
	}
}

// change has entry 0 accept a change.
func (c *cell) change(t *testing.T, id string, edit func(*records.Records)) {
	assert.NilError(t, c.apply(t, id, edit))
}

func (c *cell) apply(t *testing.T, id string, edit func(*records.Records)) error {
	_, err := c.stores[0].Load().Apply(t.Context(), id, 0, func(r *records.Records) (*records.Records, error) {
		edit(r)
		return r, nil
	})
	return err
}

func (c *cell) withdraw(t *testing.T) {
	c.change(t, "withdraw", func(r *records.Records) { r.Keys = nil })
}

// usable reports whether the entry admits work under the key.
func (c *cell) usable(i int) bool {
	s := c.stores[i].Load()
	return s.Admitting(time.Now()) && s.Current().Keys[records.HashKey(key)] != nil
}

func (c *cell) cutStore(hang bool, list ...int) {
	for _, i := range list {
		c.links[i].cut(!hang, hang)
	}
}

// admits watches the entries for d and reports whether all admitted all the time.
func (c *cell) admits(d time.Duration, list ...int) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, i := range list {
			if !c.stores[i].Load().Admitting(time.Now()) {
				return false
			}
		}
	}
	return true
}

// inCell runs f in virtual time on a fresh cell.
func inCell(t *testing.T, f func(t *testing.T, ctx context.Context, c *cell)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f(t, ctx, newCell(t, ctx))
	})
}

// TestInForceEverywhere: the last entry is cut off from the platform, which
// refuses or hangs, and announcements are lost in some cases. It goes on
// admitting and has the change in time.
func TestInForceEverywhere(t *testing.T) {
	for _, hang := range []bool{false, true} {
		for _, announceTo := range []int32{entries, 0} {
			t.Run(fmt.Sprintf("hang %t, announced to %d", hang, announceTo), func(t *testing.T) {
				inCell(t, func(t *testing.T, _ context.Context, c *cell) {
					c.announceTo.Store(announceTo)
					c.cutStore(hang, entries-1)
					assert.Assert(t, c.admits(time.Minute, entries-1))
					c.withdraw(t)
					assert.Assert(t, c.admits(promise, entries-1))
					for i := range entries {
						assert.Assert(t, !c.usable(i), "entry %d", i)
						assert.Equal(t, c.stores[i].Load().Current().Number, uint64(2))
					}
				})
			})
		}
	}
}

// TestIslandStopsAdmitting: an entry that reaches neither platform nor peers.
func TestIslandStopsAdmitting(t *testing.T) {
	inCell(t, func(t *testing.T, _ context.Context, c *cell) {
		island := entries - 1
		c.cutStore(true, island)
		c.island.Store(entries - 1)
		c.withdraw(t)
		time.Sleep(promise)
		assert.Assert(t, !c.stores[island].Load().Admitting(time.Now()))
		c.stores[island].Load().ignoreBound = true
		assert.Assert(t, c.usable(island), "the bound is not what stopped the key")
		c.stores[island].Load().ignoreBound = false
		c.island.Store(-1)
		time.Sleep(promise)
		assert.Assert(t, c.admits(time.Second, island) && !c.usable(island))
	})
}

// TestStoreDownForAll: the platform goes down right after a change was accepted,
// of which one peer only is told at once, and stays down for long.
func TestStoreDownForAll(t *testing.T) {
	for _, hang := range []bool{false, true} {
		t.Run(fmt.Sprintf("hang %t", hang), func(t *testing.T) {
			inCell(t, func(t *testing.T, ctx context.Context, c *cell) {
				c.announceTo.Store(2)
				c.platform.goDownAfter(time.Hour)
				c.withdraw(t)
				c.cutStore(hang, 0, 1, 2, 3)
				time.Sleep(promise)
				for i := range entries {
					assert.Equal(t, c.stores[i].Load().Current().Number, uint64(2))
				}
				assert.Assert(t, c.admits(10*time.Minute, 0, 1, 2, 3))
				c.start(ctx, 2)
				assert.Assert(t, !c.stores[2].Load().Admitting(time.Now()), "an empty version admits")
				time.Sleep(promise)
				assert.Assert(t, c.stores[2].Load().Current().Number == 2 && c.admits(time.Minute, 2))
				c.island.Store(3)
				time.Sleep(promise)
				assert.Assert(t, !c.stores[3].Load().Admitting(time.Now()))
			})
		})
	}
}

// TestOneStillReaches: the platform is down for all but one entry, which is cut
// off from the others. They go on, so what it writes must not be called accepted;
// it is in force once they meet.
func TestOneStillReaches(t *testing.T) {
	for _, off := range []bool{false, true} {
		inCell(t, func(t *testing.T, _ context.Context, c *cell) {
			c.stores[0].Load().tellNobody = off
			c.cutStore(false, 1, 2, 3)
			c.island.Store(0)
			err := c.apply(t, "withdraw", func(r *records.Records) { r.Keys = nil })
			time.Sleep(promise)
			assert.Assert(t, c.usable(1) && c.usable(2) && c.usable(3))
			assert.Equal(t, err == nil, off, "it is accepted only with the mechanism off")
			assert.Assert(t, off || errors.Is(err, ErrOutcomeUnknown), "%v", err)
			c.island.Store(-1)
			time.Sleep(promise)
			for i := range entries {
				assert.Assert(t, !c.usable(i) && c.stores[i].Load().Admitting(time.Now()), "entry %d", i)
			}
		})
	}
}

// TestOneEndsWhileStoreIsDown: the others go on admitting until most are gone.
func TestOneEndsWhileStoreIsDown(t *testing.T) {
	inCell(t, func(t *testing.T, ctx context.Context, c *cell) {
		c.cutStore(true, 0, 1, 2, 3)
		assert.Assert(t, c.admits(time.Minute, 0, 1, 2, 3))
		c.island.Store(3)
		assert.Assert(t, c.admits(10*time.Minute, 0, 1, 2))
		assert.Assert(t, !c.stores[3].Load().Admitting(time.Now()))
		c.start(ctx, 2)
		time.Sleep(promise)
		assert.Assert(t, !c.stores[0].Load().Admitting(time.Now()), "one that began anew doesn't count")
	})
}

// TestAcceptorEndsAndStoreGoesDown: an accepted change is known to most, so that it
// comes to the one that was not told.
func TestAcceptorEndsAndStoreGoesDown(t *testing.T) {
	inCell(t, func(t *testing.T, _ context.Context, c *cell) {
		c.announceTo.Store(3)
		c.platform.goDownAfter(time.Hour)
		c.withdraw(t)
		c.island.Store(0)
		assert.Assert(t, c.usable(3), "it was told")
		time.Sleep(promise)
		for i := range entries {
			assert.Assert(t, !c.usable(i), "entry %d", i)
		}
		assert.Assert(t, c.admits(10*time.Minute, 1, 2, 3))
	})
}

// TestHeadBehind: nothing is accepted on top of a table that lost its newest
// version, and the version in force stays.
func TestHeadBehind(t *testing.T) {
	inCell(t, func(t *testing.T, _ context.Context, c *cell) {
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
