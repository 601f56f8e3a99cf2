package node

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/standin/cellstore"
)

// pathPeer serves the store's calls of a VM whose own way works.
type pathPeer struct {
	cellpb.Cell
	path *storePath
}

func (p *pathPeer) Append(ctx context.Context, req *cellpb.AppendRequest) (*cellpb.AppendResponse, error) {
	return p.path.serveAppend(ctx, req), nil
}

func (p *pathPeer) Read(ctx context.Context, req *cellpb.ReadRequest) (*cellpb.BatchResponse, error) {
	return p.path.serveRead(ctx, req), nil
}

func (p *pathPeer) Newest(ctx context.Context, req *cellpb.NewestRequest) (*cellpb.BatchResponse, error) {
	return p.path.serveNewest(ctx, req), nil
}

// cutStore is the store of a VM that it does not answer.
type cutStore struct{ cell.Store }

func (cutStore) Append(ctx context.Context, _ cell.Append) (int64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func (cutStore) Newest(ctx context.Context, _ cell.Topic) (cell.Batch, error) {
	<-ctx.Done()
	return cell.Batch{}, ctx.Err()
}

func newPath(direct cell.Store, peers ...cellpb.Cell) *storePath {
	return &storePath{direct: direct, peers: func() []cellpb.Cell { return peers }, log: func(string, ...any) {}}
}

// TestStoreIsReachedThroughAnotherVM guards the work of a VM that alone has lost
// the store: conditions and fences hold there as they do directly.
func TestStoreIsReachedThroughAnotherVM(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	p := newPath(cutStore{store}, &pathPeer{path: newPath(store)})
	ctx := context.Background()
	end, err := p.Append(ctx, cell.Append{Topic: cell.TopicOwner, ExpectedEnd: 0, Records: record("a")})
	is.NoErr(err)
	is.Equal(end, int64(1))
	is.True(p.bad()) // another VM had the answer
	_, err = p.Append(ctx, cell.Append{Topic: cell.TopicOwner, ExpectedEnd: 0, Records: record("b")})
	var conflict *cell.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.End, int64(1))
	_, err = p.Append(ctx, cell.Append{Topic: cell.TopicProgress, ExpectedEnd: -1, Epoch: 3, Records: record("a")})
	is.NoErr(err)
	_, err = p.Append(ctx, cell.Append{Topic: cell.TopicProgress, ExpectedEnd: -1, Epoch: 2, Records: record("a")})
	is.True(errors.Is(err, cell.ErrFenced))
	batch, err := p.Read(ctx, cell.TopicOwner, 0, 0)
	is.NoErr(err)
	is.Equal(len(batch.Records), 1)
	store.Forget(cell.TopicOwner)
	_, err = p.Read(ctx, cell.TopicOwner, 0, 0)
	is.True(errors.Is(err, cell.ErrExpired))
}

// TestNobodyReachesTheStore guards the answer "not done" in an outage for all:
// VMs do not send each other's calls around.
func TestNobodyReachesTheStore(t *testing.T) {
	is := is.New(t)
	other := newPath(cutStore{})
	other.badSince.Store(1)
	p := newPath(cutStore{}, &pathPeer{path: other})
	p.badSince.Store(1)
	_, err := p.Append(context.Background(), cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: record("a")})
	is.True(errors.Is(err, cell.ErrNotExecuted))
}

// TestStoreIsReachedDirectlyAgain guards the way back after an outage.
func TestStoreIsReachedDirectlyAgain(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	p := newPath(store)
	p.badSince.Store(1)
	p.probe()
	for p.bad() {
		time.Sleep(time.Millisecond)
	}
	_, err := p.Append(context.Background(), cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: record("a")})
	is.NoErr(err)
}

// slowStore answers after a while.
type slowStore struct {
	cell.Store
	takes time.Duration
}

func (s slowStore) Append(ctx context.Context, a cell.Append) (int64, error) {
	time.Sleep(s.takes)
	return s.Store.Append(ctx, a)
}

// TestSlowStoreIsNotTakenForALostOne guards against calls that are given up and
// repeated while the store is slow for all: the direct answer counts.
func TestSlowStoreIsNotTakenForALostOne(t *testing.T) {
	is := is.New(t)
	store := slowStore{&cellstore.Store{}, 2 * firstHedge}
	p := newPath(store, &pathPeer{path: newPath(store)})
	_, err := p.Append(context.Background(), cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: record("a")})
	is.NoErr(err)
	is.True(!p.bad())
	is.True(p.hedgeAfter() > 2*firstHedge)
}

// TestRelayThatHangsIsNotWaitedFor guards a VM without a way to the store against
// relays that have lost theirs and do not know it yet.
func TestRelayThatHangsIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	p := newPath(cutStore{store}, &pathPeer{path: newPath(cutStore{store})}, &pathPeer{path: newPath(store)})
	p.badSince.Store(1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := p.Append(ctx, cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: record("a")})
	is.NoErr(err)
	is.Equal(store.Len(cell.TopicJobs), int64(1))
}

// TestRefusalAfterASilentRelayIsNotTheLastWord guards the meaning of "not done":
// a relay that did not answer may have had the call executed.
func TestRefusalAfterASilentRelayIsNotTheLastWord(t *testing.T) {
	is := is.New(t)
	unknown := errors.New("no answer")
	err := viaError(cell.ErrNotExecuted, 0, unknown)
	is.True(!errors.Is(err, cell.ErrNotExecuted))
	is.True(!errors.Is(viaError(err, cellpb.Outcome_NOT_DONE, nil), cell.ErrNotExecuted))
	is.True(errors.Is(viaError(cell.ErrNotExecuted, cellpb.Outcome_NOT_DONE, nil), cell.ErrNotExecuted))
	is.True(!errors.Is(viaError(cell.ErrNotExecuted, cellpb.Outcome_UNKNOWN, nil), cell.ErrNotExecuted))
}

// TestOwnerNamesRelaysThatTheStoreAnswers guards the choice of relays: a VM that
// has lost the store, or has not greeted lately, is not one.
func TestOwnerNamesRelaysThatTheStoreAnswers(t *testing.T) {
	is := is.New(t)
	n := newFollower(&cellstore.Store{}, nil)
	n.noteRelay("a:1", true, false)
	n.noteRelay("b:1", true, false)
	n.noteRelay("b:1", false, false)
	n.noteRelay("c:1", true, true)
	n.answered["c:1"] = relay{at: boot() - 2*relayFresh, large: true}
	is.Equal(n.freshRelays("z:1"), []string{"a:1"})
	is.Equal(len(n.freshRelays("a:1")), 0)
	n.noteRelay("d:1", true, true)
	is.Equal(n.freshRelays("z:1"), []string{"d:1", "a:1"}) // small VMs have slow links
}

// TestRelayOfASlowStoreSaysNothingOfTheDirectWay guards against copies of every
// call in a slow store: an answer through another VM that comes a little sooner
// tells how slow the store is, not that it has turned this VM away.
func TestRelayOfASlowStoreSaysNothingOfTheDirectWay(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	relay := newPath(slowStore{store, 4 * firstHedge})
	p := newPath(slowStore{store, 8 * firstHedge}, &pathPeer{path: relay})
	_, err := p.Append(context.Background(), cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: record("a")})
	is.NoErr(err)
	is.True(!p.bad())
	is.True(p.lastLatency() >= 4*firstHedge)
}
