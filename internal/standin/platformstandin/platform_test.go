package platformstandin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/conn/traffic"
	"github.com/kingcuplatch/kingcuplatch/internal/standin"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/platform/httpplatform"
)

// clients holds the interfaces of one platform, used either in process or over HTTP.
type clients struct {
	table     platform.Table
	objects   platform.Objects
	instances platform.Instances
}

// overEachTransport runs check against a new platform, in process and over HTTP.
func overEachTransport(t *testing.T, check func(t *testing.T, p *Platform, c clients)) {
	t.Run("in process", func(t *testing.T) {
		p := New()
		check(t, p, clients{p, p.Objects(), p})
	})
	t.Run("http", func(t *testing.T) {
		p := New()
		server := httptest.NewServer(p.Handler())
		defer server.Close()
		client := httpplatform.New(server.URL)
		defer client.Close()
		check(t, p, clients{client, client.Objects(), client})
	})
}

// TestUnchangedListIsNotResent checks that an unchanged list of instances is not sent
// again, and that the client still sees a change and a platform that was restarted.
func TestUnchangedListIsNotResent(t *testing.T) {
	var p atomic.Pointer[Platform]
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.Load().Handler().ServeHTTP(w, r)
	}))
	defer server.Close()
	bytes := &traffic.Bytes{}
	client := httpplatform.NewCounted(server.URL, bytes)
	defer client.Close()
	list := func() (names int, received uint64) {
		before := bytes.Received()
		instances, err := client.List(t.Context())
		assert.NilError(t, err)
		return len(instances), bytes.Received() - before
	}
	restart := func(count int) {
		p.Store(New())
		for i := range count {
			p.Load().ChangeInstances(InstancesChange{Put: []platform.Instance{{Name: fmt.Sprint("w", i), Role: platform.RoleWorker}}})
		}
	}
	restart(100)
	first, full := list()
	again, unchanged := list()
	assert.DeepEqual(t, []int{first, again}, []int{100, 100})
	assert.Assert(t, unchanged < full/10, "%d bytes for the list and %d when unchanged", full, unchanged)
	p.Load().ChangeInstances(InstancesChange{Remove: []string{"w7"}})
	changed, _ := list()
	assert.Equal(t, changed, 99)
	restart(101)
	restarted, _ := list()
	assert.Equal(t, restarted, 101)
}

func put(key, value string, version uint64) platform.Txn {
	return platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Writes:     []platform.Write{{Key: key, Value: []byte(value)}},
	}
}

// TestConditionsAndVersions guards against commits that ignore a condition and against
// versions that repeat after a row has been deleted.
func TestConditionsAndVersions(t *testing.T) {
	overEachTransport(t, func(t *testing.T, p *Platform, c clients) {
		ctx := t.Context()
		first, err := c.table.Commit(ctx, put("a/1", "x", 0))
		assert.NilError(t, err)
		_, err = c.table.Commit(ctx, put("a/1", "y", 0))
		var conflict *platform.ConflictError
		assert.Assert(t, errors.As(err, &conflict), "%v", err)
		assert.DeepEqual(t, *conflict, platform.ConflictError{Key: "a/1", Version: first})
		assert.ErrorContains(t, err, "commit peer ")

		drop := platform.Txn{Writes: []platform.Write{{Key: "a/1", Delete: true}, {Key: "a/2"}, {Key: "b"}}}
		_, err = c.table.Commit(ctx, drop)
		assert.NilError(t, err)
		again, err := c.table.Commit(ctx, put("a/1", "z", 0))
		assert.NilError(t, err)
		assert.Assert(t, again > first+1, "the version of a deleted row was reused")

		rows, err := c.table.Scan(ctx, "a/", "a/1", 10)
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 1)
		assert.Equal(t, rows[0].Key, "a/2")
		row, found, err := c.table.Get(ctx, "a/1")
		assert.NilError(t, err)
		assert.Assert(t, found && string(row.Value) == "z" && row.Version == again)
		_, found, err = c.table.Get(ctx, "a")
		assert.NilError(t, err)
		assert.Assert(t, !found)
		counts := p.Counts()
		assert.DeepEqual(t, counts, Counts{Commits: 3, Conflicts: 1, RowsWritten: 5, Gets: 2, Scans: 1})
	})
}

