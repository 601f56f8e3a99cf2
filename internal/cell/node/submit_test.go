package node

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/internal/cell/election"
	"gypsumwinch/standin/cellstore"
)

// fakeOwner is an owner that answers submissions with the submit function.
type fakeOwner struct {
	cellpb.Cell
	submit func(ctx context.Context, records []cell.KeyValue) (cellpb.Outcome, error)
}

func (f *fakeOwner) Submit(ctx context.Context, req *cellpb.SubmitRequest) (*cellpb.SubmitResponse, error) {
	outcome, err := f.submit(ctx, recordsFromProto(req.Records))
	return &cellpb.SubmitResponse{Outcome: outcome}, err
}

func (f *fakeOwner) Notify(context.Context, *cellpb.NotifyRequest) (*cellpb.NotifyResponse, error) {
	return &cellpb.NotifyResponse{}, nil
}

const ownerAddr = "owner:1"

// newNodeWithOwner returns a node that has just received an answer from the
// owner.
func newNodeWithOwner(store cell.Store, owner cellpb.Cell) *Node {
	n := New(Settings{Name: "vm", PeerAddr: "vm:1"}, Ports{Store: store}, io.Discard)
	n.peerClients[ownerAddr] = owner
	n.ownerRecord.Store(&election.OwnerRecord{Term: 1, Node: "owner", Addr: ownerAddr, Instance: "o-1"})
	n.ownerReply.Store(&ownerReply{receivedAt: bootTime(), instance: "o-1", isHealthy: true})
	return n
}

// TestSubmissionsGoThroughTheOwner guards against VMs that append their own
// submissions, which would queue up in a slow store.
func TestSubmissionsGoThroughTheOwner(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	got := 0
	n := newNodeWithOwner(store, &fakeOwner{submit: func(_ context.Context, records []cell.KeyValue) (cellpb.Outcome, error) {
		got += len(records)
		return cellpb.Outcome_DONE, nil
	}})
	is.NoErr(n.commit(context.Background(), submissionRecords("a")))
	is.Equal(got, 1)
	is.Equal(store.Len(cell.TopicJobs), int64(0))
}

// TestSubmissionSurvivesOwnerFailure guards against jobs that are refused
// because the owner has failed or cannot append, although the store answers
// this VM.
func TestSubmissionSurvivesOwnerFailure(t *testing.T) {
	cases := map[string]func(context.Context, []cell.KeyValue) (cellpb.Outcome, error){
		"refused": func(context.Context, []cell.KeyValue) (cellpb.Outcome, error) { return cellpb.Outcome_NOT_DONE, nil },
		"unknown": func(context.Context, []cell.KeyValue) (cellpb.Outcome, error) { return cellpb.Outcome_UNKNOWN, nil },
		"broken":  func(context.Context, []cell.KeyValue) (cellpb.Outcome, error) { return 0, errors.New("reset") },
		"silent": func(ctx context.Context, _ []cell.KeyValue) (cellpb.Outcome, error) {
			<-ctx.Done()
			return 0, ctx.Err()
		},
	}
	for name, submit := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &cellstore.Store{}
			n := newNodeWithOwner(store, &fakeOwner{submit: submit})
			is.NoErr(n.commit(context.Background(), submissionRecords("a")))
			is.Equal(store.Len(cell.TopicJobs), int64(1))
		})
	}
}

// TestSubmissionsWaitForAnOwnerInASlowStore guards against the direct appends of all VMs
// during a takeover: in a slow store they queue up for seconds, and with them the records
// of the new owner.
func TestSubmissionsWaitForAnOwnerInASlowStore(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	n := newNodeWithOwner(store, &fakeOwner{submit: func(context.Context, []cell.KeyValue) (cellpb.Outcome, error) {
		return cellpb.Outcome_DONE, nil
	}})
	reply := n.ownerReply.Swap(nil) // the owner has just been replaced
	n.storeRouter.latency.Store(int64(100 * time.Millisecond))
	time.AfterFunc(150*time.Millisecond, func() {
		n.ownerReply.Store(&ownerReply{receivedAt: bootTime(), instance: reply.instance, isHealthy: true})
	})
	is.NoErr(n.commit(context.Background(), submissionRecords("a")))
	is.Equal(store.Len(cell.TopicJobs), int64(0)) // the new owner has it
}

