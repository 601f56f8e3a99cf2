package node

import (
	"bytes"
	"iter"
	"sync"
	"time"

	"gypsumwinch/internal/cell"
)

// replica is this VM's copy of topics jobs and progress. Of a finished job
// without open runs it keeps only the state.
type replica struct {
	mu   sync.Mutex
	jobs map[cell.JobID]*jobEntry
	// unfinished holds the jobs that have not ended, for the counts.
	unfinished map[cell.JobID]*jobEntry
	// jobBytes is what the unfinished jobs take in the memory of an owner.
	jobBytes int64
	// hasForgotten is true if forgetBefore has removed a job since the last clear.
	hasForgotten bool
	// isKept is true while this VM holds the term: forgetBefore then removes nothing.
	isKept bool
}

// jobEntry is what the replica knows about a job.
type jobEntry struct {
	queue        string
	wasSubmitted bool
	// hasStoredSubmission is true while the submission is in the store.
	hasStoredSubmission bool
	// hasProgress is true once this VM has read or recorded progress of the job.
	hasProgress bool
	// submissionDeletedAt is the boot time at which this VM first knew that a submission
	// which it had seen is no longer in the store, or 0.
	submissionDeletedAt time.Duration
	isCancelled         bool
	state               cell.State
	// job and progress are encoded records. progress includes the leading state
	// byte.
	job packedRecord
	// bytes is what the job takes in the memory of an owner.
	bytes    int64
	progress []byte
	// hasOpenRuns is true if the recorded progress lists open runs.
	hasOpenRuns bool
	// submittedAt is the boot time at which this VM first saw the submission.
	submittedAt time.Duration
	// finishedAtSeconds is the boot time, in seconds, at which this VM first saw
	// a final state, or 0.
	finishedAtSeconds int64
}

// newReplica returns an empty replica. New calls it once.
func newReplica() *replica {
	return &replica{jobs: map[cell.JobID]*jobEntry{}, unfinished: map[cell.JobID]*jobEntry{}}
}

// recordChange is the result of applying a record.
type recordChange struct {
	record cell.Record
	// isNew is true if the record is not a repetition.
	isNew bool
	// original is the submission of an unfinished job that was submitted again for another
	// customer, else nil.
	original []byte
}

// apply applies one record of topic jobs or progress. It runs for each record
// that a topic reader has read, that this VM has appended for a caller or that
// another VM has sent, and for each state that the owner has deleted.
func (r *replica) apply(rec cell.Record) recordChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(rec.Value) == 0 {
		r.deleteRecord(rec)
		return recordChange{record: rec}
	}
	e, ok := r.jobs[rec.Job]
	if !ok {
		e = &jobEntry{state: cell.StateQueued}
		r.jobs[rec.Job] = e
		r.unfinished[rec.Job] = e
	}
	switch rec.Kind {
	case cell.RecordJob:
		original := e.originalOf(rec.Value)
		isNew := e.setSubmission(rec.Value)
		if isNew && r.unfinished[rec.Job] == e {
			e.bytes = estimateJobBytes(rec.Value, e.job)
			r.jobBytes += e.bytes
		}
		return recordChange{record: rec, isNew: isNew, original: original}
	case cell.RecordCancel:
		isNew := !e.isCancelled
		e.isCancelled = true
		return recordChange{record: rec, isNew: isNew}
	default:
		r.setProgress(rec.Job, e, rec.Value)
		return recordChange{record: rec, isNew: true}
	}
}

// deleteRecord applies the deletion of a key. The state of a job remains after
// its submission is deleted. apply calls it, with r.mu held, for a record
// without a value.
func (r *replica) deleteRecord(rec cell.Record) {
	if rec.Kind == cell.RecordProgress {
		delete(r.jobs, rec.Job)
		r.markFinished(rec.Job)
		return
	}
	if e, ok := r.jobs[rec.Job]; ok && rec.Kind == cell.RecordJob {
		e.hasStoredSubmission = false
		e.job = nil
		e.submissionDeletedAt = bootTime()
	}
}

// submissionKeys returns the keys of the submissions that are in the store as far as
// this VM knows. The topic reader of jobs calls it before it loads the topic.
func (r *replica) submissionKeys() []string {
	return r.keys(cell.JobKey, func(e *jobEntry) bool { return e.hasStoredSubmission })
}

// progressKeys returns the keys of the jobs whose progress is in the store as far as this
// VM knows. The topic reader of progress calls it before it loads the topic.
func (r *replica) progressKeys() []string {
	return r.keys(cell.ProgressKey, func(e *jobEntry) bool { return e.hasProgress })
}

