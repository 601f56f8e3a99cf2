package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/node"
	"gypsumwinch/internal/gracefulhttp"
	"gypsumwinch/platform"
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

// testLimits are the limits of connections on a small VM.
var testLimits = gracefulhttp.Limits{MaxConns: 576, BodyTimeout: bodyTimeout, WriteTimeout: writeTimeout}

// TestRequestThatWasReadIsAnswered guards callers against a drain that closes a
// connection as idle, or gives up a new one, although the process has read a whole
// request from it that no handler has yet.
func TestRequestThatWasReadIsAnswered(t *testing.T) {
	for name, requestsBefore := range map[string]int{"new connection": 0, "kept-alive connection": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener := newHeldListener(t)
			results := make(chan error, 3)
			server := serve(listener, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), testLimits, results)
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

const testConfig = `{"Version":1,"Routes":[{"Name":"q","Host":"h","PathPrefix":"/q/","Service":"s","MaxAttempts":3}],"Services":[{"Name":"s"}]}`

// answerTimeout is how long a test waits for an answer that should be there at once.
const answerTimeout = 30 * time.Second

// silentStore does not answer appends of jobs, and reports each of them.
type silentStore struct {
	cell.Store
	appends chan struct{}
}

func (s *silentStore) Append(ctx context.Context, a cell.Append) (int64, error) {
	if a.Topic != cell.TopicJobs {
		return s.Store.Append(ctx, a)
	}
	s.appends <- struct{}{}
	<-ctx.Done()
	return 0, ctx.Err()
}

// runTestNode runs a node until the test ends or cancel is called.
func runTestNode(t *testing.T, store cell.Store) (n *node.Node, cancel context.CancelFunc, results chan error) {
	t.Helper()
	_, err := store.Append(context.Background(), cell.Append{
		Topic: cell.TopicConfig, ExpectedEnd: -1, Records: []cell.KeyValue{{Key: "config", Value: []byte(testConfig)}},
	})
	if err != nil {
		t.Fatal(err)
	}
	n = node.New(node.Settings{Name: "vm", PeerAddr: "127.0.0.1:0", CPUCores: 0.8, LeaseLimit: time.Second},
		node.Ports{Store: store, Decoder: decoder{}}, io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	results = make(chan error, 3)
	go func() { results <- n.Run(ctx) }()
	for n.Config() == nil {
		time.Sleep(time.Millisecond)
	}
	return n, cancel, results
}

// submit sends a submission with a deadline that is beyond that of the test, and sends
// the status of the complete answer, or 0, to status.
func submit(addr string, number int, status chan<- int) {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/q/%016x", addr, number), strings.NewReader(`{"Phases":[{"Count":1,"Cpu":500}]}`))
	if err != nil {
		panic(err)
	}
	req.Host = "h"
	req.Header.Set("X-Gypsumwinch-Deadline-Ms", "3600000")
	resp, err := (&http.Transport{}).RoundTrip(req)
	if err != nil {
		status <- 0
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		status <- 0
		return
	}
	status <- resp.StatusCode
}

// TestRequestGivenUpByADrainIsAnswered guards callers against a process that exits while
// their requests wait for the store: one that was sent to it has an unknown outcome, and
// one that waits behind it has certainly not run.
func TestRequestGivenUpByADrainIsAnswered(t *testing.T) {
	is := is.New(t)
	store := &silentStore{Store: &cellstore.Store{}, appends: make(chan struct{}, 100)}
	n, cancel, results := runTestNode(t, store)
	begun := make(chan struct{}, 2)
	ingress := platform.NewIngress(n)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		ingress.ServeHTTP(w, r)
	}), testLimits, results)
	defer server.Close()
	statuses := []chan int{make(chan int, 1), make(chan int, 1)}
	go submit(listener.Addr().String(), 1, statuses[0])
	<-begun
	<-store.appends
	go submit(listener.Addr().String(), 2, statuses[1])
	<-begun
	drain(n, server, cancel, results, time.Second)
	for i, want := range []int{http.StatusGatewayTimeout, http.StatusServiceUnavailable} {
		select {
		case got := <-statuses[i]:
			is.Equal(got, want)
		case <-time.After(answerTimeout):
			t.Errorf("request %d was not answered", i+1)
		}
	}
}
