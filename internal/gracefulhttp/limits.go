package gracefulhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	// maxHeaderLines bounds the lines of a header. http.Server bounds its bytes, to 20 KB for a
	// limit of 16 KB, but 4,000 short fields of 5 bytes take 0.47 MB decoded; 512 take 60 KB.
	// Clients and proxies send 5 to 100.
	maxHeaderLines = 512
	// headerBufferBytes is the size of the buffer from which http.Server reads headers.
	headerBufferBytes = 4 << 10
	// maxDiscardBytes is how much of a body that was not read is discarded to keep the
	// connection. An ordinary submission is shorter.
	maxDiscardBytes = 4 << 10
	// discardTimeout bounds the wait for the rest of a body that was not read. With it the
	// client can read the answer before the connection is reset.
	discardTimeout = 500 * time.Millisecond
	// maxClosingConns is how many unused connections may be about to close beyond the limit.
	maxClosingConns = 64
)

// Reason is why a request or a connection was ended because of a limit.
type Reason string

// Reasons.
const (
	// ReasonConnections is a connection that gave its place to a new one.
	ReasonConnections Reason = "connections"
	// ReasonBusy is a new connection that found no place.
	ReasonBusy Reason = "busy"
	// ReasonHeaderTime and ReasonHeaderLines are headers that took too long or had too many
	// lines.
	ReasonHeaderTime  Reason = "header_time"
	ReasonHeaderLines Reason = "header_lines"
	// ReasonBodyTime is a body that was not whole in time.
	ReasonBodyTime Reason = "body_time"
	// ReasonUnreadBody is a connection closed after its answer since the body was not read.
	ReasonUnreadBody Reason = "unread_body"
	// ReasonWriteTime is an answer that the client did not read.
	ReasonWriteTime Reason = "write_time"
)

// Limits bound what clients may take of a server. A zero value is no limit.
type Limits struct {
	// MaxConns bounds the open connections. At the limit, a new connection takes the place
	// of the one that has been without a complete request for the longest time.
	MaxConns int
	// BodyTimeout bounds the time from the first read of a body to its end.
	BodyTimeout time.Duration
	// WriteTimeout bounds each write of a part of an answer.
	WriteTimeout time.Duration
	// OnLimit, if not nil, is called when a limit takes effect, on any goroutine. It must not
	// call the server, whose mutex may be locked.
	OnLimit func(Reason)
}

// SetLimits sets the limits of the server. Call it before Serve.
func (s *Server) SetLimits(l Limits) { s.limits = l }

// report reports that a limit has taken effect.
func (s *Server) report(r Reason) {
	if s.limits.OnLimit != nil {
		s.limits.OnLimit(r)
	}
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// connContext implements http.Server.ConnContext.
func connContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// exchange is one request with its response.
type exchange struct {
	response
	body trackedBody
}

// serve serves one request. The handler does not run if the connection has given its
// place to another.
func (s *Server) serve(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	x := &exchange{response: response{ResponseWriter: w, server: s}}
	if c != nil {
		c.handlerBegins()
		if r.Body == nil || r.Body == http.NoBody {
			if !c.requestIsWhole() {
				panic(http.ErrAbortHandler)
			}
		} else {
			x.body = trackedBody{ReadCloser: r.Body, conn: c, timeout: s.limits.BodyTimeout, length: r.ContentLength}
			x.response.body = &x.body
			// http.Server keeps its own request: it asks the body for what is unread.
			copied := *r
			copied.Body = &x.body
			r = &copied
		}
	}
	handler.ServeHTTP(&x.response, r)
	x.finishHeader()
}

// trackedBody is the body of a request. It notes when it is whole, and bounds the time until
// then.
type trackedBody struct {
	io.ReadCloser
	conn    *conn
	timeout time.Duration
	// length is the announced length, or -1.
	length  int64
	read    int64
	isBegun bool
	isWhole bool
	// isLeft is true once the response has begun without the end of the body.
	isLeft bool
}

// LimitTime shortens the time in which the body has to be whole, for a handler whose client
// waits no longer. It has no effect after the first read.
func (b *trackedBody) LimitTime(d time.Duration) {
	if b.timeout > 0 {
		b.timeout = min(b.timeout, d)
	}
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	if !b.isBegun && b.timeout > 0 {
		_ = b.conn.SetReadDeadline(time.Now().Add(b.timeout))
	}
	b.isBegun = true
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	switch {
	case err == io.EOF && !b.isWhole:
		// http.Server has cleared the deadline: it watches for the end of the connection.
		b.isWhole = true
		if !b.conn.requestIsWhole() {
			// io.ReadFull ignores an error that comes with the last byte.
			return 0, net.ErrClosed
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.conn.server.report(ReasonBodyTime)
	}
	return n, err
}

// leaveUnread bounds what http.Server does about the rest of a body when the response
// begins. It reports whether the connection has to be closed after the response.
func (b *trackedBody) leaveUnread() (closes bool) {
	if b.isWhole || b.isLeft {
		return false
	}
	b.isLeft = true
	_ = b.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	if b.length >= 0 && b.length-b.read <= maxDiscardBytes {
		return false
	}
	b.conn.server.report(ReasonUnreadBody)
	return true
}

// makeRoom prepares the server for one more connection: at the limit it closes one that is
// without a complete request. It returns false if there is none. Accept calls it.
func (s *Server) makeRoom() bool {
	limit := s.limits.MaxConns
	if limit <= 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) >= limit {
		victim := s.longestWithoutRequest()
		if victim == nil {
			return len(s.conns) < limit+maxClosingConns && s.hasClosing()
		}
		isClosed, isClosing := victim.giveWay(s.isDraining.Load())
		if isClosed {
			delete(s.conns, victim)
		}
		if isClosed || isClosing {
			s.report(ReasonConnections)
		}
		if isClosing {
			return len(s.conns) < limit+maxClosingConns
		}
	}
	return true
}

// longestWithoutRequest returns the connection that has been without a complete request for
// the longest time, or nil. s.mu is locked.
func (s *Server) longestWithoutRequest() *conn {
	var victim *conn
	var since time.Time
	for c := range s.conns {
		if at, ok := c.withoutRequestSince(s.isDraining.Load()); ok && (victim == nil || at.Before(since)) {
			victim, since = c, at
		}
	}
	return victim
}

// hasClosing reports whether a connection is about to close. s.mu is locked.
func (s *Server) hasClosing() bool {
	for c := range s.conns {
		if c.isClosing() {
			return true
		}
	}
	return false
}

// withoutRequestSince returns since when the connection has been without a complete
// request, if it is without one and not about to close. Once a byte of a request has been read,
// that is since this byte: the time before it is the client's to use. While the server drains, one of
// which a byte has been read counts as complete: nobody knows how much follows.
func (c *conn) withoutRequestSince(isDraining bool) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isWhole || c.isInterrupted || isDraining && c.hasRequest {
		return time.Time{}, false
	}
	if c.hasRequest {
		return c.requestBegunAt, true
	}
	return c.unusedSince, true
}

