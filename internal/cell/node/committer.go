package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/admission"
)

const (
	// commitAttemptTimeout bounds one attempt to append. A slow store answers
	// after 0.4 s, and an append may first wait for the batch before it.
	commitAttemptTimeout = 1500 * time.Millisecond
	// retryInterval is the pause between attempts to append.
	retryInterval = 20 * time.Millisecond
	// storeDownTimeout is how long an append may stay unanswered, beyond the
	// latency of a slow store, before the store counts as down for this VM and
	// new submissions are refused. A store that has just become slow takes two
	// answers of 0.4 s, one of them for the batch before.
	storeDownTimeout = 850 * time.Millisecond
	// maxBatchAppends bounds the submissions in one batch. With a slow store,
	// a batch must hold the submissions of half a second.
	maxBatchAppends = 256
	// maxBatchBytes bounds the records in one batch; the store accepts 2 MB.
	maxBatchBytes = 1 << 20
	// maxQueuedAppends bounds the submissions that wait for a batch.
	maxQueuedAppends = 1024
)

// queuedAppend holds records that wait to be appended to topic jobs. The
// outcome is sent to result, which has room for it.
type queuedAppend struct {
	ctx     context.Context
	records []cell.KeyValue
	result  chan error
	// isTaken is true once a batch or an abandoning caller has taken the records:
	// whoever sets it decides whether they are sent.
	isTaken *atomic.Bool
}

// take reports whether the caller of take is the first to take the records.
func (q queuedAppend) take() bool { return q.isTaken.CompareAndSwap(false, true) }

// size returns the size of the keys and values in bytes. collectBatch adds the
// sizes up.
func (q queuedAppend) size() int {
	size := 0
	for _, r := range q.records {
		size += len(r.Key) + len(r.Value)
	}
	return size
}

// errStoreDown is the cause reported for records that were not sent.
var (
	errStoreDown = errors.New("the store does not answer this VM")
	errNotSent   = errors.New("the caller's deadline passed before the records were sent")
)

// committer appends records to topic jobs in batches, with one batch in flight
// at a time. While a batch is unanswered, queued records have not been sent, so
// they can be reported as not executed. Appending a batch again is harmless
// because its records are the same.
type committer struct {
	// appendRecords makes one attempt to append the records of one batch to topic
	// jobs. It bounds the attempt by commitAttemptTimeout.
	appendRecords func(ctx context.Context, records []cell.KeyValue) error
	// storeLatency returns the latency of the store's last answer.
	storeLatency func() time.Duration
	log          hclog.Logger
	queue        chan queuedAppend
	// storeDownSince is the boot time at which the store was marked as down, or
	// 0.
	storeDownSince atomic.Int64
	// outageStartedAt is the boot time at which the present outage was noticed.
	outageStartedAt atomic.Int64
	// lastReadAt returns the boot time of the last successful read of the store.
	lastReadAt func() time.Duration
}

func newCommitter(appendRecords func(context.Context, []cell.KeyValue) error, storeLatency func() time.Duration, log hclog.Logger, lastReadAt func() time.Duration) *committer {
	return &committer{appendRecords: appendRecords, storeLatency: storeLatency, log: log, queue: make(chan queuedAppend, maxQueuedAppends), lastReadAt: lastReadAt}
}

// isStoreDown reports whether the store counts as down. A read that succeeded
// after it was marked as down clears that. It is checked for each append and
// by Ready.
func (c *committer) isStoreDown() bool {
	since := time.Duration(c.storeDownSince.Load())
	return since != 0 && c.lastReadAt() < since
}

// append appends records and waits for the outcome. A NotExecutedError means
// that they were certainly not appended; after any other error they may have
// been. A caller's submission or cancellation calls it, and on the owner the
// Submit RPC of another VM, each on the goroutine of that request.
func (c *committer) append(ctx context.Context, records []cell.KeyValue) error {
	if c.isStoreDown() {
		return c.refusal(errStoreDown)
	}
	q := queuedAppend{ctx: ctx, records: records, result: make(chan error, 1), isTaken: &atomic.Bool{}}
	select {
	case c.queue <- q:
	default:
		return &cell.NotExecutedError{RetryAfter: cell.ShortRetryAfter, Cause: errQueueFull}
	}
	select {
	case err := <-q.result:
		return err
	case <-ctx.Done():
		if q.take() {
			return c.refusal(errNotSent)
		}
		// The batch may be in flight, or the process is stopping.
		return eris.Wrap(ctx.Err(), "wait for an append")
	}
}

