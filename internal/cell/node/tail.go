package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"gypsumwinch/internal/cell"
)

const (
	// followEvery is how often a VM that does not own the cell reads the topics.
	// Jobs must be visible within 3 s, counts may be 2 s old.
	followEvery = 900 * time.Millisecond
	// ownerEvery is how often the owner reads submissions that it has not heard of.
	ownerEvery = 250 * time.Millisecond
	// ownerWait is how long the owner waits at the store for submissions while
	// some VM cannot tell it of them; a VM that takes over again waits for the
	// read that is under way.
	ownerWait = time.Second
	// unheardFor is how long the owner waits so after such a submission.
	unheardFor = 3 * time.Second
	// readRetry is the pause after a read that failed.
	readRetry = 150 * time.Millisecond
)

// tail follows one topic.
type tail struct {
	store cell.Store
	topic cell.Topic
	// take is called with the records of each read, in order.
	take   func([]cell.KeyValue)
	report func(message string, details ...any)

	woken  chan struct{}
	mu     sync.Mutex
	next   atomic.Int64
	loaded atomic.Bool
	// readAt is when a read last succeeded, in boot time.
	readAt atomic.Int64
	// failing is true after a read that failed, so that only changes are logged.
	failing atomic.Bool
}

// load reads the newest record of each key.
func (t *tail) load(ctx context.Context) error {
	batch, err := t.store.Newest(ctx, t.topic)
	if err != nil {
		return err
	}
	t.logUnreadable(batch)
	t.take(batch.Records)
	t.next.Store(max(batch.Next, 0))
	t.loaded.Store(true)
	t.readAt.Store(int64(boot()))
	t.report("topic is loaded", "topic", string(t.topic), "records", len(batch.Records), "next", batch.Next)
	return nil
}

// read reads on once.
func (t *tail) read(ctx context.Context, wait time.Duration) (more bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loaded.Load() {
		return true, t.load(ctx)
	}
	batch, err := t.store.Read(ctx, t.topic, t.next.Load(), wait)
	if errors.Is(err, cell.ErrExpired) {
		return true, t.load(ctx)
	}
	if err != nil {
		return false, err
	}
	t.logUnreadable(batch)
	t.take(batch.Records)
	t.next.Store(batch.Next)
	t.readAt.Store(int64(boot()))
	return batch.Next < batch.End, nil
}

// catchUp reads to the end.
func (t *tail) catchUp(ctx context.Context) error {
	for {
		more, err := t.read(ctx, 0)
		if err != nil || !more {
			return err
		}
	}
}

// follow reads until the context ends. wait says how long the next read waits
// for records; a read that does not wait is followed by a pause.
func (t *tail) follow(ctx context.Context, wait, every func() time.Duration) {
	for ctx.Err() == nil {
		w := wait()
		more, err := t.read(ctx, w)
		t.logChange(err)
		switch {
		case err != nil:
			pause(ctx, readRetry)
		case w == 0 && !more:
			t.rest(ctx, every())
		}
	}
}

// wake has the next read come at once.
func (t *tail) wake() {
	select {
	case t.woken <- struct{}{}:
	default:
	}
}

// rest waits unless the tail is woken.
func (t *tail) rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-t.woken:
	case <-timer.C:
	}
}

// logUnreadable logs records that could not be read.
func (t *tail) logUnreadable(batch cell.Batch) {
	if batch.Unreadable > 0 {
		t.report("records cannot be read", "topic", string(t.topic), "records", batch.Unreadable, "next", batch.Next)
	}
}

// logChange logs when reads begin to fail and when they succeed again.
func (t *tail) logChange(err error) {
	failing := err != nil && !errors.Is(err, context.Canceled)
	if t.failing.Swap(failing) == failing {
		return
	}
	if failing {
		t.report("store cannot be read", "topic", string(t.topic), "error", err.Error())
		return
	}
	t.report("store is read again", "topic", string(t.topic))
}

// peek looks for a key after what was read, without waiting for other reads.
func (t *tail) peek(ctx context.Context, key string) (found bool, err error) {
	from := t.next.Load()
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

// pause waits unless the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
