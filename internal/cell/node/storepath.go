package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/internal/structs"
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
	viaPeers = 2
	// viaSlack is added to the wait of a read through another VM.
	viaSlack = 400 * time.Millisecond
)

// storePath is the way to the store, directly or through other VMs.
type storePath struct {
	direct cell.Store
	peers  func() []cellpb.Cell
	log    func(message string, details ...any)
	// badSince is when the direct way failed, in boot time; 0 while it works.
	badSince atomic.Int64
	probed   atomic.Int64
	turn     atomic.Int64
}

// bad reports whether the direct way does not work.
func (p *storePath) bad() bool { return p.badSince.Load() != 0 }

// note takes the result of a direct call over. A refusal of a condition is an
// answer like any other.
func (p *storePath) note(ctx context.Context, err error) {
	if err == nil || isAnswer(err) {
		if since := p.badSince.Swap(0); since != 0 {
			p.log("store answers again", "after_ms", (boot() - time.Duration(since)).Milliseconds())
		}
		return
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return // the caller did not wait for the answer
	}
	if p.badSince.CompareAndSwap(0, int64(boot())) {
		p.log("store does not answer", "error", err.Error())
	}
}

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
		_, err := p.direct.Newest(ctx, cell.TopicOwner)
		p.note(ctx, err)
	}()
}

// via calls through other VMs until one of them has an answer of the store.
func via[T any](p *storePath, call func(cellpb.Cell) (T, cellpb.Outcome, error)) (T, error) {
	p.probe()
	peers := p.peers()
	err := eris.Wrap(cell.ErrNotDone, "no other VM can be asked")
	var none T
	turn := int(p.turn.Load())
	for i := range min(viaPeers, len(peers)) {
		out, outcome, callErr := call(peers[(turn+i)%len(peers)])
		switch {
		case callErr != nil:
			// The call may have been executed, so that another VM's refusal would
			// not be the last word.
			p.turn.Add(1)
			return none, callErr
		case outcome == cellpb.Outcome_NOT_DONE:
			p.turn.Add(1)
			err = eris.Wrap(cell.ErrNotDone, "the store does not answer another VM either")
		default:
			return out, nil
		}
	}
	return none, err
}

// Append implements cell.Store.
func (p *storePath) Append(ctx context.Context, a cell.Append) (int64, error) {
	if !p.bad() {
		end, err := p.direct.Append(ctx, a)
		p.note(ctx, err)
		return end, err
	}
	req := &cellpb.AppendRequest{
		Topic: string(a.Topic), Records: toWire(a.Records), At: a.At, Epoch: a.Epoch, Sequence: a.Sequence,
	}
	resp, err := via(p, func(peer cellpb.Cell) (*cellpb.AppendResponse, cellpb.Outcome, error) {
		resp, err := peer.Append(ctx, req)
		return resp, resp.GetOutcome(), err
	})
	if err != nil {
		return 0, err
	}
	return resp.End, outcomeError(resp.Outcome, resp.End)
}

// Read implements cell.Store.
func (p *storePath) Read(ctx context.Context, topic cell.Topic, from int64, wait time.Duration) (cell.Batch, error) {
	if !p.bad() {
		batch, err := p.direct.Read(ctx, topic, from, wait)
		p.note(ctx, err)
		return batch, err
	}
	req := &cellpb.ReadRequest{Topic: string(topic), From: from, WaitMs: wait.Milliseconds()}
	ctx, cancel := context.WithTimeout(ctx, wait+viaSlack)
	defer cancel()
	return p.batchVia(func(peer cellpb.Cell) (*cellpb.BatchResponse, error) { return peer.Read(ctx, req) })
}

// Newest implements cell.Store.
func (p *storePath) Newest(ctx context.Context, topic cell.Topic) (cell.Batch, error) {
	if !p.bad() {
		batch, err := p.direct.Newest(ctx, topic)
		p.note(ctx, err)
		return batch, err
	}
	req := &cellpb.NewestRequest{Topic: string(topic)}
	return p.batchVia(func(peer cellpb.Cell) (*cellpb.BatchResponse, error) { return peer.Newest(ctx, req) })
}

