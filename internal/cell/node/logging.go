package node

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// logQueue bounds the lines that wait for a slow reader of standard output.
	logQueue = 1024
	// logBudget is the number of lines a second of one kind; a busy owner makes
	// about 100.
	logBudget = 120
)

// asyncWriter passes lines on without blocking the writer. Lines that find the
// queue full are dropped and counted.
type asyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{lines: make(chan []byte, logQueue)}
	go w.run(out)
	return w
}

func (w *asyncWriter) run(out io.Writer) {
	for line := range w.lines {
		if _, err := out.Write(line); err != nil {
			w.dropped.Add(1)
		}
	}
}

// Write implements io.Writer.
func (w *asyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// newLogger returns a logger of JSON lines.
func newLogger(out io.Writer, name string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.Info,
		JSONFormat: true,
		Output:     newAsyncWriter(out),
	})
}

// budget bounds the lines a second of one kind.
type budget struct {
	second  int64
	used    int
	dropped int
}

// spend reports whether a line may be written, and how many were dropped since
// the last one.
func (b *budget) spend(now time.Time) (ok bool, dropped int) {
	if s := now.Unix(); s != b.second {
		b.second, b.used = s, 0
	}
	if b.used >= logBudget {
		b.dropped++
		return false, 0
	}
	b.used++
	dropped, b.dropped = b.dropped, 0
	return true, dropped
}
