package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/election"
	"gypsumwinch/standin/cellstore"
)

// TestPanicInTheTakeoverEndsTheOwnership guards against heartbeats of an ownership that go on after it, beside the next claim, and against jobs that are passed to its control loop, which does not run.
func TestPanicInTheTakeoverEndsTheOwnership(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	n := New(Settings{Name: "vm", PeerAddr: "vm:1", CPUCores: 1}, Ports{Store: store}, io.Discard)
	n.progressReader.apply = func([]cell.KeyValue) { panic("unexpected state") }
	term, err := n.election.Campaign(ctx)
	is.NoErr(err)
	is.NoErr(n.panics.contain("campaign", func() { n.runOwnership(ctx, term) })) // runs on the goroutine of campaign
	is.True(n.activeLoop() == nil)
	is.True(n.election.LastRecord().Resigned)
}

// TestPanicInTheHeartbeatsEndsTheOwnership guards against a process that ends by a panic in the heartbeats, and against an ownership that goes on without them.
func TestPanicInTheHeartbeatsEndsTheOwnership(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	n := New(Settings{Name: "vm", PeerAddr: "vm:1", CPUCores: 1}, Ports{Store: &cellstore.Store{}}, io.Discard)
	term, err := n.election.Campaign(ctx)
	is.NoErr(err)
	broken := newControlLoop(n, term)
	close(broken.events)
	n.setLoop(broken) // a heartbeat is reported to it; the takeover waits for a configuration
	n.runOwnership(ctx, term)
	is.True(n.activeLoop() == nil)
	is.True(n.election.LastRecord().Resigned)
}

// fencedStore refuses to fence the progress for an owner.
type fencedStore struct{ cell.Store }

func (s fencedStore) Append(ctx context.Context, a cell.Append) (int64, error) {
	if a.Topic == cell.TopicProgress {
		return 0, cell.ErrFenced
	}
	return s.Store.Append(ctx, a)
}

// TestOwnerThatCannotTakeOverResigns guards against a VM that claims the cell again and again although it cannot load the state, before others may claim.
func TestOwnerThatCannotTakeOverResigns(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	n := New(Settings{Name: "vm", PeerAddr: "vm:1"}, Ports{Store: fencedStore{store}}, io.Discard)
	term, err := n.election.Campaign(ctx)
	is.NoErr(err)
	n.runOwnership(ctx, term)
	batch, err := store.Newest(ctx, cell.TopicOwner)
	is.NoErr(err)
	var newest election.OwnerRecord
	is.NoErr(json.Unmarshal(batch.Records[0].Value, &newest))
	is.True(newest.Resigned)
}

// unreadableStore serves no reads of the progress while isUnreadable, and no appends while isDown.
type unreadableStore struct {
	cell.Store
	isUnreadable, isDown atomic.Bool
}

func (s *unreadableStore) Append(ctx context.Context, a cell.Append) (int64, error) {
	if s.isDown.Load() {
		return 0, cell.ErrNotExecuted
	}
	return s.Store.Append(ctx, a)
}

func (s *unreadableStore) Newest(ctx context.Context, topic cell.Topic) (cell.Batch, error) {
	if topic == cell.TopicProgress && s.isUnreadable.Load() {
		return cell.Batch{}, cell.ErrNotExecuted
	}
	return s.Store.Newest(ctx, topic)
}

// TestTakeoverThatFailsIsGivenUpOnlyWhileHeartbeatsHoldTheCell guards against a VM that keeps the cell although it cannot load the state, and against one that gives it up, and may not claim it for a while, because the store answers nobody.
func TestTakeoverThatFailsIsGivenUpOnlyWhileHeartbeatsHoldTheCell(t *testing.T) {
	for _, isDown := range []bool{false, true} {
		t.Run(fmt.Sprint("store down ", isDown), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			store := &unreadableStore{Store: &cellstore.Store{}}
			store.isUnreadable.Store(true)
			n := New(Settings{Name: "vm", PeerAddr: "vm:1", CPUCores: 1}, Ports{Store: store, Workers: &soakFleet{}, Advisor: soakAdvisor{}, Decoder: soakDecoder{}}, io.Discard)
			n.config.Store(&cell.Config{Version: 1})
			n.takeoverTimeout = 3 * time.Second
			term, err := n.election.Campaign(ctx)
			is.NoErr(err)
			done := make(chan struct{})
			go func() {
				defer close(done)
				n.runOwnership(ctx, term)
			}()
			store.isDown.Store(isDown)
			if !isDown {
				<-done
				is.True(n.election.LastRecord().Resigned)
				return
			}
			sleep(ctx, 2*n.takeoverTimeout)
			store.isDown.Store(false)
			store.isUnreadable.Store(false)
			waitFor(t, "the end of the takeover", func() bool { return n.activeLoop() != nil })
			is.Equal(n.activeLoop().term, term)
			cancel()
			<-done
		})
	}
}

