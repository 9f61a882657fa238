package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/conn/operators"
	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/exchange"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
	"github.com/kingcuplatch/kingcuplatch/version/store"
)

// Peer methods of the configuration.
const (
	methodAnnounce = "config.announce"
	methodFetch    = "config.fetch"
)

// announcement is the parameter of methodAnnounce: entry From has the version Number.
type announcement struct {
	From   string `json:"from"`
	Number uint64 `json:"number"`
}

// fetchParams is the parameter of methodFetch, which returns the current version if its
// number is at least Number.
type fetchParams struct {
	Number uint64 `json:"number"`
}

func (e *Entry) newStore() *store.Store {
	return store.New(store.Options{
		Table: e.Table, Objects: e.Objects, Self: e.Instance,
		PollEvery: e.Timings.ConfigPoll, MaxStaleness: e.Timings.ConfigBound,
		Peers: e.otherEntries, Announce: e.announce, FetchFromPeer: e.fetchFromPeer,
		OnVersion: e.versionChanged,
		OnError:   func(err error) { e.Log.Log(events.ConfigReadFailed, err) },
	})
}

// otherEntries returns the names of all other listed entries.
func (e *Entry) otherEntries() []string {
	var names []string
	for _, i := range e.fleet.List().Entries {
		if i.Name != e.Instance {
			names = append(names, i.Name)
		}
	}
	return names
}

// announce sends a version number to all other entries and returns the names of those
// that acknowledged it.
func (e *Entry) announce(ctx context.Context, number uint64) []string {
	if e.Omit.PeerUpdates {
		return e.otherEntries()
	}
	var calls sync.WaitGroup
	var mu sync.Mutex
	var acknowledged []string
	for _, i := range e.fleet.List().Entries {
		if i.Name == e.Instance {
			continue
		}
		calls.Go(func() {
			if e.links.Call(ctx, i.Address, methodAnnounce, announcement{e.Instance, number}, nil) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			acknowledged = append(acknowledged, i.Name)
		})
	}
	calls.Wait()
	return acknowledged
}

func (e *Entry) fetchFromPeer(ctx context.Context, instance string, number uint64) (store.Version, error) {
	var v store.Version
	for _, i := range e.fleet.List().Entries {
		if i.Name == instance {
			err := e.links.Call(ctx, i.Address, methodFetch, fetchParams{number}, &v)
			return v, err
		}
	}
	return v, store.ErrNoPeer
}

func (e *Entry) configHandlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		methodAnnounce: func(ctx context.Context, params json.RawMessage) (any, error) {
			var a announcement
			if err := json.Unmarshal(params, &a); err != nil {
				return nil, err
			}
			if err := e.config.Learn(ctx, a.From, a.Number); err != nil {
				e.Log.Log(events.ConfigReadFailed, err)
			}
			return struct{}{}, nil
		},
		methodFetch: func(_ context.Context, params json.RawMessage) (any, error) {
			var f fetchParams
			if err := json.Unmarshal(params, &f); err != nil {
				return nil, err
			}
			v, ok := e.config.Latest()
			if !ok || v.Number < f.Number {
				return nil, store.ErrNoPeer
			}
			return v, nil
		},
	}
}

// status returns the configuration status for peers.
func (e *Entry) status() store.PeerStatus {
	return e.config.Status().ForPeers(time.Now())
}

// operatorsConfig implements operators.Config with the errors of the operators' API.
type operatorsConfig struct {
	*store.Store
	entry *Entry
}

// Apply implements operators.Config.
func (c operatorsConfig) Apply(ctx context.Context, changeID string, base uint64, edit operators.Edit) (operators.Result, error) {
	if c.entry.fleet.List().ReadAt.IsZero() {
		return operators.Result{}, &api.Error{
			Code: api.CodeUnavailable, Message: "the other entries aren't known here yet", Ran: api.NotRun,
			RetryAfter: platformRetryAfter,
		}
	}
	result, err := c.Store.Apply(ctx, changeID, base, store.Edit(edit))
	if err != nil {
		return operators.Result{}, applyError(err)
	}
	return operators.Result{Number: result.Number, AlreadyApplied: result.AlreadyApplied}, nil
}

// applyError returns the API error for a failed change. The error distinguishes a change
// that was not made from one with unknown outcome.
func applyError(err error) error {
	var typed *api.Error
	var conflict *store.BaseError
	result := &api.Error{Code: api.CodeInvalid, Message: err.Error(), Ran: api.NotRun}
	switch {
	case errors.As(err, &typed):
		return typed
	case errors.Is(err, store.ErrOutcomeUnknown):
		result.Code, result.Ran = api.CodeUnknown, api.RanUnknown
		result.Message += "; apply again with the same -change id to find out"
	case errors.As(err, &conflict):
		result.Code, result.Field = api.CodeConflict, "base"
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, context.DeadlineExceeded), errors.Is(err, store.ErrHeadBehind):
		result.Code, result.RetryAfter = api.CodeUnavailable, platformRetryAfter
	}
	return result
}

// platformRetryAfter is how long callers should wait before a retry while the platform
// is unreachable.
const platformRetryAfter = 5 * time.Second

// sortFree sorts by upstream, so that an unchanged state has an unchanged encoding.
func sortFree(all []exchange.Free) {
	slices.SortFunc(all, func(a, b exchange.Free) int { return cmp.Compare(a.Upstream, b.Upstream) })
}

// checkStart implements requests.Options.CheckStart. A request that waited, or was
// delayed by a pause of the process, starts only if its key is certain to be still valid.
func (e *Entry) checkStart(r *attempt.Request) *api.Error {
	config := e.admission()
	if !config.Admitting(time.Now()) {
		return &api.Error{
			Code: api.CodeUnavailable, Message: "the configuration in force isn't known here",
			Ran: api.NotRun, RetryAfter: platformRetryAfter,
		}
	}
	snapshot := config.Current()
	if _, valid := snapshot.Keys[r.KeySHA256]; !valid && snapshot.Number >= r.Version {
		return &api.Error{Code: api.CodeUnauthorized, Message: "the key was withdrawn", Ran: api.NotRun}
	}
	return nil
}
