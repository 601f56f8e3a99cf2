package node

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/standin/cellstore"
)

// recordOf returns the record that EncodeJob makes of a job with one task.
func recordOf(t *testing.T, id cell.JobID) cell.KeyValue {
	t.Helper()
	value, err := cell.EncodeJob(&cell.Job{ID: id, Queue: cell.Queue{Name: "q"}, Steps: []cell.Step{{Count: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	return cell.KeyValue{Key: cell.JobKey(id), Value: value}
}

// drainEvents applies the queued events of a control loop that does not run.
func (c *controlLoop) drainEvents() {
	for len(c.events) > 0 {
		c.machine.Apply(eventTime(), <-c.events)
	}
}

// TestCancellationThatPrecedesItsJobIsKept guards against a job that runs after its
// cancellation was acknowledged: the owner received the cancellation through another VM
// before it had read the submission.
func TestCancellationThatPrecedesItsJobIsKept(t *testing.T) {
	is := is.New(t)
	n := New(Settings{Name: "vm", PeerAddr: "vm:1"}, Ports{Store: &cellstore.Store{}}, io.Discard)
	c := newControlLoop(n, 1)
	n.setLoop(c)
	n.applyJobRecords([]cell.KeyValue{{Key: cell.CancelKey("a"), Value: []byte("1")}})
	n.applyJobRecords([]cell.KeyValue{recordOf(t, "a")})
	c.drainEvents()
	records, _, err := c.machine.TakeBatch()
	is.NoErr(err)
	is.Equal(len(records), 1)
	is.Equal(cell.State(records[0].Value[0]), cell.StateCancelled)
}

// TestSecondOwnershipOfASmallVMKnowsAllJobs guards against jobs that are never run, and
// states that are answered 410, after a VM that is no follower has owned the cell, has
// removed old jobs from its replica and owns the cell again.
func TestSecondOwnershipOfASmallVMKnowsAllJobs(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	write := func(topic cell.Topic, kv cell.KeyValue) {
		_, err := store.Append(ctx, cell.Append{Topic: topic, ExpectedEnd: -1, Records: []cell.KeyValue{kv}})
		is.NoErr(err)
	}
	completed, err := cell.EncodeProgress(&cell.Progress{State: cell.StateCompleted})
	is.NoErr(err)
	write(cell.TopicJobs, recordOf(t, "lasts"))
	write(cell.TopicProgress, cell.KeyValue{Key: cell.ProgressKey("ended"), Value: completed})
	n := New(Settings{Name: "vm", PeerAddr: "vm:1", CPUCores: minFollowerCores / 2}, Ports{Store: store}, io.Discard)
	n.config.Store(&cell.Config{Version: 1})
	for term := range int64(2) {
		c := newControlLoop(n, term+1)
		is.NoErr(n.takeOver(ctx, c))
		if _, known := n.replica.state("ended"); !known {
			t.Errorf("term %d: the state of the job that has ended is not known", term+1)
		}
		if tasks := c.machine.Load().WaitingTasks; tasks != 1 {
			t.Errorf("term %d: %d tasks of the unfinished job wait", term+1, tasks)
		}
		n.setLoop(nil)
		n.replica.forgetBefore(bootTime())
	}
}

// newFollower returns a follower that has read topics jobs and progress.
func newFollower(t *testing.T, store cell.Store) *Node {
	t.Helper()
	n := New(Settings{Name: "vm", PeerAddr: "vm:1", CPUCores: 1}, Ports{Store: store}, io.Discard)
	for _, reader := range []*topicReader{n.jobsReader, n.progressReader} {
		if err := reader.readToEnd(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	return n
}

// TestFollowerThatCannotReadProvesNoAbsence guards against 410 for an accepted job: a VM
// that does not know all jobs asks the followers while there is no owner, and one of them
// has not been able to read the store since the job was accepted.
func TestFollowerThatCannotReadProvesNoAbsence(t *testing.T) {
	is := is.New(t)
	n := newFollower(t, &cellstore.Store{})
	ask := func() bool {
		resp, err := (&rpcServer{node: n}).State(context.Background(), &cellpb.StateRequest{Job: "a"})
		is.NoErr(err)
		is.Equal(resp.State, "")
		return resp.Follows
	}
	is.True(ask())
	n.jobsReader.lastSentAt.Store(int64(bootTime() - 3*time.Second))
	is.True(!ask())
}

// TestEndedJobIsNotAbsentAfterALoad guards against 410 for a job that ended while a VM
// loaded the topics: its submission was deleted before the load of the jobs, and its
// state was recorded after that of the progress.
func TestEndedJobIsNotAbsentAfterALoad(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	write := func(topic cell.Topic, kv cell.KeyValue) {
		_, err := store.Append(ctx, cell.Append{Topic: topic, ExpectedEnd: -1, Records: []cell.KeyValue{kv}})
		is.NoErr(err)
	}
	n := New(Settings{Name: "vm", PeerAddr: "vm:1", CPUCores: 1}, Ports{Store: store}, io.Discard)
	is.NoErr(n.progressReader.readToEnd(ctx))
	completed, err := cell.EncodeProgress(&cell.Progress{State: cell.StateCompleted})
	is.NoErr(err)
	write(cell.TopicJobs, recordOf(t, "a"))
	write(cell.TopicProgress, cell.KeyValue{Key: cell.ProgressKey("a"), Value: completed})
	write(cell.TopicJobs, cell.KeyValue{Key: cell.JobKey("a")})
	is.NoErr(n.jobsReader.readToEnd(ctx))
	_, known, err := n.State(ctx, "a")
	is.True(known || err != nil) // no 410
	resp, err := (&rpcServer{node: n}).State(ctx, &cellpb.StateRequest{Job: "a"})
	is.NoErr(err)
	is.True(resp.State != "" || !resp.Follows)
	is.NoErr(n.progressReader.readToEnd(ctx))
	state, known, err := n.State(ctx, "a")
	is.NoErr(err)
	is.True(known)
	is.Equal(state, cell.StateCompleted)
}

// TestDeposedOwnerDeniesNoJob guards against 410 for a job that ended under another owner, from a VM that has loaded the jobs again but does not know yet that it was deposed.
func TestDeposedOwnerDeniesNoJob(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	n := newFollower(t, store)
	n.heartbeatAt.Store(int64(bootTime()))
	n.setLoop(newControlLoop(n, 1))
	completed, err := cell.EncodeProgress(&cell.Progress{State: cell.StateCompleted})
	is.NoErr(err)
	_, err = store.Append(ctx, cell.Append{Topic: cell.TopicProgress, ExpectedEnd: -1, Records: []cell.KeyValue{{Key: cell.ProgressKey("a"), Value: completed}}})
	is.NoErr(err)
	is.NoErr(n.jobsReader.loadNewest(ctx)) // the submission was deleted, and its record has expired
	isDenied := func() bool {
		_, known, err := n.State(ctx, "a")
		resp, rpcErr := (&rpcServer{node: n}).State(ctx, &cellpb.StateRequest{Job: "a"})
		is.NoErr(rpcErr)
		is.Equal(!known && err == nil, resp.Follows && resp.State == "")
		return resp.Follows
	}
	is.True(!isDenied())
	n.heartbeatAt.Store(int64(bootTime()))
	is.True(isDenied()) // an owner after the load has recorded all states itself
}

// TestExpiredJobIsNotTakenOver guards against a job that runs again after its state has
// expired: its submission was appended once more after it had been deleted, by a VM that
// did not know the job or by an append that the store executed late.
func TestExpiredJobIsNotTakenOver(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	write := func(topic cell.Topic, kv cell.KeyValue) {
		_, err := store.Append(ctx, cell.Append{Topic: topic, ExpectedEnd: -1, Records: []cell.KeyValue{kv}})
		is.NoErr(err)
	}
	completed, err := cell.EncodeProgress(&cell.Progress{State: cell.StateCompleted})
	is.NoErr(err)
	write(cell.TopicJobs, recordOf(t, "a"))
	write(cell.TopicProgress, cell.KeyValue{Key: cell.ProgressKey("a"), Value: completed})
	write(cell.TopicJobs, cell.KeyValue{Key: cell.JobKey("a")})
	write(cell.TopicJobs, recordOf(t, "a"))
	n := newFollower(t, store)
	for range 3 {
		n.deleteExpired(ctx, bootTime()+time.Hour)
		is.NoErr(n.jobsReader.readToEnd(ctx))
	}
	_, known := n.replica.state("a")
	is.True(!known)
	restarted := newFollower(t, store)
	is.Equal(len(slices.Collect(restarted.replica.unfinishedJobs(func(cell.JobID, error) {}))), 0)
}

// TestTakeoverOfASmallVMKeepsWhatItLoads guards against tasks that run twice: a VM that is
// no follower removed the progress that it had just loaded from its replica, because it did
// not own the cell yet and had not loaded the submissions.
func TestTakeoverOfASmallVMKeepsWhatItLoads(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	store := &cellstore.Store{}
	write := func(topic cell.Topic, kv cell.KeyValue) {
		_, err := store.Append(ctx, cell.Append{Topic: topic, ExpectedEnd: -1, Records: []cell.KeyValue{kv}})
		is.NoErr(err)
	}
	value, err := cell.EncodeProgress(&cell.Progress{State: cell.StateRunning, Steps: []cell.StepProgress{
		{LastRun: 1, OpenRuns: []cell.OpenRun{{Run: 1, Worker: "w", Born: 1}}},
	}})
	is.NoErr(err)
	write(cell.TopicConfig, cell.KeyValue{Key: "config", Value: []byte(`{"Version":1}`)})
	write(cell.TopicJobs, recordOf(t, "a"))
	write(cell.TopicProgress, cell.KeyValue{Key: cell.ProgressKey("a"), Value: value})
	n := New(Settings{Name: "vm", PeerAddr: "127.0.0.1:0", CPUCores: minFollowerCores / 2}, Ports{Store: store, Decoder: soakDecoder{}}, io.Discard)
	store.SetFault(func(call string, topic cell.Topic) cellstore.Fault {
		if call == "newest" && topic == cell.TopicJobs {
			n.collectOnce(ctx)
		}
		return cellstore.None
	})
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	for n.activeLoop() == nil {
		time.Sleep(time.Millisecond)
	}
	store.SetFault(nil)
	jobs := slices.Collect(n.replica.unfinishedJobs(func(cell.JobID, error) {}))
	cancel()
	is.NoErr(<-done)
	is.Equal(len(jobs), 1)
	is.True(jobs[0].progress != nil)
}

// TestWorkerRemovedDuringAGapIsRemoved guards against runs that wait on a worker that has
// left: its entry was deleted, and the store dropped the deletion before the owner read it.
func TestWorkerRemovedDuringAGapIsRemoved(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	write := func(key, value string) {
		_, err := store.Append(ctx, cell.Append{Topic: cell.TopicWorkers, ExpectedEnd: -1, Records: []cell.KeyValue{{Key: key, Value: []byte(value)}}})
		is.NoErr(err)
	}
	n := New(Settings{Name: "vm", PeerAddr: "vm:1"}, Ports{Store: store, Decoder: soakDecoder{}}, io.Discard)
	tracker := newWorkerTracker(ctx, n, newControlLoop(n, 1))
	write("left", `{"ID":"left","Service":"s","Addr":"a:1"}`)
	write("stays", `{"ID":"stays","Service":"s","Addr":"a:2"}`)
	is.NoErr(tracker.reader.readToEnd(ctx))
	is.Equal(len(tracker.workers), 2)
	write("left", "")
	write("new", `{"ID":"new","Service":"s","Addr":"a:3"}`)
	store.Forget(cell.TopicWorkers)
	is.NoErr(tracker.reader.readToEnd(ctx))
	_, known := tracker.workers["left"]
	is.True(!known)
	is.Equal(len(tracker.workers), 2)
}

// slowAnswerStore executes an append at once and answers after delay, or not at all if the
// caller does not wait.
type slowAnswerStore struct {
	cell.Store
	delay time.Duration
}

func (s slowAnswerStore) Append(ctx context.Context, a cell.Append) (int64, error) {
	end, err := s.Store.Append(ctx, a)
	sleep(ctx, s.delay)
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	return end, err
}

// TestSubmissionWithoutAnOwnerIsAnsweredInASlowStore guards against accepted jobs without an
// answer: the wait for an owner left less time for the append than a slow store takes.
func TestSubmissionWithoutAnOwnerIsAnsweredInASlowStore(t *testing.T) {
	is := is.New(t)
	const latency = 350 * time.Millisecond
	n := New(Settings{Name: "vm", PeerAddr: "vm:1"}, Ports{Store: slowAnswerStore{&cellstore.Store{}, latency}}, io.Discard)
	n.storeRouter.latency.Store(int64(latency))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go n.committer.run(ctx)
	is.NoErr(n.committer.append(ctx, []cell.KeyValue{recordOf(t, "a")}))
}
