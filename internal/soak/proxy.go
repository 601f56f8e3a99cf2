package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Proxy is a TCP proxy on one edge between two processes. Its faults apply to the bytes
// that pass, so that neither side knows of them.
type Proxy struct {
	listener net.Listener
	target   string
	onCut    func(passedAt time.Time)

	mu    sync.Mutex
	state LinkState
	conns map[net.Conn]bool
}

// LinkState is what a proxy does with the bytes that pass.
type LinkState struct {
	// Delay is added to each block of bytes.
	Delay time.Duration
	// BytesPerSecond limits each direction of each connection; 0 if there is no limit.
	BytesPerSecond float64
	// DropRequests and DropAnswers silently discard the bytes of one direction. A
	// connection that has lost bytes stays silent for good, as after a partition whose
	// sender gave up.
	DropRequests bool
	DropAnswers  bool
}

// transferTime returns how long a proxy holds a block of so many bytes.
func (s LinkState) transferTime(bytes int) time.Duration {
	if s.BytesPerSecond == 0 {
		return s.Delay
	}
	return s.Delay + time.Duration(float64(bytes)/s.BytesPerSecond*float64(time.Second))
}

// copyBuffer is the size of the blocks that a proxy passes on.
const copyBuffer = 16 << 10

// NewProxy listens on addr and passes connections on to target, until Close. onCut, if not
// nil, is called when the target has closed a connection after it had read bytes to which it
// sent no answer; passedAt is when the last of them were passed on.
func NewProxy(addr, target string, onCut func(passedAt time.Time)) (*Proxy, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, onCut: onCut, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// SetState sets what the proxy does from now on.
func (p *Proxy) SetState(s LinkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
}

// State returns what the proxy does now.
func (p *Proxy) State() LinkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// Reset closes all open connections; their peers see a reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

// serve passes one connection on until both directions have ended.
func (p *Proxy) serve(client net.Conn) {
	dialer := net.Dialer{Timeout: time.Second}
	server, err := dialer.DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.track(client, server, true)
	defer p.track(client, server, false)
	// unansweredSince is when bytes were last passed to the target that it has not answered,
	// in Unix nanoseconds; 0 if there are none.
	var unansweredSince atomic.Int64
	var wg sync.WaitGroup
	wg.Go(func() {
		p.copy(server, client, func(s LinkState) bool { return s.DropRequests }, func() { unansweredSince.Store(time.Now().UnixNano()) })
	})
	wg.Go(func() {
		p.copy(client, server, func(s LinkState) bool { return s.DropAnswers }, func() { unansweredSince.Store(0) })
		if at := unansweredSince.Load(); at != 0 && p.onCut != nil && hasReadAll(server) {
			p.onCut(time.Unix(0, at))
		}
	})
	wg.Wait()
	_ = client.Close()
	_ = server.Close()
}

// track adds or removes the two connections of a passed connection.
func (p *Proxy) track(client, server net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{client, server} {
		if open {
			p.conns[c] = true
		} else {
			delete(p.conns, c)
		}
	}
}

// copy passes bytes in one direction until it ends. Once bytes have been dropped, later
// ones are dropped too: a stream with a gap would be a message that nobody sent.
// passed is called before each block is passed on.
func (p *Proxy) copy(to, from net.Conn, drops func(LinkState) bool, passed func()) {
	buffer := make([]byte, copyBuffer)
	hasDropped := false
	for {
		n, err := from.Read(buffer)
		s := p.State()
		hasDropped = hasDropped || n > 0 && drops(s)
		if n > 0 && !hasDropped {
			time.Sleep(s.transferTime(n))
			passed()
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		switch {
		case err == io.EOF && !hasDropped:
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.CloseWrite()
			}
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

// tcpCloseWait is the state of a TCP connection whose peer has closed its side, from
// linux/tcp_states.h.
const tcpCloseWait = 8

// hasReadAll reports whether the peer of a connection has closed it in order, after it had read
// all bytes that were sent to it: with unread bytes, or bytes that arrive later, the system
// resets the connection instead.
func hasReadAll(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	isClosedInOrder := false
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isClosedInOrder = err == nil && info.State == tcpCloseWait && info.Unacked == 0
	})
	return isClosedInOrder
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
