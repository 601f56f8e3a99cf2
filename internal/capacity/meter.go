package capacity

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// countingServer serves a handler on a loopback port and counts the bytes of its
// TCP streams in both directions, without the headers of TCP and IP.
type countingServer struct {
	net.Listener
	server *http.Server
	bytes  atomic.Int64
	addr   string
}

// countedConn adds the bytes that it reads and writes to a shared count.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Accept returns the next connection, wrapped to count its bytes.
func (c *countingServer) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, &c.bytes}, nil
}

// serve starts a countingServer for the handler. The caller closes it.
func serve(handler http.Handler) (*countingServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &countingServer{Listener: listener, addr: listener.Addr().String()}
	c.server = &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go c.server.Serve(c) //nolint:errcheck // Serve returns when the server is closed.
	return c, nil
}

func (c *countingServer) close() { c.server.Close() }

// cost is the cost of one operation: processor time, elapsed time and bytes.
type cost struct {
	CPU, Wall time.Duration
	Bytes     float64
}

// processorTime returns the processor time of this process so far. It includes
// both ends of calls on loopback and garbage collection.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measure calls f once to open connections, then n times, and returns the
// average cost of one call. The server may be nil; then no bytes are counted.
func measure(n int, served *countingServer, f func(i int) error) (cost, error) {
	if err := f(0); err != nil { // opens connections
		return cost{}, err
	}
	runtime.GC()
	var bytes int64
	if served != nil {
		bytes = served.bytes.Load()
	}
	cpu, start := processorTime(), time.Now()
	for i := 1; i <= n; i++ {
		if err := f(i); err != nil {
			return cost{}, err
		}
	}
	c := cost{
		CPU:  (processorTime() - cpu) / time.Duration(n),
		Wall: time.Since(start) / time.Duration(n),
	}
	if served != nil {
		c.Bytes = float64(served.bytes.Load()-bytes) / float64(n)
	}
	return c, nil
}

// liveHeapBytes returns the memory of live objects after garbage collection.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// table prints rows as a Markdown table.
type table struct{ out io.Writer }

// newTable prints the title and the head of a table.
func newTable(out io.Writer, title string, columns ...string) table {
	fmt.Fprintf(out, "\n%s\n\n| %s |\n|%s\n", title, strings.Join(columns, " | "), strings.Repeat("---|", len(columns)))
	return table{out}
}

// row prints one row, with four digits of a float and durations in steps of 10
// ns.
func (t table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		switch v := c.(type) {
		case float64:
			texts[i] = fmt.Sprintf("%.4g", v)
		case time.Duration:
			texts[i] = v.Round(time.Microsecond / 100).String()
		default:
			texts[i] = fmt.Sprint(v)
		}
	}
	fmt.Fprintf(t.out, "| %s |\n", strings.Join(texts, " | "))
}