// refusal returns the error for records that were not sent because of cause. During an
// outage the caller is told to come back the later the longer it has lasted.
func (c *committer) refusal(cause error) error {
	retryAfter := cell.ShortRetryAfter
	if c.isStoreDown() {
		outage := bootTime() - time.Duration(c.outageStartedAt.Load())
		retryAfter = admission.RetryAfter(outage+storeDownTimeout, rand.Float64())
	}
	return &cell.NotExecutedError{RetryAfter: retryAfter, Cause: cause}
}

// run appends batches until ctx ends. It runs on every VM, on a goroutine that
// Node.Run starts.
func (c *committer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-c.queue:
			if batch := c.collectBatch(q); len(batch) > 0 {
				c.commitBatch(ctx, batch)
			}
		}
	}
}

// collectBatch adds queued records to first, up to the limits of a batch. It leaves out
// those whose callers no longer wait. run calls it each time it has taken records from
// the queue.
func (c *committer) collectBatch(first queuedAppend) []queuedAppend {
	var batch []queuedAppend
	size := 0
	for q := first; ; {
		if q.take() {
			batch = append(batch, q)
			size += q.size()
		}
		if len(batch) >= maxBatchAppends || size >= maxBatchBytes {
			return batch
		}
		select {
		case q = <-c.queue:
		default:
			return batch
		}
	}
}

// commitBatch appends a batch and retries until the outcome is known or every
// caller has given up. run calls it for each batch, on its own goroutine;
// queued records wait meanwhile unless rejectQueued rejects them.
func (c *committer) commitBatch(ctx context.Context, batch []queuedAppend) {
	// Marks the store as down while the batch is still in flight.
	timer := time.AfterFunc(storeDownTimeout+commitLatencyFactor*c.storeLatency(), func() {
		c.markStoreDown(errStoreDown)
		c.rejectQueued()
	})
	defer timer.Stop()
	unknown := false
	for {
		err := c.tryCommit(ctx, batch)
		if err == nil {
			completeBatch(batch, nil)
			return
		}
		refused := errors.Is(err, cell.ErrNotExecuted)
		if refused && !unknown {
			c.markStoreDown(err)
			completeBatch(batch, c.refusal(err))
			return
		}
		unknown = unknown || !refused
		batch = failAbandoned(batch, err)
		if len(batch) == 0 {
			return
		}
		sleep(ctx, retryInterval)
		if ctx.Err() != nil {
			completeBatch(batch, err)
			return
		}
	}
}

// tryCommit makes one attempt to append a batch. commitBatch calls it for each
// attempt.
func (c *committer) tryCommit(ctx context.Context, batch []queuedAppend) error {
	err := c.appendRecords(ctx, batchRecords(batch))
	if err == nil {
		c.storeDownSince.Store(0)
	}
	return err
}

// batchRecords returns the records of a batch in order. tryCommit calls it for
// each attempt.
func batchRecords(batch []queuedAppend) []cell.KeyValue {
	var records []cell.KeyValue
	for _, q := range batch {
		records = append(records, q.records...)
	}
	return records
}

// markStoreDown makes new records fail at once until the store answers a read.
// commitBatch calls it when a batch was not executed, and its timer, on
// another goroutine, when a batch stays unanswered for too long.
func (c *committer) markStoreDown(err error) {
	if !c.isStoreDown() {
		c.outageStartedAt.Store(int64(bootTime()))
		c.log.Warn("store counts as down", "error", err.Error())
	}
	c.storeDownSince.Store(int64(bootTime()))
}

// rejectQueued reports records that were not sent as not executed. The timer
// of commitBatch calls it, on its own goroutine, after markStoreDown.
func (c *committer) rejectQueued() {
	for {
		select {
		case q := <-c.queue:
			if q.take() {
				q.result <- c.refusal(errStoreDown)
			}
		default:
			return
		}
	}
}

// failAbandoned reports err to the callers that no longer wait and returns the
// rest of the batch. commitBatch calls it after a failed attempt, before the
// next one.
func failAbandoned(batch []queuedAppend, err error) []queuedAppend {
	waiting := batch[:0]
	for _, q := range batch {
		if q.ctx.Err() != nil {
			q.result <- err
			continue
		}
		waiting = append(waiting, q)
	}
	return waiting
}

// completeBatch reports the outcome to all callers of a batch. commitBatch
// calls it when the outcome is known or the process stops.
func completeBatch(batch []queuedAppend, err error) {
	for _, q := range batch {
		q.result <- err
	}
}
