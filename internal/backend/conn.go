package backend

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// States of a connection with regard to its current request.
const (
	// connUnwritten means that no byte was written yet.
	connUnwritten int32 = iota
	// connMaybeWritten means that bytes may have been written.
	connMaybeWritten
	// connWriteBlocked means that no byte was written and none will be.
	connWriteBlocked
)

// errWriteBlocked is the error of Write after blockWrites has returned true.
var errWriteBlocked = eris.New("write on a connection whose request was reported as not sent")

// trackedConn records whether a byte of the current request may have been written.
// net/http does not report this after a cancellation, because its writing goroutine
// may still be about to write.
type trackedConn struct {
	net.Conn
	state atomic.Int32
}

// Write sets the state to connMaybeWritten and writes p. It returns errWriteBlocked
// if blockWrites came first.
func (c *trackedConn) Write(p []byte) (int, error) {
	if !c.state.CompareAndSwap(connUnwritten, connMaybeWritten) && c.state.Load() == connWriteBlocked {
		return 0, errWriteBlocked
	}
	return c.Conn.Write(p)
}

// blockWrites prevents later writes and returns true if nothing was written yet.
// Otherwise it returns false and writes remain possible.
func (c *trackedConn) blockWrites() bool {
	return c.state.CompareAndSwap(connUnwritten, connWriteBlocked)
}

// serverConn is one connection to a server. It is opened by the first request and
// again after a failure or idleTimeout.
type serverConn struct {
	transport *http.Transport
}

// newServerConn returns a connection that is not open yet. Its transport wraps each
// network connection in a trackedConn and neither uses proxies nor requests
// compression.
func newServerConn(dialTimeout time.Duration) *serverConn {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
	return &serverConn{transport: &http.Transport{
		DialContext:        dial,
		MaxConnsPerHost:    1,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
	}}
}

// roundTrip sends req for Client.Run. After an error, isUnsent is true if no byte of
// req was written and none will be.
func (s *serverConn) roundTrip(req *http.Request) (resp *http.Response, isUnsent bool, err error) {
	var current atomic.Pointer[trackedConn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*trackedConn)
		if !ok {
			return
		}
		conn.state.Store(connUnwritten)
		current.Store(conn)
	}}
	resp, err = s.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, false, nil
	}
	conn := current.Load()
	return nil, conn == nil || conn.blockWrites(), err
}

// close closes the connection if it carries no request.
func (s *serverConn) close() {
	s.transport.CloseIdleConnections()
}
