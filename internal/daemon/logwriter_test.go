package daemon

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"gypsumwinch/internal/records"
)

// sizeLog accepts appends and records the size of each in bytes.
type sizeLog struct {
	unavailablePlatform
	sizes chan int
}

func (l sizeLog) Append(_ context.Context, _ string, rs []json.RawMessage) (int64, error) {
	n := 0
	for _, r := range rs {
		n += len(r)
	}
	l.sizes <- n
	return 0, nil
}

func cancellation(bytes int) records.Record {
	return records.Record{JobCancelled: &records.JobCancelled{Who: string(make([]byte, bytes))}}
}

// Guards against a deadlock of the control loop: it appends a record, the full
// queue is reported within the append, and the loop then posts that to its own
// full event queue.
func TestAppendReportsFullQueueLater(t *testing.T) {
	is := is.New(t)
	w := newStreamWriter(sizeLog{sizes: make(chan int, maxQueuedRecords)}, "s", hclog.NewNullLogger(), func() {})
	for range maxQueuedRecords {
		w.append(records.Record{}, nil)
	}
	results := make(chan error, 1)
	w.append(records.Record{}, func(err error) { results <- err })
	is.Equal(len(results), 0)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.run(ctx)
	is.Equal(<-results, errQueueFull)
}

// Guards against batches that the log never accepts, and against the memory use
// of large jobs while appends are slow.
func TestBytesOfAppendsAreBounded(t *testing.T) {
	is := is.New(t)
	log := sizeLog{sizes: make(chan int, maxQueuedRecords)}
	w := newStreamWriter(log, "s", hclog.NewNullLogger(), func() {})
	const size = 1 << 17 // six times as large in JSON
	refused := make(chan error, 1000)
	for range 1000 {
		w.append(cancellation(size), func(err error) {
			if err != nil {
				refused <- err
			}
		})
	}
	queued := w.queuedBytes.Load()
	is.True(queued <= maxQueuedBytes)
	queuedRecords := len(w.queue)
	is.True(queuedRecords < 1000)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.run(ctx)
	for range 1000 - queuedRecords {
		is.Equal(<-refused, errQueueFull)
	}
	for left := int(queued); left > 0; {
		batch := <-log.sizes
		is.True(batch < maxBatchBytes+8*size)
		left -= batch
	}
}
