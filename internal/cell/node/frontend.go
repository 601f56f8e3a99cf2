package node

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
)

const (
	// notifyTimeout bounds telling the owner of a record.
	notifyTimeout = 300 * time.Millisecond
	// answerMargin is kept of a caller's deadline for the answer to arrive.
	answerMargin = 150 * time.Millisecond
	// askOwnerTimeout bounds the owner's answer about a job.
	askOwnerTimeout = 300 * time.Millisecond
	// unreadLimit is how long this VM may not have read the store before it asks
	// to be taken out of rotation.
	unreadLimit = 1500 * time.Millisecond
)

// Config returns the configuration in force, or nil.
func (n *Node) Config() *cell.Config {
	return n.config.Load()
}

// Ready reports whether this VM wants new callers.
func (n *Node) Ready() bool {
	if n.draining.Load() || n.config.Load() == nil {
		return false
	}
	if standby(n.settings) && !n.follows() {
		return false
	}
	if n.committer.down() {
		return false
	}
	return boot()-time.Duration(n.jobs.readAt.Load()) < unreadLimit
}

// Drain asks the balancer to send no more callers.
func (n *Node) Drain() {
	n.draining.Store(true)
}

// Submit records a job. A NotRunError means that it was certainly not recorded.
func (n *Node) Submit(ctx context.Context, job *cell.Job) error {
	if _, known := n.mirror.state(job.ID); known {
		n.count("submit", "repeated")
		return nil
	}
	job.AcceptedAt = time.Now()
	value, err := cell.EncodeJob(job)
	if err != nil {
		return eris.Wrap(err, "encode job")
	}
	kv := cell.KeyValue{Key: cell.JobKey(job.ID), Value: value}
	if err := n.appendJobs(ctx, kv); err != nil {
		n.count("submit", outcomeOf(err))
		n.logRefusal(job, err)
		return err
	}
	n.count("submit", "accepted")
	n.log.Info("job is accepted", "id", string(job.ID), "queue", job.Queue.Name, "steps", len(job.Steps))
	return nil
}

// logRefusal logs within a budget, since an outage refuses every submission.
func (n *Node) logRefusal(job *cell.Job, err error) {
	n.mu.Lock()
	write, dropped := n.refusals.spend(time.Now())
	n.mu.Unlock()
	if write {
		n.log.Info("job is not accepted", "id", string(job.ID), "queue", job.Queue.Name,
			"outcome", outcomeOf(err), "dropped_before", dropped, "error", err.Error())
	}
}

func outcomeOf(err error) string {
	var notRun *cell.NotExecutedError
	if errors.As(err, &notRun) {
		return "not_run"
	}
	return "unknown"
}

func (n *Node) count(operation, outcome string) {
	n.metrics.requests.WithLabelValues(operation, outcome).Inc()
}

// appendJobs appends a record to topic jobs and has the owner know of it.
func (n *Node) appendJobs(ctx context.Context, kv cell.KeyValue) error {
	records := []cell.KeyValue{kv}
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-answerMargin))
		defer cancel()
	}
	if err := n.committer.append(ctx, records); err != nil {
		return err
	}
	n.takeJobs(records)
	return nil
}

// notify tells the owner of records; if that fails it reads them.
func (n *Node) notify(p cellpb.Cell, records []cell.KeyValue) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if _, err := p.Notify(ctx, &cellpb.NotifyRequest{Records: toWire(records)}); err != nil {
		n.count("notify", "failed")
	}
}

// State returns a job's state. The owner knows it first.
func (n *Node) State(ctx context.Context, id cell.JobID) (cell.State, bool, error) {
	state, known := n.mirror.state(id)
	if known && state.IsFinal() || n.owning() != nil && known {
		n.count("state", "own")
		return state, true, nil
	}
	if p := n.ownerPeer(); p != nil {
		if s, ok := n.askOwner(ctx, p, id); ok {
			n.count("state", "owner")
			return s, true, nil
		}
	}
	if !known || !n.follows() {
		s, found, err := n.lookUp(ctx, id)
		if err == nil && (found || !known) || !known {
			return s, found, err
		}
	}
	n.count("state", "own")
	return state, true, nil
}

// lookUp looks an unknown job up: in the store, or at VMs that follow the jobs.
func (n *Node) lookUp(ctx context.Context, id cell.JobID) (cell.State, bool, error) {
	if !n.follows() {
		return n.askFollowers(ctx, id)
	}
	found, err := n.jobs.peek(ctx, cell.JobKey(id))
	if err != nil {
		n.count("state", "unknown")
		return 0, false, &cell.NotExecutedError{RetryAfter: cell.ShortRetryAfter, Cause: err}
	}
	n.count("state", "looked_up")
	// The tail may have read the job while the store was asked.
	if state, known := n.mirror.state(id); known {
		return state, true, nil
	}
	return cell.StateQueued, found, nil
}

// askMost bounds the VMs that are asked about one job.
const askMost = 8

// askFollowers asks other VMs about a job, all at once. Only one that follows the
// jobs, and so would know it, can say that there is none.
func (n *Node) askFollowers(ctx context.Context, id cell.JobID) (cell.State, bool, error) {
	peers := n.peersForStore()
	peers = peers[:min(askMost, len(peers))]
	answers := make(chan *cellpb.StateResponse, len(peers))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, p := range peers {
		go func() {
			resp, err := n.askState(ctx, p, id)
			if err != nil {
				n.log.Debug("VM does not answer about a job", "id", string(id), "error", err.Error())
			}
			answers <- resp
		}()
	}
	denied := false
	for range peers {
		resp := <-answers
		if !resp.GetFollows() {
			continue
		}
		if len(resp.State) == 1 {
			return cell.State(resp.State[0]), true, nil
		}
		denied = true
	}
	if denied {
		return 0, false, nil
	}
	n.count("state", "unknown")
	return 0, false, &cell.NotExecutedError{RetryAfter: cell.ShortRetryAfter, Cause: eris.New("no VM that follows the jobs answers")}
}

func (n *Node) askState(ctx context.Context, p cellpb.Cell, id cell.JobID) (*cellpb.StateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, askOwnerTimeout)
	defer cancel()
	return p.State(ctx, &cellpb.StateRequest{Job: string(id)})
}

func (n *Node) askOwner(ctx context.Context, p cellpb.Cell, id cell.JobID) (cell.State, bool) {
	resp, err := n.askState(ctx, p, id)
	if err != nil {
		n.count("state", "owner_failed")
		n.log.Debug("owner does not answer", "id", string(id), "error", err.Error())
		return 0, false
	}
	if len(resp.State) != 1 {
		return 0, false
	}
	return cell.State(resp.State[0]), true
}

// Cancel records that a job is to be cancelled.
func (n *Node) Cancel(ctx context.Context, id cell.JobID) (bool, error) {
	state, known, err := n.State(ctx, id)
	if err != nil || !known {
		return false, err
	}
	if state.IsFinal() {
		return true, nil
	}
	kv := cell.KeyValue{Key: cell.CancelKey(id), Value: []byte{'1'}}
	if err := n.appendJobs(ctx, kv); err != nil {
		n.count("cancel", outcomeOf(err))
		n.log.Info("cancelling is not recorded", "id", string(id), "error", err.Error())
		return false, err
	}
	n.count("cancel", "accepted")
	return true, nil
}

// Pending counts a queue's jobs of which no task has started.
func (n *Node) Pending(queue string) int {
	if n.follows() {
		return n.mirror.pending(queue)
	}
	counts := n.pendings.Load()
	if counts == nil {
		return n.mirror.pending(queue)
	}
	return int((*counts)[queue])
}