func (r *replica) keys(key func(cell.JobID) string, isIncluded func(*jobEntry) bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for id, e := range r.jobs {
		if isIncluded(e) {
			out = append(out, key(id))
		}
	}
	return out
}

// forgetExpired removes the jobs without a final state whose submissions were known to be
// deleted before a read to the end of the progress was sent. A submission is deleted
// after the job's final state is recorded, so that the read shows this state unless it
// has expired. collectGarbage calls it on a follower, which has read no record of the
// job's end if it could not read the store for long.
func (r *replica) forgetExpired(progressReadAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.unfinished {
		if e.wasSubmitted && !e.hasStoredSubmission && !e.state.IsFinal() && e.submissionDeletedAt < progressReadAt {
			delete(r.jobs, id)
			r.markFinished(id)
		}
	}
}

// finishedSubmissions returns the jobs that have ended without open runs and
// whose submissions are still in the store. A new owner calls it once, when it
// loads the state.
func (r *replica) finishedSubmissions() []cell.JobID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []cell.JobID
	for id, e := range r.jobs {
		if e.hasStoredSubmission && e.state.IsFinal() && !e.hasOpenRuns {
			out = append(out, id)
		}
	}
	return out
}

// setSubmission stores a submission and reports whether it is new to this VM
// and not that of a finished job. apply calls it with r.mu held for each
// record of a submission.
func (e *jobEntry) setSubmission(value []byte) bool {
	e.hasStoredSubmission = true
	if e.wasSubmitted {
		if e.job == nil && (!e.state.IsFinal() || e.hasOpenRuns) {
			e.job = packRecord(value)
		}
		return false
	}
	e.wasSubmitted = true
	e.submittedAt = bootTime()
	if e.state.IsFinal() && !e.hasOpenRuns {
		// The submission was repeated after the job had ended.
		return false
	}
	e.queue = cell.DecodeQueueName(value)
	e.job = packRecord(value)
	return true
}

// setProgress stores a job's recorded progress and its state. Of a finished
// job without open runs only the state is retained. apply calls it with r.mu
// held for each record of progress.
func (r *replica) setProgress(id cell.JobID, e *jobEntry, value []byte) {
	state := cell.State(value[0])
	e.hasProgress = true
	if e.state.IsFinal() && !state.IsFinal() {
		// An older record, read after this VM was the owner.
		return
	}
	e.state = state
	e.hasOpenRuns = cell.HasOpenRuns(value)
	e.progress = bytes.Clone(value)
	if !e.state.IsFinal() {
		return
	}
	if e.finishedAtSeconds == 0 {
		e.finishedAtSeconds = int64(bootTime().Seconds())
	}
	r.markFinished(id)
	if !e.hasOpenRuns {
		e.job, e.progress = nil, nil
	}
}

// state returns a job's state and whether the job is known. It is the state that an owner
// has recorded: a cancellation that is recorded may reach the owner after the job has
// completed, so that the job is cancelled only once the owner says so. Callers' requests call
// it, and other VMs' State RPCs.
func (r *replica) state(id cell.JobID) (s cell.State, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.jobs[id]
	if !ok {
		return 0, false
	}
	return e.state, true
}

// setState sets the state of a job that this VM has recorded as owner. The
// control loop calls it for each Publish action.
func (r *replica) setState(id cell.JobID, s cell.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.jobs[id]
	if !ok {
		return
	}
	e.state = s
	e.hasProgress = true
	if s.IsFinal() {
		r.markFinished(id)
		if e.finishedAtSeconds == 0 {
			e.finishedAtSeconds = int64(bootTime().Seconds())
		}
	}
}

// isCancelled reports whether a cancellation of the job is recorded.
// deleteSubmissions calls it on the owner for each finished job whose
// submission it deletes: if there is a cancellation, its record is deleted too,
// and if there is none, no deletion is appended for a key that does not exist.
// applyJobRecords calls it on the owner for each new submission, and Cancel so that a repeated
// cancellation is not recorded again.
func (r *replica) isCancelled(id cell.JobID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.jobs[id]
	return ok && e.isCancelled
}

// pendingCount returns the number of a queue's jobs of which no task has
// started. It runs when a caller asks for the count.
func (r *replica) pendingCount(queue string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.unfinished {
		if e.queue == queue && e.state == cell.StateQueued && !e.isCancelled {
			n++
		}
	}
	return n
}

