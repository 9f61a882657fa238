package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Limits of a server's links.
const (
	// MaxMessageBytes is the maximum size of a message.
	MaxMessageBytes = 16 << 20
	// maxCallsPerLink is the maximum number of calls in progress on one link.
	maxCallsPerLink = 4096
	// serverIdle is how long a link may receive nothing before the server closes it.
	serverIdle = 15 * time.Second
	// linksCloseTime is how long a drained server waits for its peers to close their links.
	linksCloseTime = 200 * time.Millisecond
)

// pingMethod is a method of every server. Its reply proves that the link works.
const pingMethod = "peer.ping"

// stoppingMethod is a notification of a server that drains: the peer is to begin no further
// call on the link and to close it after the last one. Peers that don't know it ignore it.
const stoppingMethod = "peer.stopping"

// Codes of RemoteError that the server sets. A handler that returns a *RemoteError sets its
// own code.
const (
	// CodeBusy means that the server is at its limit of calls or stopping. No handler ran.
	CodeBusy = -32050
	// CodeNoMethod means that the method does not exist. No handler ran.
	CodeNoMethod = jsonrpc2.CodeMethodNotFound
	// CodeHandler means that the handler returned an error that is not a *RemoteError.
	CodeHandler = -32000
)

// Server handles the calls of other entries.
type Server struct {
	handlers map[string]Handler
	// OnPanic, unless it is nil, is called when the handler of a method has panicked, with the
	// cause and the stack. It must be set before Serve.
	OnPanic func(method string, cause any, stack []byte)

	mu    sync.Mutex
	links map[*jsonrpc2.Conn]struct{}
	// draining is set when calls are refused, closed when new links are refused too.
	draining, closed bool
	// linksClosed, if it isn't nil, is closed with the last link.
	linksClosed chan struct{}
	calls       sync.WaitGroup
}

// NewServer returns a server whose only method is the ping.
func NewServer() *Server {
	s := &Server{
		handlers: make(map[string]Handler),
		links:    make(map[*jsonrpc2.Conn]struct{}),
	}
	s.handlers[pingMethod] = func(context.Context, json.RawMessage) (any, error) { return struct{}{}, nil }
	return s
}

// Register adds methods. It must not be called after Serve.
func (s *Server) Register(handlers map[string]Handler) {
	for method, handler := range handlers {
		s.handlers[method] = handler
	}
}

// Serve accepts links until the listener is closed or shut down, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.EINVAL) {
			return nil
		}
		if err != nil {
			return err
		}
		s.ServeLink(conn)
	}
}

// Drain refuses new calls, waits until those in progress have been answered, and then until
// the peers have closed their links, at most linksCloseTime. A peer closes a link when it has
// the reply to each call that it sent. New links are accepted as long as the listener is
// open; calls on them are refused. If ctx is done before the calls in progress are answered,
// Drain returns the error of ctx.
func (s *Server) Drain(ctx context.Context) error {
	for _, link := range s.beginDrain() {
		go notifyStopping(link)
	}
	if !waitFor(ctx, s.callsEnded()) {
		return ctx.Err()
	}
	linksCtx, cancel := context.WithTimeout(ctx, linksCloseTime)
	defer cancel()
	waitFor(linksCtx, s.allLinksClosed())
	return nil
}

// beginDrain refuses further calls and returns the open links.
func (s *Server) beginDrain() []*jsonrpc2.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	return s.openLinks()
}

// openLinks returns the open links. The caller holds s.mu.
func (s *Server) openLinks() []*jsonrpc2.Conn {
	links := make([]*jsonrpc2.Conn, 0, len(s.links))
	for link := range s.links {
		links = append(links, link)
	}
	return links
}

func notifyStopping(link *jsonrpc2.Conn) {
	// An error means that the link is closed.
	_ = link.Notify(context.Background(), stoppingMethod, nil)
}

// callsEnded returns a channel that is closed when no call is in progress.
func (s *Server) callsEnded() <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		s.calls.Wait()
		close(ended)
	}()
	return ended
}

// allLinksClosed returns a channel that is closed when no link is open.
func (s *Server) allLinksClosed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.linksClosed == nil {
		s.linksClosed = make(chan struct{})
		s.checkLinksClosed()
	}
	return s.linksClosed
}

// checkLinksClosed closes linksClosed if no link is open. The caller holds s.mu.
func (s *Server) checkLinksClosed() {
	if s.linksClosed == nil || len(s.links) > 0 {
		return
	}
	select {
	case <-s.linksClosed:
	default:
		close(s.linksClosed)
	}
}

