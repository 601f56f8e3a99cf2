package node

import (
	"context"
	"errors"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/internal/structs"
)

// The serving side of store proxies, and the encoding of the store's errors
// between two VMs.

// outcomeFromError encodes an error of the store. end is the offset or the
// sequence number that the error carries. A store proxy calls it for each call
// that it has made for another VM.
func outcomeFromError(err error) (outcome cellpb.Outcome, end int64) {
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

// errorFromOutcome decodes the result of outcomeFromError. The VM that called
// a store proxy, or submitted through the owner, calls it with the answer.
func errorFromOutcome(outcome cellpb.Outcome, end int64) error {
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
		return eris.New("store proxy does not know whether the store executed the call")
	}
}

// errNoDirectStore is the error of a store proxy that has no direct route
// itself.
var errNoDirectStore = &structs.Error{Step: "call the store for another VM", Peer: "store", Cause: cell.ErrNotExecuted}

// serveAppend appends for another VM, by the direct route only. It runs in
// that VM's Append RPC.
func (sr *storeRouter) serveAppend(ctx context.Context, req *cellpb.AppendRequest) *cellpb.AppendResponse {
	if sr.isUnreachable() {
		return &cellpb.AppendResponse{Outcome: cellpb.Outcome_NOT_DONE}
	}
	end, err := sr.direct.Append(ctx, cell.Append{
		Topic: cell.Topic(req.Topic), Records: recordsFromProto(req.Records), ExpectedEnd: req.At, Epoch: req.Epoch, Sequence: req.Sequence,
	})
	outcome, conflictEnd := outcomeFromError(err)
	return &cellpb.AppendResponse{Outcome: outcome, End: max(end, conflictEnd)}
}

// serveRead reads for another VM, by the direct route only. It runs in that
// VM's Read RPC.
func (sr *storeRouter) serveRead(ctx context.Context, req *cellpb.ReadRequest) *cellpb.BatchResponse {
	return sr.serveBatch(ctx, func() (cell.Batch, error) {
		return sr.direct.Read(ctx, cell.Topic(req.Topic), req.From, time.Duration(req.WaitMs)*time.Millisecond)
	})
}

// serveNewest reads the newest records for another VM, by the direct route
// only. It runs in that VM's Newest RPC.
func (sr *storeRouter) serveNewest(ctx context.Context, req *cellpb.NewestRequest) *cellpb.BatchResponse {
	return sr.serveBatch(ctx, func() (cell.Batch, error) { return sr.direct.Newest(ctx, cell.Topic(req.Topic)) })
}

// serveBatch makes a direct call of the store, unless the direct route has
// failed, and encodes the result. serveRead and serveNewest call it.
func (sr *storeRouter) serveBatch(ctx context.Context, call func() (cell.Batch, error)) *cellpb.BatchResponse {
	err := error(errNoDirectStore)
	var batch cell.Batch
	if !sr.isUnreachable() {
		batch, err = call()
	}
	outcome, _ := outcomeFromError(err)
	// A text of an RPC must be valid UTF-8. Other writers may use any bytes as a key; none of
	// ours and no id of a worker is such a key.
	records := slices.DeleteFunc(slices.Clone(batch.Records), func(r cell.KeyValue) bool { return !utf8.ValidString(r.Key) })
	return &cellpb.BatchResponse{Outcome: outcome, Records: recordsToProto(records), Next: batch.Next, End: batch.End, Unreadable: int32(batch.Unreadable)}
}
