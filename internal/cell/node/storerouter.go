package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/internal/progress"
)

// The store may answer some VMs and not others. A VM that it does not answer
// calls it through store proxies, so that neither its callers nor an owner's
// work depend on its own connection to the store.

const (
	// probeInterval is how often a VM that the store does not answer probes it
	// directly.
	probeInterval = 300 * time.Millisecond
	// probeTimeout bounds a probe. A slow store answers after 0.35 s.
	probeTimeout = 500 * time.Millisecond
	// maxProxiesPerCall bounds the store proxies that one call tries.
	maxProxiesPerCall = 3
	// storeAnswerTTL is how long an answer of the store shows that it still
	// answers; the store is read every 0.8 s.
	storeAnswerTTL = 1200 * time.Millisecond
	// readTimeoutSlack is how long a read may go without progress, in addition to its wait time
	// at the beginning.
	readTimeoutSlack = time.Second
	// minHedgeDelay is the minimum delay before a call is hedged through a store
	// proxy; an answer takes 4 to 10 ms.
	minHedgeDelay = 80 * time.Millisecond
	// hedgeLatencyFactor is the multiple of the store's latency after which a
	// call is hedged.
	hedgeLatencyFactor = 3
	// slowStoreLatency is the latency from which the store counts as slow for all. A
	// partition carries out its appends one after the other, so that further copies
	// of appends then only lengthen its queue.
	slowStoreLatency = 40 * time.Millisecond
	// maxHedgePostponement bounds how long an append waits for a slow store before it
	// is hedged.
	maxHedgePostponement = time.Second
	// configHedgeDelay is the minimum delay before a read of the configuration is hedged. Its
	// records are the largest by far, so that copies would fill the store's bandwidth and the links
	// when all VMs read a new version; the version may take seconds to come into force.
	configHedgeDelay = 500 * time.Millisecond
	// newestHedgeExtra is added to the hedge delay of Newest, which reads several
	// pages.
	newestHedgeExtra = 300 * time.Millisecond
	// defaultNewestTimeout bounds the time without progress of Newest; through a proxy there is
	// none before the last page. A slow store takes 0.35 s for each page, and the progress of
	// 150 s at 85 jobs a second has 26 pages.
	defaultNewestTimeout = 15 * time.Second
)

// storeRouter implements cell.Store. It calls the store directly, through store
// proxies, or both.
type storeRouter struct {
	direct  cell.Store
	proxies func() []cellpb.Cell
	log     func(message string, details ...any)
	// newestTimeout bounds Newest; see defaultNewestTimeout.
	newestTimeout time.Duration
	// unreachableSince is the boot time at which the direct route failed, or 0
	// while it works.
	unreachableSince atomic.Int64
	probedAt         atomic.Int64
	// latency is that of the store's last answer to a call that did not wait at
	// the store.
	latency atomic.Int64
	// answeredAt is the boot time at which a direct answer of the store last arrived, whole or in part.
	answeredAt atomic.Int64
	// configArrivedAt is the same for reads of the configuration.
	configArrivedAt atomic.Int64
	// now returns the boot time.
	now func() time.Duration
}

// hasRecentAnswer reports whether the store has answered this VM directly
// within storeAnswerTTL. Each hello message of this VM reports it.
func (sr *storeRouter) hasRecentAnswer() bool {
	return !sr.isUnreachable() && sr.now()-time.Duration(sr.answeredAt.Load()) < storeAnswerTTL
}

// isUnreachable reports whether the direct route to the store has failed.
func (sr *storeRouter) isUnreachable() bool { return sr.unreachableSince.Load() != 0 }

// lastLatency returns the latency of the store's last answer.
func (sr *storeRouter) lastLatency() time.Duration { return time.Duration(sr.latency.Load()) }

// isSlow reports whether the store is slow for all VMs.
func (sr *storeRouter) isSlow() bool { return sr.lastLatency() >= slowStoreLatency }