// isClosing reports whether the wait for a request has been ended.
func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isInterrupted
}

// giveWay ends a connection without a complete request, at once if a part of one has been
// read. Otherwise it ends the wait for a request, as a shutdown does, so that no request that
// arrives meanwhile is lost.
func (c *conn) giveWay(isDraining bool) (isClosed, isClosing bool) {
	c.mu.Lock()
	if c.isWhole || isDraining && c.hasRequest {
		c.mu.Unlock()
		return false, false
	}
	if !c.hasRequest {
		c.isInterrupted = true
		_ = c.Conn.SetReadDeadline(pastDeadline)
		c.mu.Unlock()
		return false, true
	}
	c.isAbandoned = true
	c.mu.Unlock()
	_ = c.Conn.Close()
	return true, false
}

// handlerBegins notes that a header has been read.
func (c *conn) handlerBegins() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isInHandler = true
}

// requestIsWhole notes that a request has been read to its end: from now on the connection
// keeps its place. It returns false if the connection has been closed before.
func (c *conn) requestIsWhole() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isAbandoned {
		return false
	}
	c.isWhole = true
	return true
}

// errHeaderLines ends a connection whose header has too many lines.
var errHeaderLines = errors.New("the header has too many lines")

// checkHeader returns an error if http.Server waits for more of a header that has too many
// lines already. Bytes after the last request that was answered count as header.
func (c *conn) checkHeader() error {
	c.mu.Lock()
	isTooLong := !c.isInHandler && c.lines > maxHeaderLines
	isFirst := isTooLong && !c.isTooLong
	c.isTooLong = isTooLong
	c.mu.Unlock()
	if isFirst {
		c.server.report(ReasonHeaderLines)
	}
	if isTooLong {
		return errHeaderLines
	}
	return nil
}

// countLines notes the lines of what was read: of all reads of one header, or of the last
// read of a request, whose rest in the buffer may begin the next header. A longer read went
// past the buffer into a body. c.mu is locked.
func (c *conn) countLines(p []byte) {
	if c.isInHandler || !c.hasRequest {
		c.lines = 0
	}
	if len(p) <= headerBufferBytes {
		c.lines += bytes.Count(p, []byte{'\n'})
	}
}

// noteReadError reports a header that did not arrive in time.
func (c *conn) noteReadError(err error) {
	c.mu.Lock()
	isLate := c.hasRequest && !c.isInHandler && errors.Is(err, os.ErrDeadlineExceeded)
	c.mu.Unlock()
	if isLate {
		c.server.report(ReasonHeaderTime)
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if d := c.server.limits.WriteTimeout; d > 0 {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(d))
	}
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.server.report(ReasonWriteTime)
	}
	return n, err
}