// unfinishedJob is a job that a new owner has to take over.
type unfinishedJob struct {
	job         *cell.Job
	progress    *cell.Progress
	isCancelled bool
}

// unfinishedJobs decodes the jobs that have not ended or that have open runs, one at a time, so
// that no more than one decoded record is in memory. It skips jobs that cannot be decoded and
// reports them. A new owner calls it once, when it loads the state.
func (r *replica) unfinishedJobs(report func(id cell.JobID, err error)) iter.Seq[unfinishedJob] {
	return func(yield func(unfinishedJob) bool) {
		for id, e := range r.unfinishedEntries() {
			u, err := e.decode(id)
			if err != nil {
				report(id, err)
				continue
			}
			if !yield(u) {
				return
			}
		}
	}
}

// unfinishedEntries returns copies of the entries of the jobs that have not ended or that have
// open runs.
func (r *replica) unfinishedEntries() map[cell.JobID]jobEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[cell.JobID]jobEntry{}
	for id, e := range r.jobs {
		if e.job != nil && (!e.state.IsFinal() || e.hasOpenRuns) {
			out[id] = *e
		}
	}
	return out
}

// decode decodes the records of an unfinished job.
func (e *jobEntry) decode(id cell.JobID) (u unfinishedJob, err error) {
	u.isCancelled = e.isCancelled
	value, err := e.job.unpack()
	if err != nil {
		return u, err
	}
	if u.job, err = cell.DecodeJob(id, value); err != nil {
		return u, err
	}
	if e.progress != nil {
		u.progress, err = cell.DecodeProgress(e.progress)
	}
	return u, err
}

// expiredJobs are the jobs that are kept past their retention.
type expiredJobs struct {
	// states are the jobs of which only the state is in the store, submissions those whose
	// submission is there too.
	states, submissions []cell.JobID
	// oldestSeconds is the boot time, in seconds, at which the first of them ended; 0 if
	// there is none.
	oldestSeconds int64
}

// expiredJobs returns the jobs that ended before the given boot time in seconds. The owner
// calls it every stateGCInterval, on the goroutine of collectGarbage.
func (r *replica) expiredJobs(before int64) expiredJobs {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out expiredJobs
	for id, e := range r.jobs {
		if !e.state.IsFinal() || e.hasOpenRuns || e.finishedAtSeconds == 0 || e.finishedAtSeconds >= before {
			continue
		}
		if out.oldestSeconds == 0 || e.finishedAtSeconds < out.oldestSeconds {
			out.oldestSeconds = e.finishedAtSeconds
		}
		if e.hasStoredSubmission {
			out.submissions = append(out.submissions, id)
		} else {
			out.states = append(out.states, id)
		}
	}
	return out
}

// pendingCounts returns the number of jobs of which no task has started, by
// queue. It runs when another VM asks for the counts in a hello message.
func (r *replica) pendingCounts() map[string]int32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int32{}
	for _, e := range r.unfinished {
		if e.state == cell.StateQueued && !e.isCancelled {
			out[e.queue]++
		}
	}
	return out
}

// forgetBefore removes the jobs whose submission this VM first saw before the
// given cutoff, on the boot-time clock, or has not seen at all. A VM that is no follower does not read
// topic progress, so it never learns that jobs have finished. collectGarbage
// calls it every stateGCInterval while such a VM does not own the cell, with
// the present time less StatusRetention and retentionSlack as the cutoff.
func (r *replica) forgetBefore(before time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isKept {
		return
	}
	for id, e := range r.jobs {
		if e.submittedAt < before {
			r.hasForgotten = true
			delete(r.jobs, id)
			r.markFinished(id)
		}
	}
}

// setKept sets whether the VM holds the term, and so needs all jobs. runOwnership calls it
// before the takeover loads the topics, and at the end of the term.
func (r *replica) setKept(isKept bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isKept = isKept
}

// isIncomplete reports whether jobs were forgotten that the topics may still hold. A
// takeover calls it to find out whether it has to load them again.
func (r *replica) isIncomplete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasForgotten
}

// clear removes all jobs. A takeover calls it before it loads the topics again.
func (r *replica) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasForgotten, r.jobBytes = false, 0
	r.jobs, r.unfinished = map[cell.JobID]*jobEntry{}, map[cell.JobID]*jobEntry{}
}

// size returns the number of known jobs. The metrics endpoint calls it for
// each request.
func (r *replica) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.jobs)
}
