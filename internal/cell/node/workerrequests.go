package node

import (
	"context"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/owner"
)

// withPermit returns the context of an order to a worker that was decided now. The
// order may be sent for as long as its call may take, measured on the clock that also
// advances while the VM is suspended. A start request also needs the authority of an
// owner, since a successor starts the same tasks once that has run out. perform calls
// it for each order. Renewals need no permit: they name the end of the lease as a
// point in time, so that a late one does not extend it.
func (c *controlLoop) withPermit(ctx context.Context, timeout time.Duration, needsAuthority bool) context.Context {
	decidedAt := bootTime()
	return cell.WithPermit(ctx, func() error {
		now := bootTime()
		if now-decidedAt > timeout || needsAuthority && !c.node.hasAuthority(now) {
			c.node.metrics.unsentRequests.Inc()
			return cell.ErrPermitExpired
		}
		return nil
	})
}

// hasAuthority reports whether this VM may start tasks as the owner: the store has
// accepted a claim or a heartbeat that was sent within owner.AuthorityTimeout.
func (n *Node) hasAuthority(now time.Duration) bool {
	return now-time.Duration(n.heartbeatAt.Load()) <= owner.AuthorityTimeout
}

// sendStart sends a start request to a worker and posts the result to the
// control loop. perform starts it on its own goroutine for each SendStart
// action.
func (c *controlLoop) sendStart(ctx context.Context, s cell.Start, timeout time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	clock, refusal, err := c.node.workers.Start(callCtx, s)
	c.post(ctx, owner.StartResult{Task: s.Task, Run: s.Run, Worker: s.Worker, Clock: clock, Refusal: refusal, Err: err})
}

// sendStop sends a stop request to a worker and posts the result to the
// control loop. perform starts it on its own goroutine for each SendStop
// action.
func (c *controlLoop) sendStop(ctx context.Context, s cell.Stop, timeout time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	refusal, err := c.node.workers.Stop(callCtx, s)
	c.post(ctx, owner.StopResult{Task: s.Task, Run: s.Run, Worker: s.Worker, Refusal: refusal, Err: err})
}

// sendPace sends a pace request to a worker and posts the result to the
// control loop. perform starts it on its own goroutine for each SendPace
// action.
func (c *controlLoop) sendPace(ctx context.Context, p cell.Pace, timeout time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	refusal, err := c.node.workers.Pace(callCtx, p)
	c.post(ctx, owner.PaceResult{Pace: p, Refusal: refusal, Err: err})
}

// sendRenewal renews a worker's lease and posts the result, with the worker's
// inventory, to the control loop. perform starts it on its own goroutine for
// each Renew action. slack is how long the answer may take beyond the wait time.
func (c *controlLoop) sendRenewal(ctx context.Context, r cell.Renewal, slack time.Duration) {
	sentAt := bootTime()
	callCtx, cancel := context.WithTimeout(ctx, r.Wait+slack)
	defer cancel()
	inv, refusal, err := c.node.workers.Renew(callCtx, r)
	if err == nil {
		c.workerDelay.observe(r.Wait, bootTime()-sentAt)
	}
	c.post(ctx, owner.RenewResult{Worker: r.Worker, SentAt: sentAt, Inventory: inv, Refusal: refusal, Err: err})
}
