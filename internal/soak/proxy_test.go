package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// listen returns a listener and a proxy in front of it that reports cut requests.
func listen(t *testing.T) (net.Listener, *Proxy, chan time.Time) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cuts := make(chan time.Time, 1)
	p, err := NewProxy("127.0.0.1:0", listener.Addr().String(), func(at time.Time) { cuts <- at })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Close(); listener.Close() })
	return listener, p, cuts
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// TestRequestThatWasReadCountsAsCut guards against a process that closes a connection after it has read a request, without an answer.
func TestRequestThatWasReadCountsAsCut(t *testing.T) {
	is := is.New(t)
	listener, p, cuts := listen(t)
	go func() {
		c, _ := listener.Accept()
		_, _ = c.Read(make([]byte, 100))
		_ = c.Close()
	}()
	_, err := dial(t, p).Write([]byte("request"))
	is.NoErr(err)
	<-cuts
}

// awaitUnread waits until a connection has received a number of bytes that are not read.
func awaitUnread(t *testing.T, c net.Conn, count int) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	for received := 0; received < count; time.Sleep(time.Millisecond) {
		err := raw.Control(func(fd uintptr) { received, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
		if err != nil {
			t.Error(err)
			return
		}
	}
}

// TestRequestThatWasNotReadIsNotCut guards against a false report of a request that arrives after the process has closed its connection.
func TestRequestThatWasNotReadIsNotCut(t *testing.T) {
	is := is.New(t)
	listener, p, cuts := listen(t)
	go func() {
		c, _ := listener.Accept()
		awaitUnread(t, c, len("request"))
		_ = c.Close()
	}()
	c := dial(t, p)
	_, err := c.Write([]byte("request"))
	is.NoErr(err)
	_, err = io.ReadAll(c)
	is.True(err != nil) // reset
	select {
	case <-cuts:
		t.Fatal("a request that was not read is reported")
	case <-time.After(50 * time.Millisecond):
	}
}

// TestCutLinkDeliversNothingLater guards against bytes that pass a link after earlier ones were lost.
func TestCutLinkDeliversNothingLater(t *testing.T) {
	is := is.New(t)
	listener, p, _ := listen(t)
	first := make(chan struct{})
	rest := make(chan []byte, 1)
	go func() {
		c, _ := listener.Accept()
		_, _ = io.ReadFull(c, make([]byte, 1))
		close(first)
		data, _ := io.ReadAll(c)
		rest <- data
	}()
	c := dial(t, p)
	_, err := c.Write([]byte("a"))
	is.NoErr(err)
	<-first
	p.SetState(LinkState{DropRequests: true})
	_, err = c.Write([]byte("b"))
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	p.SetState(LinkState{})
	_, err = c.Write([]byte("c"))
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	p.Reset()
	is.True(string(<-rest) != "c") // a stream with a gap
}
