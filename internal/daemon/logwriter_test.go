package daemon

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"gypsumwinch/internal/records"
)

// sizeLog takes appends and notes how many bytes each had.
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

// Guards against a control loop that waits for itself: it appends a record, is
// told at once that the queue is full, and posts that to its own full queue.
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

// Guards against batches that the log never accepts and against memory that
// large jobs take while appends are slow.
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
