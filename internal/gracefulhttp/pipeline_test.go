package gracefulhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestThatWasReadWithTheOneBeforeKeepsItsContext guards against a request that a shutdown cancels while its handler works, since it was in the server's buffer before its connection counted as used.
func TestRequestThatWasReadWithTheOneBeforeKeepsItsContext(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	working, proceed := make(chan struct{}), make(chan struct{})
	s := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(working)
			select {
			case <-r.Context().Done():
				w.WriteHeader(http.StatusGatewayTimeout)
				return
			case <-proceed:
			}
		}
		_, _ = w.Write([]byte("done"))
	})})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"+
		"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-working
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background(), time.Second) }()
	time.Sleep(2 * unusedTimeout)
	close(proceed)
	reader := bufio.NewReader(c)
	for range 2 {
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
	}
	is.NoErr(<-stopped)
}
