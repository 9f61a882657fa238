package httpplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kingcuplatch/kingcuplatch/conn/traffic"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 30 * time.Second
	// callTimeout limits calls whose context has a later deadline or none.
	callTimeout      = 10 * time.Second
	maxIdleConns     = 16
	maxResponseBytes = 64 << 20
)

// httpClient sends requests to the platform and maps their results to outcomes.
type httpClient struct {
	baseURL   string
	peer      string
	transport *http.Transport
}

func newHTTPClient(baseURL string, bytes *traffic.Bytes) httpClient {
	baseURL = strings.TrimSuffix(baseURL, "/")
	dialer := net.Dialer{Timeout: dialTimeout}
	return httpClient{
		baseURL: baseURL,
		peer:    strings.TrimPrefix(baseURL, "http://"),
		transport: &http.Transport{
			DialContext:         bytes.Dial(dialer.DialContext),
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
	}
}

// response is a complete response of the platform, successful or not.
type response struct {
	status int
	body   []byte
	// etag identifies the version of what was read; it may be empty.
	etag string
}

// readJSON reads a path and decodes the response. Errors: platform.ErrNotFound,
// platform.ErrUnavailable.
func (c httpClient) readJSON(ctx context.Context, step, path string, query url.Values, into any) error {
	raw, err := c.read(ctx, step, path, query)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return c.wrapError(platform.ErrUnavailable, step, err)
	}
	return nil
}

// read returns the response body of a path. Errors: platform.ErrNotFound,
// platform.ErrUnavailable.
func (c httpClient) read(ctx context.Context, step, path string, query url.Values) ([]byte, error) {
	got, err := c.roundTrip(ctx, http.MethodGet, path, query, nil, nil)
	if err != nil {
		return nil, c.wrapError(platform.ErrUnavailable, step, err)
	}
	if got.status == http.StatusOK {
		return got.body, nil
	}
	problem, err := got.problem()
	if err != nil {
		return nil, c.wrapError(platform.ErrUnavailable, step, err)
	}
	if problem.Code == CodeNotFound {
		return nil, c.wrapError(platform.ErrNotFound, step, got)
	}
	return nil, c.wrapError(platform.ErrUnavailable, step, got)
}

// readIfChanged reads a path. If its entity tag is still etag, the response has no body
// and the status http.StatusNotModified. Errors: platform.ErrUnavailable.
func (c httpClient) readIfChanged(ctx context.Context, step, path, etag string) (response, error) {
	header := make(http.Header)
	if etag != "" {
		header.Set("If-None-Match", etag)
	}
	got, err := c.roundTrip(ctx, http.MethodGet, path, nil, header, nil)
	if err != nil {
		return response{}, c.wrapError(platform.ErrUnavailable, step, err)
	}
	if got.status != http.StatusOK && (etag == "" || got.status != http.StatusNotModified) {
		return response{}, c.wrapError(platform.ErrUnavailable, step, got)
	}
	return got, nil
}

// write sends a change and returns the response body. Errors: *platform.ConflictError,
// platform.ErrUnavailable, platform.ErrInvalid, platform.ErrUnknown.
func (c httpClient) write(ctx context.Context, step, method, path string, query url.Values, body []byte) ([]byte, error) {
	var connected atomic.Bool
	trace := httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	got, err := c.roundTrip(httptrace.WithClientTrace(ctx, &trace), method, path, query, nil, body)
	if err != nil && !connected.Load() {
		return nil, c.wrapError(platform.ErrUnavailable, step, err)
	}
	if err != nil {
		return nil, c.wrapError(platform.ErrUnknown, step, err)
	}
	if got.status == http.StatusOK {
		return got.body, nil
	}
	return nil, c.writeError(step, got)
}

// writeError returns the error for a write whose response reports no success.
func (c httpClient) writeError(step string, got response) error {
	problem, err := got.problem()
	if err != nil {
		return c.wrapError(platform.ErrUnknown, step, err)
	}
	switch {
	case got.status == http.StatusConflict && problem.Code == CodeConflict:
		conflict := &platform.ConflictError{Key: problem.Key, Version: problem.Version}
		return eris.Wrapf(conflict, "%s peer %s", step, c.peer)
	case got.status == http.StatusServiceUnavailable && problem.Code == CodeUnavailable:
		return c.wrapError(platform.ErrUnavailable, step, got)
	case got.status == http.StatusBadRequest && problem.Code == CodeInvalid:
		return c.wrapError(platform.ErrInvalid, step, got)
	default:
		return c.wrapError(platform.ErrUnknown, step, got)
	}
}

// wrapError adds the step, the peer and the cause to outcome.
func (c httpClient) wrapError(outcome error, step string, cause any) error {
	return eris.Wrapf(outcome, "%s peer %s: %v", step, c.peer, cause)
}

// roundTrip sends one request and reads the complete response.
func (c httpClient) roundTrip(ctx context.Context, method, path string, query url.Values, header http.Header, body []byte) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target := c.baseURL + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return response{}, err
	}
	if header != nil {
		request.Header = header
	}
	if method != http.MethodGet {
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
	}
	res, err := c.transport.RoundTrip(request)
	if err != nil {
		return response{}, err
	}
	defer res.Body.Close()
	return readResponse(res)
}

var errBadLength = errors.New("answer states no length or one above the bound")

// readResponse reads the body of a response. It requires a Content-Length of at most
// maxResponseBytes, so that a truncated body is an error.
func readResponse(res *http.Response) (response, error) {
	if res.ContentLength < 0 || res.ContentLength > maxResponseBytes {
		return response{}, errBadLength
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return response{}, err
	}
	return response{status: res.StatusCode, body: body, etag: res.Header.Get("ETag")}, nil
}

// problem decodes the body of a response that reports no success.
func (r response) problem() (Problem, error) {
	var problem Problem
	if err := json.Unmarshal(r.body, &problem); err != nil {
		return Problem{}, fmt.Errorf("status %d without a problem: %w", r.status, err)
	}
	return problem, nil
}

// String describes the response for an error message.
func (r response) String() string {
	problem, _ := r.problem()
	return fmt.Sprintf("status %d, code %s, %s", r.status, problem.Code, problem.Message)
}
