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
	// notifyTimeout bounds the call that notifies the owner of new records.
	notifyTimeout = 300 * time.Millisecond
	// answerMargin is the part of a caller's deadline that is left for the answer
	// to arrive.
	answerMargin = 150 * time.Millisecond
	// stateQueryTimeout bounds a query to another VM for the state of a job. Latencies of
	// the store are added if that VM calls it.
	stateQueryTimeout = 300 * time.Millisecond
	// maxReadAge is the age of the last successful read of the store from which
	// this VM reports that it is not ready.
	maxReadAge = 1500 * time.Millisecond
	// maxConfigAge is the age of the last read of a configuration with customers from which this
	// VM reports that it is not ready. A version has to be in force everywhere after 3 s, so that a VM
	// that has not read it for so long may have keys in force that are revoked. It is longer
	// than configReadInterval and two reads of a slow store, which take 0.35 s each.
	maxConfigAge = 2500 * time.Millisecond
)

// Config returns the configuration in force, or nil if none has been read or if it is outdated.
// Each caller's request reads it to find its queue.
func (n *Node) Config() *cell.Config {
	if n.isConfigOutdated() {
		return nil
	}
	return n.config.Load()
}

// Ready reports whether the load balancer should send new callers to this VM.
// It runs for each check of the readiness endpoint.
func (n *Node) Ready() bool {
	config := n.config.Load()
	if n.isDraining.Load() || config == nil || n.isConfigOutdated() {
		return false
	}
	if isFollower(n.settings) && !n.knowsAllJobs() {
		return false
	}
	if config.Customers != nil && bootTime()-time.Duration(n.configReader.lastReadAt.Load()) > maxConfigAge {
		return false
	}
	if n.committer.isStoreDown() {
		return false
	}
	return bootTime()-time.Duration(n.jobsReader.lastReadAt.Load()) < maxReadAge
}

// Drain makes Ready return false from now on. The daemon calls it first when
// it is asked to stop.
func (n *Node) Drain() {
	n.isDraining.Store(true)
}

// Submit records a job. It returns nil for a job that is already known. A
// NotExecutedError means that the job was certainly not recorded; after any
// other error it may have been. It runs on the goroutine of a caller's
// request, on every VM.
func (n *Node) Submit(ctx context.Context, job *cell.Job) error {
	if n.dependsOnKey(job) && !n.knowsKeysInForce() {
		n.countRequest("submit", "not_run")
		n.customerMetrics.count(job.Customer, outcomeConfigRefused)
		err := &cell.NotExecutedError{RetryAfter: cell.ShortRetryAfter, Cause: errKeysUnknown}
		n.logRefusal(job, err)
		return err
	}
	if _, known := n.replica.state(job.ID); known {
		n.countRequest("submit", "repeated")
		return nil
	}
	job.AcceptedAt = time.Now()
	value, err := cell.EncodeJob(job)
	if err != nil {
		return eris.Wrap(err, "encode job")
	}
	if !n.hasMemoryFor(value) {
		n.countRequest("submit", "not_run")
		n.customerMetrics.count(job.Customer, outcomeMemoryRefused)
		err := &cell.NotExecutedError{RetryAfter: jobMemoryRetryAfter, Cause: errJobMemoryFull}
		n.logRefusal(job, err)
		return err
	}
	kv := cell.KeyValue{Key: cell.JobKey(job.ID), Value: value}
	if err := n.appendJobRecord(ctx, kv); err != nil {
		n.countRequest("submit", requestOutcome(err))
		n.customerMetrics.count(job.Customer, customerOutcome(err))
		n.logRefusal(job, err)
		return err
	}
	n.countRequest("submit", "accepted")
	n.customerMetrics.count(job.Customer, outcomeAccepted)
	n.log.Info("job is accepted", append([]any{"id", string(job.ID), "queue", job.Queue.Name, "steps", len(job.Steps)}, customerDetails(job)...)...)
	return nil
}

