package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/standin/cellstore"
)

// silentNewest is a store whose first read of the newest records gets no answer.
type silentNewest struct {
	cell.Store
	calls atomic.Int32
}

func (s *silentNewest) Newest(ctx context.Context, topic cell.Topic) (cell.Batch, error) {
	if s.calls.Add(1) == 1 {
		<-ctx.Done()
		return cell.Batch{}, ctx.Err()
	}
	return s.Store.Newest(ctx, topic)
}

// TestFirstReadIsRepeated guards a VM that starts while the store does not answer
// and no other VM is known: its first read of a topic must end and be repeated, or
// the VM never knows the jobs.
func TestFirstReadIsRepeated(t *testing.T) {
	is := is.New(t)
	router := newRouter(&silentNewest{Store: &cellstore.Store{}})
	router.newestTimeout = 50 * time.Millisecond
	reader := &topicReader{store: router, topic: cell.TopicJobs, apply: func([]cell.KeyValue) {}, wakeup: make(chan struct{}, 1), metrics: newMetrics(func() float64 { return 0 }), now: bootTime, log: func(string, ...any) {}}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	go reader.poll(ctx, func() time.Duration { return 0 }, func() time.Duration { return time.Millisecond })
	for !reader.isLoaded.Load() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	is.True(reader.isLoaded.Load())
}

// emptyStore has no topic.
type emptyStore struct{ cell.Store }

func (emptyStore) Newest(context.Context, cell.Topic) (cell.Batch, error) { return cell.Batch{}, nil }

func (emptyStore) Read(context.Context, cell.Topic, int64, time.Duration) (cell.Batch, error) {
	return cell.Batch{}, cell.ErrExpired
}

// TestLoadThatEndsBeforeTheReadPositionRemovesNothing guards against a wrong answer that a topic does not exist, which would delete all jobs of the replica.
func TestLoadThatEndsBeforeTheReadPositionRemovesNothing(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	_, err := store.Append(ctx, cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: []cell.KeyValue{recordOf(t, "a")}})
	is.NoErr(err)
	n := newFollower(t, store)
	n.jobsReader.store = emptyStore{store}
	_, err = n.jobsReader.read(ctx, 0)
	is.True(err != nil)
	_, known := n.replica.state("a")
	is.True(known)
}
