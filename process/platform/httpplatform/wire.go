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
	// callTimeout bounds calls whose context has a later deadline or none.
	callTimeout    = 10 * time.Second
	maxIdleConns   = 16
	maxAnswerBytes = 64 << 20
)

// wire carries calls to the platform and sorts their ends into outcomes.
type wire struct {
	baseURL   string
	peer      string
	transport *http.Transport
}

func newWire(baseURL string, bytes *traffic.Bytes) wire {
	baseURL = strings.TrimSuffix(baseURL, "/")
	dialer := net.Dialer{Timeout: dialTimeout}
	return wire{
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

// answer is a whole answer of the platform, success or not.
type answer struct {
	status int
	body   []byte
	// tag names the state of what was read; it may be empty.
	tag string
}

// readJSON reads a path and decodes its answer.
func (w wire) readJSON(ctx context.Context, step, path string, query url.Values, into any) error {
	raw, err := w.read(ctx, step, path, query)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return w.fail(platform.ErrUnavailable, step, err)
	}
	return nil
}

// read gets a path. Errors: platform.ErrNotFound, platform.ErrUnavailable.
func (w wire) read(ctx context.Context, step, path string, query url.Values) ([]byte, error) {
	got, err := w.roundTrip(ctx, http.MethodGet, path, query, nil, nil)
	if err != nil {
		return nil, w.fail(platform.ErrUnavailable, step, err)
	}
	if got.status == http.StatusOK {
		return got.body, nil
	}
	problem, err := got.problem()
	if err != nil {
		return nil, w.fail(platform.ErrUnavailable, step, err)
	}
	if problem.Code == CodeNotFound {
		return nil, w.fail(platform.ErrNotFound, step, got)
	}
	return nil, w.fail(platform.ErrUnavailable, step, got)
}

// readIfChanged reads a path unless it still has the tag; then the answer has
// http.StatusNotModified. Errors: platform.ErrUnavailable.
func (w wire) readIfChanged(ctx context.Context, step, path, tag string) (answer, error) {
	header := make(http.Header)
	if tag != "" {
		header.Set("If-None-Match", tag)
	}
	got, err := w.roundTrip(ctx, http.MethodGet, path, nil, header, nil)
	if err != nil {
		return answer{}, w.fail(platform.ErrUnavailable, step, err)
	}
	if got.status != http.StatusOK && (tag == "" || got.status != http.StatusNotModified) {
		return answer{}, w.fail(platform.ErrUnavailable, step, got)
	}
	return got, nil
}

// write sends a change. Errors: *platform.ConflictError,
// platform.ErrUnavailable, platform.ErrUnknown.
func (w wire) write(ctx context.Context, step, method, path string, query url.Values, body []byte) ([]byte, error) {
	var handed atomic.Bool
	trace := httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { handed.Store(true) },
	}
	got, err := w.roundTrip(httptrace.WithClientTrace(ctx, &trace), method, path, query, nil, body)
	if err != nil && !handed.Load() {
		return nil, w.fail(platform.ErrUnavailable, step, err)
	}
	if err != nil {
		return nil, w.fail(platform.ErrUnknown, step, err)
	}
	if got.status == http.StatusOK {
		return got.body, nil
	}
	return nil, w.refusal(step, got)
}

// refusal sorts an answer to a write that is no success.
func (w wire) refusal(step string, got answer) error {
	problem, err := got.problem()
	if err != nil {
		return w.fail(platform.ErrUnknown, step, err)
	}
	switch {
	case got.status == http.StatusConflict && problem.Code == CodeConflict:
		conflict := &platform.ConflictError{Key: problem.Key, Version: problem.Version}
		return eris.Wrapf(conflict, "%s peer %s", step, w.peer)
	case got.status == http.StatusServiceUnavailable && problem.Code == CodeUnavailable:
		return w.fail(platform.ErrUnavailable, step, got)
	case got.status == http.StatusBadRequest && problem.Code == CodeInvalid:
		return w.fail(platform.ErrUnavailable, step, got)
	default:
		return w.fail(platform.ErrUnknown, step, got)
	}
}

// fail returns outcome with the step, the peer and the cause.
func (w wire) fail(outcome error, step string, cause any) error {
	return eris.Wrapf(outcome, "%s peer %s: %v", step, w.peer, cause)
}

// roundTrip sends one request and reads its whole answer.
func (w wire) roundTrip(ctx context.Context, method, path string, query url.Values, header http.Header, body []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target := w.baseURL + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return answer{}, err
	}
	if header != nil {
		request.Header = header
	}
	if method != http.MethodGet {
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
	}
	response, err := w.transport.RoundTrip(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	return readAnswer(response)
}

var errNoLength = errors.New("answer states no length or one above the bound")

// readAnswer reads exactly the stated length.
func readAnswer(response *http.Response) (answer, error) {
	if response.ContentLength < 0 || response.ContentLength > maxAnswerBytes {
		return answer{}, errNoLength
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, err
	}
	return answer{status: response.StatusCode, body: body, tag: response.Header.Get("ETag")}, nil
}

// problem decodes the body of an answer that is no success.
func (a answer) problem() (Problem, error) {
	var problem Problem
	if err := json.Unmarshal(a.body, &problem); err != nil {
		return Problem{}, fmt.Errorf("status %d without a problem: %w", a.status, err)
	}
	return problem, nil
}

// String describes the answer for an error message.
func (a answer) String() string {
	problem, _ := a.problem()
	return fmt.Sprintf("status %d, code %s, %s", a.status, problem.Code, problem.Message)
}
