package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
)

// The store may answer some VMs and not others. A VM that it does not answer
// calls it through another VM, so that neither its callers nor an owner's work
// depend on its own path.

const (
	// probeEvery is how often a VM that the store does not answer tries again.
	probeEvery = 300 * time.Millisecond
	// probeTimeout bounds such a try. The slowest store seen answers after 0.35 s.
	probeTimeout = 500 * time.Millisecond
	// viaPeers bounds the VMs through which one call is tried.
	viaPeers = 3
	// answersFor is how long an answer of the store tells that it still answers:
	// it is read every 0.8 s.
	answersFor = 1200 * time.Millisecond
	// readSlack is added to the wait of a read.
	readSlack = time.Second
	// firstHedge is the least time after which a call is also made through
	// another VM; an answer takes 4 to 10 ms.
	firstHedge = 80 * time.Millisecond
	// hedgeFactor times the store's latency must have passed.
	hedgeFactor = 3
	// newestExtra is what the reading of pages may take more.
	newestExtra = 300 * time.Millisecond
)

// storePath is the way to the store, directly or through other VMs.
type storePath struct {
	direct cell.Store
	peers  func() []cellpb.Cell
	log    func(message string, details ...any)
	// badSince is when the direct way failed, in boot time; 0 while it works.
	badSince atomic.Int64
	probed   atomic.Int64
	// latency is that of the last direct answer.
	latency atomic.Int64
	// answeredAt is when the store last answered directly, in boot time.
	answeredAt atomic.Int64
}

// answers reports whether the store answered this VM lately.
func (p *storePath) answers() bool {
	return !p.bad() && boot()-time.Duration(p.answeredAt.Load()) < answersFor
}

// bad reports whether the direct way does not work.
func (p *storePath) bad() bool { return p.badSince.Load() != 0 }

// lastLatency returns the latency of the last direct answer.
func (p *storePath) lastLatency() time.Duration { return time.Duration(p.latency.Load()) }

// isAnswer reports whether an error is an answer of a store that works.
func isAnswer(err error) bool {
	var conflict *cell.ConflictError
	var sequence *cell.SequenceError
	return errors.As(err, &conflict) || errors.As(err, &sequence) ||
		errors.Is(err, cell.ErrFenced) || errors.Is(err, cell.ErrExpired)
}

// probe tries the direct way again, at most every probeEvery.
func (p *storePath) probe() {
	last := p.probed.Load()
	if boot()-time.Duration(last) < probeEvery || !p.probed.CompareAndSwap(last, int64(boot())) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		began := boot()
		if _, err := p.direct.Newest(ctx, cell.TopicOwner); err == nil {
			took := boot() - began
			p.learn(true, took, took, false)
		}
	}()
}

// viaResult is what another VM answered.
type viaResult[T any] struct {
	relayed[T]
	outcome cellpb.Outcome
	err     error
}

// relayed is an answer of the store through another VM, which took so long.
type relayed[T any] struct {
	value T
	took  time.Duration
}

// via calls through other VMs until one of them has an answer of the store. The
// next one is called when the one before has not answered for as long as a call
// is hedged for, or has no answer of the store.
func via[T any](ctx context.Context, p *storePath, call func(context.Context, cellpb.Cell) (T, cellpb.Outcome, error)) (relayed[T], error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := p.peers()
	peers = peers[:min(viaPeers, len(peers))]
	results := make(chan viaResult[T], len(peers))
	next := time.NewTimer(0)
	defer next.Stop()
	err := eris.Wrap(cell.ErrNotExecuted, "no other VM can be asked")
	called, open := 0, 0
	for called < len(peers) || open > 0 {
		select {
		case <-next.C:
			if called == len(peers) {
				continue
			}
			peer := peers[called]
			called++
			open++
			go func() {
				began := boot()
				value, outcome, err := call(ctx, peer)
				results <- viaResult[T]{relayed[T]{value, boot() - began}, outcome, err}
			}()
			next.Reset(p.hedgeAfter())
			continue
		case r := <-results:
			open--
			if r.err == nil && r.outcome != cellpb.Outcome_NOT_DONE && r.outcome != cellpb.Outcome_UNKNOWN {
				return r.relayed, nil
			}
			err = viaError(err, r.outcome, r.err)
			next.Reset(0)
		}
	}
	return relayed[T]{}, err
}

// viaError combines the failures of several VMs: once one of them may have had
// the call executed, another one's refusal is not the last word.
func viaError(before error, outcome cellpb.Outcome, err error) error {
	switch {
	case !errors.Is(before, cell.ErrNotExecuted):
		return before
	case err != nil:
		return eris.Wrap(err, "call the store through another VM")
	default:
		return outcomeError(outcome, 0)
	}
}

// hedgeAfter is how long a call waits for the store before it is also made
// through another VM: longer while the store is slow for all.
func (p *storePath) hedgeAfter() time.Duration {
	return max(firstHedge, hedgeFactor*time.Duration(p.latency.Load()))
}

// result is the result of one way of a call.
type result[T any] struct {
	relayed[T]
	err    error
	direct bool
}

