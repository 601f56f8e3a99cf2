// Package cellstore is an in-memory stand-in for the platform's store as the
// cell's packages use it. It has topics with offsets, conditional and fenced
// appends, and can inject the faults that the platform specifies. It serves tests
// in the same process: it has no network protocol and stores nothing on disk.
// Read Store first.
package cellstore

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"gypsumwinch/internal/cell"
)

// ErrLost is returned by a call whose answer was lost. The result of an append that
// returns it is unknown to the caller: it was executed or rejected.
var ErrLost = errors.New("the answer was lost")

// Store implements cell.Store in memory. The zero value is an empty store without
// faults. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	topics   map[cell.Topic]*topic
	faultFor func(call string, t cell.Topic) Fault
	// lateness returns when an append with fault Late is executed; nil is a second.
	lateness func() time.Duration
	// retention is how long records are kept; 0 is for ever.
	retention time.Duration
	// pageRead is called between two pages of newest records, without the mutex.
	pageRead func()
}

const (
	// rememberedAppends is the number of appends of an epoch whose answers are repeated.
	rememberedAppends = 5
	// pageItems is the number of newest records in one page.
	pageItems = 500
)

// Fault is the fault injected into one call.
type Fault int

// Faults that SetFault can inject.
const (
	// None lets the call succeed.
	None Fault = iota
	// Refuse makes the call fail with cell.ErrNotExecuted; it is not executed.
	Refuse
	// LoseAnswer executes an append and then returns ErrLost; Newest returns ErrLost.
	// Read ignores it.
	LoseAnswer
	// Silent blocks an append or a read until its context ends; an append is not
	// executed. Newest returns ErrLost at once.
	Silent
	// Late is Silent for the caller of an append. The append is executed later, if its
	// conditions hold by then; see SetLateness. For other calls it is Silent.
	Late
)

// topic is one log of records, with the fencing state of its writers.
type topic struct {
	firstOffset int64
	records     []cell.KeyValue
	// appendedAt is when each of the records was appended.
	appendedAt  []time.Time
	newestByKey map[string]cell.KeyValue
	// epoch is the highest fencing token seen; nextSequence is the sequence expected
	// next in it, and endBySequence holds the end offset returned for the last
	// rememberedAppends sequences, to answer repeated appends.
	epoch         int64
	nextSequence  int64
	endBySequence map[int64]int64
	changed       chan struct{}
}

// SetFault sets the function that returns the fault of each later call ("append",
// "read" or "newest"); nil injects none. f runs with the store's mutex locked.
func (s *Store) SetFault(f func(call string, t cell.Topic) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultFor = f
}

// SetLateness sets how long after its call an append with fault Late is executed.
// f runs with the store's mutex locked.
func (s *Store) SetLateness(f func() time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateness = f
}

// SetRetention sets how long records are kept. A Read from an offset before the first
// record that is kept returns cell.ErrExpired.
func (s *Store) SetRetention(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention = d
}

// Forget drops all records of a topic except the newest of each key. A
// Read from an offset before the end then returns cell.ErrExpired.
func (s *Store) Forget(name cell.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.drop(len(t.records))
}

// drop drops the oldest n records, but no newest record of a key.
func (t *topic) drop(n int) {
	t.firstOffset += int64(n)
	t.records, t.appendedAt = t.records[n:], t.appendedAt[n:]
}

// Len returns the end offset of a topic, which also counts dropped records.
func (s *Store) Len(name cell.Topic) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).end()
}

// First returns the offset of the oldest record of a topic that is kept.
func (s *Store) First(name cell.Topic) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).firstOffset
}

// topic returns a topic, without the records that are older than the retention, and
// creates it on first use. s.mu is locked by the caller.
func (s *Store) topic(name cell.Topic) *topic {
	if s.topics == nil {
		s.topics = map[cell.Topic]*topic{}
	}
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newestByKey: map[string]cell.KeyValue{}, endBySequence: map[int64]int64{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	if s.retention > 0 {
		expired := 0
		for expired < len(t.records) && time.Since(t.appendedAt[expired]) > s.retention {
			expired++
		}
		t.drop(expired)
	}
	return t
}

func (t *topic) end() int64 { return t.firstOffset + int64(len(t.records)) }

// injectedFault returns the fault to inject into a call. s.mu is locked by the
// caller.
func (s *Store) injectedFault(call string, name cell.Topic) Fault {
	if s.faultFor == nil {
		return None
	}
	return s.faultFor(call, name)
}

// Append implements cell.Store. It injects the fault set for "append" calls.
func (s *Store) Append(ctx context.Context, a cell.Append) (int64, error) {
	s.mu.Lock()
	fault := s.injectedFault("append", a.Topic)
	switch fault {
	case Refuse:
		s.mu.Unlock()
		return 0, cell.ErrNotExecuted
	case Late:
		delay := time.Second
		if s.lateness != nil {
			delay = s.lateness()
		}
		time.AfterFunc(delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.appendOfVM(a)
		})
		fallthrough
	case Silent:
		s.mu.Unlock()
		<-ctx.Done()
		return 0, ctx.Err()
	}
	end, err := s.appendOfVM(a)
	s.mu.Unlock()
	if fault == LoseAnswer {
		return 0, ErrLost
	}
	return end, err
}

