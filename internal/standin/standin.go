// Package standin holds what the stand-ins for the platform and for workers
// share: the JSON of their switches and the life of their processes.
//
// A stand-in takes the place of something that the users run. Its switches make
// it fail in the ways that the real thing does. They are set by Go methods, or
// by POST of JSON to /standin/switches, where only the named fields change.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// PathSwitches reads switches by GET and changes them by POST.
const PathSwitches = "/standin/switches"

const maxBodyBytes = 64 << 20

// Duration is a time.Duration whose JSON is text such as "150ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// WriteJSON answers with value and its exact length.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// ReadBody reads a bounded request body whole.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
}

// ReadJSON decodes a bounded request body. Fields that it lacks keep the value
// they have in into; unknown fields are an error.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) error {
	return decodeStrict(http.MaxBytesReader(w, r.Body, maxBodyBytes), into)
}

func decodeStrict(from io.Reader, into any) error {
	decoder := json.NewDecoder(from)
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// HandleSwitches serves PathSwitches. change runs edit on the switches under
// their lock and returns what they are afterwards.
func HandleSwitches[S any](mux *http.ServeMux, change func(edit func(*S)) S) {
	mux.HandleFunc("GET "+PathSwitches, func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, change(func(*S) {}))
	})
	mux.HandleFunc("POST "+PathSwitches, func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		now := change(func(s *S) {
			edited := *s
			err = decodeStrict(bytes.NewReader(body), &edited)
			if err == nil {
				*s = edited
			}
		})
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		WriteJSON(w, http.StatusOK, now)
	})
}

// Listen binds address and writes the bound address to addrFile, if any. The
// file appears whole.
func Listen(address, addrFile string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	if addrFile == "" {
		return listener, nil
	}
	partial := addrFile + ".partial"
	err = os.WriteFile(partial, []byte(listener.Addr().String()), 0o644)
	if err == nil {
		err = os.Rename(partial, filepath.Clean(addrFile))
	}
	if err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("write address of %s: %w", listener.Addr(), err)
	}
	return listener, nil
}

// Run serves until the process gets SIGTERM or SIGINT, or until a server fails.
// It returns the exit code of the process.
func Run(servers ...func() error) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	failed := make(chan error, len(servers))
	for _, serve := range servers {
		go func() { failed <- serve() }()
	}
	select {
	case <-ctx.Done():
		return 0
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			return 0
		}
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
}
