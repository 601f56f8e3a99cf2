// Package netcount counts the bytes of network connections, for the metric of
// the scheduler's own control traffic. It counts the bytes that are read from
// and written to a connection, not the headers of the layers below. Read Counter
// first.
package netcount

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the bytes of a group of connections. It is safe for concurrent
// use. Dialer and Listener of a nil Counter return their argument, so that
// nothing is counted.
type Counter struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the number of bytes written so far.
func (c *Counter) Sent() int64 { return c.sent.Load() }

// Received returns the number of bytes read so far.
func (c *Counter) Received() int64 { return c.received.Load() }

// Dial opens a connection. Its signature is that of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns a function that calls dial and counts the bytes of the
// connections that it opens.
func (c *Counter) Dialer(dial Dial) Dial {
	if c == nil {
		return dial
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, counter: c}, nil
	}
}

// Listener returns a listener that counts the bytes of the connections that l
// accepts.
func (c *Counter) Listener(l net.Listener) net.Listener {
	if c == nil {
		return l
	}
	return &countedListener{Listener: l, counter: c}
}

// countedListener wraps the connections that it accepts in countedConn.
type countedListener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener. The returned connection is counted.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counter: l.counter}, nil
}

// countedConn adds the bytes of a connection to counter.
type countedConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn. Bytes that come with an error are counted, too.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn. Of a write that fails, the bytes already written
// are counted.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(int64(n))
	return n, err
}
