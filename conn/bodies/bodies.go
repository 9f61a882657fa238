// Package bodies reads the bodies of requests within a bound on the memory that all of them take together.
//
// A body takes its size while it is read, which a slow client can draw out, and several times its size while it
// is decoded. Bodies that are read are bounded by their bytes, those that are decoded by their number.
package bodies

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
)

// ErrBusy means that the bodies being read take all the memory that they may.
var ErrBusy = errors.New("too many large requests at once")

const (
	// smallBytes is the size up to which a body is always read.
	smallBytes = 4 << 10
	// maxDecoding is the number of bodies that are decoded at once.
	maxDecoding = 4
)

// Reader reads bodies. It is safe for concurrent use.
type Reader struct {
	limit    int64
	decoding chan struct{}

	mu      sync.Mutex
	reading int64
}

// NewReader returns a reader of bodies that take at most limit bytes together, small ones aside; 0 means
// no limit.
func NewReader(limit int64) *Reader {
	return &Reader{limit: limit, decoding: make(chan struct{}, maxDecoding)}
}

// Read reads the body of a request, of at most maxBytes, and has it decoded. Errors: ErrBusy,
// *http.MaxBytesError, those of reading, and that of decode.
func (r *Reader) Read(w http.ResponseWriter, req *http.Request, maxBytes int64, decode func(body []byte) error) error {
	size := maxBytes
	if req.ContentLength >= 0 {
		size = min(size, req.ContentLength)
	}
	if !r.begin(size) {
		return ErrBusy
	}
	defer r.end(size)
	body, err := readAll(http.MaxBytesReader(w, req.Body, maxBytes), req.ContentLength, maxBytes)
	if err != nil {
		return fmt.Errorf("body: %w", err)
	}
	r.decoding <- struct{}{}
	defer func() { <-r.decoding }()
	return decode(body)
}

// readAll reads a body at once if its size is known, without the copies of a growing buffer.
func readAll(body io.Reader, size, maxBytes int64) ([]byte, error) {
	if size < 0 || size > maxBytes {
		return io.ReadAll(body)
	}
	read := make([]byte, size)
	if _, err := io.ReadFull(body, read); err != nil {
		return nil, err
	}
	return read, nil
}

func (r *Reader) begin(size int64) bool {
	if size <= smallBytes || r.limit <= 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reading > 0 && r.reading+size > r.limit {
		return false
	}
	r.reading += size
	return true
}

func (r *Reader) end(size int64) {
	if size <= smallBytes || r.limit <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reading -= size
}