// TestTakeoverDoesNotRunADeletedJob guards against a completed job that runs again on a VM that has read neither its end nor its deletion.
func TestTakeoverDoesNotRunADeletedJob(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	write := func(topic cell.Topic, records ...cell.KeyValue) {
		_, err := store.Append(ctx, cell.Append{Topic: topic, Records: records, ExpectedEnd: -1})
		is.NoErr(err)
	}
	write(cell.TopicJobs, recordOf(t, "a"))
	n := New(Settings{Name: "vm", PeerAddr: "vm:1", CPUCores: 1}, Ports{Store: store}, io.Discard)
	n.config.Store(&cell.Config{Version: 1})
	is.NoErr(n.progressReader.readToEnd(ctx))
	is.NoErr(n.jobsReader.readToEnd(ctx))
	completed := progressRecord(t, "a", cell.Progress{State: cell.StateCompleted})
	write(cell.TopicProgress, cell.KeyValue{Key: cell.ProgressKey("a"), Value: completed.Value})
	write(cell.TopicJobs, cell.KeyValue{Key: cell.JobKey("a")})
	write(cell.TopicProgress, cell.KeyValue{Key: cell.ProgressKey("a")})
	write(cell.TopicJobs, recordOf(t, "b"))
	store.Forget(cell.TopicProgress)
	store.Forget(cell.TopicJobs)
	c := newControlLoop(n, 1)
	is.NoErr(n.takeOver(ctx, c))
	_, isKnown := c.machine.State("a")
	is.True(!isKnown)
	_, isKnown = c.machine.State("b")
	is.True(isKnown)
}

// TestFollowerForgetsAJobWhoseEndItHasMissed guards against a job that a follower counts as waiting without end: the records of its end and of their deletion had expired before the follower read them.
func TestFollowerForgetsAJobWhoseEndItHasMissed(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	_, err := store.Append(ctx, cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: []cell.KeyValue{recordOf(t, "a")}})
	is.NoErr(err)
	n := newFollower(t, store)
	_, err = store.Append(ctx, cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: []cell.KeyValue{{Key: cell.JobKey("a")}}})
	is.NoErr(err)
	store.Forget(cell.TopicJobs)
	is.NoErr(n.jobsReader.readToEnd(ctx))
	n.collectOnce(ctx)
	pending, err := n.Pending("q")
	is.NoErr(err)
	is.Equal(pending, 1) // its final state may not have been read yet
	is.NoErr(n.progressReader.readToEnd(ctx))
	n.collectOnce(ctx)
	pending, err = n.Pending("q")
	is.NoErr(err)
	is.Equal(pending, 0)
	_, known := n.replica.state("a")
	is.True(!known)
}

// lateNewestStore calls accept after it has read the newest records, before it returns them.
type lateNewestStore struct {
	cell.Store
	accept func()
}

func (s lateNewestStore) Newest(ctx context.Context, topic cell.Topic) (cell.Batch, error) {
	batch, err := s.Store.Newest(ctx, topic)
	s.accept()
	return batch, err
}

// TestLoadKeepsAJobThatIsAcceptedMeanwhile guards against an accepted job that is taken for a deleted one, since it is not among the newest records which were read before.
func TestLoadKeepsAJobThatIsAcceptedMeanwhile(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	n := newFollower(t, store)
	accept := func() {
		kv := []cell.KeyValue{recordOf(t, "a")}
		_, err := store.Append(ctx, cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: kv})
		is.NoErr(err)
		n.applyJobRecords(kv)
	}
	n.jobsReader.store = lateNewestStore{store, accept}
	is.NoErr(n.jobsReader.loadNewest(ctx))
	jobs := slices.Collect(n.replica.unfinishedJobs(func(cell.JobID, error) { t.Error("unreadable") }))
	is.Equal(len(jobs), 1)
}
