// Package cellstore is a stand-in for the platform's store as the cell's
// packages use it: topics with offsets, conditional and fenced appends, and the
// faults that the platform names.
package cellstore

import (
	"context"
	"errors"
	"sync"
	"time"

	"gypsumwinch/internal/cell"
)

// ErrLost is the error of a call whose answer was lost.
var ErrLost = errors.New("the answer was lost")

// Store is the stand-in. The zero value is empty and sound.
type Store struct {
	mu     sync.Mutex
	topics map[cell.Topic]*topic
	fault  func(call string, t cell.Topic) Fault
}

// Fault is what befalls a call.
type Fault int

// Faults of a call.
const (
	None Fault = iota
	// Refuse refuses the call; nothing is done.
	Refuse
	// LoseAnswer executes the call and loses its answer.
	LoseAnswer
	// Silent neither executes nor answers the call.
	Silent
)

type topic struct {
	first   int64
	records []cell.KeyValue
	newest  map[string]cell.KeyValue
	order   []string
	epoch   int64
	// next is the sequence expected next, answers those given to the last one.
	next    int64
	answers map[int64]int64
	changed chan struct{}
}

// SetFault sets what befalls the calls from now on; nil for nothing.
func (s *Store) SetFault(f func(call string, t cell.Topic) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Forget drops all records but the newest of each key.
func (s *Store) Forget(name cell.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
}

// Len returns the end of a topic.
func (s *Store) Len(name cell.Topic) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).end()
}

func (s *Store) topic(name cell.Topic) *topic {
	if s.topics == nil {
		s.topics = map[cell.Topic]*topic{}
	}
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]cell.KeyValue{}, answers: map[int64]int64{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// befall returns the fault of a call.
func (s *Store) befall(call string, name cell.Topic) Fault {
	if s.fault == nil {
		return None
	}
	return s.fault(call, name)
}

// Append implements cell.Store.
func (s *Store) Append(ctx context.Context, a cell.Append) (int64, error) {
	s.mu.Lock()
	fault := s.befall("append", a.Topic)
	switch fault {
	case Refuse:
		s.mu.Unlock()
		return 0, cell.ErrNotExecuted
	case Silent:
		s.mu.Unlock()
		<-ctx.Done()
		return 0, ctx.Err()
	}
	end, err := s.append(a)
	s.mu.Unlock()
	if fault == LoseAnswer {
		return 0, ErrLost
	}
	return end, err
}

func (s *Store) append(a cell.Append) (int64, error) {
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
		t.records = append(t.records, r)
		if _, known := t.newest[r.Key]; !known {
			t.order = append(t.order, r.Key)
		}
		t.newest[r.Key] = r
	}
	if a.Epoch > 0 && len(a.Records) > 0 {
		t.answers[a.Sequence] = t.end()
		t.next = a.Sequence + 1
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return t.end(), nil
}

// fence checks epoch and sequence; done is true for a repeated append.
func (t *topic) fence(a cell.Append) (end int64, done bool, err error) {
	switch {
	case a.Epoch < t.epoch:
		return 0, false, cell.ErrFenced
	case a.Epoch > t.epoch:
		t.epoch, t.next = a.Epoch, a.Sequence
		t.answers = map[int64]int64{}
	}
	if len(a.Records) == 0 {
		return t.end(), true, nil
	}
	if end, repeated := t.answers[a.Sequence]; repeated {
		return end, true, nil
	}
	if a.Sequence != t.next {
		return 0, false, &cell.SequenceError{Expected: t.next}
	}
	return 0, false, nil
}

// Read implements cell.Store.
func (s *Store) Read(ctx context.Context, name cell.Topic, from int64, wait time.Duration) (cell.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		fault := s.befall("read", name)
		t := s.topic(name)
		changed := t.changed
		batch, err := t.read(from)
		s.mu.Unlock()
		switch {
		case fault == Refuse:
			return cell.Batch{}, cell.ErrNotExecuted
		case fault == Silent:
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

func (t *topic) read(from int64) (cell.Batch, error) {
	if from < t.first {
		return cell.Batch{}, cell.ErrExpired
	}
	batch := cell.Batch{Next: t.end(), End: t.end()}
	if from < t.end() {
		batch.Records = append(batch.Records, t.records[from-t.first:]...)
	}
	return batch, nil
}

// Newest implements cell.Store.
func (s *Store) Newest(ctx context.Context, name cell.Topic) (cell.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.befall("newest", name) {
	case Refuse:
		return cell.Batch{}, cell.ErrNotExecuted
	case Silent, LoseAnswer:
		return cell.Batch{}, ErrLost
	}
	t := s.topic(name)
	batch := cell.Batch{Next: t.end(), End: t.end()}
	for _, key := range t.order {
		if r := t.newest[key]; len(r.Value) > 0 {
			batch.Records = append(batch.Records, r)
		}
	}
	return batch, ctx.Err()
}
