package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/kingcuplatch/kingcuplatch/conn/traffic"
)

// Timings of a link.
const (
	dialTimeout = time.Second
	// pingEvery is the time between pings, so that a silent link is noticed
	// while calls wait on it.
	pingEvery = 500 * time.Millisecond
	// SilentAfter is how long a link may be silent under calls before it is
	// condemned.
	SilentAfter = 2 * time.Second
	// clientIdle is how long a link without calls stays open; it is below
	// serverIdle so that the server never ends a link that a call just took.
	clientIdle = serverIdle * 2 / 3
)

// Links is a Caller that keeps one open link to each peer.
type Links struct {
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	links  map[string]*link
	closed bool
}

// link is one connection, or the attempt to open it. Fields other than ready are
// set before ready is closed.
type link struct {
	ready chan struct{}
	rpc   *jsonrpc2.Conn
	conn  *watchedConn
	err   error
	// calls counts calls in progress; pings are sent only while there are any.
	calls atomic.Int64
}

// NewLinks returns a Caller without open links.
func NewLinks() *Links { return NewCountedLinks(nil) }

// NewCountedLinks is NewLinks with the bytes of all links counted.
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
	ln, err := l.open(ctx, address)
	if err != nil {
		return eris.Wrapf(errors.Join(ErrNotSent, err), "%s: dial peer %s", method, address)
	}
	ln.begin()
	defer ln.calls.Add(-1)
	waiter, err := ln.rpc.DispatchCall(ctx, method, params)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		l.drop(address, ln)
		return eris.Wrapf(ErrNotSent, "%s: link to peer %s is closed", method, address)
	}
	if err != nil {
		l.drop(address, ln)
		return eris.Wrapf(errors.Join(ErrUnknown, err), "%s: send to peer %s", method, address)
	}
	return answerError(waiter.Wait(ctx, result), method, address)
}

// answerError maps the end of a wait to the errors of Caller.
func answerError(err error, method, address string) error {
	if err == nil {
		return nil
	}
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return eris.Wrapf(&RemoteError{Code: remote.Code, Message: remote.Message}, "%s: peer %s", method, address)
	}
	return eris.Wrapf(errors.Join(ErrUnknown, err), "%s: answer of peer %s", method, address)
}

// Close ends all links.
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

// open returns a working link, dialling at most once at a time per peer.
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
	stream := jsonrpc2.NewBufferedStream(ln.conn, boundedCodec{limit: MaxMessageBytes})
	ln.rpc = jsonrpc2.NewConn(context.Background(), stream, refuseAll{}, jsonrpc2.SetLogger(quiet{}))
	go l.watch(address, ln)
}

// begin counts a call; silence is measured from the first call on.
func (ln *link) begin() {
	if ln.calls.Add(1) == 1 {
		ln.conn.heard.Store(time.Now().UnixNano())
	}
}

// watch pings the peer while calls wait and condemns the link when it falls silent.
func (l *Links) watch(address string, ln *link) {
	ticker := time.NewTicker(pingEvery)
	defer ticker.Stop()
	defer l.drop(address, ln)
	for {
		select {
		case <-ln.rpc.DisconnectNotify():
			return
		case <-ticker.C:
		}
		if ln.calls.Load() == 0 {
			continue
		}
		if ln.conn.silence() > SilentAfter {
			_ = ln.conn.Close()
			_ = ln.rpc.Close()
			return
		}
		// The answer itself isn't needed: its bytes are what is waited for.
		_, _ = ln.rpc.DispatchCall(context.Background(), pingMethod, struct{}{})
	}
}

// drop forgets a link so that the next call dials anew.
func (l *Links) drop(address string, ln *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[address] == ln {
		delete(l.links, address)
	}
}

// refuseAll ignores requests that come in on an outgoing link.
type refuseAll struct{}

// Handle implements jsonrpc2.Handler.
func (refuseAll) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
