package node

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
)

// heldWriter writes once held is closed.
type heldWriter struct {
	held chan struct{}
	out  bytes.Buffer
}

func (w *heldWriter) Write(p []byte) (int, error) {
	<-w.held
	return w.out.Write(p)
}

// TestFlushWritesTheQueuedLines guards the last lines of a process, which were lost when it exited.
func TestFlushWritesTheQueuedLines(t *testing.T) {
	is := is.New(t)
	out := &heldWriter{held: make(chan struct{})}
	w := newAsyncWriter(out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := w.Write([]byte(line))
		is.NoErr(err)
	}
	time.AfterFunc(10*time.Millisecond, func() { close(out.held) })
	w.flush(time.Minute)
	is.Equal(out.out.String(), "a\nb\nc\n")
}

// TestFlushEndsWhileNobodyReads guards against a process that does not exit because its output is not read.
func TestFlushEndsWhileNobodyReads(t *testing.T) {
	is := is.New(t)
	w := newAsyncWriter(&heldWriter{held: make(chan struct{})})
	for range 2 * maxQueuedLines {
		_, err := w.Write([]byte("a\n"))
		is.NoErr(err)
	}
	w.flush(time.Millisecond)
	is.True(w.dropped.Load() > 0)
}
