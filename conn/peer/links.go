package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/kingcuplatch/kingcuplatch/conn/traffic"
)

// Timeouts of a link.
const (
	dialTimeout = time.Second
	// pingInterval is the time between pings on a link with calls in progress. The replies
	// distinguish a slow handler from an unresponsive peer.
	pingInterval = 500 * time.Millisecond
	// LinkTimeout is how long a link with calls in progress may receive nothing before it
	// is closed.
	LinkTimeout = 2 * time.Second
	// clientIdle is how long a link without calls stays open. It is shorter than
	// serverIdle, so that the server does not close a link on which a call is being sent.
	clientIdle = serverIdle * 2 / 3
	// maxOpenTries is the number of links that a call tries to begin on.
	maxOpenTries = 2
)

// Links is a Caller that keeps one open link to each peer.
type Links struct {
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	links  map[string]*link
	closed bool
}

// link is a connection, or an attempt to open one. The fields ready, rpc, conn and err are
// set before ready is closed.
type link struct {
	ready chan struct{}
	codec *linkCodec
	rpc   *jsonrpc2.Conn
	conn  *watchedConn
	err   error

	// pinging is set while a ping is being sent.
	pinging atomic.Bool

	mu sync.Mutex
	// calls is the number of calls in progress. Pings are sent only if it is not 0.
	calls int
	// retired is set when no further call may begin: the peer is stopping, or the link was
	// idle for too long. The link is closed with its last call.
	retired bool
}

// NewLinks returns a Caller without open links.
func NewLinks() *Links { return NewCountedLinks(nil) }

// NewCountedLinks is like NewLinks and counts the bytes of all links.
func NewCountedLinks(bytes *traffic.Bytes) *Links {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := bytes.Dial(dialer.DialContext)
	return &Links{
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dial(ctx, "tcp", address)
		},
		links: make(map[string]*link),
	}
}

// Call implements Caller.
func (l *Links) Call(ctx context.Context, address, method string, params, result any) error {
	ln, err := l.begin(ctx, address)
	if err != nil {
		return eris.Wrapf(errors.Join(ErrNotSent, err), "%s: dial peer %s", method, address)
	}
	defer ln.endCall()
	offered, err := ln.codec.offer(params)
	if err != nil {
		return eris.Wrapf(errors.Join(ErrNotSent, ErrNotEncodable, err), "%s: encode for peer %s", method, address)
	}
	waiter, err := ln.rpc.DispatchCall(ctx, method, offered)
	ln.codec.withdraw(offered)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		l.drop(address, ln)
		return eris.Wrapf(ErrNotSent, "%s: link to peer %s is closed", method, address)
	}
	if err != nil {
		l.drop(address, ln)
		return eris.Wrapf(errors.Join(ErrUnknown, err), "%s: send to peer %s", method, address)
	}
	return callError(ln.awaitResult(ctx, waiter, result), method, address)
}

// awaitResult waits for the reply to a call and decodes it into result.
func (ln *link) awaitResult(ctx context.Context, waiter jsonrpc2.Waiter, result any) error {
	var reply json.RawMessage
	if err := waiter.Wait(ctx, &reply); err != nil {
		return err
	}
	value, err := ln.codec.resolve(reply)
	if err != nil || result == nil {
		return err
	}
	return json.Unmarshal(value, result)
}

// announcePayloads tells the peer that messages with payloads are read here.
func announcePayloads(rpc *jsonrpc2.Conn) {
	// An error means that the link is closed.
	_ = rpc.Notify(context.Background(), payloadsMethod, nil)
}

// begin begins a call on the open link to a peer, or on a new one if that is retired.
func (l *Links) begin(ctx context.Context, address string) (*link, error) {
	for range maxOpenTries {
		ln, err := l.open(ctx, address)
		if err != nil {
			return nil, err
		}
		if ln.beginCall() {
			return ln, nil
		}
		l.drop(address, ln)
	}
	return nil, errStopping
}

// errStopping is the error of a call to a peer that retires each new link.
var errStopping = errors.New("peer is stopping")

// callError maps the result of waiting for a reply to the errors of Caller.
func callError(err error, method, address string) error {
	if err == nil {
		return nil
	}
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return eris.Wrapf(&RemoteError{Code: remote.Code, Message: remote.Message}, "%s: peer %s", method, address)
	}
	return eris.Wrapf(errors.Join(ErrUnknown, err), "%s: answer of peer %s", method, address)
}

