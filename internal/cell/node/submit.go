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

// Submissions are appended by the owner, which puts those of all VMs into one
// append at a time. A partition of the store takes its appends in turn, so that
// as many appends as there are VMs would wait for each other in a slow store.

const (
	// ownerPatience is how long the owner may take for a submission before it is
	// also appended directly: a batch under way may take downAfter.
	ownerPatience = downAfter + 100*time.Millisecond
	// ownerLatencies times the store's latency are added: one for the batch under
	// way, one for the next, one in reserve.
	ownerLatencies = 3
	// ownerWatch is how often a VM looks whether the owner still answers.
	ownerWatch = 50 * time.Millisecond
)

// commit appends records to topic jobs, through the owner if it answers and
// directly if it does not or has not appended them. Repetitions are harmless,
// since the records are the same.
func (n *Node) commit(ctx context.Context, records []cell.KeyValue) error {
	p := n.ownerAnswers()
	if n.owning() != nil || p == nil {
		return n.commitDirect(ctx, records)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	through := make(chan error, 1)
	go func() { through <- submitTo(ctx, p, records) }()
	err, answered := n.awaitOwner(ctx, through)
	if answered && err == nil {
		n.count("commit", "owner")
		return nil
	}
	direct := make(chan error, 1)
	go func() { direct <- n.commitDirect(ctx, records) }()
	if answered {
		return firstSuccess(err, <-direct)
	}
	n.count("commit", "owner_late")
	select {
	case err := <-through:
		if err == nil {
			return nil
		}
		return firstSuccess(err, <-direct)
	case err := <-direct:
		if err == nil {
			return nil
		}
		return firstSuccess(err, <-through)
	}
}

// awaitOwner waits for the owner's answer as long as the owner may need.
func (n *Node) awaitOwner(ctx context.Context, through <-chan error) (err error, answered bool) {
	deadline := boot() + ownerPatience + ownerLatencies*n.path.lastLatency()
	ticker := time.NewTicker(ownerWatch)
	defer ticker.Stop()
	for boot() < deadline && n.ownerAnswers() != nil {
		select {
		case err := <-through:
			return err, true
		case <-ctx.Done():
			return ctx.Err(), true
		case <-ticker.C:
		}
	}
	return nil, false
}

// firstSuccess combines the results of two ways of one append: one success is
// enough, and only two refusals mean that nothing was appended.
func firstSuccess(a, b error) error {
	switch {
	case a == nil || b == nil:
		return nil
	case !errors.Is(a, cell.ErrNotExecuted):
		return a
	default:
		return b
	}
}

// commitDirect appends records to topic jobs and tells the owner of them.
func (n *Node) commitDirect(ctx context.Context, records []cell.KeyValue) error {
	_, err := n.store.Append(ctx, cell.Append{Topic: cell.TopicJobs, Records: records, ExpectedEnd: -1})
	if err != nil {
		return err
	}
	if p := n.ownerPeer(); p != nil {
		go n.notify(p, records)
	}
	return nil
}

// submitTo has the owner append records.
func submitTo(ctx context.Context, p cellpb.Cell, records []cell.KeyValue) error {
	resp, err := p.Submit(ctx, &cellpb.SubmitRequest{Records: toWire(records)})
	if err != nil {
		return &structs.Error{Step: "submit through the owner", Peer: "owner", Cause: err}
	}
	return outcomeError(resp.Outcome, 0)
}

// outcomeOfSubmission encodes an error of the owner's committer.
func outcomeOfSubmission(err error) cellpb.Outcome {
	var notRun *cell.NotExecutedError
	if errors.As(err, &notRun) {
		return cellpb.Outcome_NOT_DONE
	}
	return cellpb.Outcome_UNKNOWN
}

// errTooMany is the cause of submissions that found a full queue.
var errTooMany = eris.New("too many submissions wait")
