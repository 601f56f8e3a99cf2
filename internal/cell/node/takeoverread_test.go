package node

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/owner"
	"gypsumwinch/standin/cellstore"
)

// await waits until a condition holds, and fails the test after a time that is far above what it
// takes.
func await(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition does not hold")
		}
	}
}

// TestNewOwnerReadsCancellationsAtOnce guards against tasks of a cancelled job that run on while a
// new owner waits for as long as a follower does between two reads of the jobs.
func TestNewOwnerReadsCancellationsAtOnce(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	store := &cellstore.Store{}
	n := New(Settings{Name: "vm", PeerAddr: "10.0.0.1:1", CPUCores: 1}, Ports{Store: store, Decoder: soakDecoder{}}, io.Discard)
	go n.jobsReader.poll(ctx, func() time.Duration { return 0 }, func() time.Duration { return time.Hour })
	await(t, func() bool { return n.jobsReader.lastReadAt.Load() > 0 })
	job := recordOf(t, "a")
	_, err := store.Append(ctx, cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: []cell.KeyValue{job, {Key: cell.CancelKey("a"), Value: []byte{'1'}}}})
	is.NoErr(err)
	n.config.Store(&cell.Config{Version: 1})
	c := newControlLoop(n, 1)
	c.loadState()
	await(t, func() bool { return len(c.events) == 2 })
	<-c.events
	_, isCancel := (<-c.events).(owner.JobCancelled)
	is.True(isCancel)
}

// silentListStore does not answer reads of the list of workers while it is silent, also not later.
type silentListStore struct {
	cell.Store
	isSilent atomic.Bool
	calls    atomic.Int32
}

func (s *silentListStore) Newest(ctx context.Context, topic cell.Topic) (cell.Batch, error) {
	if topic == cell.TopicWorkers && s.isSilent.Load() {
		s.calls.Add(1)
		<-ctx.Done()
		return cell.Batch{}, ctx.Err()
	}
	return s.Store.Newest(ctx, topic)
}

// TestListOfWorkersIsReadSoonAfterAnOutage guards against an owner without workers for seconds after
// an outage, since the read that it made in the outage is never answered.
func TestListOfWorkersIsReadSoonAfterAnOutage(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	store := &silentListStore{Store: &cellstore.Store{}}
	_, err := store.Append(ctx, cell.Append{Topic: cell.TopicWorkers, ExpectedEnd: -1, Records: []cell.KeyValue{{Key: "w", Value: []byte(`{"ID":"w","Service":"s","Addr":"10.0.0.9:1"}`)}}})
	is.NoErr(err)
	store.isSilent.Store(true)
	n := New(Settings{Name: "vm", PeerAddr: "10.0.0.1:1", CPUCores: 1}, Ports{Store: store, Decoder: soakDecoder{}}, io.Discard)
	n.storeRouter.newestTimeout = time.Hour
	c := newControlLoop(n, 1)
	go n.pollWorkers(ctx, c)
	await(t, func() bool { return store.calls.Load() > 0 })
	store.isSilent.Store(false)
	await(t, func() bool { return len(c.events) == 1 })
}