// dependsOnKey reports whether a job is accepted only for its key, or belongs to a customer. The
// name of a customer may be empty. Submit calls it.
func (n *Node) dependsOnKey(job *cell.Job) bool {
	config := n.config.Load()
	return job.Customer != "" || config != nil && config.Customers != nil && !job.Queue.Public
}

// maxKeyAge is the age of the newest read of the configuration from which this VM does not accept
// jobs of customers: a key must not be accepted later than 3 s after the acknowledgement of the
// version that revokes it, also by a VM that was paused or reads nothing for another reason.
const maxKeyAge = 3 * time.Second

// errKeysUnknown is the cause reported for submissions that this VM does not accept since their
// keys may have been revoked.
var errKeysUnknown = eris.New("the configuration was not read lately")

// knowsKeysInForce reports whether this VM has read the configuration lately enough to know the
// keys. Submit calls it.
func (n *Node) knowsKeysInForce() bool {
	return bootTime()-time.Duration(n.configReader.lastSentAt.Load()) < maxKeyAge
}

// logRefusal logs a refused submission. The lines are rate limited because an
// outage refuses every submission. Submit calls it when the record could not
// be appended.
func (n *Node) logRefusal(job *cell.Job, err error) {
	details := []any{"id", string(job.ID), "queue", job.Queue.Name, "outcome", requestOutcome(err), "error", err.Error()}
	n.logLimited(&n.refusalLimiter, "job is not accepted", append(details, customerDetails(job)...)...)
}

// logLimited logs a line about a caller's request, subject to the rate limit of its
// kind. limiter is guarded by n.mu. It runs on the goroutine of the request.
func (n *Node) logLimited(limiter *logLimiter, message string, details ...any) {
	n.mu.Lock()
	allowed, dropped := limiter.allow(time.Now())
	n.mu.Unlock()
	if allowed {
		n.log.Info(message, append(details, "dropped_before", dropped)...)
	}
}

// requestOutcome returns the outcome of a failed append for metrics and log
// lines. Submit and Cancel call it.
func requestOutcome(err error) string {
	var notExecuted *cell.NotExecutedError
	if errors.As(err, &notExecuted) {
		return "not_run"
	}
	return "unknown"
}

// countRequest counts a request in the metrics by operation and outcome.
// Callers' requests call it, and the append and notification of their records.
func (n *Node) countRequest(operation, outcome string) {
	n.metrics.callerRequests.WithLabelValues(operation, outcome).Inc()
}

// appendJobRecord appends a record to topic jobs and applies it to the
// replica. It leaves answerMargin of the caller's deadline. Submit and Cancel
// call it, on the goroutine of the caller's request.
func (n *Node) appendJobRecord(ctx context.Context, kv cell.KeyValue) error {
	records := []cell.KeyValue{kv}
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-answerMargin))
		defer cancel()
	}
	if err := n.committer.append(ctx, records); err != nil {
		return err
	}
	n.applyJobRecords(records)
	return nil
}

// notifyOwner sends the owner records that are in topic jobs. If the call
// fails, the owner reads them from the store. commitDirect starts it on its
// own goroutine on a VM other than the owner.
func (n *Node) notifyOwner(owner cellpb.Cell, records []cell.KeyValue) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if _, err := owner.Notify(ctx, &cellpb.NotifyRequest{Records: recordsToProto(records)}); err != nil {
		n.countRequest("notify", "failed")
	}
}

// State returns a job's state and whether the job is known. It asks the owner
// about jobs that have not ended, because the owner knows their state first.
// It runs on the goroutine of a caller's request for a state.
func (n *Node) State(ctx context.Context, id cell.JobID) (cell.State, bool, error) {
	answer, err := n.findJob(ctx, id, false)
	return answer.state, answer.isKnown, err
}

// jobAnswer is what this VM answers about a job.
type jobAnswer struct {
	state   cell.State
	isKnown bool
	// source is what the answer rests on, for log lines.
	source string
}