// postponesHedge reports whether an append that was sent at sentAt should wait longer
// for its answer instead of being hedged: the store is slow and has answered another
// direct call since, so that the direct route works.
func (sr *storeRouter) postponesHedge(sentAt time.Duration) bool {
	return sr.isSlow() && time.Duration(sr.answeredAt.Load()) > sentAt && sr.now()-sentAt < maxHedgePostponement
}

// isStoreAnswer reports whether an error is an answer of a working store.
// callHedged checks the errors of both routes with it.
func isStoreAnswer(err error) bool {
	var conflict *cell.ConflictError
	var sequence *cell.SequenceError
	return errors.As(err, &conflict) || errors.As(err, &sequence) ||
		errors.Is(err, cell.ErrFenced) || errors.Is(err, cell.ErrExpired)
}

// probeDirect tries the direct route again in the background, at most once
// every probeInterval. callHedged calls it with each call of the store while
// the direct route has failed.
func (sr *storeRouter) probeDirect() {
	last := sr.probedAt.Load()
	if sr.now()-time.Duration(last) < probeInterval || !sr.probedAt.CompareAndSwap(last, int64(sr.now())) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		startedAt := sr.now()
		if _, err := sr.direct.Newest(ctx, cell.TopicOwner); err == nil {
			took := sr.now() - startedAt
			sr.recordAnswer(routeAnswer{isDirect: true, took: took})
		}
	}()
}

// proxyResult is the result of a call through one store proxy.
type proxyResult[T any] struct {
	timedAnswer[T]
	outcome cellpb.Outcome
	err     error
}

// timedAnswer is an answer of the store and the time that it took.
type timedAnswer[T any] struct {
	value T
	took  time.Duration
}

// callProxies calls the store through proxies until one of them returns an
// answer of the store. The next proxy is called after the hedge delay without progress,
// or at once if a proxy returns without an answer of the store. callHedged runs it,
// through Append, Read and Newest, when a call is hedged or the direct route
// has failed.
func callProxies[T any](ctx context.Context, sr *storeRouter, hedgeDelay time.Duration, call func(context.Context, cellpb.Cell) (T, cellpb.Outcome, error)) (timedAnswer[T], error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := sr.proxies()
	peers = peers[:min(maxProxiesPerCall, len(peers))]
	results := make(chan proxyResult[T], len(peers))
	latest := new(progress.Clock) // of the proxy that was called last
	nextCall := time.NewTimer(0)
	defer nextCall.Stop()
	err := eris.Wrap(cell.ErrNotExecuted, "no store proxy is known")
	called, inFlight := 0, 0
	for called < len(peers) || inFlight > 0 {
		select {
		case <-nextCall.C:
			if called == len(peers) {
				continue
			}
			if rest := sr.restOfDelay(latest, hedgeDelay); rest > 0 {
				nextCall.Reset(rest)
				continue
			}
			peer := peers[called]
			called++
			inFlight++
			moves := new(progress.Clock)
			latest = moves
			go func() {
				startedAt := sr.now()
				value, outcome, err := call(moves.Observe(ctx, sr.now), peer)
				results <- proxyResult[T]{timedAnswer[T]{value, sr.latencyOf(moves, startedAt)}, outcome, err}
			}()
			nextCall.Reset(hedgeDelay)
			continue
		case r := <-results:
			inFlight--
			if r.err == nil && r.outcome != cellpb.Outcome_NOT_DONE && r.outcome != cellpb.Outcome_UNKNOWN {
				return r.timedAnswer, nil
			}
			err = combineProxyErrors(err, r.outcome, r.err)
			nextCall.Reset(0)
		}
	}
	return timedAnswer[T]{}, err
}

// combineProxyErrors combines the failures of several proxies. If one of them
// may have executed the call, a refusal by another one does not mean that the
// call was not executed. callProxies calls it for each proxy that returned
// without an answer of the store.
func combineProxyErrors(before error, outcome cellpb.Outcome, err error) error {
	switch {
	case !errors.Is(before, cell.ErrNotExecuted):
		return before
	case err != nil:
		return eris.Wrap(err, "call the store through a proxy")
	default:
		return errorFromOutcome(outcome, 0)
	}
}

