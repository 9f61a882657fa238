package drain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lastReadTime is how long a connection without a request in progress waits for one
	// before it is closed.
	lastReadTime = 5 * time.Millisecond
	// lastAcceptTime is how long a listener accepts the connections that wait in its queue
	// before it is closed.
	lastAcceptTime = 5 * time.Millisecond
	// maxAcceptDelay bounds the time for those connections, since new ones may keep coming.
	maxAcceptDelay = 200 * time.Millisecond
	// firstRequestTime is how long after a connection was accepted its first request is
	// expected: clients connect to send at once.
	firstRequestTime = 500 * time.Millisecond
	// lingerTime is how long a connection that was closed for writing after a response is
	// read, idleLingerTime how long one on which no request was in progress: a request that
	// crosses its close arrives within a round trip.
	lingerTime     = 200 * time.Millisecond
	idleLingerTime = 100 * time.Millisecond
	// noticeTime bounds the writing of the notice on an idle connection. The notice fits into
	// the send buffer, unless the client reads nothing; a deadline may expire before a process
	// that gets no processor has written.
	noticeTime = time.Second
	// pollInterval is the interval between checks for requests in progress.
	pollInterval = 10 * time.Millisecond
)

// Server is an HTTP server that can be drained.
type Server struct {
	server   *http.Server
	listener net.Listener
	// served is closed when Serve returns.
	served chan struct{}
	// ctx is the parent of all request contexts.
	ctx      context.Context
	cancel   context.CancelFunc
	draining atomic.Bool
	// cutting is set when connections are closed at once.
	cutting atomic.Bool
	// idleClosed counts the connections that the drain closed since no request arrived on
	// them, crossed those of them on which bytes arrived after their close.
	idleClosed, crossed atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a server that takes over the timeouts, limits and handler of server. The
// fields BaseContext, ConnContext and ConnState of server must not be set; ReadHeaderTimeout
// must be.
func New(server *http.Server) *Server {
	s := &Server{server: server, served: make(chan struct{}), conns: make(map[*conn]struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	server.Handler = s.closeAfterResponse(server.Handler)
	server.BaseContext = func(net.Listener) context.Context { return s.ctx }
	server.ConnState = s.connState
	server.ConnContext = withConn
	return s
}

// Serve accepts connections until the server is drained or closed, and then returns nil.
// It must be called once.
func (s *Server) Serve(l net.Listener) error {
	defer close(s.served)
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	err := s.server.Serve(&listener{Listener: l, server: s})
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Close closes the listener and cuts all connections.
func (s *Server) Close() error {
	s.cutting.Store(true)
	s.cancel()
	return s.server.Close()
}

// countIdleClosed counts a connection that the drain closed since no request arrived on it,
// and whether one crossed the close.
func (s *Server) countIdleClosed(crossed bool) {
	s.idleClosed.Add(1)
	if crossed {
		s.crossed.Add(1)
	}
}

// Connections counts the open connections of a Server.
type Connections struct {
	// Requests is the number of connections with a request in progress. Idle ones have had
	// a request before, Unused ones have not.
	Requests, Idle, Unused int
	// Oldest is the age of the oldest request in progress.
	Oldest time.Duration
}

// Connections returns the current counts.
func (s *Server) Connections() Connections {
	s.mu.Lock()
	defer s.mu.Unlock()
	var counts Connections
	for c := range s.conns {
		requestAt, used := c.state()
		switch {
		case !requestAt.IsZero():
			counts.Requests++
			counts.Oldest = max(counts.Oldest, time.Since(requestAt))
		case used:
			counts.Idle++
		default:
			counts.Unused++
		}
	}
	return counts
}

// connState implements http.Server.ConnState.
func (s *Server) connState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.requestAnswered()
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}
}

// listener wraps accepted connections.
type listener struct {
	net.Listener
	server *Server
	// ended is set once the deadline has expired; queue holds what waited then.
	ended bool
	queue []net.Conn
}

// Accept implements net.Listener. An expired deadline ends it when no connection waits in
// the queue any more.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.next()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, server: l.server, headerTimeout: l.server.server.ReadHeaderTimeout, acceptedAt: time.Now()}
	l.server.mu.Lock()
	l.server.conns[c] = struct{}{}
	l.server.mu.Unlock()
	return c, nil
}

// next returns the next connection, from the listener or, once its deadline has expired, from
// its queue.
func (l *listener) next() (net.Conn, error) {
	if !l.ended {
		accepted, err := l.Listener.Accept()
		if isTimeout(err) && extendAccept(l.Listener) {
			accepted, err = l.Listener.Accept()
		}
		if !isTimeout(err) {
			return accepted, err
		}
		l.ended, l.queue = true, TakeQueue(l.Listener)
	}
	if len(l.queue) == 0 {
		return nil, net.ErrClosed
	}
	accepted := l.queue[0]
	l.queue = l.queue[1:]
	return accepted, nil
}

// extendAccept lets a listener accept for lastAcceptTime. It returns false if the listener
// has no deadlines or is closed.
func extendAccept(l net.Listener) bool {
	d, ok := l.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(time.Now().Add(lastAcceptTime)) == nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn implements http.Server.ConnContext.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// closeAfterResponse makes responses close their connections while the server drains.
func (s *Server) closeAfterResponse(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			// A pipelined request was read together with the one before.
			c.requestRead()
		}
		next.ServeHTTP(&closingWriter{ResponseWriter: w, server: s}, r)
	})
}

// closingWriter sets the header Connection when the response begins.
type closingWriter struct {
	http.ResponseWriter
	server *Server
	began  bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the wrapped writer to http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *closingWriter) begin() {
	if !w.began && w.server.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.began = true
}
