package events

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPendingBytes bounds the buffered bytes; lines beyond it are dropped.
	maxPendingBytes = 1 << 20
	// flushInterval is the time between two writes; lines in between are batched.
	flushInterval = 100 * time.Millisecond
)

// AsyncWriter buffers lines and writes them from its own goroutine, so that logging
// never blocks on a slow reader of the output. Lines beyond the buffer's bound are
// dropped and counted.
type AsyncWriter struct {
	output  io.Writer
	dropped atomic.Int64

	mu      sync.Mutex
	pending []byte
	closed  bool
	done    chan struct{}
}

// NewAsyncWriter returns a writer to output. The caller must Close it to flush the buffer.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	w := &AsyncWriter{output: output, done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer; it never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPendingBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close flushes the buffer and ends the writer's goroutine.
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
		writing, w.pending = w.pending, writing[:0]
		closed := w.closed
		w.mu.Unlock()
		if len(writing) > 0 {
			// A failed write to the log can't be logged.
			_, _ = w.output.Write(writing)
		}
		if closed {
			return
		}
		time.Sleep(flushInterval)
	}
}
