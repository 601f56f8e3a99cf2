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

// The owner appends the submissions of all VMs, so that one append at a time
// carries them. A partition of the store executes its appends one after the
// other; if each VM appended its own, the appends would queue up in a slow
// store.

const (
	// ownerCommitTimeout is how long the owner may take for a submission before
	// this VM also appends it directly. A batch in flight may take
	// storeDownTimeout.
	ownerCommitTimeout = storeDownTimeout + 100*time.Millisecond
	// commitLatencyFactor is the multiple of the store's latency that is added to
	// timeouts of a commit: one for the batch in flight, one for the next and one
	// in reserve.
	commitLatencyFactor = 3
	// ownerCheckInterval is how often a waiting VM checks that the owner still
	// answers.
	ownerCheckInterval = 50 * time.Millisecond
	// slowStoreOwnerWait is how long submissions wait for an owner while the store is
	// slow; a takeover then takes up to 0.9 s.
	slowStoreOwnerWait = 1200 * time.Millisecond
)

// commit appends records to topic jobs: through the owner if it answers, and
// directly if it does not or has not appended them. Appending them twice is
// harmless because the records are the same. The committer calls it for each
// attempt to append a batch, on its goroutine.
//
// While the store is slow, submissions wait for an owner: the direct appends of all
// VMs would queue up in the store for seconds, with the claims and records of the next
// owner behind them, and no job can start without an owner anyway.
func (n *Node) commit(ctx context.Context, records []cell.KeyValue) error {
	owner := n.responsiveOwner()
	if owner == nil && n.storeRouter.isSlow() {
		owner = n.awaitResponsiveOwner(ctx)
	}
	// The attempt begins after the wait, which would leave less than a slow store takes.
	ctx, cancel := context.WithTimeout(ctx, commitAttemptTimeout)
	defer cancel()
	if n.activeLoop() != nil || owner == nil {
		return n.commitDirect(ctx, records)
	}
	viaOwner := make(chan error, 1)
	go func() { viaOwner <- submitToOwner(ctx, owner, records) }()
	err, answered := n.awaitOwner(ctx, viaOwner)
	if answered && err == nil {
		n.countRequest("commit", "owner")
		return nil
	}
	direct := make(chan error, 1)
	go func() { direct <- n.commitDirect(ctx, records) }()
	if answered {
		return firstSuccess(err, <-direct)
	}
	n.countRequest("commit", "owner_late")
	select {
	case err := <-viaOwner:
		if err == nil {
			return nil
		}
		return firstSuccess(err, <-direct)
	case err := <-direct:
		if err == nil {
			return nil
		}
		return firstSuccess(err, <-viaOwner)
	}
}

// awaitResponsiveOwner returns the client of an owner that answers, or nil if there is
// none after slowStoreOwnerWait or if this VM has become the owner. commit calls it.
func (n *Node) awaitResponsiveOwner(ctx context.Context) cellpb.Cell {
	deadline := bootTime() + slowStoreOwnerWait
	for bootTime() < deadline && ctx.Err() == nil && n.activeLoop() == nil {
		if owner := n.responsiveOwner(); owner != nil {
			return owner
		}
		sleep(ctx, ownerCheckInterval)
	}
	return nil
}

// awaitOwner waits for the owner's result until ownerCommitTimeout, extended
// by the store's latency, or until the owner stops answering. While the store is
// slow it waits for as long as the owner answers. answered is
// false if no result arrived. commit calls it for each batch that it has sent
// to the owner.
func (n *Node) awaitOwner(ctx context.Context, viaOwner <-chan error) (err error, answered bool) {
	deadline := bootTime() + ownerCommitTimeout + commitLatencyFactor*n.storeRouter.lastLatency()
	ticker := time.NewTicker(ownerCheckInterval)
	defer ticker.Stop()
	for (bootTime() < deadline || n.storeRouter.isSlow()) && n.responsiveOwner() != nil {
		select {
		case err := <-viaOwner:
			return err, true
		case <-ctx.Done():
			return ctx.Err(), true
		case <-ticker.C:
		}
	}
	return nil, false
}

// firstSuccess combines the results of the two routes of an append, through the
// owner and directly: a is the result that arrived first, b the other one. It
// returns nil if one route succeeded. The error wraps cell.ErrNotExecuted only
// if both do, which means that nothing was appended; otherwise it is an error
// after which the records may have been appended. commit calls it when the
// first result is an error of either kind and the other has arrived too.
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

// commitDirect appends records to topic jobs and notifies the owner of them.
// commit calls it on the owner, when no owner answers, and when the owner has
// failed or is late.
func (n *Node) commitDirect(ctx context.Context, records []cell.KeyValue) error {
	_, err := n.store.Append(ctx, cell.Append{Topic: cell.TopicJobs, Records: records, ExpectedEnd: -1})
	if err != nil {
		return err
	}
	if owner := n.ownerClient(); owner != nil {
		go n.notifyOwner(owner, records)
	}
	return nil
}

// submitToOwner has the owner append records to topic jobs. commit runs it on
// its own goroutine for each batch on a VM other than the owner.
func submitToOwner(ctx context.Context, owner cellpb.Cell, records []cell.KeyValue) error {
	resp, err := owner.Submit(ctx, &cellpb.SubmitRequest{Records: recordsToProto(records)})
	if err != nil {
		return &structs.Error{Step: "submit through the owner", Peer: "owner", Cause: err}
	}
	return errorFromOutcome(resp.Outcome, 0)
}

// commitOutcome encodes an error of the owner's committer. The Submit RPC
// calls it on the owner when the append has failed.
func commitOutcome(err error) cellpb.Outcome {
	var notExecuted *cell.NotExecutedError
	if errors.As(err, &notExecuted) {
		return cellpb.Outcome_NOT_DONE
	}
	return cellpb.Outcome_UNKNOWN
}

// errQueueFull is the cause reported for submissions that find the queue full.
var errQueueFull = eris.New("too many submissions wait")
