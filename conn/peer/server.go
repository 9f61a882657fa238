package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Limits of a server's links.
const (
	// MaxMessageBytes bounds one message of a peer.
	MaxMessageBytes = 16 << 20
	// maxCallsPerLink bounds calls in progress on one link.
	maxCallsPerLink = 4096
	// serverIdle is how long a link may be silent before the server ends it.
	serverIdle = 15 * time.Second
)

// pingMethod is answered by every server; it proves that the link works.
const pingMethod = "peer.ping"

// CodeBusy and CodeNoMethod are codes of RemoteError set by the server itself;
// the handler did not run. CodeHandler stands for an error of the handler that is
// no *RemoteError; one that is reaches the caller with its own code.
const (
	CodeBusy     = -32050
	CodeNoMethod = jsonrpc2.CodeMethodNotFound
	CodeHandler  = -32000
)

// Server answers calls of other entries.
type Server struct {
	handlers map[string]Handler

	mu     sync.Mutex
	links  map[*jsonrpc2.Conn]struct{}
	closed bool
	calls  sync.WaitGroup
}

// NewServer returns a server without methods.
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

// Serve accepts links until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		s.serveLink(conn)
	}
}

// Drain refuses new calls and waits until those in progress are answered.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	answered := make(chan struct{})
	go func() {
		s.calls.Wait()
		close(answered)
	}()
	select {
	case <-answered:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close ends all links and waits for the handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	links := make([]*jsonrpc2.Conn, 0, len(s.links))
	for link := range s.links {
		links = append(links, link)
	}
	s.mu.Unlock()
	for _, link := range links {
		_ = link.Close()
	}
	s.calls.Wait()
}

func (s *Server) serveLink(conn net.Conn) {
	watched := newWatchedConn(conn, serverIdle)
	stream := jsonrpc2.NewBufferedStream(watched, boundedCodec{limit: MaxMessageBytes})
	ctx, cancel := context.WithCancel(context.Background())
	handler := &linkHandler{server: s, slots: make(chan struct{}, maxCallsPerLink)}
	link := jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(quiet{}))
	if !s.track(link) {
		cancel()
		_ = link.Close()
		return
	}
	go func() {
		<-link.DisconnectNotify()
		cancel()
		s.forget(link)
	}()
}

func (s *Server) track(link *jsonrpc2.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.links[link] = struct{}{}
	return true
}

func (s *Server) forget(link *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, link)
}

// begin counts a call, unless the server is closing.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.calls.Add(1)
	return true
}

// linkHandler runs each call of one link on its own goroutine.
type linkHandler struct {
	server *Server
	slots  chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (h *linkHandler) Handle(ctx context.Context, link *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	handler, ok := h.server.handlers[req.Method]
	if !ok {
		h.refuse(ctx, link, req, CodeNoMethod, "unknown method "+req.Method)
		return
	}
	select {
	case h.slots <- struct{}{}:
	default:
		h.refuse(ctx, link, req, CodeBusy, "too many calls on this link")
		return
	}
	if !h.server.begin() {
		<-h.slots
		h.refuse(ctx, link, req, CodeBusy, "stopping")
		return
	}
	go func() {
		defer h.server.calls.Done()
		defer func() { <-h.slots }()
		h.answer(ctx, link, req, handler)
	}()
}

func (h *linkHandler) answer(ctx context.Context, link *jsonrpc2.Conn, req *jsonrpc2.Request, handler Handler) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := handler(ctx, params)
	var coded *RemoteError
	if errors.As(err, &coded) {
		h.refuse(ctx, link, req, coded.Code, coded.Message)
		return
	}
	if err != nil {
		h.refuse(ctx, link, req, CodeHandler, err.Error())
		return
	}
	_ = link.Reply(ctx, req.ID, result)
}

func (h *linkHandler) refuse(ctx context.Context, link *jsonrpc2.Conn, req *jsonrpc2.Request, code int64, message string) {
	_ = link.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: code, Message: message})
}

// quiet drops the library's own log lines; outcomes reach callers as errors.
type quiet struct{}

// Printf implements jsonrpc2.Logger.
func (quiet) Printf(string, ...any) {}