// waitFor reports whether done was closed before ctx ended.
func waitFor(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Close closes all links and waits for the handlers to return.
func (s *Server) Close() {
	s.mu.Lock()
	s.draining, s.closed = true, true
	links := s.openLinks()
	s.mu.Unlock()
	for _, link := range links {
		_ = link.Close()
	}
	s.calls.Wait()
}

// ServeLink handles the calls on one connection.
func (s *Server) ServeLink(conn net.Conn) {
	watched := newWatchedConn(conn, serverIdle)
	codec := newLinkCodec()
	stream := jsonrpc2.NewBufferedStream(watched, codec)
	ctx, cancel := context.WithCancel(context.Background())
	handler := &linkHandler{server: s, codec: codec, slots: make(chan struct{}, maxCallsPerLink)}
	link := jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(discardLogger{}))
	if !s.track(link) {
		cancel()
		_ = link.Close()
		return
	}
	go func() {
		<-link.DisconnectNotify()
		cancel()
		s.untrack(link)
	}()
	if s.isDraining() {
		go notifyStopping(link)
	}
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// track adds a link. It returns false if the server is closed.
func (s *Server) track(link *jsonrpc2.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.links[link] = struct{}{}
	return true
}

func (s *Server) untrack(link *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, link)
	s.checkLinksClosed()
}

// beginCall counts a call in progress. It returns false if the server is draining.
func (s *Server) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.calls.Add(1)
	return true
}

// linkHandler runs each call of a link in its own goroutine.
type linkHandler struct {
	server *Server
	codec  *linkCodec
	// slots holds an element per call in progress.
	slots chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (h *linkHandler) Handle(ctx context.Context, link *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		if req.Method == payloadsMethod {
			h.codec.peerReads.Store(true)
			go announcePayloads(link)
		}
		return
	}
	handler, ok := h.server.handlers[req.Method]
	if !ok {
		h.replyError(ctx, link, req, CodeNoMethod, "unknown method "+req.Method)
		return
	}
	select {
	case h.slots <- struct{}{}:
	default:
		h.replyError(ctx, link, req, CodeBusy, "too many calls on this link")
		return
	}
	if !h.server.beginCall() {
		<-h.slots
		h.replyError(ctx, link, req, CodeBusy, "stopping")
		return
	}
	go func() {
		defer h.server.calls.Done()
		defer func() { <-h.slots }()
		defer h.closeOnPanic(link, req.Method)
		h.run(ctx, link, req, handler)
	}()
}

// closeOnPanic, when deferred, closes the link if the handler panics: the callers on it learn that
// the outcome is unknown. An error would say that the handler has decided against the call.
func (h *linkHandler) closeOnPanic(link *jsonrpc2.Conn, method string) {
	cause := recover()
	if cause == nil {
		return
	}
	if h.server.OnPanic != nil {
		h.server.OnPanic(method, cause, debug.Stack())
	}
	_ = link.Close()
}

// run calls the handler and sends its result or error.
func (h *linkHandler) run(ctx context.Context, link *jsonrpc2.Conn, req *jsonrpc2.Request, handler Handler) {
	params, err := h.params(req)
	if err != nil {
		h.replyError(ctx, link, req, CodeHandler, err.Error())
		return
	}
	result, err := handler(ctx, params)
	var coded *RemoteError
	if errors.As(err, &coded) {
		h.replyError(ctx, link, req, coded.Code, coded.Message)
		return
	}
	if err != nil {
		h.replyError(ctx, link, req, CodeHandler, err.Error())
		return
	}
	h.reply(ctx, link, req, result)
}

// params returns the parameters of a request.
func (h *linkHandler) params(req *jsonrpc2.Request) (json.RawMessage, error) {
	if req.Params == nil {
		return nil, nil
	}
	return h.codec.resolve(*req.Params)
}

// reply sends the result of a request.
func (h *linkHandler) reply(ctx context.Context, link *jsonrpc2.Conn, req *jsonrpc2.Request, result any) {
	offered, err := h.codec.offer(result)
	if err != nil {
		h.replyError(ctx, link, req, CodeHandler, err.Error())
		return
	}
	_ = link.Reply(ctx, req.ID, offered)
	h.codec.withdraw(offered)
}

func (h *linkHandler) replyError(ctx context.Context, link *jsonrpc2.Conn, req *jsonrpc2.Request, code int64, message string) {
	_ = link.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: code, Message: message})
}

// discardLogger discards the log lines of the jsonrpc2 library. Callers receive outcomes
// as errors.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
