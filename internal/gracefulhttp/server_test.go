package gracefulhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	requestHeader = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
	requestBody   = "body"
)

// serveEcho serves a handler that returns the body of the request, on a listener of its
// own. wrap is applied to each accepted connection.
func serveEcho(t *testing.T, wrap func(net.Conn) net.Conn) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = w.Write(body)
	})})
	go func() { _ = s.Serve(wrappingListener{l, wrap}) }()
	t.Cleanup(s.Close)
	return s, l.Addr().String()
}

type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (l wrappingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(c), nil
}

func unwrapped(c net.Conn) net.Conn { return c }

// client is a connection that sends one request at a time.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, addr string) client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return client{c, bufio.NewReader(c)}
}

// readAnswer reads a complete answer and reports whether it is the last one.
func (c client) readAnswer() (body string, isLast bool, err error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", false, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), resp.Close, err
}

// heldConn returns from a Read only after an interruption, once a byte of a request has
// been read.
type heldConn struct {
	net.Conn
	once        sync.Once
	interrupted chan struct{}
	read        chan struct{}
}

func newHeldConn() *heldConn {
	return &heldConn{interrupted: make(chan struct{}), read: make(chan struct{}, 1)}
}

func (c *heldConn) release() { c.once.Do(func() { close(c.interrupted) }) }

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		select {
		case c.read <- struct{}{}:
			<-c.interrupted
		default:
		}
	}
	return n, err
}

func (c *heldConn) SetReadDeadline(t time.Time) error {
	if t.Equal(pastDeadline) {
		c.release()
	}
	return c.Conn.SetReadDeadline(t)
}

// TestInterruptedRequestIsReadToItsEnd guards a request of which a part was read when the
// shutdown took its connection for unused: the rest would be refused as a bad request.
func TestInterruptedRequestIsReadToItsEnd(t *testing.T) {
	is := is.New(t)
	held := newHeldConn()
	s, addr := serveEcho(t, func(c net.Conn) net.Conn {
		held.Conn = c
		return held
	})
	c := dial(t, addr)
	_, err := io.WriteString(c, requestHeader)
	is.NoErr(err)
	go func() {
		<-held.interrupted
		_, _ = io.WriteString(c, requestBody)
	}()
	<-held.read
	shutdown := make(chan error, 1)
	go func() { shutdown <- s.Shutdown(context.Background(), 0) }()
	body, isLast, err := c.readAnswer()
	is.NoErr(err)
	is.Equal(body, requestBody)
	is.True(isLast)
	is.NoErr(<-shutdown)
}

// TestShutdownEndsWithUnusedConnections guards the grace period against connections that
// clients keep open without a request, new ones and kept-alive ones.
func TestShutdownEndsWithUnusedConnections(t *testing.T) {
	is := is.New(t)
	s, addr := serveEcho(t, unwrapped)
	dial(t, addr)
	c := dial(t, addr)
	for range 2 {
		_, err := io.WriteString(c, requestHeader+requestBody)
		is.NoErr(err)
		_, isLast, err := c.readAnswer()
		is.NoErr(err)
		is.True(!isLast)
	}
	is.NoErr(s.Shutdown(context.Background(), 0))
	_, _, err := c.readAnswer()
	is.True(err != nil)
}

// TestDrainEndsConnectionsWithTheirNextResponse guards clients that keep a connection
// busy: they have to leave it before the shutdown closes it.
func TestDrainEndsConnectionsWithTheirNextResponse(t *testing.T) {
	is := is.New(t)
	s, addr := serveEcho(t, unwrapped)
	c := dial(t, addr)
	s.Drain()
	_, err := io.WriteString(c, requestHeader+requestBody)
	is.NoErr(err)
	body, isLast, err := c.readAnswer()
	is.NoErr(err)
	is.Equal(body, requestBody)
	is.True(isLast)
}

// TestShutdownWaitsForARequestInFlight guards requests whose handlers run longer than the
// clients' connections may be unused.
func TestShutdownWaitsForARequestInFlight(t *testing.T) {
	is := is.New(t)
	held := newHeldConn()
	held.release()
	s, addr := serveEcho(t, func(c net.Conn) net.Conn {
		held.Conn = c
		return held
	})
	c := dial(t, addr)
	_, err := io.WriteString(c, requestHeader+requestBody[:2])
	is.NoErr(err)
	<-held.read
	ctx, cancel := context.WithTimeout(context.Background(), 2*unusedTimeout)
	defer cancel()
	is.Equal(s.Shutdown(ctx, 0), context.DeadlineExceeded)
	_, err = io.WriteString(c, requestBody[2:])
	is.NoErr(err)
	body, isLast, err := c.readAnswer()
	is.NoErr(err)
	is.Equal(body, requestBody)
	is.True(isLast)
	is.NoErr(s.Shutdown(context.Background(), 0))
}

// TestServeReportsItsEnd guards the daemon, which takes any other error for a failure.
func TestServeReportsItsEnd(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := New(&http.Server{Handler: http.NotFoundHandler()})
	s.Close()
	is.Equal(s.Serve(l), http.ErrServerClosed)
}

// TestShutdownHasHandlersAnswer guards clients of requests that run longer than the
// shutdown may take: their connections end with an answer.
func TestShutdownHasHandlersAnswer(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	begun := make(chan struct{})
	s := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		_, _ = io.WriteString(w, context.Cause(r.Context()).Error())
	})})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	c := dial(t, l.Addr().String())
	_, err = io.WriteString(c, requestHeader+requestBody)
	is.NoErr(err)
	<-begun
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(s.Shutdown(ctx, time.Hour))
	body, isLast, err := c.readAnswer()
	is.NoErr(err)
	is.Equal(body, ErrShutdown.Error())
	is.True(isLast)
}
