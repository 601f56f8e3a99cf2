package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
)

const (
	// appendTry bounds one try of an append. The slowest store seen answers after
	// 0.4 s, and a submission may wait for the batch before it.
	appendTry = 1500 * time.Millisecond
	// tryPause is the pause between tries.
	tryPause = 20 * time.Millisecond
	// downAfter is how long an append may go unanswered, beside what a slow store
	// takes, before the store counts as down for this VM and new submissions are
	// not sent. A store that has just turned slow takes two answers of 0.4 s, one
	// for the batch before.
	downAfter = 850 * time.Millisecond
	// commitBatch bounds the submissions of one append: in the slowest store seen
	// it must take those of half a second.
	commitBatch = 256
	// commitBytes bounds the records of one append; the store takes 2 MB.
	commitBytes = 1 << 20
	// commitQueue bounds the submissions that wait.
	commitQueue = 1024
)

// submission are records that wait to be appended to topic jobs.
type submission struct {
	ctx     context.Context
	records []cell.KeyValue
	done    chan error
}

// size returns the bytes of the records.
func (s submission) size() int {
	size := 0
	for _, r := range s.records {
		size += len(r.Key) + len(r.Value)
	}
	return size
}

// errStoreDown is the cause of submissions that were not sent.
var errStoreDown = errors.New("the store does not answer this VM")

// committer appends records to topic jobs, one batch at a time. While a batch
// is without an answer no other is sent, so that the records that wait can be
// answered as not run. Repetitions are harmless, since the records are the same.
type committer struct {
	// store appends the records of a batch.
	store func(ctx context.Context, records []cell.KeyValue) error
	// latency is the latest latency of the store.
	latency func() time.Duration
	log     hclog.Logger
	queue   chan submission
	// downSince is when the store was found down, in boot time; 0 if it is not.
	downSince atomic.Int64
	// readAt tells when the store was last read.
	readAt func() time.Duration
}

func newCommitter(store func(context.Context, []cell.KeyValue) error, latency func() time.Duration, log hclog.Logger, readAt func() time.Duration) *committer {
	return &committer{store: store, latency: latency, log: log, queue: make(chan submission, commitQueue), readAt: readAt}
}

// down reports whether the store counts as down. A read that succeeded since
// clears it.
func (c *committer) down() bool {
	since := time.Duration(c.downSince.Load())
	return since != 0 && c.readAt() < since
}

// append appends records. A NotRunError means that they were certainly not
// appended; any other error leaves it open.
func (c *committer) append(ctx context.Context, records []cell.KeyValue) error {
	if c.down() {
		return &cell.NotExecutedError{RetryAfter: cell.ShortRetryAfter, Cause: errStoreDown}
	}
	s := submission{ctx: ctx, records: records, done: make(chan error, 1)}
	select {
	case c.queue <- s:
	default:
		return &cell.NotExecutedError{RetryAfter: cell.ShortRetryAfter, Cause: errTooMany}
	}
	select {
	case err := <-s.done:
		return err
	case <-ctx.Done():
		// The batch may be under way, or the process is about to end.
		return eris.Wrap(ctx.Err(), "wait for an append")
	}
}

// run appends batches until the context ends.
func (c *committer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-c.queue:
			c.commit(ctx, c.collect(s))
		}
	}
}

// collect takes the records that wait already.
func (c *committer) collect(first submission) []submission {
	batch := []submission{first}
	size := first.size()
	for len(batch) < commitBatch && size < commitBytes {
		select {
		case s := <-c.queue:
			batch = append(batch, s)
			size += s.size()
		default:
			return batch
		}
	}
	return batch
}

// commit appends a batch, again until it is answered or no caller waits.
func (c *committer) commit(ctx context.Context, batch []submission) {
	// The store counts as down as soon as the batch has waited for long.
	timer := time.AfterFunc(downAfter+ownerLatencies*c.latency(), func() {
		c.markDown(errStoreDown)
		c.refuseWaiting()
	})
	defer timer.Stop()
	unknown := false
	for {
		err := c.once(ctx, batch)
		if err == nil {
			answer(batch, nil)
			return
		}
		refused := errors.Is(err, cell.ErrNotExecuted)
		if refused && !unknown {
			c.markDown(err)
			answer(batch, &cell.NotExecutedError{RetryAfter: cell.ShortRetryAfter, Cause: err})
			return
		}
		unknown = unknown || !refused
		batch = waitingOf(batch, err)
		if len(batch) == 0 {
			return
		}
		pause(ctx, tryPause)
		if ctx.Err() != nil {
			answer(batch, err)
			return
		}
	}
}

// once tries to append a batch.
func (c *committer) once(ctx context.Context, batch []submission) error {
	ctx, cancel := context.WithTimeout(ctx, appendTry)
	defer cancel()
	err := c.store(ctx, recordsOf(batch))
	if err == nil {
		c.downSince.Store(0)
	}
	return err
}

func recordsOf(batch []submission) []cell.KeyValue {
	var records []cell.KeyValue
	for _, s := range batch {
		records = append(records, s.records...)
	}
	return records
}

// markDown notes that the store does not answer this VM.
func (c *committer) markDown(err error) {
	if !c.down() {
		c.log.Warn("store counts as down", "error", err.Error())
	}
	c.downSince.Store(int64(boot()))
}

// refuseWaiting answers the records that were not sent.
func (c *committer) refuseWaiting() {
	for {
		select {
		case s := <-c.queue:
			s.done <- &cell.NotExecutedError{RetryAfter: cell.ShortRetryAfter, Cause: errStoreDown}
		default:
			return
		}
	}
}

// waitingOf answers those whose caller waits no longer and returns the others.
func waitingOf(batch []submission, err error) []submission {
	rest := batch[:0]
	for _, s := range batch {
		if s.ctx.Err() != nil {
			s.done <- err
			continue
		}
		rest = append(rest, s)
	}
	return rest
}

func answer(batch []submission, err error) {
	for _, s := range batch {
		s.done <- err
	}
}