// hedgeDelay is how long a call waits for the store before it is hedged
// through a store proxy, and how long a proxy is waited for before the next
// one is called. It grows with the latency, because then the store is slow for
// all VMs.
func (sr *storeRouter) hedgeDelay() time.Duration {
	return max(minHedgeDelay, hedgeLatencyFactor*time.Duration(sr.latency.Load()))
}

// readHedgeDelay is the hedge delay of reads of a topic.
func (sr *storeRouter) readHedgeDelay(topic cell.Topic) time.Duration {
	if topic == cell.TopicConfig {
		return max(configHedgeDelay, sr.hedgeDelay())
	}
	return sr.hedgeDelay()
}

// restOfDelay returns how much of a hedge delay is left since data last moved, or 0 if none has moved
// within it.
func (sr *storeRouter) restOfDelay(moves *progress.Clock, hedgeDelay time.Duration) time.Duration {
	last, moved := moves.Last()
	if !moved {
		return 0
	}
	return max(0, hedgeDelay-(sr.now()-last))
}

// latencyOf returns the time from the end of a request to the first data of its answer. The rest
// depends on their sizes. Calls whose client reports no progress are measured as a whole.
func (sr *storeRouter) latencyOf(moves *progress.Clock, startedAt time.Duration) time.Duration {
	if latency, received := moves.Latency(startedAt); received {
		return latency
	}
	return sr.now() - startedAt
}

// routeResult is the result of one route of a call.
type routeResult[T any] struct {
	timedAnswer[T]
	err      error
	isDirect bool
}

// hedgePolicy says when a call is hedged.
type hedgePolicy struct {
	// storeWait is the time for which the store may hold the call by itself.
	storeWait time.Duration
	delay     time.Duration
	isAppend  bool
}

// callHedged calls the store directly and hedges the call through a store
// proxy if nothing arrives in time. The first answer of the store counts. While
// the direct route has failed, it calls the store through proxies only.
// Append, Read and Newest call it, on the goroutine of whoever calls them;
// each route runs on its own goroutine. The hedge of an append is postponed while the
// store is only slow; see postponesHedge.
func callHedged[T any](ctx context.Context, sr *storeRouter, policy hedgePolicy, direct func(context.Context) (T, error), viaProxy func(context.Context) (timedAnswer[T], error)) (T, error) {
	if sr.isUnreachable() {
		sr.probeDirect()
		r, err := viaProxy(ctx)
		if policy.storeWait == 0 && (err == nil || isStoreAnswer(err)) {
			sr.latency.Store(int64(r.took))
		}
		return r.value, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan routeResult[T], 2)
	startedAt := sr.now()
	moves := new(progress.Clock)
	var hedge hedgeRoute
	go func() {
		ctx := progress.Observe(moves.Observe(ctx, sr.now), func(d progress.Direction) {
			if d != progress.Received {
				return
			}
			sr.answeredAt.Store(int64(sr.now()))
			if !policy.isAppend {
				hedge.cancelUnlessMoving()
			}
		})
		v, err := direct(ctx)
		results <- routeResult[T]{timedAnswer[T]{v, sr.latencyOf(moves, startedAt)}, err, true}
	}()
	timer := time.NewTimer(policy.storeWait + policy.delay)
	defer timer.Stop()
	startHedge := func() {
		ctx := hedge.start(ctx, sr.now)
		go func() {
			r, err := viaProxy(ctx)
			results <- routeResult[T]{r, err, false}
		}()
	}
	inFlight, hedgeCount := 1, 0
	var unknown, directErr error
	var last routeResult[T]
	for {
		select {
		case <-timer.C:
			if policy.isAppend && sr.postponesHedge(startedAt) {
				timer.Reset(policy.delay)
				continue
			}
			if rest := sr.restOfDelay(moves, policy.delay); rest > 0 {
				timer.Reset(rest)
				continue
			}
			startHedge()
			inFlight, hedgeCount = inFlight+1, 1
			continue
		case last = <-results:
		}
		inFlight--
		if last.err == nil || isStoreAnswer(last.err) {
			_, hasReceived := moves.FirstReceived()
			sr.recordAnswer(routeAnswer{isDirect: last.isDirect, took: last.took, directElapsed: sr.now() - startedAt, mayWait: policy.storeWait > 0, directArrives: hasReceived})
			return last.value, last.err
		}
		if last.isDirect {
			directErr = last.err
		}
		if !errors.Is(last.err, cell.ErrNotExecuted) {
			unknown = last.err
		}
		if last.isDirect && hedgeCount == 0 {
			// The store refused this VM, or the direct route is broken.
			timer.Stop()
			startHedge()
			inFlight, hedgeCount = inFlight+1, 1
			continue
		}
		if inFlight == 0 {
			if unknown == nil {
				unknown = last.err
			}
			return last.value, withDirectError(unknown, directErr)
		}
	}
}