// Sources of a jobAnswer.
const (
	sourceReplica    = "replica"
	sourceOwner      = "owner"
	sourceUnreadPart = "unread part of the topic"
	sourceFollower   = "follower"
)

// findJob finds out the state of a job for State and Cancel. With coversAll, an answer that
// the job is unknown covers every submission accepted before the call.
func (n *Node) findJob(ctx context.Context, id cell.JobID, coversAll bool) (jobAnswer, error) {
	state, known := n.replica.state(id)
	own := jobAnswer{state, true, sourceReplica}
	if known && state.IsFinal() || n.activeLoop() != nil && known {
		n.countRequest("state", "own")
		return own, nil
	}
	if owner := n.ownerClient(); owner != nil {
		if s, ok := n.queryOwner(ctx, owner, id); ok {
			n.countRequest("state", "owner")
			return jobAnswer{s, true, sourceOwner}, nil
		}
	}
	if !known || !n.knowsAllJobs() {
		answer, err := n.lookUp(ctx, id, coversAll)
		if err == nil && (answer.isKnown || !known) || !known {
			return answer, err
		}
	}
	n.countRequest("state", "own")
	return own, nil
}

// lookUp looks up a job that this VM cannot answer for: in the unread part of
// topic jobs if this VM knows all jobs, else at the followers. findJob calls it
// when the owner has returned no state.
func (n *Node) lookUp(ctx context.Context, id cell.JobID, coversAll bool) (jobAnswer, error) {
	if !n.knowsAllJobs() {
		return n.queryFollowers(ctx, id, coversAll)
	}
	answer, err := n.findUnread(ctx, id)
	if err != nil {
		n.countRequest("state", "unknown")
		return jobAnswer{}, &cell.NotExecutedError{RetryAfter: cell.ShortRetryAfter, Cause: err}
	}
	n.countRequest("state", "looked_up")
	if !answer.isKnown && !n.hasReadProgress() {
		n.countRequest("state", "unknown")
		return jobAnswer{}, &cell.NotExecutedError{RetryAfter: cell.ShortRetryAfter, Cause: eris.New("topic progress was not read since the jobs were loaded")}
	}
	return answer, nil
}

// findUnread looks for a job that was not in the replica in the unread part of topic jobs, and then
// in the replica again: the reader may have read the job before the store was called.
// lookUp and the State RPC call it on a VM that knows all jobs.
func (n *Node) findUnread(ctx context.Context, id cell.JobID) (jobAnswer, error) {
	found, err := n.jobsReader.hasUnreadKey(ctx, cell.JobKey(id))
	if err != nil {
		return jobAnswer{}, err
	}
	if state, known := n.replica.state(id); known {
		return jobAnswer{state, true, sourceReplica}, nil
	}
	return jobAnswer{cell.StateQueued, found, sourceUnreadPart}, nil
}

// maxStateQueries bounds the VMs that are asked about one job.
const maxStateQueries = 8

// queryFollowers asks several VMs about a job at the same time. Only the
// answer of a VM that knows all jobs proves that a job does not exist. With
// coversAll, the VMs also read what they have not read of topic jobs, which takes a
// call of the store. lookUp calls it on a VM that does not know all jobs.
func (n *Node) queryFollowers(ctx context.Context, id cell.JobID, coversAll bool) (jobAnswer, error) {
	peers := n.storeProxyClients()
	peers = peers[:min(maxStateQueries, len(peers))]
	answers := make(chan *cellpb.StateResponse, len(peers))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := stateQueryTimeout
	if coversAll {
		timeout += commitLatencyFactor * n.storeRouter.lastLatency()
	}
	for _, p := range peers {
		go func() {
			resp, err := queryState(ctx, p, &cellpb.StateRequest{Job: string(id), ReadUnread: coversAll}, timeout)
			if err != nil {
				n.log.Debug("VM did not answer job state query", "id", string(id), "error", err.Error())
			}
			answers <- resp
		}()
	}
	notFound := false
	for range peers {
		resp := <-answers
		if !resp.GetFollows() {
			continue
		}
		if len(resp.State) == 1 {
			return jobAnswer{cell.State(resp.State[0]), true, sourceFollower}, nil
		}
		notFound = true
	}
	if notFound {
		return jobAnswer{source: sourceFollower}, nil
	}
	n.countRequest("state", "unknown")
	return jobAnswer{}, &cell.NotExecutedError{RetryAfter: cell.ShortRetryAfter, Cause: eris.New("no follower answered the job state query")}
}

