package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
)

const (
	// followerReadInterval is the period at which a follower reads topics. Jobs
	// must be visible within 3 s, and counts may be 2 s old.
	followerReadInterval = 900 * time.Millisecond
	// ownerReadInterval is the period at which the owner reads submissions that
	// it was not notified of.
	ownerReadInterval = 250 * time.Millisecond
	// ownerReadWait is how long a read of the owner waits at the store for
	// submissions while some VM cannot notify the owner. A VM that takes over has
	// to wait for a read in flight.
	ownerReadWait = time.Second
	// unnotifiedTTL is how long the owner's reads wait like this after a
	// submission without a notification.
	unnotifiedTTL = 3 * time.Second
	// readRetryInterval is the pause after a read that failed.
	readRetryInterval = 150 * time.Millisecond
	// largeReadBytes is the size from which a read is logged, in bytes: on a link of 10 Mbit/s
	// it takes 0.1 s.
	largeReadBytes = 128 << 10
)

// topicReader reads one topic: first the newest record of each key, then the
// records that follow.
type topicReader struct {
	store cell.Store
	topic cell.Topic
	// apply is called with the records of each read, in order.
	apply func([]cell.KeyValue)
	// knownKeys returns the keys that are in the topic as far as this VM knows. Those that
	// are missing when the newest records are loaded are applied as deleted: the records
	// of their deletions may have expired. It is nil for topics without deletions.
	knownKeys func() []string
	log       func(message string, details ...any)
	metrics   *metrics
	// now returns the boot time.
	now func() time.Duration

	wakeup     chan struct{}
	mu         sync.Mutex
	nextOffset atomic.Int64
	isLoaded   atomic.Bool
	// lastReadAt is the boot time of the last successful read.
	lastReadAt atomic.Int64
	// lastSentAt is the boot time at which the last successful read was sent: it
	// reached the end of the topic, so that everything before it has been applied.
	lastSentAt atomic.Int64
	// loadedAt is the boot time at which the newest records were last loaded.
	loadedAt atomic.Int64
	// isFailing is true after a read that failed, so that only changes are
	// logged.
	isFailing atomic.Bool
}

// loadNewest reads the newest record of each key and sets the position behind
// them. read calls it, with t.mu held, at the first read and after ErrExpired.
func (t *topicReader) loadNewest(ctx context.Context) error {
	sentAt := t.now()
	// A key that becomes known during the call may be missing in the pages read before.
	var known []string
	if t.knownKeys != nil {
		known = t.knownKeys()
	}
	batch, err := t.store.Newest(ctx, t.topic)
	t.countRead(batch, sentAt, err)
	if err != nil {
		return err
	}
	if position := t.nextOffset.Load(); batch.Next < position {
		return eris.Errorf("topic %s ends at offset %d, before the position %d that was read", t.topic, batch.Next, position)
	}
	t.logUnreadable(batch)
	if batch.Unreadable > 0 {
		// One of the unreadable records may be that of a key that seems to be missing.
		known = nil
	}
	t.apply(append(batch.Records, deletions(known, batch)...))
	t.nextOffset.Store(max(batch.Next, 0))
	t.isLoaded.Store(true)
	t.loadedAt.Store(int64(t.now()))
	t.recordRead(sentAt)
	t.log("topic is loaded", "topic", string(t.topic), "records", len(batch.Records), "next", batch.Next)
	return nil
}

// deletions returns a record without a value for each known key that is not among the
// newest records. loadNewest calls it.
func deletions(known []string, newest cell.Batch) []cell.KeyValue {
	present := map[string]bool{}
	for _, r := range newest.Records {
		present[r.Key] = true
	}
	var out []cell.KeyValue
	for _, key := range known {
		if !present[key] {
			out = append(out, cell.KeyValue{Key: key})
		}
	}
	return out
}

// unload makes the next read load the newest records again. forget removes what was
// applied, and runs while no read does. A takeover calls it if the replica is incomplete.
func (t *topicReader) unload(forget func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isLoaded.Store(false)
	forget()
}

// read reads once from the current position, and reports whether more records
// follow. The first read, and one whose position the store no longer keeps,
// loads the newest records. The goroutine that polls the topic calls it, and
// that of campaign during a takeover.
func (t *topicReader) read(ctx context.Context, wait time.Duration) (more bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isLoaded.Load() {
		return true, t.loadNewest(ctx)
	}
	sentAt := t.now()
	position := t.nextOffset.Load()
	batch, err := t.store.Read(ctx, t.topic, position, wait)
	t.countRead(batch, sentAt, err)
	if errors.Is(err, cell.ErrExpired) {
		cause := err
		if err = t.loadNewest(ctx); err == nil && t.nextOffset.Load() == position {
			// Another read would fail the same way. The error makes the caller pause.
			return false, eris.Wrapf(cause, "topic %s still ends at offset %d", t.topic, position)
		}
		return true, err
	}
	if err != nil {
		return false, err
	}
	t.logUnreadable(batch)
	t.apply(batch.Records)
	t.nextOffset.Store(batch.Next)
	if batch.Next < batch.End {
		t.lastReadAt.Store(int64(t.now()))
		return true, nil
	}
	t.recordRead(sentAt)
	return false, nil
}

