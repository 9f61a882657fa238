package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes lines with the time since its start to a file.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// since returns the time since the start of the record.
func (r *record) since() time.Duration { return time.Since(r.began) }

// write adds a line of one party.
func (r *record) write(party, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// An error shows when the file is closed.
	_, _ = fmt.Fprintf(r.out, "%8.3f  %-14s %s\n", r.since().Seconds(), party, fmt.Sprintf(format, args...))
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
