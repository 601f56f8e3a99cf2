package netcount

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against bytes that are counted in the wrong direction or not at all: a
// client sends five bytes, and the server returns them.
func TestCounterCountsBothDirections(t *testing.T) {
	is := is.New(t)
	var server, client Counter
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	countingListener := server.Listener(listener)
	done := make(chan error, 1)
	go func() {
		conn, err := countingListener.Accept()
		if err == nil {
			defer conn.Close()
			_, err = io.CopyN(conn, conn, 5)
		}
		done <- err
	}()
	var dialer net.Dialer
	conn, err := client.Dialer(dialer.DialContext)(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = conn.Write([]byte("hello"))
	is.NoErr(err)
	_, err = io.ReadFull(conn, make([]byte, 5))
	is.NoErr(err)
	is.NoErr(<-done)
	is.Equal([]int64{client.Sent(), client.Received(), server.Sent(), server.Received()}, []int64{5, 5, 5, 5})
}
