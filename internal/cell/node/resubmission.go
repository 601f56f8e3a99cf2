package node

import (
	"bytes"
	"context"
	"time"

	"gypsumwinch/internal/cell"
)

// A job that is submitted again, by a VM that does not know it, is appended to topic jobs under
// the same key, and a later owner reads the newest record of each key. If the second submission
// is that of another customer, the job would change its customer, and with it its quota and share,
// in a takeover. The owner knows all jobs: it does not append such a submission, and writes the
// first one again after another VM has appended it without the owner.

// restoreTimeout bounds the append of a restored submission, in an outage of the store too.
const restoreTimeout = 10 * time.Second

// withoutRepetitions returns the records without the submissions of jobs whose submission is in
// the store, or that have ended. The Submit RPC calls it on the owner.
func (r *replica) withoutRepetitions(records []cell.KeyValue) []cell.KeyValue {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]cell.KeyValue, 0, len(records))
	for _, kv := range records {
		rec, err := cell.ParseRecord(kv.Key, kv.Value)
		if err == nil && rec.Kind == cell.RecordJob && r.isRecorded(rec.Job) {
			continue
		}
		out = append(out, kv)
	}
	return out
}

// isRecorded reports whether the submission of a job is in the store or has been deleted from it
// after the job's end. withoutRepetitions calls it with r.mu held.
func (r *replica) isRecorded(id cell.JobID) bool {
	e, ok := r.jobs[id]
	return ok && e.wasSubmitted && (e.hasStoredSubmission || e.state.IsFinal())
}

// originalOf returns the submission that this VM keeps if the given one is of another customer,
// else nil. apply calls it with r.mu held.
func (e *jobEntry) originalOf(value []byte) []byte {
	if e.job == nil {
		return nil
	}
	original, err := e.job.unpack()
	if err != nil || bytes.Equal(original, value) || cell.DecodeCustomer(original) == cell.DecodeCustomer(value) {
		return nil
	}
	return original
}

// restoreSubmission appends the submission that counts once more, as the newest record of its key.
// applyJobRecords starts it on the owner.
func (n *Node) restoreSubmission(original cell.KeyValue) {
	ctx, cancel := context.WithTimeout(context.Background(), restoreTimeout)
	defer cancel()
	if err := n.committer.append(ctx, []cell.KeyValue{original}); err != nil {
		n.log.Warn("a job was submitted again by another customer, and its record could not be restored", "key", original.Key, "error", err.Error())
		return
	}
	n.log.Info("a job was submitted again by another customer; its record is restored", "key", original.Key)
}
