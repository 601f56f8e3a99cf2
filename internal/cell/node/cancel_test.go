package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/internal/cell/election"
	"gypsumwinch/standin/cellstore"
)

// TestCancellationsAreLogged guards against a complaint about a cancelled job whose logs do not
// say whether a VM accepted or denied its cancellation, and what a denial rested on.
func TestCancellationsAreLogged(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var out bytes.Buffer
	n := New(Settings{Name: "vm", PeerAddr: "vm:1", CPUCores: 1}, Ports{Store: &cellstore.Store{}}, &out)
	is.NoErr(n.jobsReader.readToEnd(ctx))
	is.NoErr(n.progressReader.readToEnd(ctx))
	go n.committer.run(ctx)
	n.applyJobRecords([]cell.KeyValue{recordOf(t, "a")})
	for id, wantKnown := range map[cell.JobID]bool{"a": true, "b": false} {
		known, err := n.Cancel(ctx, id)
		is.NoErr(err)
		is.Equal(known, wantKnown)
	}
	n.logWriter.flush(time.Minute)
	for _, want := range []string{
		`"@message":"cancellation is accepted","@module":"vm","@timestamp":`, `"id":"a","source":"replica"`,
		`"@message":"cancellation is denied","@module":"vm","@timestamp":`, `"id":"b","source":"unread part of the topic"`,
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the log has no %s: %s", want, out.String())
		}
	}
}

// newVMBesideFollower returns a VM that is no follower, and knows only a follower. It appends
// what its callers ask for.
func newVMBesideFollower(t *testing.T, store cell.Store, follower *Node) *Node {
	t.Helper()
	server := httptest.NewServer(cellpb.NewCellServer(&rpcServer{node: follower}))
	t.Cleanup(server.Close)
	n := New(Settings{Name: "small", PeerAddr: "10.0.0.1:1", CPUCores: 0.1}, Ports{Store: store}, io.Discard)
	n.peerClients["10.0.0.2:1"] = cellpb.NewCellProtobufClient(server.URL, server.Client())
	n.addPeer("10.0.0.2:1")
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go n.committer.run(ctx)
	return n
}

// appendJob appends a submission as another VM does that accepts the job.
func appendJob(t *testing.T, store cell.Store, id cell.JobID) {
	t.Helper()
	_, err := store.Append(context.Background(), cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: []cell.KeyValue{recordOf(t, id)}})
	if err != nil {
		t.Fatal(err)
	}
}

// TestCancellationOfAnAcceptedJobIsNotDenied guards against a job that runs on because its
// cancellation was answered with 410: a VM that does not know all jobs took the word of a
// follower whose last read was older than the acceptance of the job.
func TestCancellationOfAnAcceptedJobIsNotDenied(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	n := newVMBesideFollower(t, store, newFollower(t, store))
	appendJob(t, store, "a")
	known, err := n.Cancel(context.Background(), "a")
	is.NoErr(err)
	if !known {
		t.Error("the cancellation of an accepted job was denied")
	}
	is.Equal(store.Len(cell.TopicJobs), int64(2)) // submission and cancellation
}

// TestCancellationOfAnUnknownJobIsDenied guards against callers that come back for ever with
// the cancellation of a job that does not exist.
func TestCancellationOfAnUnknownJobIsDenied(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	n := newVMBesideFollower(t, store, newFollower(t, store))
	known, err := n.Cancel(context.Background(), "a")
	is.NoErr(err)
	is.True(!known)
}

// TestCancellationIsNotDeniedWithoutTheStore guards against a denial by a follower that cannot
// read what was submitted since its last read.
func TestCancellationIsNotDeniedWithoutTheStore(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	n := newVMBesideFollower(t, store, newFollower(t, store))
	appendJob(t, store, "a")
	store.SetFault(func(string, cell.Topic) cellstore.Fault { return cellstore.Refuse })
	_, err := n.Cancel(context.Background(), "a")
	var notExecuted *cell.NotExecutedError
	is.True(errors.As(err, &notExecuted))
	is.True(notExecuted.RetryAfter > 0)
}

