package node

import (
	"context"
	"errors"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/standin/cellstore"
)

// proxyPeer is a store proxy with a working direct route.
type proxyPeer struct {
	cellpb.Cell
	router *storeRouter
}

func (p *proxyPeer) Append(ctx context.Context, req *cellpb.AppendRequest) (*cellpb.AppendResponse, error) {
	return p.router.serveAppend(ctx, req), nil
}

func (p *proxyPeer) Read(ctx context.Context, req *cellpb.ReadRequest) (*cellpb.BatchResponse, error) {
	return p.router.serveRead(ctx, req), nil
}

func (p *proxyPeer) Newest(ctx context.Context, req *cellpb.NewestRequest) (*cellpb.BatchResponse, error) {
	return p.router.serveNewest(ctx, req), nil
}

// unreachableStore is the store as seen by a VM that it does not answer.
type unreachableStore struct{ cell.Store }

func (unreachableStore) Append(ctx context.Context, _ cell.Append) (int64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func (unreachableStore) Newest(ctx context.Context, _ cell.Topic) (cell.Batch, error) {
	<-ctx.Done()
	return cell.Batch{}, ctx.Err()
}

func newRouter(direct cell.Store, peers ...cellpb.Cell) *storeRouter {
	return &storeRouter{direct: direct, proxies: func() []cellpb.Cell { return peers }, log: func(string, ...any) {}, newestTimeout: defaultNewestTimeout, now: bootTime}
}

// TestStoreIsReachedThroughProxy guards a VM that alone has lost its direct
// route to the store: conditional appends and fencing work through a proxy as
// they do directly.
func TestStoreIsReachedThroughProxy(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	r := newRouter(unreachableStore{store}, &proxyPeer{router: newRouter(store)})
	ctx := context.Background()
	end, err := r.Append(ctx, cell.Append{Topic: cell.TopicOwner, ExpectedEnd: 0, Records: submissionRecords("a")})
	is.NoErr(err)
	is.Equal(end, int64(1))
	is.True(r.isUnreachable()) // the answer came through the proxy
	_, err = r.Append(ctx, cell.Append{Topic: cell.TopicOwner, ExpectedEnd: 0, Records: submissionRecords("b")})
	var conflict *cell.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.End, int64(1))
	_, err = r.Append(ctx, cell.Append{Topic: cell.TopicProgress, ExpectedEnd: -1, Epoch: 3, Records: submissionRecords("a")})
	is.NoErr(err)
	_, err = r.Append(ctx, cell.Append{Topic: cell.TopicProgress, ExpectedEnd: -1, Epoch: 2, Records: submissionRecords("a")})
	is.True(errors.Is(err, cell.ErrFenced))
	batch, err := r.Read(ctx, cell.TopicOwner, 0, 0)
	is.NoErr(err)
	is.Equal(len(batch.Records), 1)
	store.Forget(cell.TopicOwner)
	_, err = r.Read(ctx, cell.TopicOwner, 0, 0)
	is.True(errors.Is(err, cell.ErrExpired))
}

// proxyOverHTTP is a store proxy that is called over HTTP, as all are.
func proxyOverHTTP(t *testing.T, store cell.Store) cellpb.Cell {
	t.Helper()
	server := httptest.NewServer(cellpb.NewCellServer(&proxyPeer{router: newRouter(store)}))
	t.Cleanup(server.Close)
	return cellpb.NewCellProtobufClient(server.URL, server.Client())
}

