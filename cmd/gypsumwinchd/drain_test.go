package main

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

	"gypsumwinch/internal/cell/node"
	"gypsumwinch/standin/cellstore"
)

// longGrace is a grace period that the drains of these tests do not use up, so that
// no verdict depends on the speed of the machine.
const longGrace = time.Minute

// heldListener delays what its connections return from Read while hold is set, until
// the listener is closed.
type heldListener struct {
	net.Listener
	closeOnce sync.Once
	closed    chan struct{}
	// held receives a value for each Read that is held.
	held chan struct{}
	mu   sync.Mutex
	hold bool
}

func newHeldListener(t *testing.T) *heldListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &heldListener{Listener: l, closed: make(chan struct{}), held: make(chan struct{}, 16)}
}

func (l *heldListener) setHold(hold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hold = hold
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &heldConn{Conn: c, listener: l}, err
}

func (l *heldListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type heldConn struct {
	net.Conn
	listener *heldListener
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.mu.Lock()
	hold := c.listener.hold
	c.listener.mu.Unlock()
	if n > 0 && hold {
		c.listener.held <- struct{}{}
		<-c.listener.closed
	}
	return n, err
}

// roundTrip sends a GET request on an open connection and returns the status of the
// complete answer.
func roundTrip(conn net.Conn) (int, error) {
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func newIdleNode() *node.Node {
	return node.New(node.Settings{Name: "vm", PeerAddr: "127.0.0.1:0"}, node.Ports{Store: &cellstore.Store{}}, io.Discard)
}

// TestRequestThatWasReadIsAnswered guards callers against a drain that closes a
// connection as idle, or gives up a new one, although the process has read a whole
// request from it that no handler has yet.
func TestRequestThatWasReadIsAnswered(t *testing.T) {
	for name, requestsBefore := range map[string]int{"new connection": 0, "kept-alive connection": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener := newHeldListener(t)
			results := make(chan error, 3)
			server := serve(listener, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), results)
			defer server.Close()
			conn, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			for range requestsBefore {
				_, err := roundTrip(conn)
				is.NoErr(err)
			}
			listener.setHold(true)
			var status int
			answered := make(chan error, 1)
			go func() {
				var err error
				status, err = roundTrip(conn)
				answered <- err
			}()
			<-listener.held // the whole request, which is one segment
			_, cancel := context.WithCancel(context.Background())
			drain(newIdleNode(), server, cancel, results, longGrace)
			is.NoErr(<-answered)
			is.Equal(status, http.StatusOK)
		})
	}
}
