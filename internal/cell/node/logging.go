package node

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// maxQueuedLines bounds the lines that wait for a slow reader of standard
	// output.
	maxQueuedLines = 1024
	// maxLinesPerSecond is the rate limit for lines of one kind; a busy owner
	// logs about 100 a second.
	maxLinesPerSecond = 120
	// logFlushTimeout bounds the wait for queued lines when a node stops. It is part of
	// the time that the daemon gives a node to end.
	logFlushTimeout = 100 * time.Millisecond
)

// asyncWriter passes lines on without blocking the caller. When the queue is
// full, lines are dropped and counted.
type asyncWriter struct {
	lines   chan logLine
	dropped atomic.Int64
}

// logLine is a line to write or, if written is not nil, a mark after the lines before
// it: written is closed when it is reached.
type logLine struct {
	text    []byte
	written chan struct{}
}

// newAsyncWriter returns a writer to out and starts its goroutine. newLogger
// calls it once for each node.
func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{lines: make(chan logLine, maxQueuedLines)}
	go w.run(out)
	return w
}

// run writes queued lines to out. It runs on the goroutine that newAsyncWriter
// starts, until the process ends.
func (w *asyncWriter) run(out io.Writer) {
	for line := range w.lines {
		if line.written != nil {
			close(line.written)
			continue
		}
		if _, err := out.Write(line.text); err != nil {
			w.dropped.Add(1)
		}
	}
}

// Write implements io.Writer. It never fails. The logger calls it for each
// line, on the goroutine that logs.
func (w *asyncWriter) Write(p []byte) (int, error) {
	line := logLine{text: append([]byte(nil), p...)}
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// flush waits until the lines that were queued before are written, for at most timeout.
// Run calls it last: the process exits then, and the lines that say how an ownership
// ended would be lost.
func (w *asyncWriter) flush(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	mark := logLine{written: make(chan struct{})}
	select {
	case w.lines <- mark:
	case <-timer.C:
		return
	}
	select {
	case <-mark.written:
	case <-timer.C:
	}
}

// newLogger returns a logger that writes JSON lines to out. New calls it once.
func newLogger(out io.Writer, name string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.Info,
		JSONFormat: true,
		Output:     out,
	})
}

// logLimiter is a rate limit for log lines of one kind. It is not safe for
// concurrent use.
type logLimiter struct {
	second  int64
	written int
	dropped int
}

// allow reports whether a line may be written, and if so how many lines were
// dropped since the last one. It runs before each line that is rate limited:
// decisions in the control loop, and refused submissions.
func (l *logLimiter) allow(now time.Time) (ok bool, dropped int) {
	if s := now.Unix(); s != l.second {
		l.second, l.written = s, 0
	}
	if l.written >= maxLinesPerSecond {
		l.dropped++
		return false, 0
	}
	l.written++
	dropped, l.dropped = l.dropped, 0
	return true, dropped
}
