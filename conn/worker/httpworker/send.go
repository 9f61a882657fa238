package httpworker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
)

// call is a request or control call to send.
type call struct {
	step   string
	path   string
	header http.Header
	body   []byte
	// fresh excludes connections that have not received data within Options.FreshWithin.
	fresh bool
}

// answer is a complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// Reasons for rejecting an answer.
var (
	errWrongID = errors.New("answer has the id of another request")
	errLength  = errors.New("answer states no length or one above the bound")
	errDigest  = errors.New("answer's body doesn't match its digest")
)

// send makes one call on a connection of p and returns its complete answer.
func (c *Client) send(ctx context.Context, p *pool, sent call) (answer, error) {
	s, err := p.acquire(ctx)
	if err != nil {
		return answer{}, c.fail(worker.ErrNotSent, sent.step, err)
	}
	defer p.release(s)

	var since time.Time
	if sent.fresh {
		since = time.Now().Add(-c.options.FreshWithin)
	}
	s.begin(since)
	got, err := c.exchange(ctx, s, sent)
	if err != nil {
		return answer{}, c.abort(s, sent.step, err)
	}
	if got.header.Get(HeaderRefused) != "" {
		return answer{}, c.refusalError(sent.step, got)
	}
	return got, nil
}

// abort closes the connection. It returns ErrUnknown if the worker may have received a
// part of the call, else ErrNotSent.
func (c *Client) abort(s *connSlot, step string, cause error) error {
	if wrote := s.drop(); wrote {
		return c.fail(worker.ErrUnknown, step, cause)
	}
	return c.fail(worker.ErrNotSent, step, cause)
}

// refusalError returns the refusal in got as a *worker.RefusedError, or ErrUnknown if it can't be
// decoded.
func (c *Client) refusalError(step string, got answer) error {
	var refusal Refusal
	if err := json.Unmarshal(got.body, &refusal); err != nil {
		return c.fail(worker.ErrUnknown, step, err)
	}
	refused := &worker.RefusedError{
		Code:    refusal.Code,
		Epoch:   refusal.Epoch,
		Message: refusal.Message,
	}
	return eris.Wrapf(refused, "%s peer %s", step, c.options.Address)
}

// exchange sends the call and reads and checks its answer.
func (c *Client) exchange(ctx context.Context, s *connSlot, sent call) (answer, error) {
	target := "http://" + c.options.Address + sent.path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return answer{}, err
	}
	request.Header = sent.header
	if len(sent.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(sent.body))
		request.ContentLength = int64(len(sent.body))
	}
	response, err := s.transport.RoundTrip(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	return c.readAnswer(response, sent.header.Get(HeaderID))
}

// readAnswer reads the body and checks the answer's ID, length and digest.
func (c *Client) readAnswer(response *http.Response, id string) (answer, error) {
	if response.Header.Get(HeaderID) != id {
		return answer{}, errWrongID
	}
	if response.ContentLength < 0 || response.ContentLength > c.options.MaxAnswerBytes {
		return answer{}, errLength
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, err
	}
	if response.Header.Get(HeaderDigest) != Digest(body) {
		return answer{}, errDigest
	}
	return answer{status: response.StatusCode, header: response.Header, body: body}, nil
}
