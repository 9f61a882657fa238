package events

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncBytes bounds the bytes that wait to be written; lines beyond are dropped.
	asyncBytes = 1 << 20
	// asyncPause gathers lines into one write.
	asyncPause = 100 * time.Millisecond
)

// AsyncWriter gathers lines and writes them from a goroutine of its own, so that
// logging never waits for its reader. Lines beyond a bound are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	dropped atomic.Int64

	mu      sync.Mutex
	waiting []byte
	closed  bool
	done    chan struct{}
}

// NewAsyncWriter returns a writer to out. Close writes what waits.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer; it never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting)+len(line) > asyncBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits and ends the goroutine.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	<-w.done
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	var writing []byte
	for {
		w.mu.Lock()
		writing, w.waiting = w.waiting, writing[:0]
		closed := w.closed
		w.mu.Unlock()
		if len(writing) > 0 {
			// There is nowhere to tell that a log line can't be written.
			_, _ = w.out.Write(writing)
		}
		if closed {
			return
		}
		time.Sleep(asyncPause)
	}
}
