// Package standin holds the common code of the stand-ins for the platform, workers and
// the network: the JSON of their switches, and the start and shutdown of their processes.
//
// A stand-in replaces a component that the users run. Its switches inject the faults that
// the real component has. They are set by Go methods, or by POST of JSON to
// /standin/switches, which changes only the fields in the JSON.
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

// PathSwitches returns the switches on GET and changes them on POST.
const PathSwitches = "/standin/switches"

const maxBodyBytes = 64 << 20

// Duration is a time.Duration with JSON such as "150ms".
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

// WriteJSON writes value as the response, with a Content-Length.
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

// ReadBody reads the whole request body, up to a limit.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
}

// ReadJSON decodes a request body, up to a limit. Fields that are absent keep their value in
// into. Unknown fields are an error.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) error {
	return decodeStrict(http.MaxBytesReader(w, r.Body, maxBodyBytes), into)
}

func decodeStrict(r io.Reader, into any) error {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// HandleSwitches serves PathSwitches. change runs edit on the switches under their lock and
// returns the switches after it.
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
		switches := change(func(s *S) {
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
		WriteJSON(w, http.StatusOK, switches)
	})
}

// Listen listens on address and writes the bound address to addrFile, unless that is empty.
// The file is written atomically.
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
		return nil, fmt.Errorf("write address file of %s: %w", listener.Addr(), err)
	}
	return listener, nil
}

// Run runs the servers until the process receives SIGTERM or SIGINT, or until one returns.
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