// Close closes all links. Later calls return ErrNotSent.
func (l *Links) Close() {
	l.mu.Lock()
	l.closed = true
	links := l.links
	l.links = make(map[string]*link)
	l.mu.Unlock()
	for _, ln := range links {
		<-ln.ready
		if ln.err == nil {
			_ = ln.rpc.Close()
		}
	}
}

// open returns the link to a peer. Concurrent calls share one attempt to dial.
func (l *Links) open(ctx context.Context, address string) (*link, error) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil, net.ErrClosed
	}
	ln, ok := l.links[address]
	if !ok {
		ln = &link{ready: make(chan struct{})}
		l.links[address] = ln
		go l.connect(address, ln)
	}
	l.mu.Unlock()
	select {
	case <-ln.ready:
		return ln, ln.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *Links) connect(address string, ln *link) {
	defer close(ln.ready)
	conn, err := l.dial(context.Background(), address)
	if err != nil {
		ln.err = err
		l.drop(address, ln)
		return
	}
	ln.conn = newWatchedConn(conn, clientIdle)
	ln.conn.mayEnd = ln.retireIfIdle
	ln.codec = newLinkCodec()
	stream := jsonrpc2.NewBufferedStream(ln.conn, ln.codec)
	ln.rpc = jsonrpc2.NewConn(context.Background(), stream, noticeHandler{ln}, jsonrpc2.SetLogger(discardLogger{}))
	go announcePayloads(ln.rpc)
	go l.watch(address, ln)
}

// beginCall counts a call in progress. It returns false if the link is retired. The first
// call restarts the period of LinkTimeout, since an idle link receives nothing.
func (ln *link) beginCall() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.retired {
		return false
	}
	ln.calls++
	if ln.calls == 1 {
		ln.conn.lastRead.Store(time.Now().UnixNano())
	}
	return true
}

// endCall ends a call. The last one on a retired link closes it.
func (ln *link) endCall() {
	ln.mu.Lock()
	ln.calls--
	last := ln.retired && ln.calls == 0
	ln.mu.Unlock()
	if last {
		_ = ln.rpc.Close()
	}
}

// retire lets no further call begin. It closes the link unless calls are in progress.
func (ln *link) retire() {
	ln.mu.Lock()
	ln.retired = true
	idle := ln.calls == 0
	ln.mu.Unlock()
	if idle {
		_ = ln.rpc.Close()
	}
}

// retireIfIdle retires the link if no call is in progress, and reports whether it did.
func (ln *link) retireIfIdle() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.calls > 0 {
		return false
	}
	ln.retired = true
	return true
}

func (ln *link) inUse() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.calls > 0
}

// watch pings the peer while calls are in progress, and resets the link if it receives
// nothing for LinkTimeout: calls that wait in its send buffer must not arrive later.
func (l *Links) watch(address string, ln *link) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	defer l.drop(address, ln)
	for {
		select {
		case <-ln.rpc.DisconnectNotify():
			return
		case <-ticker.C:
		}
		if !ln.inUse() {
			continue
		}
		if ln.conn.sinceLastRead() > LinkTimeout {
			ln.conn.reset()
			_ = ln.rpc.Close()
			return
		}
		ln.ping()
	}
}

// ping sends a ping unless the last one is still being sent: while the send buffer is full, sending
// blocks until the link is closed. The reply is not awaited: its bytes update the time of the last
// read.
func (ln *link) ping() {
	if !ln.pinging.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer ln.pinging.Store(false)
		_, _ = ln.rpc.DispatchCall(context.Background(), pingMethod, struct{}{})
	}()
}

// drop removes a link, so that the next call opens a new one.
func (l *Links) drop(address string, ln *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[address] == ln {
		delete(l.links, address)
	}
}

// noticeHandler takes the notifications of a peer's server: that it is stopping, which retires the
// link, and that it reads payloads. Other requests of the peer are ignored.
type noticeHandler struct{ ln *link }

// Handle implements jsonrpc2.Handler.
func (h noticeHandler) Handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) {
	switch {
	case !r.Notif:
	case r.Method == payloadsMethod:
		h.ln.codec.peerReads.Store(true)
	case r.Method == stoppingMethod:
		<-h.ln.ready
		h.ln.retire()
	}
}