// queryState asks one VM for the state of a job. queryOwner and queryFollowers call it
// during a caller's request.
func queryState(ctx context.Context, p cellpb.Cell, req *cellpb.StateRequest, timeout time.Duration) (*cellpb.StateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return p.State(ctx, req)
}

// queryOwner asks the owner for the state of a job. It returns false if the
// owner does not answer or returns no state. findJob calls it on a VM other than
// the owner.
func (n *Node) queryOwner(ctx context.Context, owner cellpb.Cell, id cell.JobID) (cell.State, bool) {
	resp, err := queryState(ctx, owner, &cellpb.StateRequest{Job: string(id)}, stateQueryTimeout)
	if err != nil {
		n.countRequest("state", "owner_failed")
		n.log.Debug("owner does not answer", "id", string(id), "error", err.Error())
		return 0, false
	}
	if len(resp.State) != 1 {
		return 0, false
	}
	return cell.State(resp.State[0]), true
}

// Cancel records that a job is to be cancelled and reports whether the job is
// known. A finished job stays as it is. It runs on the goroutine of a caller's
// request, on every VM; the owner acts on the record when it receives it.
func (n *Node) Cancel(ctx context.Context, id cell.JobID) (bool, error) {
	answer, err := n.findJob(ctx, id, true)
	if err != nil {
		return false, err
	}
	if !answer.isKnown {
		n.countRequest("cancel", "denied")
		n.logLimited(&n.deniedCancelLimiter, "cancellation is denied", "id", string(id), "source", answer.source)
		return false, nil
	}
	if answer.state.IsFinal() || n.replica.isCancelled(id) {
		return true, nil
	}
	kv := cell.KeyValue{Key: cell.CancelKey(id), Value: []byte{'1'}}
	if err := n.appendJobRecord(ctx, kv); err != nil {
		n.countRequest("cancel", requestOutcome(err))
		n.log.Info("cancellation was not recorded", "id", string(id), "error", err.Error())
		return false, err
	}
	n.countRequest("cancel", "accepted")
	n.logLimited(&n.acceptedCancelLimiter, "cancellation is accepted", "id", string(id), "source", answer.source)
	return true, nil
}

// maxPendingAge is the age up to which this VM reports a count of pending jobs that it
// has received; callers expect one that is at most 2 s old.
const maxPendingAge = 2 * time.Second

// errPendingUnknown is the cause if this VM cannot report a count of pending jobs.
var errPendingUnknown = eris.New("no recent count of the pending jobs is known")

// Pending returns the number of a queue's jobs of which no task has started.
// On a VM that does not know all jobs, the count comes from the owner or a follower,
// and the error is a NotExecutedError if none has answered lately: a VM that has just
// started, or that cannot reach them, knows too few jobs. It runs
// on the goroutine of a caller's request.
func (n *Node) Pending(queue string) (int, error) {
	if n.knowsAllJobs() {
		return n.replica.pendingCount(queue), nil
	}
	counts := n.pendingCounts.Load()
	if counts == nil || bootTime()-time.Duration(n.pendingCountsAt.Load()) > maxPendingAge {
		return 0, &cell.NotExecutedError{RetryAfter: cell.ShortRetryAfter, Cause: errPendingUnknown}
	}
	return int((*counts)[queue]), nil
}