// hedgeRoute is the route of a hedged call through proxies.
type hedgeRoute struct {
	moves  progress.Clock
	cancel atomic.Pointer[context.CancelFunc]
}

// start returns the context of the route. now returns the boot time.
func (h *hedgeRoute) start(ctx context.Context, now func() time.Duration) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	h.cancel.Store(&cancel)
	return h.moves.Observe(ctx, now)
}

// cancelUnlessMoving ends the route, if it has been started, unless a part of its answer has
// arrived. The direct route is then the faster one, and each copy of a large answer takes a share
// of the link.
func (h *hedgeRoute) cancelUnlessMoving() {
	cancel := h.cancel.Load()
	if _, moved := h.moves.FirstReceived(); cancel != nil && !moved {
		(*cancel)()
	}
}

// withDirectError adds the error of the direct call to that of a call that failed on both routes.
func withDirectError(err, directErr error) error {
	if err == directErr {
		return eris.Wrap(err, "call the store directly")
	}
	return eris.Wrapf(err, "direct call failed (%v); other route", directErr)
}

// routeAnswer describes the first answer to a call.
type routeAnswer struct {
	isDirect bool
	// took is the latency of the route that answered, directElapsed the time for which the direct
	// route has been tried.
	took, directElapsed time.Duration
	// mayWait is true for a call that the store may hold by itself.
	mayWait bool
	// directArrives is true if a part of the direct answer has arrived.
	directArrives bool
}

// recordAnswer records which route answered first, and its latency. If the direct call has had
// less than hedgeLatencyFactor times as long as the other route, the store may
// be slow for all VMs and the direct route does not count as failed. The
// duration of a call that may wait at the store is no measure of its latency.
// callHedged calls it with the first answer unless the direct route had failed
// before, probeDirect after a successful probe.
func (sr *storeRouter) recordAnswer(a routeAnswer) {
	if !a.mayWait {
		sr.latency.Store(int64(a.took))
	}
	switch {
	case a.isDirect:
		sr.answeredAt.Store(int64(sr.now()))
		sr.markReachable()
	case a.directArrives:
	case !a.mayWait && a.directElapsed < hedgeLatencyFactor*a.took:
	case sr.unreachableSince.CompareAndSwap(0, int64(sr.now())):
		sr.log("store answers other VMs only")
	}
}

// markReachable records that the direct route works. recordAnswer calls it for
// each direct answer.
func (sr *storeRouter) markReachable() {
	if since := sr.unreachableSince.Swap(0); since != 0 {
		sr.log("store answers again", "after_ms", (sr.now() - time.Duration(since)).Milliseconds())
	}
}

// Append implements cell.Store. It runs for each append that this VM makes on
// its own behalf: records of callers, progress, deletions, and the election's
// records.
func (sr *storeRouter) Append(ctx context.Context, a cell.Append) (int64, error) {
	req := &cellpb.AppendRequest{
		Topic: string(a.Topic), Records: recordsToProto(a.Records), At: a.ExpectedEnd, Epoch: a.Epoch, Sequence: a.Sequence,
	}
	delay := sr.hedgeDelay()
	return callHedged(ctx, sr, hedgePolicy{delay: delay, isAppend: true}, func(ctx context.Context) (int64, error) {
		return sr.direct.Append(ctx, a)
	}, func(ctx context.Context) (timedAnswer[int64], error) {
		r, err := callProxies(ctx, sr, delay, func(ctx context.Context, peer cellpb.Cell) (*cellpb.AppendResponse, cellpb.Outcome, error) {
			resp, err := peer.Append(ctx, req)
			return resp, resp.GetOutcome(), err
		})
		if err != nil {
			return timedAnswer[int64]{}, err
		}
		return timedAnswer[int64]{r.value.End, r.took}, errorFromOutcome(r.value.Outcome, r.value.End)
	})
}