// countRead counts a call of the store, and logs one that returned much. read and loadNewest
// call it.
func (t *topicReader) countRead(batch cell.Batch, sentAt time.Duration, err error) {
	if err != nil {
		t.metrics.storeReads.WithLabelValues(string(t.topic), "failed").Inc()
		return
	}
	size := 0
	for _, r := range batch.Records {
		size += len(r.Key) + len(r.Value)
	}
	t.metrics.storeReads.WithLabelValues(string(t.topic), "done").Inc()
	t.metrics.storeReadBytes.WithLabelValues(string(t.topic)).Add(float64(size))
	if size >= largeReadBytes {
		t.log("large read", "topic", string(t.topic), "bytes", size, "records", len(batch.Records), "took_ms", (t.now() - sentAt).Milliseconds())
	}
}

// isReading reports whether a read is in flight.
func (t *topicReader) isReading() bool {
	if t.mu.TryLock() {
		t.mu.Unlock()
		return false
	}
	return true
}

// recordRead records a read to the end of the topic that was sent at sentAt. read and
// loadNewest call it once its records are applied.
func (t *topicReader) recordRead(sentAt time.Duration) {
	t.lastSentAt.Store(int64(sentAt))
	t.lastReadAt.Store(int64(t.now()))
}

// readToEnd reads until no more records follow. A new owner calls it for
// topics progress and jobs during the takeover, on the goroutine of campaign.
func (t *topicReader) readToEnd(ctx context.Context) error {
	for {
		more, err := t.read(ctx, 0)
		if err != nil || !more {
			return err
		}
	}
}

// poll reads until ctx ends. wait returns how long the next read waits at the
// store for records; after a read that does not wait, poll pauses for
// interval. pollConfig and pollJobs call it once, each on its own goroutine.
func (t *topicReader) poll(ctx context.Context, wait, interval func() time.Duration) {
	for ctx.Err() == nil {
		readWait := wait()
		more, err := t.read(ctx, readWait)
		t.logFailureChange(err)
		switch {
		case err != nil:
			sleep(ctx, readRetryInterval)
		case readWait == 0 && !more:
			t.waitForNextPoll(ctx, interval())
		}
	}
}

// pollNow ends the current pause of poll. The hello loop calls it on the
// reader of the configuration when an answer reports a newer version.
func (t *topicReader) pollNow() {
	select {
	case t.wakeup <- struct{}{}:
	default:
	}
}

// waitForNextPoll waits for d, or until pollNow is called. poll calls it after
// a read that did not wait and reached the end of the topic.
func (t *topicReader) waitForNextPoll(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-t.wakeup:
	case <-timer.C:
	}
}

// logUnreadable logs that a read returned records which the store could not
// decode. It runs after each successful read.
func (t *topicReader) logUnreadable(batch cell.Batch) {
	if batch.Unreadable > 0 {
		t.log("records cannot be read", "topic", string(t.topic), "records", batch.Unreadable, "next", batch.Next)
	}
}

// logFailureChange logs when reads start to fail and when they succeed again.
// The goroutine that polls the topic calls it after each of its reads.
func (t *topicReader) logFailureChange(err error) {
	failing := err != nil && !errors.Is(err, context.Canceled)
	if t.isFailing.Swap(failing) == failing {
		return
	}
	if failing {
		t.log("store cannot be read", "topic", string(t.topic), "error", err.Error())
		return
	}
	t.log("store is read again", "topic", string(t.topic))
}

// hasUnreadKey reports whether the topic has a value for the key after the
// current position. It does not wait for other reads. A caller's request for
// the state of an unknown job calls it on a VM that knows all jobs.
func (t *topicReader) hasUnreadKey(ctx context.Context, key string) (found bool, err error) {
	from := t.nextOffset.Load()
	for {
		batch, err := t.store.Read(ctx, t.topic, from, 0)
		if err != nil {
			return false, err
		}
		for _, r := range batch.Records {
			if r.Key == key && len(r.Value) > 0 {
				return true, nil
			}
		}
		if batch.Next >= batch.End {
			return false, nil
		}
		from = batch.Next
	}
}

// sleep waits for d, or until ctx ends. The loops of the package pause with
// it.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
