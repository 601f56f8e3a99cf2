package node

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/internal/cell/election"
	"gypsumwinch/standin/cellstore"
)

// fakeOwner answers submissions as it is told.
type fakeOwner struct {
	cellpb.Cell
	submit func(ctx context.Context, records []cell.KeyValue) (cellpb.Outcome, error)
}

func (f *fakeOwner) Submit(ctx context.Context, req *cellpb.SubmitRequest) (*cellpb.SubmitResponse, error) {
	outcome, err := f.submit(ctx, fromWire(req.Records))
	return &cellpb.SubmitResponse{Outcome: outcome}, err
}

func (f *fakeOwner) Notify(context.Context, *cellpb.NotifyRequest) (*cellpb.NotifyResponse, error) {
	return &cellpb.NotifyResponse{}, nil
}

const ownerAddr = "owner:1"

// newFollower returns a node that has just heard from an owner.
func newFollower(store cell.Store, owner cellpb.Cell) *Node {
	n := New(Settings{Name: "vm", PeerAddr: "vm:1"}, Ports{Store: store}, io.Discard)
	n.peers[ownerAddr] = owner
	n.owner.Store(&election.Record{Term: 1, Node: "owner", Addr: ownerAddr, Instance: "o-1"})
	n.heard.Store(&heardOwner{at: boot(), instance: "o-1", well: true})
	return n
}

// TestSubmissionsGoThroughTheOwner guards against as many appends as there are
// VMs, which wait for each other in a slow store.
func TestSubmissionsGoThroughTheOwner(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	got := 0
	n := newFollower(store, &fakeOwner{submit: func(_ context.Context, records []cell.KeyValue) (cellpb.Outcome, error) {
		got += len(records)
		return cellpb.Outcome_DONE, nil
	}})
	is.NoErr(n.commit(context.Background(), record("a")))
	is.Equal(got, 1)
	is.Equal(store.Len(cell.TopicJobs), int64(0))
}

// TestSubmissionSurvivesItsOwner guards against jobs that are refused because the
// owner is gone, or cannot append, while the store answers this VM.
func TestSubmissionSurvivesItsOwner(t *testing.T) {
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
			n := newFollower(store, &fakeOwner{submit: submit})
			is.NoErr(n.commit(context.Background(), record("a")))
			is.Equal(store.Len(cell.TopicJobs), int64(1))
		})
	}
}

// TestNotRunNeedsTwoRefusals guards the meaning of "not run": what the owner may
// have appended is not refused because the store refuses this VM.
func TestNotRunNeedsTwoRefusals(t *testing.T) {
	is := is.New(t)
	unknown := errors.New("no answer")
	is.NoErr(firstSuccess(unknown, nil))
	is.NoErr(firstSuccess(nil, cell.ErrNotExecuted))
	is.Equal(firstSuccess(unknown, cell.ErrNotExecuted), unknown)
	is.Equal(firstSuccess(cell.ErrNotExecuted, unknown), unknown)
	is.True(errors.Is(firstSuccess(cell.ErrNotExecuted, cell.ErrNotExecuted), cell.ErrNotExecuted))
}

// TestOwnerIsWellWhileItReadsTheState guards against a chain of claims: a VM that
// has claimed and still reads the state was taken for one whose beats fail.
func TestOwnerIsWellWhileItReadsTheState(t *testing.T) {
	is := is.New(t)
	n := New(Settings{Name: "vm", PeerAddr: "vm:1"}, Ports{Store: &cellstore.Store{}}, io.Discard)
	hello := func() *cellpb.HelloResponse {
		resp, err := (&rpcServer{node: n}).Hello(context.Background(), &cellpb.HelloRequest{Addr: "other:1"})
		is.NoErr(err)
		return resp
	}
	is.True(!hello().Well)
	n.beatAt.Store(int64(boot()))
	n.holding.Store(true)
	is.True(hello().Well)
}

// TestResignedOwnerIsNotWell guards the time of a hand-over: the last answer of an
// owner that has resigned says nothing about its successor.
func TestResignedOwnerIsNotWell(t *testing.T) {
	is := is.New(t)
	n := newFollower(&cellstore.Store{}, nil)
	is.True(n.alive().Well)
	n.owner.Store(&election.Record{Term: 1, Addr: ownerAddr, Instance: "o-1", Resigned: true})
	is.True(!n.alive().Well)
	n.owner.Store(&election.Record{Term: 2, Addr: ownerAddr, Instance: "o-2"})
	is.True(!n.alive().Well)
}

// TestSuccessorIsTheVMThatStartedLast guards against an ownership that moves on
// with each VM of a rolling restart.
func TestSuccessorIsTheVMThatStartedLast(t *testing.T) {
	is := is.New(t)
	young, old, lost := &fakeOwner{}, &fakeOwner{}, &fakeOwner{}
	now := time.Minute
	standbys := map[string]greeting{
		"old:1":   {addr: "old:1", client: old, at: now, age: time.Hour},
		"young:1": {addr: "young:1", client: young, at: now - greetEvery, age: 3 * time.Second},
		"lost:1":  {addr: "lost:1", client: lost, at: now - 2*standbyFresh, age: time.Second},
	}
	is.Equal(chooseSuccessor(standbys, now), cellpb.Cell(young))
	is.Equal(chooseSuccessor(nil, now), nil)
}
