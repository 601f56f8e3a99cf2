package node

import (
	"context"
	"slices"
	"time"

	"gypsumwinch/internal/cell"
)

const (
	// submissionGCInterval is the period at which the owner deletes the
	// submissions of finished jobs, which keeps the topic short for VMs that
	// start.
	submissionGCInterval = time.Second
	// maxSubmissionsPerGC is the most jobs whose submissions one append deletes.
	maxSubmissionsPerGC = 400
	// stateGCInterval is the period at which states past their retention are
	// deleted.
	stateGCInterval = 10 * time.Second
	// maxExpiredPerAppend is the most jobs whose states or submissions one append deletes.
	// expiredAppendPause is the pause between two of these appends, which share a partition
	// with the owner's progress. Together they bound the rate to 10,000 jobs a second: with
	// 20 a second the states of a cell that takes 33 jobs a second piled up without end.
	maxExpiredPerAppend = 1000
	expiredAppendPause  = 100 * time.Millisecond
	// retentionSlack is added to the retention time of a finished job, because
	// repeated submissions of it arrive seconds later.
	retentionSlack = 30 * time.Second
)

// collectGarbage deletes the states of jobs past their retention from the
// store while this VM owns the cell. A VM that is neither owner nor follower
// removes old jobs from its replica instead, a follower those whose end it has missed. It runs on every VM, on a
// goroutine that Run starts, once every stateGCInterval.
func (n *Node) collectGarbage(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, stateGCInterval)
		n.collectOnce(ctx)
	}
}

// collectOnce is one round of collectGarbage.
func (n *Node) collectOnce(ctx context.Context) {
	cutoff := bootTime() - n.settings.StatusRetention - retentionSlack
	if n.activeLoop() != nil {
		n.deleteExpired(ctx, cutoff)
		return
	}
	n.metrics.expiredJobs.Set(0)
	switch {
	case !isFollower(n.settings):
		n.replica.forgetBefore(cutoff)
	case n.progressReader.isLoaded.Load():
		n.replica.forgetExpired(time.Duration(n.progressReader.lastSentAt.Load()))
	}
}

// deleteExpired deletes the states of jobs that ended before a boot time. The submission
// of such a job is in the store if it was appended again after its deletion; it is deleted
// first, and the state in a later call, since without its state it is that of a new job.
// collectGarbage calls deleteExpired on the owner.
func (n *Node) deleteExpired(ctx context.Context, cutoff time.Duration) {
	expired := n.replica.expiredJobs(int64(cutoff.Seconds()))
	kept := len(expired.states) + len(expired.submissions)
	n.metrics.expiredJobs.Set(float64(kept))
	if kept == 0 {
		return
	}
	deletedSubmissions, err := n.deleteInBatches(ctx, expired.submissions, n.deleteSubmissions)
	deletedStates := 0
	if err == nil {
		deletedStates, err = n.deleteInBatches(ctx, expired.states, n.deleteStates)
	}
	n.metrics.expiredJobs.Set(float64(kept - deletedStates))
	overdue := cutoff - time.Duration(expired.oldestSeconds)*time.Second
	details := []any{"jobs", deletedStates, "submissions", deletedSubmissions, "kept", kept - deletedStates, "oldest_overdue_s", int64(overdue.Seconds())}
	if err != nil {
		n.log.Warn("ended jobs are not dropped yet", append(details, "error", err.Error())...)
		return
	}
	n.log.Info("ended jobs are dropped", details...)
}

// deleteInBatches passes ids to remove, maxExpiredPerAppend at a time, until a call fails or
// ctx ends. It returns the number of jobs whose records were deleted. deleteExpired calls it.
func (n *Node) deleteInBatches(ctx context.Context, ids []cell.JobID, remove func(context.Context, []cell.JobID) error) (int, error) {
	deleted := 0
	for batch := range slices.Chunk(ids, maxExpiredPerAppend) {
		if deleted > 0 {
			sleep(ctx, expiredAppendPause)
		}
		if err := remove(ctx, batch); err != nil {
			return deleted, err
		}
		deleted += len(batch)
	}
	return deleted, nil
}

// deletionResult is the result of deleting submissions. After a failed append,
// retryJobs holds the jobs to delete again.
type deletionResult struct{ retryJobs []cell.JobID }

// deleteFinishedSubmissions deletes the submissions of finished jobs in the
// background. Their states stay in the store. The control loop calls it at
// each tick; the deletion runs on its own goroutine, at most once every
// submissionGCInterval.
func (c *controlLoop) deleteFinishedSubmissions(ctx context.Context) {
	if c.isDeleting || len(c.finishedJobs) == 0 || bootTime()-c.lastDeletion < submissionGCInterval {
		return
	}
	c.isDeleting = true
	c.lastDeletion = bootTime()
	ids := c.finishedJobs[:min(len(c.finishedJobs), maxSubmissionsPerGC)]
	c.finishedJobs = c.finishedJobs[len(ids):]
	go func() {
		var retryJobs []cell.JobID
		if err := c.node.deleteSubmissions(ctx, ids); err != nil {
			retryJobs = ids
		}
		c.deletionResults <- deletionResult{retryJobs}
	}()
}

// deleteSubmissions deletes submissions and cancellations. A job that was
// never cancelled has no cancellation to delete, so its key is left out. It
// runs on the goroutine that deleteFinishedSubmissions starts and on that of
// collectGarbage.
func (n *Node) deleteSubmissions(ctx context.Context, ids []cell.JobID) error {
	var records []cell.KeyValue
	for _, id := range ids {
		records = append(records, cell.KeyValue{Key: cell.JobKey(id)})
		if n.replica.isCancelled(id) {
			records = append(records, cell.KeyValue{Key: cell.CancelKey(id)})
		}
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := n.store.Append(ctx, cell.Append{Topic: cell.TopicJobs, Records: records, ExpectedEnd: -1})
	return err
}

// deleteStates deletes the states of jobs past their retention: it appends a
// record without a value for each, which is a deletion of the key. The append
// has no epoch, since the sequence numbers of the owner's epoch belong to the
// batches of controlLoop.writeBatch, which run at the same time. Without an
// epoch the store does not fence a former owner, but that owner deletes only
// states that are final, have no open runs and are past their retention.
// deleteExpired calls it on the owner, on the goroutine of collectGarbage.
func (n *Node) deleteStates(ctx context.Context, ids []cell.JobID) error {
	var records []cell.KeyValue
	for _, id := range ids {
		records = append(records, cell.KeyValue{Key: cell.ProgressKey(id)})
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := n.store.Append(ctx, cell.Append{Topic: cell.TopicProgress, Records: records, ExpectedEnd: -1}); err != nil {
		return err
	}
	for _, id := range ids {
		n.replica.apply(cell.Record{Job: id, Kind: cell.RecordProgress})
	}
	return nil
}
