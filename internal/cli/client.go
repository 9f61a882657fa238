package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
)

// errNoReply reports that a call was sent and no usable response arrived.
var errNoReply = errors.New("no valid response received; the outcome is unknown")

// unreachableError reports that no URL could be reached and nothing was sent.
type unreachableError struct{ cause error }

// Error implements error.
func (e *unreachableError) Error() string { return "no entry could be reached: " + e.cause.Error() }

// Unwrap returns the error of the last URL tried.
func (e *unreachableError) Unwrap() error { return e.cause }

// call is one HTTP call to an entry.
type call struct {
	method, path string
	header       http.Header
	body         []byte
}

// do sends the call to the first reachable URL of the target. It tries the next one only if
// nothing was sent. Errors are *usageError, *api.Error, *unreachableError or errNoReply.
func (a *app) do(ctx context.Context, to target, c call) (*http.Response, []byte, error) {
	bases, err := to.bases()
	if err != nil {
		return nil, nil, err
	}
	key, err := a.secret()
	if err != nil {
		return nil, nil, err
	}
	var last error
	for _, base := range bases {
		response, body, sent, err := send(ctx, base, key, c)
		if err == nil {
			return response, body, responseError(response, body)
		}
		if sent {
			return nil, nil, fmt.Errorf("%s %s at %s: %w: %w", c.method, c.path, base, errNoReply, err)
		}
		last = err
	}
	return nil, nil, &unreachableError{last}
}

// send makes one call. sent reports whether a connection was obtained, so that the
// request may have been received.
func send(ctx context.Context, base, key string, c call) (response *http.Response, body []byte, sent bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, c.method, base+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, nil, false, err
	}
	request.GetBody = nil
	for name, values := range c.header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err = http.DefaultClient.Do(request)
	if err != nil {
		return nil, nil, sent, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	return response, body, true, err
}

// responseError returns the *api.Error of an unsuccessful response, errNoReply if its
// body holds none, and nil for a success.
func responseError(response *http.Response, body []byte) error {
	if response.StatusCode < 300 {
		return nil
	}
	var refused api.Error
	if json.Unmarshal(body, &refused) == nil && refused.Code != "" {
		return &refused
	}
	return fmt.Errorf("%s: %w", response.Status, errNoReply)
}

// get decodes the JSON response of a GET into v.
func (a *app) get(ctx context.Context, to target, path string, v any) error {
	return a.exchange(ctx, to, http.MethodGet, path, nil, v)
}

// exchange sends in as JSON, unless it is nil, and decodes the response into out.
func (a *app) exchange(ctx context.Context, to target, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = data
	}
	_, response, err := a.do(ctx, to, call{method: method, path: path, body: body})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(response, out); err != nil {
		return fmt.Errorf("%s %s: %w: %w", method, path, errNoReply, err)
	}
	return nil
}
