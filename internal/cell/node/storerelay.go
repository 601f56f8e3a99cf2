package node

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/internal/structs"
)

// Calls of the store that this VM makes for another one, and their answers on the
// way between the two.

// outcomeOfError encodes an error of the store.
func outcomeOfError(err error) (outcome cellpb.Outcome, end int64) {
	var conflict *cell.ConflictError
	var sequence *cell.SequenceError
	switch {
	case err == nil:
		return cellpb.Outcome_DONE, 0
	case errors.Is(err, cell.ErrNotExecuted):
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
		return cell.ErrNotExecuted
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
var errPathBad = &structs.Error{Step: "call the store for another VM", Peer: "store", Cause: cell.ErrNotExecuted}

// serveAppend appends for another VM, by the direct way only.
func (p *storePath) serveAppend(ctx context.Context, req *cellpb.AppendRequest) *cellpb.AppendResponse {
	if p.bad() {
		return &cellpb.AppendResponse{Outcome: cellpb.Outcome_NOT_DONE}
	}
	end, err := p.direct.Append(ctx, cell.Append{
		Topic: cell.Topic(req.Topic), Records: fromWire(req.Records), ExpectedEnd: req.At, Epoch: req.Epoch, Sequence: req.Sequence,
	})
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
	}
	outcome, _ := outcomeOfError(err)
	return &cellpb.BatchResponse{Outcome: outcome, Records: toWire(batch.Records), Next: batch.Next, End: batch.End}
}