func (p *storePath) batchVia(call func(cellpb.Cell) (*cellpb.BatchResponse, error)) (cell.Batch, error) {
	resp, err := via(p, func(peer cellpb.Cell) (*cellpb.BatchResponse, cellpb.Outcome, error) {
		resp, err := call(peer)
		return resp, resp.GetOutcome(), err
	})
	if err != nil {
		return cell.Batch{}, err
	}
	batch := cell.Batch{Records: fromWire(resp.Records), Next: resp.Next, End: resp.End}
	return batch, outcomeError(resp.Outcome, resp.End)
}

// outcomeOfError encodes an error of the store.
func outcomeOfError(err error) (outcome cellpb.Outcome, end int64) {
	var conflict *cell.ConflictError
	var sequence *cell.SequenceError
	switch {
	case err == nil:
		return cellpb.Outcome_DONE, 0
	case errors.Is(err, cell.ErrNotDone):
		return cellpb.Outcome_NOT_DONE, 0
	case errors.Is(err, cell.ErrFenced):
		return cellpb.Outcome_FENCED, 0
	case errors.Is(err, cell.ErrExpired):
		return cellpb.Outcome_EXPIRED, 0
	case errors.As(err, &conflict):
		return cellpb.Outcome_CONFLICT, conflict.End
	case errors.As(err, &sequence):
		return cellpb.Outcome_SEQUENCE, sequence.Expected
	default:
		return cellpb.Outcome_UNKNOWN, 0
	}
}

// outcomeError decodes what outcomeOfError encoded.
func outcomeError(outcome cellpb.Outcome, end int64) error {
	switch outcome {
	case cellpb.Outcome_DONE:
		return nil
	case cellpb.Outcome_NOT_DONE:
		return cell.ErrNotDone
	case cellpb.Outcome_FENCED:
		return cell.ErrFenced
	case cellpb.Outcome_EXPIRED:
		return cell.ErrExpired
	case cellpb.Outcome_CONFLICT:
		return &cell.ConflictError{End: end}
	case cellpb.Outcome_SEQUENCE:
		return &cell.SequenceError{Expected: end}
	default:
		return eris.New("another VM does not know whether the store executed the call")
	}
}

// errPathBad is the answer to a VM that asks one without a direct way.
var errPathBad = &structs.Error{Step: "call the store for another VM", Peer: "store", Cause: cell.ErrNotDone}

// serveAppend appends for another VM, by the direct way only.
func (p *storePath) serveAppend(ctx context.Context, req *cellpb.AppendRequest) *cellpb.AppendResponse {
	if p.bad() {
		return &cellpb.AppendResponse{Outcome: cellpb.Outcome_NOT_DONE}
	}
	end, err := p.direct.Append(ctx, cell.Append{
		Topic: cell.Topic(req.Topic), Records: fromWire(req.Records), At: req.At, Epoch: req.Epoch, Sequence: req.Sequence,
	})
	p.note(ctx, err)
	outcome, elsewhere := outcomeOfError(err)
	return &cellpb.AppendResponse{Outcome: outcome, End: max(end, elsewhere)}
}

func (p *storePath) serveRead(ctx context.Context, req *cellpb.ReadRequest) *cellpb.BatchResponse {
	return p.serveBatch(ctx, func() (cell.Batch, error) {
		return p.direct.Read(ctx, cell.Topic(req.Topic), req.From, time.Duration(req.WaitMs)*time.Millisecond)
	})
}

func (p *storePath) serveNewest(ctx context.Context, req *cellpb.NewestRequest) *cellpb.BatchResponse {
	return p.serveBatch(ctx, func() (cell.Batch, error) { return p.direct.Newest(ctx, cell.Topic(req.Topic)) })
}

func (p *storePath) serveBatch(ctx context.Context, call func() (cell.Batch, error)) *cellpb.BatchResponse {
	err := error(errPathBad)
	var batch cell.Batch
	if !p.bad() {
		batch, err = call()
		p.note(ctx, err)
	}
	outcome, _ := outcomeOfError(err)
	return &cellpb.BatchResponse{Outcome: outcome, Records: toWire(batch.Records), Next: batch.Next, End: batch.End}
}