// askedPeer is a VM that answers State requests with answer.
type askedPeer struct {
	cellpb.Cell
	answer func(ctx context.Context) *cellpb.StateResponse
}

func (p askedPeer) State(ctx context.Context, _ *cellpb.StateRequest) (*cellpb.StateResponse, error) {
	return p.answer(ctx), nil
}

func (askedPeer) Notify(context.Context, *cellpb.NotifyRequest) (*cellpb.NotifyResponse, error) {
	return &cellpb.NotifyResponse{}, nil
}

// TestCancellationOfAJobThatIsJustReadIsNotDenied guards against a job that runs on since the
// VM has read it after it looked for it in its replica, but before it read the unread part of the topic.
func TestCancellationOfAJobThatIsJustReadIsNotDenied(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := &cellstore.Store{}
	n := newFollower(t, store)
	go n.committer.run(ctx)
	n.peerClients["10.0.0.2:1"] = askedPeer{answer: func(ctx context.Context) *cellpb.StateResponse {
		appendJob(t, store, "a")
		if err := n.jobsReader.readToEnd(ctx); err != nil {
			t.Error(err)
		}
		return &cellpb.StateResponse{}
	}}
	n.setOwnerFromPeer(election.OwnerRecord{Term: 1, Node: "owner", Addr: "10.0.0.2:1", Instance: "i"})
	known, err := n.Cancel(ctx, "a")
	is.NoErr(err)
	is.True(known)
}

// TestFollowersHaveTimeToReadTheStore guards against cancellations that a small VM refuses for as long
// as the store is slow: the followers need its latency to read what is unread.
func TestFollowersHaveTimeToReadTheStore(t *testing.T) {
	is := is.New(t)
	const storeLatency = time.Hour
	n := newVMBesideFollower(t, &cellstore.Store{}, newFollower(t, &cellstore.Store{}))
	n.storeRouter.latency.Store(int64(storeLatency))
	var given time.Duration
	n.peerClients["10.0.0.2:1"] = askedPeer{answer: func(ctx context.Context) *cellpb.StateResponse {
		deadline, _ := ctx.Deadline()
		given = time.Until(deadline)
		return &cellpb.StateResponse{Follows: true}
	}}
	_, err := n.Cancel(context.Background(), "a")
	is.NoErr(err)
	is.True(given > storeLatency)
}

// TestCancellationOfAnEndedJobIsNotRecorded guards against records of cancellations that nothing
// deletes: the job has ended, and its submission may be deleted already.
func TestCancellationOfAnEndedJobIsNotRecorded(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := &cellstore.Store{}
	appendJob(t, store, "a")
	n := newFollower(t, store)
	go n.committer.run(ctx)
	n.replica.setState("a", cell.StateCompleted)
	known, err := n.Cancel(ctx, "a")
	is.NoErr(err)
	is.True(known)
	is.Equal(store.Len(cell.TopicJobs), int64(1)) // the submission
}

// TestCancellationIsTakenOver guards against a cancelled job that runs on because its cancellation was
// recorded while nobody owned the cell: the new owner reads it with the job.
func TestCancellationIsTakenOver(t *testing.T) {
	is := is.New(t)
	n := New(Settings{Name: "vm", PeerAddr: "vm:1", CPUCores: 1}, Ports{Store: &cellstore.Store{}}, io.Discard)
	n.applyJobRecords([]cell.KeyValue{recordOf(t, "a"), {Key: cell.CancelKey("a"), Value: []byte{'1'}}})
	loop := newControlLoop(n, 1)
	loop.loadState()
	records, _, err := loop.machine.TakeBatch()
	is.NoErr(err)
	is.Equal(len(records), 1)
	progress, err := cell.DecodeProgress(records[0].Value)
	is.NoErr(err)
	is.Equal(progress.State, cell.StateCancelled)
}