// TestOutcomes checks that each fault of a commit is reported as the outcome that it had.
func TestOutcomes(t *testing.T) {
	overEachTransport(t, func(t *testing.T, p *Platform, c clients) {
		ctx := t.Context()
		p.Change(func(s *Switches) { s.LoseRequests, s.LoseAnswers = 1, 1 })
		_, err := c.table.Commit(ctx, put("k", "before", 0))
		assert.ErrorIs(t, err, platform.ErrUnknown)
		_, found, err := c.table.Get(ctx, "k")
		assert.NilError(t, err)
		assert.Assert(t, !found)
		_, err = c.table.Commit(ctx, put("k", "after", 0))
		assert.ErrorIs(t, err, platform.ErrUnknown)
		row, _, err := c.table.Get(ctx, "k")
		assert.NilError(t, err)
		assert.Equal(t, string(row.Value), "after")

		p.Change(func(s *Switches) { s.Down = true })
		_, err = c.table.Commit(ctx, put("k", "down", row.Version))
		assert.ErrorIs(t, err, platform.ErrUnavailable)
		_, err = c.instances.List(ctx)
		assert.ErrorIs(t, err, platform.ErrUnavailable)
		p.Change(func(s *Switches) { s.Down = false })
		same, _, err := c.table.Get(ctx, "k")
		assert.NilError(t, err)
		assert.DeepEqual(t, same, row)
	})
}

// TestObjectsAreWrittenOnce checks that an object can be put again with the same bytes
// only.
func TestObjectsAreWrittenOnce(t *testing.T) {
	overEachTransport(t, func(t *testing.T, _ *Platform, c clients) {
		ctx := t.Context()
		_, err := c.objects.Get(ctx, "v/1")
		assert.ErrorIs(t, err, platform.ErrNotFound)
		assert.NilError(t, c.objects.Put(ctx, "v/1", nil))
		assert.NilError(t, c.objects.Put(ctx, "v/1", []byte{}))
		var conflict *platform.ConflictError
		assert.Assert(t, errors.As(c.objects.Put(ctx, "v/1", []byte("other")), &conflict))
		body, err := c.objects.Get(ctx, "v/1")
		assert.NilError(t, err)
		assert.Equal(t, len(body), 0)
	})
}

// TestListLag checks that the list shows changes after ListLag, and that a call whose
// context ends in the second half of Delay has taken effect.
func TestListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New()
		p.Change(func(s *Switches) {
			s.ListLag = standin.Duration(2 * time.Second)
			s.Delay = standin.Duration(100 * time.Millisecond)
		})
		p.ChangeInstances(InstancesChange{Put: []platform.Instance{{Name: "w2"}, {Name: "w1"}}})
		p.ChangeInstances(InstancesChange{Leaving: []string{"w1"}, Remove: []string{"w2"}})
		list, err := p.List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(list), 0)
		time.Sleep(2 * time.Second)
		list, err = p.List(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, list, []platform.Instance{{Name: "w1", Leaving: true}})

		ctx, cancel := context.WithTimeout(t.Context(), 60*time.Millisecond)
		defer cancel()
		_, err = p.Commit(ctx, put("k", "v", 0))
		assert.ErrorIs(t, err, platform.ErrUnknown)
		_, found, err := p.Get(t.Context(), "k")
		assert.NilError(t, err)
		assert.Assert(t, found, "a commit cancelled after half of its delay must have taken effect")
	})
}

// TestHTTPWriteIsUnknownOnceSent checks that a write that has obtained a connection and
// then gets no valid response is reported as unknown, and one that cannot connect as
// unavailable.
func TestHTTPWriteIsUnknownOnceSent(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	canceled := make(chan struct{})
	faults := []struct {
		name   string
		answer func(w http.ResponseWriter)
	}{
		{"cut short", func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"version":1}`))
			panic(http.ErrAbortHandler)
		}},
		{"no length", func(w http.ResponseWriter) {
			w.(http.Flusher).Flush()
			_, _ = w.Write([]byte(`{"version":1}`))
		}},
		{"not the platform's", func(w http.ResponseWriter) {
			http.Error(w, "busy", http.StatusServiceUnavailable)
		}},
		{"caller gone", func(http.ResponseWriter) {
			cancel()
			<-canceled
		}},
	}
	var next atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		faults[next.Load()].answer(w)
	}))
	client := httpplatform.New(server.URL)
	for i, fault := range faults {
		next.Store(int64(i))
		_, err := client.Commit(ctx, put("k", "v", 0))
		assert.Check(t, errors.Is(err, platform.ErrUnknown), "%s: %v", fault.name, err)
	}
	close(canceled)
	server.Close()
	_, err := client.Commit(t.Context(), put("k", "v", 0))
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.ErrorContains(t, err, "commit peer "+strings.TrimPrefix(server.URL, "http://"))
}

// TestSwitchesOverHTTP checks that switches can be set over HTTP and that unknown names
// are rejected.
func TestSwitchesOverHTTP(t *testing.T) {
	p := New()
	for body, status := range map[string]int{
		`{"delay":"5ms","lose_answers":2}`: http.StatusOK,
		`{"dwon":true}`:                    http.StatusBadRequest,
	} {
		answer := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, standin.PathSwitches, strings.NewReader(body))
		p.Handler().ServeHTTP(answer, request)
		assert.Equal(t, answer.Code, status, answer.Body)
	}
	now := p.Change(func(*Switches) {})
	assert.DeepEqual(t, now, Switches{Delay: standin.Duration(5 * time.Millisecond), LoseAnswers: 2})
}
