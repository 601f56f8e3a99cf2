package gracefulhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
)

// limitedServer serves a handler with limits and records their reasons.
type limitedServer struct {
	*Server
	addr string
	mu   sync.Mutex
	seen map[Reason]int
}

func serveLimited(t *testing.T, l Limits, handler http.HandlerFunc) *limitedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &limitedServer{addr: listener.Addr().String(), seen: map[Reason]int{}}
	l.OnLimit = func(r Reason) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.seen[r]++
	}
	s.Server = New(&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	s.SetLimits(l)
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(s.Close)
	return s
}

func (s *limitedServer) count(r Reason) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[r]
}

// openConns returns the number of open connections.
func (s *limitedServer) openConns() int {
	s.Server.mu.Lock()
	defer s.Server.mu.Unlock()
	return len(s.conns)
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = w.Write(body)
}

// awaitEnd waits until the server has closed a connection, and returns what it sent before.
func awaitEnd(t *testing.T, c net.Conn) string {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(time.Minute))
	answer, err := io.ReadAll(c)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Fatal("the connection stays open")
	}
	return string(answer)
}

// TestOldestConnectionGivesWay guards new clients against connections that hold all places
// without a complete request, and a request under way against being one of them.
func TestOldestConnectionGivesWay(t *testing.T) {
	is := is.New(t)
	begun, end := make(chan struct{}), make(chan struct{})
	s := serveLimited(t, Limits{MaxConns: 3}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			close(begun)
			<-end
		}
		echo(w, r)
	})
	busy := dial(t, s.addr)
	_, err := io.WriteString(busy, "POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	<-begun
	silent, half := dial(t, s.addr), dial(t, s.addr)
	_, err = io.WriteString(half, requestHeader+"b")
	is.NoErr(err)
	for range 5 {
		c := dial(t, s.addr)
		_, err := io.WriteString(c, requestHeader+requestBody)
		is.NoErr(err)
		body, _, err := c.readAnswer()
		is.NoErr(err)
		is.Equal(body, requestBody)
	}
	is.Equal(awaitEnd(t, silent), "")
	awaitEnd(t, half)
	close(end)
	_, _, err = busy.readAnswer()
	is.NoErr(err)
	is.True(s.count(ReasonConnections) >= 2)
}

// TestNewConnectionIsClosedWhileAllAreServed guards requests that are being served: a new
// connection does not take their place.
func TestNewConnectionIsClosedWhileAllAreServed(t *testing.T) {
	is := is.New(t)
	begun, end := make(chan struct{}), make(chan struct{})
	s := serveLimited(t, Limits{MaxConns: 2}, func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-end
	})
	served := []client{dial(t, s.addr), dial(t, s.addr)}
	for _, c := range served {
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		<-begun
	}
	awaitEnd(t, dial(t, s.addr))
	is.Equal(s.count(ReasonBusy), 1)
	close(end)
	for _, c := range served {
		_, _, err := c.readAnswer()
		is.NoErr(err)
	}
}

// TestDrainingServerKeepsRequestsThatWereBegun guards the promise of a process that was asked
// to stop: a connection of which a byte was read does not give way.
func TestDrainingServerKeepsRequestsThatWereBegun(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{})
	s := serveLimited(t, Limits{MaxConns: 1}, func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		echo(w, r)
	})
	c := dial(t, s.addr)
	_, err := io.WriteString(c, requestHeader)
	is.NoErr(err)
	<-begun
	s.Drain()
	awaitEnd(t, dial(t, s.addr))
	is.Equal(s.count(ReasonBusy), 1)
	_, err = io.WriteString(c, requestBody)
	is.NoErr(err)
	body, _, err := c.readAnswer()
	is.NoErr(err)
	is.Equal(body, requestBody)
}

// TestBodyThatDoesNotEndIsRefused guards a server against bodies that stop short, on a
// handler that reads them and on one that does not.
func TestBodyThatDoesNotEndIsRefused(t *testing.T) {
	for name, header := range map[string]string{"length": "Content-Length: 255000", "short": "Content-Length: 100", "chunks": "Transfer-Encoding: chunked"} {
		for path, status := range map[string]string{"/read": "400", "/ignore": "404"} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				s := serveLimited(t, Limits{BodyTimeout: 50 * time.Millisecond}, func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/ignore" {
						w.WriteHeader(http.StatusNotFound)
						return
					}
					echo(w, r)
				})
				c := dial(t, s.addr)
				_, err := io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: h\r\n"+header+"\r\n\r\n4\r\nabcd")
				is.NoErr(err)
				is.True(strings.HasPrefix(awaitEnd(t, c), "HTTP/1.1 "+status))
			})
		}
	}
}

// TestShortUnreadBodyKeepsTheConnection guards clients whose ordinary requests are refused
// before their bodies are read: they may go on at the same connection.
func TestShortUnreadBodyKeepsTheConnection(t *testing.T) {
	is := is.New(t)
	s := serveLimited(t, Limits{BodyTimeout: time.Minute}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	c := dial(t, s.addr)
	for range 3 {
		_, err := io.WriteString(c, requestHeader+requestBody)
		is.NoErr(err)
		_, isLast, err := c.readAnswer()
		is.NoErr(err)
		is.True(!isLast)
	}
	is.Equal(s.count(ReasonUnreadBody), 0)
}

// TestBodyDeadlineEndsWithTheBody guards handlers that work for longer than the body may
// take: their contexts must not end with the deadline.
func TestBodyDeadlineEndsWithTheBody(t *testing.T) {
	is := is.New(t)
	const timeout = 50 * time.Millisecond
	s := serveLimited(t, Limits{BodyTimeout: timeout}, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		select {
		case <-r.Context().Done():
		case <-time.After(4 * timeout):
			_, _ = w.Write(body)
		}
	})
	c := dial(t, s.addr)
	_, err := io.WriteString(c, requestHeader+requestBody)
	is.NoErr(err)
	body, _, err := c.readAnswer()
	is.NoErr(err)
	is.Equal(body, requestBody)
}