// hedged calls the store directly and, if it does not answer soon, through
// another VM, too. The first answer of the store counts; extra is the time for
// which the store may wait by itself.
func hedged[T any](ctx context.Context, p *storePath, extra time.Duration, direct func(context.Context) (T, error), viaPeer func(context.Context) (relayed[T], error)) (T, error) {
	if p.bad() {
		p.probe()
		r, err := viaPeer(ctx)
		if extra == 0 && (err == nil || isAnswer(err)) {
			p.latency.Store(int64(r.took))
		}
		return r.value, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result[T], 2)
	began := boot()
	go func() {
		v, err := direct(ctx)
		results <- result[T]{relayed[T]{v, boot() - began}, err, true}
	}()
	timer := time.NewTimer(extra + p.hedgeAfter())
	defer timer.Stop()
	hedge := func() {
		go func() {
			r, err := viaPeer(ctx)
			results <- result[T]{r, err, false}
		}()
	}
	open, hedges := 1, 0
	var unknown error
	var last result[T]
	for {
		select {
		case <-timer.C:
			hedge()
			open, hedges = open+1, 1
			continue
		case last = <-results:
		}
		open--
		if last.err == nil || isAnswer(last.err) {
			p.learn(last.direct, last.took, boot()-began, extra > 0)
			return last.value, last.err
		}
		if !errors.Is(last.err, cell.ErrNotExecuted) {
			unknown = last.err
		}
		if last.direct && hedges == 0 {
			// The store turned this VM away, or the way to it is broken.
			timer.Stop()
			hedge()
			open, hedges = open+1, 1
			continue
		}
		if open == 0 {
			if unknown != nil {
				return last.value, unknown
			}
			return last.value, last.err
		}
	}
}

// learn notes which way had the first answer, how long that way took and how long
// the direct one has been tried. A direct call that has not had several times as
// long as the other way says nothing: the store is slow for all. The time of a
// call that may wait at the store tells nothing of its latency.
func (p *storePath) learn(direct bool, took, tried time.Duration, waits bool) {
	if !waits {
		p.latency.Store(int64(took))
	}
	switch {
	case direct:
		p.answeredAt.Store(int64(boot()))
		p.works()
	case !waits && tried < hedgeFactor*took:
	case p.badSince.CompareAndSwap(0, int64(boot())):
		p.log("store answers other VMs only")
	}
}

// works notes that the direct way works.
func (p *storePath) works() {
	if since := p.badSince.Swap(0); since != 0 {
		p.log("store answers again", "after_ms", (boot() - time.Duration(since)).Milliseconds())
	}
}

// Append implements cell.Store.
func (p *storePath) Append(ctx context.Context, a cell.Append) (int64, error) {
	req := &cellpb.AppendRequest{
		Topic: string(a.Topic), Records: toWire(a.Records), At: a.ExpectedEnd, Epoch: a.Epoch, Sequence: a.Sequence,
	}
	return hedged(ctx, p, 0, func(ctx context.Context) (int64, error) {
		return p.direct.Append(ctx, a)
	}, func(ctx context.Context) (relayed[int64], error) {
		r, err := via(ctx, p, func(ctx context.Context, peer cellpb.Cell) (*cellpb.AppendResponse, cellpb.Outcome, error) {
			resp, err := peer.Append(ctx, req)
			return resp, resp.GetOutcome(), err
		})
		if err != nil {
			return relayed[int64]{}, err
		}
		return relayed[int64]{r.value.End, r.took}, outcomeError(r.value.Outcome, r.value.End)
	})
}

// Read implements cell.Store.
func (p *storePath) Read(ctx context.Context, topic cell.Topic, from int64, wait time.Duration) (cell.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	req := &cellpb.ReadRequest{Topic: string(topic), From: from, WaitMs: wait.Milliseconds()}
	return hedged(ctx, p, wait, func(ctx context.Context) (cell.Batch, error) {
		return p.direct.Read(ctx, topic, from, wait)
	}, func(ctx context.Context) (relayed[cell.Batch], error) {
		return p.batchVia(ctx, func(ctx context.Context, peer cellpb.Cell) (*cellpb.BatchResponse, error) { return peer.Read(ctx, req) })
	})
}

// Newest implements cell.Store.
func (p *storePath) Newest(ctx context.Context, topic cell.Topic) (cell.Batch, error) {
	req := &cellpb.NewestRequest{Topic: string(topic)}
	return hedged(ctx, p, newestExtra, func(ctx context.Context) (cell.Batch, error) {
		return p.direct.Newest(ctx, topic)
	}, func(ctx context.Context) (relayed[cell.Batch], error) {
		return p.batchVia(ctx, func(ctx context.Context, peer cellpb.Cell) (*cellpb.BatchResponse, error) {
			return peer.Newest(ctx, req)
		})
	})
}

func (p *storePath) batchVia(ctx context.Context, call func(context.Context, cellpb.Cell) (*cellpb.BatchResponse, error)) (relayed[cell.Batch], error) {
	r, err := via(ctx, p, func(ctx context.Context, peer cellpb.Cell) (*cellpb.BatchResponse, cellpb.Outcome, error) {
		resp, err := call(ctx, peer)
		return resp, resp.GetOutcome(), err
	})
	if err != nil {
		return relayed[cell.Batch]{}, err
	}
	resp := r.value
	batch := cell.Batch{Records: fromWire(resp.Records), Next: resp.Next, End: resp.End}
	return relayed[cell.Batch]{batch, r.took}, outcomeError(resp.Outcome, resp.End)
}
