// Package simnet connects hosts in memory over links with a bandwidth, for tests in the simulated time of
// testing/synctest. Data takes the time that its size and the links' rates give; there is no other
// latency and no loss. Read Network first.
package simnet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"
)

// Link carries the data of all connections of a host in one direction, in turns.
type Link struct {
	turn           chan struct{}
	bytesPerSecond float64
	carried        atomic.Int64
}

func newLink(megabits float64) *Link {
	l := &Link{turn: make(chan struct{}, 1), bytesPerSecond: megabits * 1e6 / 8}
	l.turn <- struct{}{}
	return l
}

// Carried returns the number of bytes that the link has carried.
func (l *Link) Carried() int64 { return l.carried.Load() }

// TransferTime returns how long the link takes for so many bytes, if it carries nothing else.
func (l *Link) TransferTime(n int64) time.Duration {
	return time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second))
}

func (l *Link) carry(n int) {
	<-l.turn
	time.Sleep(l.TransferTime(int64(n)))
	l.carried.Add(int64(n))
	l.turn <- struct{}{}
}

// Host is a machine with links of the same rate in both directions. It implements net.Listener.
type Host struct {
	Address  string
	Up, Down *Link
	accepted chan net.Conn
	closed   chan struct{}
}

// Network holds the hosts by address. All are added before the first connection is opened.
type Network map[string]*Host

// Add adds a host whose links have a rate in megabits a second.
func (n Network) Add(addr string, megabits float64) *Host {
	h := &Host{Address: addr, Up: newLink(megabits), Down: newLink(megabits), accepted: make(chan net.Conn), closed: make(chan struct{})}
	n[addr] = h
	return h
}

// DialFrom returns the function that opens connections of a host.
func (n Network) DialFrom(from *Host) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		to := n[addr]
		near, far := net.Pipe()
		select {
		case to.accepted <- &linkedConn{Conn: far, up: to.Up, down: from.Down}:
			return &linkedConn{Conn: near, up: from.Up, down: to.Down}, nil
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
	up, down *Link
}

// segmentBytes is how much a connection sends before others have their turn.
const segmentBytes = 8 << 10

// Write implements net.Conn. It returns when the other end has read the data.
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

// Accept implements net.Listener.
func (h *Host) Accept() (net.Conn, error) {
	select {
	case conn := <-h.accepted:
		return conn, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *Host) Close() error { close(h.closed); return nil }

// Addr implements net.Listener.
func (h *Host) Addr() net.Addr { return &net.UnixAddr{Name: h.Address} }

// sharedReads delays answers by their share of a bandwidth. One that nobody waits for any more takes
// its share as well.
type sharedReads struct {
	http.Handler
	bandwidth *Link
}

func (s sharedReads) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	s.Handler.ServeHTTP(answer, r)
	s.bandwidth.carry(answer.Body.Len())
	w.Header().Set("Content-Length", fmt.Sprint(answer.Body.Len()))
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// ServeSharedReads serves HTTP at a host. The answers of handler share a bandwidth, in megabits a
// second, before they are sent; the link that it returns counts their bytes.
func ServeSharedReads(h *Host, handler http.Handler, megabits float64) (answers *Link, stop func()) {
	answers = newLink(megabits)
	server := &http.Server{Handler: sharedReads{handler, answers}}
	go server.Serve(h)
	return answers, func() { server.Close() }
}