// TestOddKeysDoNotStopReadsThroughProxies guards against a VM without a direct route that cannot follow
// the list of workers any more: the keys of records are texts in the RPC, so that a proxy
// could not encode the answer with a record of another writer whose key is none (issue 28).
func TestOddKeysDoNotStopReadsThroughProxies(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	for _, key := range []string{"a", "\xff", "b"} {
		_, err := store.Append(ctx, cell.Append{Topic: cell.TopicWorkers, ExpectedEnd: -1, Records: []cell.KeyValue{{Key: key, Value: []byte("v")}}})
		is.NoErr(err)
	}
	r := newRouter(unreachableStore{store}, proxyOverHTTP(t, store))
	r.unreachableSince.Store(1)
	keysOf := func(batch cell.Batch, err error) (keys []string) {
		is.NoErr(err)
		is.Equal(batch.Next, int64(3))
		for _, kv := range batch.Records {
			keys = append(keys, kv.Key)
		}
		return keys
	}
	is.Equal(keysOf(r.Read(ctx, cell.TopicWorkers, 0, 0)), []string{"a", "b"})
	is.Equal(keysOf(r.Newest(ctx, cell.TopicWorkers)), []string{"a", "b"})
}

// TestProxyReportsUnreadableRecords guards against workers and jobs that count as deleted on a VM
// without a direct route, since a record that cannot be read, which may be theirs, is missing.
func TestProxyReportsUnreadableRecords(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &cellstore.Store{}
	for _, key := range []string{"a", "b", "c"} {
		_, err := store.Append(ctx, cell.Append{Topic: cell.TopicWorkers, ExpectedEnd: -1, Records: []cell.KeyValue{{Key: key, Value: []byte("v")}}})
		is.NoErr(err)
	}
	r := newRouter(unreachableStore{store}, proxyOverHTTP(t, unreadableNewest{store}))
	r.unreachableSince.Store(1)
	batch, err := r.Newest(ctx, cell.TopicWorkers)
	is.NoErr(err)
	is.Equal(len(batch.Records), 1)
	is.Equal(batch.Unreadable, 2)
}

// TestStoreUnreachableFromAllVMs guards the error cell.ErrNotExecuted when the
// store answers no VM: proxies do not forward calls to other proxies.
func TestStoreUnreachableFromAllVMs(t *testing.T) {
	is := is.New(t)
	other := newRouter(unreachableStore{})
	other.unreachableSince.Store(1)
	r := newRouter(unreachableStore{}, &proxyPeer{router: other})
	r.unreachableSince.Store(1)
	_, err := r.Append(context.Background(), cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: submissionRecords("a")})
	is.True(errors.Is(err, cell.ErrNotExecuted))
}

// TestStoreIsReachedDirectlyAgain guards the return to the direct route after
// an outage.
func TestStoreIsReachedDirectlyAgain(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	r := newRouter(store)
	r.unreachableSince.Store(1)
	r.probeDirect()
	for r.isUnreachable() {
		time.Sleep(time.Millisecond)
	}
	_, err := r.Append(context.Background(), cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: submissionRecords("a")})
	is.NoErr(err)
}

// slowStore adds a delay to each append.
type slowStore struct {
	cell.Store
	delay time.Duration
}

func (s slowStore) Append(ctx context.Context, a cell.Append) (int64, error) {
	time.Sleep(s.delay)
	return s.Store.Append(ctx, a)
}

// TestSlowStoreIsNotMarkedUnreachable guards against calls that are abandoned
// and repeated while the store is slow for all VMs: the direct answer counts.
func TestSlowStoreIsNotMarkedUnreachable(t *testing.T) {
	is := is.New(t)
	store := slowStore{&cellstore.Store{}, 2 * minHedgeDelay}
	r := newRouter(store, &proxyPeer{router: newRouter(store)})
	_, err := r.Append(context.Background(), cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: submissionRecords("a")})
	is.NoErr(err)
	is.True(!r.isUnreachable())
	is.True(r.hedgeDelay() > 2*minHedgeDelay)
}

// TestHangingProxyDoesNotDelayCall guards a VM without a direct route against
// store proxies that have lost theirs and have not noticed yet.
func TestHangingProxyDoesNotDelayCall(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	r := newRouter(unreachableStore{store}, &proxyPeer{router: newRouter(unreachableStore{store})}, &proxyPeer{router: newRouter(store)})
	r.unreachableSince.Store(1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := r.Append(ctx, cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: submissionRecords("a")})
	is.NoErr(err)
	is.Equal(store.Len(cell.TopicJobs), int64(1))
}

