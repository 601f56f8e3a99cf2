package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"

	"gypsumwinch/internal/platform"
	"gypsumwinch/internal/records"
)

const (
	// groupCommitInterval is how long records are collected before an append.
	// It keeps 8 VMs that write all the time near 200 appends a second.
	groupCommitInterval = 40 * time.Millisecond
	// appendTimeout bounds one append.
	appendTimeout = 3 * time.Second
	// appendRetryTimeout is how long a batch is retried before its records are
	// reported as failed.
	appendRetryTimeout = 6 * time.Second
	// maxBatchRecords bounds the number of records in one append.
	maxBatchRecords = 500
	// maxQueuedRecords bounds the number of records that are queued for one
	// stream.
	maxQueuedRecords = 65536
	// maxQueuedBytes bounds the size of the queued records, so that large jobs
	// do not fill the memory of a small VM while appends are slow.
	maxQueuedBytes = 64 << 20
	// maxBatchBytes is the size at which no further records are added to an
	// append.
	maxBatchBytes = 1 << 20
)

// pendingRecord is a record that is queued for an append. onResult, which may
// be nil, is called once: with nil when the record is on the log, else with the
// last error, in which case the record may still be on the log.
type pendingRecord struct {
	data     json.RawMessage
	onResult func(error)
}

// streamWriter appends the records of one stream in order and in batches. A
// batch whose append failed is appended again, so a record can be on the log
// twice. Every reader ignores the second copy.
type streamWriter struct {
	log    platform.Log
	stream string
	logger hclog.Logger
	// onAppend is called for each append.
	onAppend func()
	queue    chan pendingRecord
	// queuedBytes is the size of the queued records.
	queuedBytes atomic.Int64

	mu sync.Mutex
	// rejected holds the records that were not queued, until run reports them.
	rejected []rejectedRecord
	// rejectedSignal wakes run when rejected is not empty.
	rejectedSignal chan struct{}
}

// rejectedRecord is a record that was not queued.
type rejectedRecord struct {
	onResult func(error)
	err      error
}

// newStreamWriter returns a writer that appends nothing until run is called.
// New calls it for each stream of this VM, and jobsWriter for the jobs streams
// of other data centres.
func newStreamWriter(log platform.Log, stream string, logger hclog.Logger, onAppend func()) *streamWriter {
	return &streamWriter{
		log:            log,
		stream:         stream,
		logger:         logger,
		onAppend:       onAppend,
		queue:          make(chan pendingRecord, maxQueuedRecords),
		rejectedSignal: make(chan struct{}, 1),
	}
}

// append queues a record. It neither blocks nor calls onResult itself, because
// onResult may wait for the goroutine that called append. The control loop
// calls it for each record that it writes.
func (w *streamWriter) append(r records.Record, onResult func(error)) {
	data, err := records.Encode(r)
	if err != nil {
		w.reject(onResult, err)
		return
	}
	size := int64(len(data))
	if w.queuedBytes.Add(size) > maxQueuedBytes {
		w.queuedBytes.Add(-size)
		w.reject(onResult, errQueueFull)
		return
	}
	select {
	case w.queue <- pendingRecord{data: data, onResult: onResult}:
	default:
		w.queuedBytes.Add(-size)
		w.reject(onResult, errQueueFull)
	}
}

// reject passes a record that was not queued to reportRejected and wakes run,
// unless nothing waits for its result. append calls it when the record cannot
// be encoded or the queue is full.
func (w *streamWriter) reject(onResult func(error), err error) {
	if onResult == nil {
		return
	}
	w.mu.Lock()
	w.rejected = append(w.rejected, rejectedRecord{onResult, err})
	w.mu.Unlock()
	select {
	case w.rejectedSignal <- struct{}{}:
	default:
	}
}

// reportRejected calls onResult of the records that were not queued. It runs
// between two batches, so that callers that retry do not do so in a busy loop.
// run calls it on the writer's goroutine.
func (w *streamWriter) reportRejected() {
	w.mu.Lock()
	refused := w.rejected
	w.rejected = nil
	w.mu.Unlock()
	for _, r := range refused {
		r.onResult(r.err)
	}
}

// notifyResult calls onResult unless it is nil. writeBatch calls it for each
// record of a finished batch.
func notifyResult(onResult func(error), err error) {
	if onResult != nil {
		onResult(err)
	}
}

// run appends batches of queued records until ctx ends. It also passes the
// errors of rejected records, those that append could not encode or for which
// the queue had no room, to their onResult. append leaves this to run, because
// onResult may wait for the goroutine that called append: reject lists the
// record and signals rejectedSignal.
//
// Rejected records are reported after each batch. If no batch is due, the
// signal wakes run, which first sleeps for groupCommitInterval; otherwise a
// caller that repeats a rejected append at once would do so in a busy loop.
//
// run is the writer goroutine of one stream, which startLoops starts with the
// daemon, or jobsWriter on first use.
func (w *streamWriter) run(ctx context.Context) {
	for {
		select {
		case first := <-w.queue:
			w.writeBatch(ctx, w.collectBatch(ctx, first))
			w.reportRejected()
		case <-w.rejectedSignal:
			sleep(ctx, groupCommitInterval)
			w.reportRejected()
		case <-ctx.Done():
			return
		}
	}
}

// collectBatch adds queued records to a batch until the group commit interval
// ends or the batch is full. run calls it with the first record that it takes
// from the queue.
func (w *streamWriter) collectBatch(ctx context.Context, first pendingRecord) []pendingRecord {
	batch := []pendingRecord{first}
	size := len(first.data)
	timer := time.NewTimer(groupCommitInterval)
	defer timer.Stop()
	for len(batch) < maxBatchRecords && size < maxBatchBytes {
		select {
		case next := <-w.queue:
			batch = append(batch, next)
			size += len(next.data)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// writeBatch appends a batch, retries a failed append with a backoff for up to
// appendRetryTimeout, and reports the result to each record's onResult. run
// calls it on the writer's goroutine, so onResult must not access control
// state.
func (w *streamWriter) writeBatch(ctx context.Context, batch []pendingRecord) {
	data := make([]json.RawMessage, len(batch))
	for i, r := range batch {
		data[i] = r.data
		w.queuedBytes.Add(-int64(len(r.data)))
	}
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = 50 * time.Millisecond
	policy.MaxInterval = time.Second
	_, err := backoff.Retry(ctx, func() (int64, error) {
		w.onAppend()
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		return w.log.Append(callCtx, w.stream, data)
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(appendRetryTimeout))
	if err != nil {
		w.logger.Warn("append to the log failed", "stream", w.stream, "records", len(batch), "error", err)
	}
	for _, r := range batch {
		notifyResult(r.onResult, err)
	}
}
