// Package gracefulhttp serves HTTP/1 so that a shutdown answers every request that the
// process has read. The shutdown of http.Server does not: it closes a connection as
// idle, or drops what was read from it, as long as the handler has not begun.
//
// Read Server.Shutdown first.
package gracefulhttp

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
	// pollInterval is how often a shutdown looks for connections without a request.
	pollInterval = 20 * time.Millisecond
	// unusedTimeout is how long a connection may be without a request before a
	// shutdown closes it. The first request of a new connection, and the next one of
	// a client that has just received an answer, may be on their way.
	unusedTimeout = 500 * time.Millisecond
)

// Server is an HTTP/1 server. Create it with New and call Serve once.
type Server struct {
	http *http.Server
	// isDraining is true once each response has to be the last of its connection.
	isDraining atomic.Bool
	isClosed   atomic.Bool
	limits     Limits
	// giveUp ends the contexts of all requests.
	giveUp context.CancelCauseFunc

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
}

// New returns a server with the handler, the timeouts and the limits of server, which
// it uses from then on. The caller must not set ConnState, BaseContext or ConnContext.
func New(server *http.Server) *Server {
	s := &Server{http: server, conns: map[*conn]struct{}{}}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.serve(handler, w, r)
	})
	server.ConnContext = connContext
	server.ConnState = s.connStateChanged
	ctx, giveUp := context.WithCancelCause(context.Background())
	s.giveUp = giveUp
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	return s
}

// Serve accepts connections of l until Shutdown or Close is called, and then returns
// http.ErrServerClosed; any other error is a failure of the listener.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	if s.isClosed.Load() {
		l.Close()
	}
	err := s.http.Serve(&listener{Listener: l, server: s})
	if s.isClosed.Load() {
		return http.ErrServerClosed
	}
	return err
}

// Drain makes each further response the last one of its connection. Clients then open
// their next connection elsewhere, so that a later Shutdown finds few connections on
// which a request may be arriving.
func (s *Server) Drain() {
	s.isDraining.Store(true)
}

// ErrShutdown is the cause for which the context of a request ends that a shutdown gives
// up.
var ErrShutdown = errors.New("the server shuts down")

// Shutdown stops accepting connections, closes those that have no request, and returns
// when all others have been answered and closed. A connection is closed only while its
// server waits for the first byte of a request, never after a byte has been read.
//
// When ctx ends first, Shutdown ends the contexts of the requests in flight, so that
// their handlers answer at once, and waits for up to answerTimeout for that. Its error is
// that of ctx if a connection is left then.
//
// A request of which a part has arrived is waited for until then, like one in flight: its
// rest may be on a slow or lossy way. Ending it earlier would answer no more requests, and
// the process ends within its grace period in any case.
func (s *Server) Shutdown(ctx context.Context, answerTimeout time.Duration) error {
	s.Drain()
	s.closeListener()
	if s.awaitUnused(ctx) {
		return nil
	}
	s.giveUp(ErrShutdown)
	answerCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTimeout)
	defer cancel()
	if s.awaitUnused(answerCtx) {
		return nil
	}
	return ctx.Err()
}

// awaitUnused closes the connections that have no request until none is open, and
// reports whether that was reached before the end of ctx. Shutdown calls it.
func (s *Server) awaitUnused(ctx context.Context) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if s.closeUnused(time.Now()) == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	s.closeListener()
	_ = s.http.Close()
}

// closeListener closes the listener, if Serve has been called. Shutdown and Close call
// it.
func (s *Server) closeListener() {
	s.isClosed.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		s.listener.Close()
	}
}

// closeUnused closes the connections that have had no request for unusedTimeout, and
// returns the number of open connections. awaitUnused calls it every pollInterval.
func (s *Server) closeUnused(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeUnused(now.Add(-unusedTimeout))
	}
	return len(s.conns)
}

