package cluster

import (
	"context"
	"encoding/base64"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// nodeTable is the table as seen by one node.
type nodeTable struct {
	w    *simulation
	node string
}

func (t *nodeTable) reach(ctx context.Context) error {
	t.w.mu.Lock()
	refuse, hang, tableDelay := t.w.refuse[t.node], t.w.hang[t.node], t.w.tableDelay
	t.w.mu.Unlock()
	if refuse {
		return platform.ErrUnavailable
	}
	if hang {
		<-ctx.Done()
		return errors.Join(platform.ErrUnknown, ctx.Err())
	}
	sleep(ctx, tableDelay)
	if ctx.Err() != nil {
		return errors.Join(platform.ErrUnknown, ctx.Err())
	}
	return nil
}

func (t *nodeTable) Get(ctx context.Context, key string) (platform.Row, bool, error) {
	if err := t.reach(ctx); err != nil {
		return platform.Row{}, false, err
	}
	t.w.mu.Lock()
	defer t.w.mu.Unlock()
	row, ok := t.w.rows[key]
	return row, ok, nil
}

func (t *nodeTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := t.reach(ctx); err != nil {
		return nil, err
	}
	t.w.mu.Lock()
	scanTime := t.w.scanTime
	t.w.mu.Unlock()
	sleep(ctx, scanTime)
	t.w.mu.Lock()
	defer t.w.mu.Unlock()
	var rows []platform.Row
	for key, row := range t.w.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

// commitSerially executes a write after those queued before it, and answers if the caller
// still waits.
func (t *nodeTable) commitSerially(ctx context.Context, serialWrites chan struct{}, txn platform.Txn) (uint64, error) {
	type outcome struct {
		version uint64
		err     error
	}
	done := make(chan outcome, 1)
	go func() {
		serialWrites <- struct{}{}
		defer func() { <-serialWrites }()
		t.w.mu.Lock()
		tableDelay := t.w.tableDelay
		t.w.mu.Unlock()
		time.Sleep(tableDelay)
		t.w.mu.Lock()
		defer t.w.mu.Unlock()
		version, err := t.w.apply(txn)
		done <- outcome{version, err}
	}()
	select {
	case o := <-done:
		return o.version, o.err
	case <-ctx.Done():
		return 0, errors.Join(platform.ErrUnknown, ctx.Err())
	}
}

func (t *nodeTable) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	bytes := requestOverhead
	for _, write := range txn.Writes {
		bytes += base64.StdEncoding.EncodedLen(len(write.Value)) + rowOverhead
	}
	t.w.transmit(ctx, t.node, "", bytes)
	t.w.mu.Lock()
	t.w.commits++
	serialWrites := t.w.serialWrites
	rejected := t.w.leaseWritesOnly && txn.Writes[0].Key != leaseKey
	t.w.mu.Unlock()
	if rejected {
		return 0, platform.ErrUnavailable
	}
	if serialWrites != nil {
		return t.commitSerially(ctx, serialWrites, txn)
	}
	if err := t.reach(ctx); err != nil {
		return 0, err
	}
	defer t.delayReply(ctx)
	t.w.mu.Lock()
	defer t.w.mu.Unlock()
	if t.w.lostReplies > 0 {
		t.w.lostReplies--
		late := t.w.applyDelay
		go func() {
			time.Sleep(late)
			t.w.mu.Lock()
			defer t.w.mu.Unlock()
			_, _ = t.w.apply(txn)
		}()
		return 0, platform.ErrUnknown
	}
	return t.w.apply(txn)
}

// delayReply waits until a write is answered.
func (t *nodeTable) delayReply(ctx context.Context) {
	t.w.transmit(ctx, "", t.node, replyOverhead)
	t.w.mu.Lock()
	delay := t.w.commitReplyDelay
	t.w.mu.Unlock()
	sleep(ctx, delay)
}

// apply executes a transaction. w.mu must be held.
func (w *simulation) apply(txn platform.Txn) (uint64, error) {
	for _, c := range txn.Conditions {
		if w.rows[c.Key].Version != c.Version {
			return 0, &platform.ConflictError{Key: c.Key, Version: w.rows[c.Key].Version}
		}
	}
	for _, write := range txn.Writes {
		if w.maxRowBytes > 0 && len(write.Value) > w.maxRowBytes {
			return 0, platform.ErrInvalid
		}
	}
	w.version++
	for _, write := range txn.Writes {
		if write.Delete {
			delete(w.rows, write.Key)
			continue
		}
		w.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Version: w.version}
	}
	return w.version, nil
}
