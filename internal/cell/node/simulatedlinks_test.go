package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"gypsumwinch/standin/cellstore"
	"gypsumwinch/standin/storeserver"
)

// link carries the data of all connections of a host in one direction, in turns.
type link struct {
	turn           chan struct{}
	bytesPerSecond float64
	carried        atomic.Int64
}

func newLink(megabits float64) *link {
	l := &link{turn: make(chan struct{}, 1), bytesPerSecond: megabits * 1e6 / 8}
	l.turn <- struct{}{}
	return l
}

func (l *link) carry(n int) {
	<-l.turn
	time.Sleep(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	l.carried.Add(int64(n))
	l.turn <- struct{}{}
}

// host is a machine with links of the same rate in both directions.
type host struct {
	addr     string
	up, down *link
	accepted chan net.Conn
	closed   chan struct{}
}

// network connects hosts in memory. It works in the simulated time of synctest.
type network map[string]*host

func (n network) add(addr string, megabits float64) *host {
	h := &host{addr: addr, up: newLink(megabits), down: newLink(megabits), accepted: make(chan net.Conn), closed: make(chan struct{})}
	n[addr] = h
	return h
}

// dialFrom returns the function that opens connections of a host.
func (n network) dialFrom(from *host) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		to := n[addr]
		near, far := net.Pipe()
		select {
		case to.accepted <- &linkedConn{Conn: far, up: to.up, down: from.down}:
			return &linkedConn{Conn: near, up: from.up, down: to.down}, nil
		case <-to.closed:
			return nil, net.ErrClosed
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// linkedConn is one end of a connection between two hosts.
type linkedConn struct {
	net.Conn
	up, down *link
}

// segmentBytes is how much a connection sends before others have their turn.
const segmentBytes = 8 << 10

func (c *linkedConn) Write(p []byte) (written int, err error) {
	for len(p) > 0 && err == nil {
		segment := p[:min(segmentBytes, len(p))]
		c.up.carry(len(segment))
		c.down.carry(len(segment))
		var n int
		n, err = c.Conn.Write(segment)
		written, p = written+n, p[n:]
	}
	return written, err
}

// Accept, Close and Addr implement net.Listener.
func (h *host) Accept() (net.Conn, error) {
	select {
	case conn := <-h.accepted:
		return conn, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

func (h *host) Close() error   { close(h.closed); return nil }
func (h *host) Addr() net.Addr { return &net.UnixAddr{Name: h.addr} }

// sharedReads answers the calls of a store whose reads share a bandwidth. An answer that nobody waits for any
// more still takes its share.
type sharedReads struct {
	http.Handler
	bandwidth *link
}

func (s sharedReads) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	s.Handler.ServeHTTP(answer, r)
	s.bandwidth.carry(answer.Body.Len())
	w.Header().Set("Content-Length", fmt.Sprint(answer.Body.Len()))
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// serveStore serves a store at a host whose reads share a bandwidth in megabits a second, and returns what
// counts their bytes.
func serveStore(h *host, store *cellstore.Store, megabits float64) (reads *link, stop func()) {
	reads = newLink(megabits)
	server := &http.Server{Handler: sharedReads{storeserver.New(store, nil).Handler("vm"), reads}}
	go server.Serve(h)
	return reads, func() { server.Close() }
}