// connStateChanged tracks the requests of the connections. http.Server calls it on the
// goroutine of the connection.
func (s *Server) connStateChanged(nc net.Conn, state http.ConnState) {
	c := nc.(*conn)
	switch state {
	case http.StateActive:
		c.requestBegins()
	case http.StateIdle:
		c.requestEnded()
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}
}

// response announces the end of its connection if the server drains, or the body of the
// request is left unread, when the header is written.
type response struct {
	http.ResponseWriter
	server *Server
	// body is nil if the request has none.
	body *trackedBody
}

// finishHeader completes the header of the response.
func (r *response) finishHeader() {
	if r.body != nil && r.body.leaveUnread() || r.server.isDraining.Load() {
		r.Header().Set("Connection", "close")
	}
}

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	r.finishHeader()
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *response) Write(p []byte) (int, error) {
	r.finishHeader()
	return r.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the other methods of the writer.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// listener registers the connections that it accepts with the server.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. A connection for which there is no room is closed.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	for err == nil && !l.server.makeRoom() {
		l.server.report(ReasonBusy)
		nc.Close()
		nc, err = l.Listener.Accept()
	}
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, server: l.server, unusedSince: time.Now()}
	l.server.mu.Lock()
	l.server.conns[c] = struct{}{}
	l.server.mu.Unlock()
	return c, nil
}

// conn is a connection that knows whether a byte of an unanswered request has been read
// from it.
type conn struct {
	net.Conn
	server *Server

	mu         sync.Mutex
	hasRequest bool
	// isInHandler is true from the end of a request's header until its answer, isWhole from
	// the end of the request.
	isInHandler bool
	isWhole     bool
	// isAbandoned is true once the connection has been closed for another one.
	isAbandoned bool
	// lines is the number of lines that may belong to an incomplete header.
	lines int
	// isTooLong is true once a header has had too many lines.
	isTooLong bool
	// unusedSince is when the connection was accepted or its last request was
	// answered.
	unusedSince time.Time
	// requestBegunAt is when the first byte of the present request was read.
	requestBegunAt time.Time
	// isInterrupted is true while the read deadline has been moved to the past, to end
	// the wait for a request. readDeadline is the one that http.Server has set.
	isInterrupted bool
	readDeadline  time.Time
}

// pastDeadline is a read deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// Read implements net.Conn. Bytes that were read before an interruption took effect are
// returned, and the rest of their request is read with the deadline of http.Server.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.checkHeader(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.bytesArrived(p[:n])
	}
	if err != nil {
		c.noteReadError(err)
	}
	return n, err
}

// SetReadDeadline implements net.Conn. An interruption stays in force.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.isInterrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite lets http.Server end the sending direction before it closes the connection,
// which keeps a response from being lost together with an unread rest of the request.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// closeUnused ends the wait for a request if there is none since before. http.Server
// then closes the connection. Its reader gets either the first byte or the interruption,
// so no request that was read is lost.
func (c *conn) closeUnused(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasRequest || c.isInterrupted || c.unusedSince.After(before) {
		return
	}
	c.isInterrupted = true
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// bytesArrived notes that a part of a request has been read. Read calls it.
func (c *conn) bytesArrived(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countLines(p)
	c.beginRequest()
}

// requestBegins notes that a request is being read. connStateChanged calls it for one that
// was in the buffer of http.Server.
func (c *conn) requestBegins() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginRequest()
}

// beginRequest does what requestBegins does. c.mu is locked.
func (c *conn) beginRequest() {
	if !c.hasRequest {
		c.hasRequest, c.requestBegunAt = true, time.Now()
	}
	if c.isInterrupted {
		c.isInterrupted = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// requestEnded notes that the request has been answered. connStateChanged calls it when
// http.Server begins to wait for the next one.
func (c *conn) requestEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasRequest, c.isInHandler, c.isWhole = false, false, false
	c.unusedSince = time.Now()
}