// TestHeaderOfManyLinesIsRefused guards the memory against headers of legal size with many
// short fields, at the start of a connection and behind another request.
func TestHeaderOfManyLinesIsRefused(t *testing.T) {
	for name, before := range map[string]string{"first": "", "behind": "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serveLimited(t, Limits{}, echo)
			c := dial(t, s.addr)
			_, err := io.WriteString(c, before+"GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\n", 2*maxHeaderLines))
			is.NoErr(err)
			awaitEnd(t, c)
			is.Equal(s.count(ReasonHeaderLines), 1)
		})
	}
}

// TestLongBodyOfManyLinesKeepsTheConnection guards against lines of a body that are counted
// as those of the next header.
func TestLongBodyOfManyLinesKeepsTheConnection(t *testing.T) {
	is := is.New(t)
	s := serveLimited(t, Limits{}, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadFull(r.Body, make([]byte, r.ContentLength))
	})
	c := dial(t, s.addr)
	for range 3 {
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 250000\r\n\r\n"+strings.Repeat("        0,\n\n\n\n", 250_000/14)+strings.Repeat(" ", 250_000%14))
		is.NoErr(err)
		_, isLast, err := c.readAnswer()
		is.NoErr(err)
		is.True(!isLast)
	}
}

// TestAnswerThatIsNotReadEndsTheConnection guards against clients that never read.
func TestAnswerThatIsNotReadEndsTheConnection(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	s := serveLimited(t, Limits{WriteTimeout: 50 * time.Millisecond}, func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		for {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	})
	c := dial(t, s.addr)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-ended
	is.True(s.count(ReasonWriteTime) >= 1)
	is.NoErr(s.Shutdown(context.Background(), 0))
}

// TestConnectionThatBeginsARequestOutlastsIdleOnes guards a client that sends its next request
// on a connection that was idle: the request, not the connection, has to be old to give way.
func TestConnectionThatBeginsARequestOutlastsIdleOnes(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{}, 3)
	s := serveLimited(t, Limits{MaxConns: 2}, func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		echo(w, r)
	})
	c := dial(t, s.addr)
	_, err := io.WriteString(c, requestHeader+requestBody)
	is.NoErr(err)
	_, _, err = c.readAnswer()
	is.NoErr(err)
	<-begun
	silent := dial(t, s.addr)
	for s.openConns() < 2 {
		time.Sleep(time.Millisecond)
	}
	_, err = io.WriteString(c, requestHeader)
	is.NoErr(err)
	<-begun
	other := dial(t, s.addr)
	is.Equal(awaitEnd(t, silent), "")
	_, err = io.WriteString(c, requestBody)
	is.NoErr(err)
	body, _, err := c.readAnswer()
	is.NoErr(err)
	is.Equal(body, requestBody)
	other.Close()
}

// TestEndOfBodyOnAbandonedConnectionIsAnError guards against a handler that executes a request
// whose connection has given its place away, so that nobody gets the answer. io.ReadFull
// drops an error that comes with the last byte.
func TestEndOfBodyOnAbandonedConnectionIsAnError(t *testing.T) {
	is := is.New(t)
	body := trackedBody{ReadCloser: io.NopCloser(iotest.DataErrReader(strings.NewReader(requestBody))), conn: &conn{isAbandoned: true}}
	_, err := io.ReadFull(&body, make([]byte, len(requestBody)))
	is.True(err != nil)
}

// TestHandlerShortensTheTimeOfABody guards against a body that occupies the server for longer
// than its client waits.
func TestHandlerShortensTheTimeOfABody(t *testing.T) {
	is := is.New(t)
	s := serveLimited(t, Limits{BodyTimeout: time.Hour}, func(w http.ResponseWriter, r *http.Request) {
		r.Body.(interface{ LimitTime(time.Duration) }).LimitTime(50 * time.Millisecond)
		echo(w, r)
	})
	c := dial(t, s.addr)
	_, err := io.WriteString(c, requestHeader)
	is.NoErr(err)
	is.True(strings.HasPrefix(awaitEnd(t, c), "HTTP/1.1 400"))
	is.Equal(s.count(ReasonBodyTime), 1)
}

// TestRequestOnAConnectionThatGivesWayIsServed guards a request that arrives while the wait for it
// is being ended.
func TestRequestOnAConnectionThatGivesWayIsServed(t *testing.T) {
	is := is.New(t)
	ours, theirs := net.Pipe()
	defer ours.Close()
	defer theirs.Close()
	c := &conn{Conn: ours, server: New(&http.Server{})}
	isClosed, isClosing := c.giveWay(false)
	is.True(!isClosed)
	is.True(isClosing)
	c.bytesArrived([]byte("G"))
	is.True(!c.isClosing())
	is.True(c.requestIsWhole())
}
