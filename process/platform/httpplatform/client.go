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

// Client is a client of one platform. It implements platform.Table and
// platform.Instances; Objects returns its object store. It is safe for concurrent
// use.
type Client struct {
	// OnUnusable, if set, is called with the name and the fault of instances that List leaves
	// out, at most maxReportedUnusable of each new list. It must be set before the first call.
	OnUnusable func(name string, err error)

	client httpClient
	// list is the last result of List.
	list atomic.Pointer[cachedList]
}

// maxReportedUnusable bounds the calls of OnUnusable for one list.
const maxReportedUnusable = 20

// cachedList is a list of instances with its entity tag.
type cachedList struct {
	etag      string
	instances []platform.Instance
}

// Objects is the object store of a Client's platform.
type Objects struct {
	client httpClient
}

var (
	_ platform.Table     = (*Client)(nil)
	_ platform.Instances = (*Client)(nil)
	_ platform.Objects   = (*Objects)(nil)
)

// New returns a client of the platform at baseURL, such as "http://10.0.0.1:80".
func New(baseURL string) *Client { return NewCounted(baseURL, nil) }

// NewCounted is like New and counts the bytes of all connections in bytes.
func NewCounted(baseURL string, bytes *traffic.Bytes) *Client {
	return &Client{client: newHTTPClient(baseURL, bytes)}
}

// Objects returns the platform's object store. It shares the connections of c.
func (c *Client) Objects() *Objects { return &Objects{client: c.client} }

// Close closes idle connections.
func (c *Client) Close() { c.client.transport.CloseIdleConnections() }

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, key string) (platform.Row, bool, error) {
	var reply RowAnswer
	err := c.client.readJSON(ctx, "get row", PathRow, url.Values{"key": {key}}, &reply)
	if err != nil {
		return platform.Row{}, false, err
	}
	return reply.Row, reply.Found, nil
}

// Scan implements platform.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	query := url.Values{
		"prefix": {prefix},
		"after":  {after},
		"limit":  {strconv.Itoa(limit)},
	}
	var reply RowsAnswer
	err := c.client.readJSON(ctx, "scan rows", PathRows, query, &reply)
	if err != nil {
		return nil, err
	}
	return reply.Rows, nil
}

// Commit implements platform.Table.
func (c *Client) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	const step = "commit"
	body, err := json.Marshal(txn)
	if err != nil {
		return 0, eris.Wrapf(platform.ErrUnavailable, "%s peer %s: encode: %v", step, c.client.peer, err)
	}
	raw, err := c.client.write(ctx, step, http.MethodPost, PathTransactions, nil, body)
	if err != nil {
		return 0, err
	}
	var reply CommitAnswer
	if err := json.Unmarshal(raw, &reply); err != nil {
		return 0, eris.Wrapf(platform.ErrUnknown, "%s peer %s: decode: %v", step, c.client.peer, err)
	}
	return reply.Version, nil
}

// List implements platform.Instances. The platform sends the list only if it has changed
// since the last call (RFC 9110, section 13). Callers must not modify the list.
func (c *Client) List(ctx context.Context) ([]platform.Instance, error) {
	const step = "list instances"
	last := c.list.Load()
	if last == nil {
		last = &cachedList{}
	}
	got, err := c.client.readIfChanged(ctx, step, PathInstances, last.etag)
	if err != nil {
		return nil, err
	}
	if got.status == http.StatusNotModified {
		return last.instances, nil
	}
	var reply rawInstances
	if err := json.Unmarshal(got.body, &reply); err != nil {
		return nil, c.client.wrapError(platform.ErrUnavailable, step, err)
	}
	usable := c.usableInstances(reply.Instances)
	c.list.Store(&cachedList{etag: got.etag, instances: usable})
	return usable, nil
}

// rawInstances is an InstancesAnswer whose instances are decoded one by one, since one that
// can't be decoded must not hide the others.
type rawInstances struct {
	Instances []json.RawMessage `json:"instances"`
}

// usableInstances returns the instances that can be used.
func (c *Client) usableInstances(list []json.RawMessage) []platform.Instance {
	usable := make([]platform.Instance, 0, len(list))
	unusable := 0
	for _, raw := range list {
		var instance platform.Instance
		err := json.Unmarshal(raw, &instance)
		if err == nil {
			err = instance.Check()
		}
		if err == nil {
			usable = append(usable, instance)
			continue
		}
		if unusable++; c.OnUnusable != nil && unusable <= maxReportedUnusable {
			c.OnUnusable(instance.Name, err)
		}
	}
	return usable
}

// Put implements platform.Objects. If the object already has other bytes, the error is a
// *platform.ConflictError with the object's name as its key.
func (o *Objects) Put(ctx context.Context, name string, body []byte) error {
	_, err := o.client.write(ctx, "put object", http.MethodPut, PathObject, url.Values{"name": {name}}, body)
	return err
}

// Get implements platform.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.client.read(ctx, "get object", PathObject, url.Values{"name": {name}})
}
