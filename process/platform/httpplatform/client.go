package httpplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/kingcuplatch/kingcuplatch/conn/traffic"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// Client speaks to one platform. It implements platform.Table and
// platform.Instances; Objects gives its object store. It is safe for concurrent
// use.
type Client struct {
	wire wire
	// list is the last answer to List.
	list atomic.Pointer[taggedList]
}

// taggedList is a list of instances with the tag that the platform gave it.
type taggedList struct {
	tag       string
	instances []platform.Instance
}

// Objects is the object store of a Client's platform.
type Objects struct {
	wire wire
}

var (
	_ platform.Table     = (*Client)(nil)
	_ platform.Instances = (*Client)(nil)
	_ platform.Objects   = (*Objects)(nil)
)

// New returns a client of the platform at baseURL, such as "http://10.0.0.1:80".
func New(baseURL string) *Client { return NewCounted(baseURL, nil) }

// NewCounted is New with the bytes of all connections counted.
func NewCounted(baseURL string, bytes *traffic.Bytes) *Client {
	return &Client{wire: newWire(baseURL, bytes)}
}

// Objects returns the object store of the same platform. It shares the
// connections of c.
func (c *Client) Objects() *Objects { return &Objects{wire: c.wire} }

// Close closes idle connections.
func (c *Client) Close() { c.wire.transport.CloseIdleConnections() }

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, key string) (platform.Row, bool, error) {
	var answer RowAnswer
	err := c.wire.readJSON(ctx, "get row", PathRow, url.Values{"key": {key}}, &answer)
	if err != nil {
		return platform.Row{}, false, err
	}
	return answer.Row, answer.Found, nil
}

// Scan implements platform.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	query := url.Values{
		"prefix": {prefix},
		"after":  {after},
		"limit":  {strconv.Itoa(limit)},
	}
	var answer RowsAnswer
	err := c.wire.readJSON(ctx, "scan rows", PathRows, query, &answer)
	if err != nil {
		return nil, err
	}
	return answer.Rows, nil
}

// Commit implements platform.Table.
func (c *Client) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	const step = "commit"
	body, err := json.Marshal(txn)
	if err != nil {
		return 0, eris.Wrapf(platform.ErrUnavailable, "%s peer %s: encode: %v", step, c.wire.peer, err)
	}
	raw, err := c.wire.write(ctx, step, http.MethodPost, PathTransactions, nil, body)
	if err != nil {
		return 0, err
	}
	var answer CommitAnswer
	if err := json.Unmarshal(raw, &answer); err != nil {
		return 0, eris.Wrapf(platform.ErrUnknown, "%s peer %s: decode: %v", step, c.wire.peer, err)
	}
	return answer.Version, nil
}

// List implements platform.Instances. The list is sent only if it changed since the
// last call (RFC 9110, section 13); callers must not change it.
func (c *Client) List(ctx context.Context) ([]platform.Instance, error) {
	const step = "list instances"
	last := c.list.Load()
	if last == nil {
		last = &taggedList{}
	}
	got, err := c.wire.readIfChanged(ctx, step, PathInstances, last.tag)
	if err != nil {
		return nil, err
	}
	if got.status == http.StatusNotModified {
		return last.instances, nil
	}
	var answer InstancesAnswer
	if err := json.Unmarshal(got.body, &answer); err != nil {
		return nil, c.wire.fail(platform.ErrUnavailable, step, err)
	}
	c.list.Store(&taggedList{tag: got.tag, instances: answer.Instances})
	return answer.Instances, nil
}

// Put implements platform.Objects. A name that holds other bytes is a
// *platform.ConflictError with the name as its key.
func (o *Objects) Put(ctx context.Context, name string, body []byte) error {
	_, err := o.wire.write(ctx, "put object", http.MethodPut, PathObject, url.Values{"name": {name}}, body)
	return err
}

// Get implements platform.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.wire.read(ctx, "get object", PathObject, url.Values{"name": {name}})
}
