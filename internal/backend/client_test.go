package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against a second run of a request: net/http can replay a request when a
// reused connection breaks. Also guards against the report that a request that ran
// was not sent.
func TestNoReplayOnBrokenConnection(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if runs.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
		w.Header().Set(HeaderDigest, Digest(nil))
	}))
	defer server.Close()
	addr := server.Listener.Addr().String()
	client := New(Options{})
	client.SetLimit(addr, 1)
	_, err := client.Run(t.Context(), addr, "a", 1, "c", []byte("x"))
	is.NoErr(err)
	_, err = client.Run(t.Context(), addr, "b", 1, "c", []byte("x"))
	is.Equal(KindOf(err), KindLost)
	is.Equal(runs.Load(), int32(2))
}

// Guards against a request that is reported as not run, but is written after its
// cancellation by net/http's writing goroutine. Every request that arrives at the
// server must have been reported as one that may have run.
func TestCancelledRequestThatRanIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	received := make(map[string]bool)
	arrived := make(chan string, 1000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- r.Header.Get(HeaderRequestID)
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	addr := server.Listener.Addr().String()
	client := New(Options{})
	client.SetLimit(addr, 1)
	notRun := make(map[string]bool)
	for i := range 300 {
		id := strconv.Itoa(i)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for range i * 10 {
				runtime.Gosched()
			}
			cancel()
		}()
		_, err := client.Run(ctx, addr, id, 1, "c", []byte("x"))
		is.True(err != nil)
		notRun[id] = KindOf(err).NotRun()
	}
	server.Close()
	close(arrived)
	for id := range arrived {
		received[id] = true
	}
	for id := range received {
		is.True(!notRun[id]) // a request that ran was reported as not run
	}
	t.Logf("server received %d of 300 requests", len(received))
}

// Guards against bytes that are written after blockWrites has reported that nothing
// was written.
func TestBlockedConnWritesNothing(t *testing.T) {
	is := is.New(t)
	a, b := net.Pipe()
	defer b.Close()
	conn := &trackedConn{Conn: a}
	is.True(conn.blockWrites())
	_, err := conn.Write([]byte("x"))
	is.Equal(err, errWriteBlocked)
	written := &trackedConn{Conn: a}
	written.state.Store(connMaybeWritten)
	is.True(!written.blockWrites())
}