// Read implements cell.Store. It ends without progress for readTimeoutSlack, at the beginning
// wait longer. Topic readers, the election and lookups of unknown jobs call it.
func (sr *storeRouter) Read(ctx context.Context, topic cell.Topic, from int64, wait time.Duration) (cell.Batch, error) {
	ctx, cancel := progress.WithStallTimeout(ctx, wait+readTimeoutSlack, readTimeoutSlack)
	defer cancel()
	req := &cellpb.ReadRequest{Topic: string(topic), From: from, WaitMs: wait.Milliseconds()}
	delay := sr.readHedgeDelay(topic)
	batch, err := callHedged(ctx, sr, hedgePolicy{storeWait: wait, delay: delay}, func(ctx context.Context) (cell.Batch, error) {
		if topic == cell.TopicConfig {
			ctx = progress.Observe(ctx, func(d progress.Direction) {
				if d == progress.Received {
					sr.configArrivedAt.Store(int64(sr.now()))
				}
			})
		}
		return sr.direct.Read(ctx, topic, from, wait)
	}, func(ctx context.Context) (timedAnswer[cell.Batch], error) {
		return sr.batchThroughProxies(ctx, delay, func(ctx context.Context, peer cellpb.Cell) (*cellpb.BatchResponse, error) { return peer.Read(ctx, req) })
	})
	return batch, progress.Cause(ctx, err)
}

// Newest implements cell.Store. It ends without progress for newestTimeout. Topic readers and the election call it when
// they have no position in a topic yet or the store no longer keeps it.
func (sr *storeRouter) Newest(ctx context.Context, topic cell.Topic) (cell.Batch, error) {
	ctx, cancel := progress.WithStallTimeout(ctx, sr.newestTimeout, sr.newestTimeout)
	defer cancel()
	req := &cellpb.NewestRequest{Topic: string(topic)}
	delay := sr.readHedgeDelay(topic)
	batch, err := callHedged(ctx, sr, hedgePolicy{storeWait: newestHedgeExtra, delay: delay}, func(ctx context.Context) (cell.Batch, error) {
		return sr.direct.Newest(ctx, topic)
	}, func(ctx context.Context) (timedAnswer[cell.Batch], error) {
		return sr.batchThroughProxies(ctx, delay, func(ctx context.Context, peer cellpb.Cell) (*cellpb.BatchResponse, error) {
			return peer.Newest(ctx, req)
		})
	})
	return batch, progress.Cause(ctx, err)
}

// batchThroughProxies makes a call that returns a batch through store proxies
// and decodes the answer. It is the proxy route of Read and Newest.
func (sr *storeRouter) batchThroughProxies(ctx context.Context, hedgeDelay time.Duration, call func(context.Context, cellpb.Cell) (*cellpb.BatchResponse, error)) (timedAnswer[cell.Batch], error) {
	r, err := callProxies(ctx, sr, hedgeDelay, func(ctx context.Context, peer cellpb.Cell) (*cellpb.BatchResponse, cellpb.Outcome, error) {
		resp, err := call(ctx, peer)
		return resp, resp.GetOutcome(), err
	})
	if err != nil {
		return timedAnswer[cell.Batch]{}, err
	}
	resp := r.value
	batch := cell.Batch{Records: recordsFromProto(resp.Records), Next: resp.Next, End: resp.End, Unreadable: int(resp.Unreadable)}
	return timedAnswer[cell.Batch]{batch, r.took}, errorFromOutcome(resp.Outcome, resp.End)
}