// TestSubmissionsAreAppendedDirectlyWithoutAnOwner guards callers of a fast store, who
// need not wait for the next owner, and those of a cell that finds none.
func TestSubmissionsAreAppendedDirectlyWithoutAnOwner(t *testing.T) {
	for name, latency := range map[string]time.Duration{"fast": time.Millisecond, "slow": slowStoreLatency} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &cellstore.Store{}
			n := New(Settings{Name: "vm", PeerAddr: "vm:1"}, Ports{Store: store}, io.Discard)
			n.storeRouter.latency.Store(int64(latency))
			is.NoErr(n.commit(context.Background(), submissionRecords("a")))
			is.Equal(store.Len(cell.TopicJobs), int64(1))
		})
	}
}

// TestNotExecutedNeedsTwoRefusals guards the meaning of cell.ErrNotExecuted:
// records that the owner may have appended are not reported as refused when the
// store refuses this VM.
func TestNotExecutedNeedsTwoRefusals(t *testing.T) {
	is := is.New(t)
	unknown := errors.New("no answer")
	is.NoErr(firstSuccess(unknown, nil))
	is.NoErr(firstSuccess(nil, cell.ErrNotExecuted))
	is.Equal(firstSuccess(unknown, cell.ErrNotExecuted), unknown)
	is.Equal(firstSuccess(cell.ErrNotExecuted, unknown), unknown)
	is.True(errors.Is(firstSuccess(cell.ErrNotExecuted, cell.ErrNotExecuted), cell.ErrNotExecuted))
}

// TestOwnerIsWellWhileItReadsTheState guards against a series of needless
// claims: a VM that has claimed the cell and still loads the state was treated
// as an owner whose heartbeats fail.
func TestOwnerIsWellWhileItReadsTheState(t *testing.T) {
	is := is.New(t)
	n := New(Settings{Name: "vm", PeerAddr: "vm:1"}, Ports{Store: &cellstore.Store{}}, io.Discard)
	hello := func() *cellpb.HelloResponse {
		resp, err := (&rpcServer{node: n}).Hello(context.Background(), &cellpb.HelloRequest{Addr: "other:1"})
		is.NoErr(err)
		return resp
	}
	is.True(!hello().Well)
	n.heartbeatAt.Store(int64(bootTime()))
	n.holdsTerm.Store(true)
	is.True(hello().Well)
}

// TestResignedOwnerIsNotHealthy guards against a VM that takes the last answer of
// an owner that has resigned for the status of the next owner, and so does not
// claim the cell.
func TestResignedOwnerIsNotHealthy(t *testing.T) {
	is := is.New(t)
	n := newNodeWithOwner(&cellstore.Store{}, nil)
	is.True(n.ownerStatus().Healthy)
	n.ownerRecord.Store(&election.OwnerRecord{Term: 1, Addr: ownerAddr, Instance: "o-1", Resigned: true})
	is.True(!n.ownerStatus().Healthy)
	n.ownerRecord.Store(&election.OwnerRecord{Term: 2, Addr: ownerAddr, Instance: "o-2"})
	is.True(!n.ownerStatus().Healthy)
}

// TestSuccessorIsTheVMThatStartedLast guards against an ownership that moves
// with each VM of a rolling restart.
func TestSuccessorIsTheVMThatStartedLast(t *testing.T) {
	is := is.New(t)
	young, old, lost := &fakeOwner{}, &fakeOwner{}, &fakeOwner{}
	now := time.Minute
	followers := map[string]helloMessage{
		"old:1":   {addr: "old:1", client: old, receivedAt: now, processAge: time.Hour},
		"young:1": {addr: "young:1", client: young, receivedAt: now - helloInterval, processAge: 3 * time.Second},
		"lost:1":  {addr: "lost:1", client: lost, receivedAt: now - 2*followerHelloTTL, processAge: time.Second},
	}
	is.Equal(chooseSuccessor(followers, now), cellpb.Cell(young))
	is.Equal(chooseSuccessor(nil, now), nil)
}

// TestJobThatIsTooLargeDelaysNoOtherJob guards against a job whose record the store never accepts: the other submissions of its batch were refused with it, and the store counted as down.
func TestJobThatIsTooLargeDelaysNoOtherJob(t *testing.T) {
	is := is.New(t)
	n := startSingleNode(t, &cellstore.Store{})
	queue := cell.Queue{Name: soakQueueName, Service: "s"}
	large := &cell.Job{ID: "0000000000000001", Queue: queue, Steps: []cell.Step{{Count: 1}}, Spec: strings.Repeat("x", cell.MaxRecordBytes)}
	is.True(errors.Is(n.Submit(context.Background(), large), cell.ErrTooLarge))
	is.True(!n.committer.isStoreDown())
	is.NoErr(n.Submit(context.Background(), &cell.Job{ID: "0000000000000002", Queue: queue, Steps: []cell.Step{{Count: 1}}}))
}