// Write appends a record of the operator or of a worker, which may be longer than
// cell.MaxRecordBytes.
func (s *Store) Write(name cell.Topic, record cell.KeyValue) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.appendRecords(cell.Append{Topic: name, Records: []cell.KeyValue{record}, ExpectedEnd: -1})
	return err
}

// appendOfVM executes an append of a VM, unless a record of it is too long. Append calls it with
// s.mu locked.
func (s *Store) appendOfVM(a cell.Append) (int64, error) {
	for _, r := range a.Records {
		if 1+len(r.Key)+len(r.Value) > cell.MaxRecordBytes {
			return 0, cell.ErrNotExecuted
		}
	}
	return s.appendRecords(a)
}

// appendRecords executes an append: it checks the fencing token and the expected end, stores the records
// and wakes waiting reads. appendOfVM and Write call it with s.mu locked.
func (s *Store) appendRecords(a cell.Append) (int64, error) {
	t := s.topic(a.Topic)
	if a.Epoch > 0 {
		if end, done, err := t.fence(a); done || err != nil {
			return end, err
		}
	}
	if a.ExpectedEnd >= 0 && a.ExpectedEnd != t.end() {
		return 0, &cell.ConflictError{End: t.end()}
	}
	for _, r := range a.Records {
		t.records, t.appendedAt = append(t.records, r), append(t.appendedAt, time.Now())
		t.newestByKey[r.Key] = r
	}
	if a.Epoch > 0 && len(a.Records) > 0 {
		t.endBySequence[a.Sequence] = t.end()
		delete(t.endBySequence, a.Sequence-rememberedAppends)
		t.nextSequence = a.Sequence + 1
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return t.end(), nil
}

// fence checks the epoch and the sequence of a fenced append before it is executed.
// done is true if there is nothing to append, because the call repeats an earlier
// sequence of the epoch or has no records; end is then its answer.
func (t *topic) fence(a cell.Append) (end int64, done bool, err error) {
	switch {
	case a.Epoch < t.epoch:
		return 0, false, cell.ErrFenced
	case a.Epoch > t.epoch:
		t.epoch, t.nextSequence = a.Epoch, a.Sequence
		t.endBySequence = map[int64]int64{}
	}
	if len(a.Records) == 0 {
		return t.end(), true, nil
	}
	if end, repeated := t.endBySequence[a.Sequence]; repeated {
		return end, true, nil
	}
	if a.Sequence != t.nextSequence {
		return 0, false, &cell.SequenceError{Expected: t.nextSequence}
	}
	return 0, false, nil
}

// Read implements cell.Store. It waits up to wait for a record at or after from and
// injects the fault set for "read" calls.
func (s *Store) Read(ctx context.Context, name cell.Topic, from int64, wait time.Duration) (cell.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		fault := s.injectedFault("read", name)
		t := s.topic(name)
		changed := t.changed
		batch, err := t.read(from)
		s.mu.Unlock()
		switch {
		case fault == Refuse:
			return cell.Batch{}, cell.ErrNotExecuted
		case fault == Silent || fault == Late:
			<-ctx.Done()
			return cell.Batch{}, ctx.Err()
		case err != nil || len(batch.Records) > 0 || wait == 0:
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return cell.Batch{}, ctx.Err()
		}
	}
}

// read returns the records from an offset on, or cell.ErrExpired if they were
// dropped. Read calls it with the store's mutex locked.
func (t *topic) read(from int64) (cell.Batch, error) {
	if from < t.firstOffset {
		return cell.Batch{}, cell.ErrExpired
	}
	batch := cell.Batch{Next: t.end(), End: t.end()}
	if from < t.end() {
		batch.Records = append(batch.Records, t.records[from-t.firstOffset:]...)
	}
	return batch, nil
}

// Newest implements cell.Store. It returns the newest record of each key, in the order
// of the keys, without keys whose newest value is empty. It reads pages, which are no
// snapshot: appends between two of them show in the later one.
func (s *Store) Newest(ctx context.Context, name cell.Topic) (cell.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.injectedFault("newest", name) {
	case Refuse:
		return cell.Batch{}, cell.ErrNotExecuted
	case Silent, LoseAnswer, Late:
		return cell.Batch{}, ErrLost
	}
	batch := cell.Batch{Next: s.topic(name).end(), End: s.topic(name).end()}
	for after := ""; ; {
		page := s.topic(name).newestPage(after)
		batch.Records = append(batch.Records, page...)
		if len(page) < pageItems {
			return batch, ctx.Err()
		}
		after = page[len(page)-1].Key
		s.mu.Unlock()
		if s.pageRead != nil {
			s.pageRead()
		}
		s.mu.Lock()
	}
}

// newestPage returns the newest records of the first pageItems keys after a key that have
// a value. Newest calls it with the store's mutex locked.
func (t *topic) newestPage(after string) []cell.KeyValue {
	var page []cell.KeyValue
	for key, r := range t.newestByKey {
		if key > after && len(r.Value) > 0 {
			page = append(page, r)
		}
	}
	slices.SortFunc(page, func(a, b cell.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return page[:min(pageItems, len(page))]
}