// TestRefusalAfterUnansweredProxyIsUnknown guards the meaning of
// cell.ErrNotExecuted: a proxy that did not answer may have executed the call.
func TestRefusalAfterUnansweredProxyIsUnknown(t *testing.T) {
	is := is.New(t)
	unknown := errors.New("no answer")
	err := combineProxyErrors(cell.ErrNotExecuted, 0, unknown)
	is.True(!errors.Is(err, cell.ErrNotExecuted))
	is.True(!errors.Is(combineProxyErrors(err, cellpb.Outcome_NOT_DONE, nil), cell.ErrNotExecuted))
	is.True(errors.Is(combineProxyErrors(cell.ErrNotExecuted, cellpb.Outcome_NOT_DONE, nil), cell.ErrNotExecuted))
	is.True(!errors.Is(combineProxyErrors(cell.ErrNotExecuted, cellpb.Outcome_UNKNOWN, nil), cell.ErrNotExecuted))
}

// TestOwnerAdvertisesReachingProxies guards the selection of store proxies: a
// VM that has lost the store, or has sent no recent hello message, is not one.
func TestOwnerAdvertisesReachingProxies(t *testing.T) {
	is := is.New(t)
	n := newNodeWithOwner(&cellstore.Store{}, nil)
	n.updateProxyCandidate("a:1", true, false)
	n.updateProxyCandidate("b:1", true, false)
	n.updateProxyCandidate("b:1", false, false)
	n.updateProxyCandidate("c:1", true, true)
	n.proxyCandidates["c:1"] = proxyCandidate{lastSeen: bootTime() - 2*proxyCandidateTTL(true, 0), isLarge: true}
	is.Equal(n.storeProxyAddrs("z:1"), []string{"a:1"})
	is.Equal(len(n.storeProxyAddrs("a:1")), 0)
	n.updateProxyCandidate("d:1", true, true)
	is.Equal(n.storeProxyAddrs("z:1"), []string{"d:1", "a:1"}) // small VMs have slow links
}

// TestRelayOfASlowStoreSaysNothingOfTheDirectWay guards against hedging every
// call while the store is slow. An answer through a proxy that comes a little
// sooner shows how slow the store is, not that the direct route has failed.
func TestRelayOfASlowStoreSaysNothingOfTheDirectWay(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	proxy := newRouter(slowStore{store, 4 * minHedgeDelay})
	r := newRouter(slowStore{store, 8 * minHedgeDelay}, &proxyPeer{router: proxy})
	_, err := r.Append(context.Background(), cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: submissionRecords("a")})
	is.NoErr(err)
	is.True(!r.isUnreachable())
	is.True(r.lastLatency() >= 4*minHedgeDelay)
}

// slowAppends is a store whose appends are answered late and whose reads are not.
type slowAppends struct {
	cell.Store
	delay   time.Duration
	appends atomic.Int32
}

func (s *slowAppends) Append(ctx context.Context, a cell.Append) (int64, error) {
	s.appends.Add(1)
	sleep(ctx, s.delay)
	return s.Store.Append(ctx, a)
}

// TestAppendToASlowStoreIsNotCopied guards a slow store, which carries out the appends of
// a topic one after the other: copies through store proxies would double its queue. The
// direct route is known to work, since other calls are answered meanwhile.
func TestAppendToASlowStoreIsNotCopied(t *testing.T) {
	is := is.New(t)
	store := &slowAppends{Store: &cellstore.Store{}, delay: 600 * time.Millisecond}
	r := newRouter(store, &proxyPeer{router: newRouter(store)})
	r.latency.Store(int64(slowStoreLatency))
	ctx := context.Background()
	time.AfterFunc(50*time.Millisecond, func() {
		r.recordAnswer(routeAnswer{isDirect: true, took: slowStoreLatency, directElapsed: slowStoreLatency, mayWait: false})
	})
	_, err := r.Append(ctx, cell.Append{Topic: cell.TopicJobs, ExpectedEnd: -1, Records: submissionRecords("a")})
	is.NoErr(err)
	is.Equal(store.appends.Load(), int32(1))
}
