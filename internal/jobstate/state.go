// Package jobstate computes the state of the jobs of a data centre from the
// stream jobs-<data centre>. The state depends only on the offsets, append times
// and contents of the records, so that all readers of the stream agree.
//
// A job consists of tasks. A start record begins an attempt of a task on a
// worker; the attempt is live until its end record. A record that an earlier
// record, its term or its content forbids is refused: it changes no job, but its
// term counts. The term is the fencing token of the owner that wrote a record. A
// term below the highest one read is stale. A cancellation of a job that is not
// accepted yet is early; it is refused and forbids the acceptance.
//
// A reader that misses records has a gap and is incomplete. It buffers records
// until it has read all parts of a snapshot that covers the gap.
//
// The package does not write to the stream, place tasks or talk to workers.
// Read State and its method Apply first.
package jobstate

import (
	"time"

	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

const (
	// FinishedRetention is how long a finished job can be queried, in append
	// time. It exceeds AcceptWindow, so that a repeated acceptance of a pruned
	// job is refused because of the age of its id.
	FinishedRetention = 4 * time.Hour
	// AcceptWindow is the greatest age of a job id at its acceptance, in append
	// time.
	AcceptWindow = time.Hour
	// MaxTasks is the greatest number of tasks in a job.
	MaxTasks = 100_000
)

// EffectKind is the kind of change that a record made to the state.
type EffectKind string

// The kinds of effect.
const (
	// JobAccepted means that the job was added to the state.
	JobAccepted EffectKind = "job_accepted"
	// JobCancelled means that the job takes no further starts.
	JobCancelled EffectKind = "job_cancelled"
	// JobMoved means that another data centre runs the job from now on.
	JobMoved EffectKind = "job_moved"
	// TaskStarted means that the attempt is live.
	TaskStarted EffectKind = "task_started"
	// TaskEnded means that the attempt is no longer live.
	TaskEnded EffectKind = "task_ended"
	// Restored means that the state was rebuilt from a snapshot.
	Restored EffectKind = "restored"
	// Buffered means that the record has no effect until a snapshot that covers
	// the gap before it is read.
	Buffered EffectKind = "buffered"
	// Ignored means that the record repeats an earlier one or changes no job.
	Ignored EffectKind = "ignored"
	// Refused means that an earlier record, its term or its content forbids the
	// record.
	Refused EffectKind = "refused"
)

// Effect is the result of applying one record.
type Effect struct {
	Kind EffectKind
	// Job is the id of the job concerned, if any.
	Job string
	// Attempt is set for the effects of task records.
	Attempt structs.Attempt
	// TaskState is the state of the task after a task record.
	TaskState TaskState
	// Reason is why a record was refused or ignored, or why a snapshot was not
	// used. Callers see it when their job is refused.
	Reason string
}

// State is the state of one jobs stream up to an offset. It is not safe for
// concurrent use.
type State struct {
	// next is the offset of the next record to apply.
	next int64
	// clock is the latest append time read.
	clock time.Time
	// term is the highest term read.
	term int64
	jobs map[string]*job
	// finishedJobs holds the jobs without open tasks, by the time at which they
	// finished.
	finishedJobs []expiringJob
	// isCancelledEarly holds the ids of unknown jobs that were cancelled, and
	// earlyCancellations the same ids by time. The acceptance may follow when a
	// submitter retries an append whose answer was lost.
	isCancelledEarly   map[string]bool
	earlyCancellations []expiringJob
	// runningByWorker holds the live attempts.
	runningByWorker map[string]map[structs.TaskID]structs.Attempt

	// isIncomplete is set after a gap, until a snapshot that covers it is read.
	isIncomplete bool
	// gapStart is the first offset that was missed.
	gapStart int64
	// buffer holds the records read after the latest gap.
	buffer []logEntry
	// snapshotParts holds the parts read after the gap, by snapshot and index.
	snapshotParts map[string][]*records.JobSnapshot
}

// job is the state of one job.
type job struct {
	spec           structs.Job
	acceptedOffset int64
	// acceptedAt is the append time of the acceptance.
	acceptedAt  time.Time
	isCancelled bool
	// movedTo is the data centre to which the job has moved, or empty.
	movedTo string
	tasks   []task
	// openTasks is the number of tasks that are not in a final state.
	openTasks int
	budget    FailureBudget
}

// task is the state of one task.
type task struct {
	state TaskState
	// attempts is the number of attempts started, failures how many of them
	// failed.
	attempts int
	failures int
	// worker runs the live attempt; it is empty if there is none.
	worker string
}

// expiringJob is the id of a job that prune removes some time after at.
type expiringJob struct {
	id string
	at time.Time
}

// logEntry is a record with its offset and append time.
type logEntry struct {
	offset int64
	at     time.Time
	record records.Record
}

// New returns the state before offset 0.
func New() *State {
	s := &State{}
	s.reset()
	return s
}

// reset clears everything except next and the data about a gap. New and StartAt
// call it.
func (s *State) reset() {
	s.term = records.NoTerm
	s.clock = time.Time{}
	s.jobs = map[string]*job{}
	s.finishedJobs = nil
	s.isCancelledEarly = map[string]bool{}
	s.earlyCancellations = nil
	s.runningByWorker = map[string]map[structs.TaskID]structs.Attempt{}
}

// Next returns the offset after the last record applied.
func (s *State) Next() int64 { return s.next }

// Term returns the highest term read, or records.NoTerm.
func (s *State) Term() int64 { return s.term }

// Complete reports whether the state covers every record before Next. It is
// false after a gap until a snapshot that covers the gap was read.
func (s *State) Complete() bool { return !s.isIncomplete }

// StartAt empties the state and continues it at offset. The caller uses it if the
// records before offset have no effect any more, as for a stream of which retention
// dropped everything; restore uses it before it loads a snapshot.
func (s *State) StartAt(offset int64) {
	s.reset()
	s.next = offset
	s.isIncomplete = false
	s.buffer = nil
	s.snapshotParts = nil
}

// Apply applies the record at offset, which was appended at the time at, and
// returns the result. A record with an offset below Next is ignored. An offset
// above Next opens a gap.
func (s *State) Apply(offset int64, at time.Time, rec records.Record) Effect {
	if offset < s.next {
		return Effect{Kind: Ignored, Reason: "offset was applied before"}
	}
	if offset > s.next && !s.isIncomplete {
		s.isIncomplete = true
		s.gapStart = s.next
	}
	if s.isIncomplete && offset > s.next {
		s.buffer = nil
		s.snapshotParts = map[string][]*records.JobSnapshot{}
	}
	s.next = offset + 1
	if s.isIncomplete {
		return s.applyIncomplete(logEntry{offset, at, rec})
	}
	return s.applyRecord(at, rec)
}

// applyRecord applies one record to a state without a gap, advances the clock and
// prunes. Apply and restore call it.
func (s *State) applyRecord(at time.Time, rec records.Record) Effect {
	if at.After(s.clock) {
		s.clock = at
	}
	effect := s.applyByKind(rec)
	s.prune()
	return effect
}

// applyByKind calls the method for the kind of a record.
func (s *State) applyByKind(rec records.Record) Effect {
	switch {
	case rec.JobAccepted != nil:
		return s.accept(rec.JobAccepted)
	case rec.JobCancelled != nil:
		return s.cancel(rec.JobCancelled)
	case rec.JobMoved != nil:
		return s.move(rec.JobMoved)
	case rec.TaskStart != nil:
		return s.start(rec.TaskStart)
	case rec.TaskEnd != nil:
		return s.end(rec.TaskEnd)
	case rec.JobSnapshot != nil:
		s.raiseTerm(rec.JobSnapshot.Term)
		return Effect{Kind: Ignored, Reason: "state is complete without the snapshot"}
	}
	return Effect{Kind: Ignored, Reason: "not a record of a jobs stream"}
}

// raiseTerm sets the highest term read to term, if that is higher. A refused record
// raises it, too.
func (s *State) raiseTerm(term int64) {
	s.term = max(s.term, term)
}

// prune removes finished jobs after FinishedRetention and early cancellations after
// AcceptWindow. applyRecord calls it after each record. The clock only advances, so
// the lists are sorted by time.
func (s *State) prune() {
	s.finishedJobs = dropBefore(s.finishedJobs, s.clock.Add(-FinishedRetention), func(id string) { delete(s.jobs, id) })
	s.earlyCancellations = dropBefore(s.earlyCancellations, s.clock.Add(-AcceptWindow), func(id string) { delete(s.isCancelledEarly, id) })
}

// dropBefore calls remove for the jobs at the front of list that are dated before
// cutoff and returns the rest. list is sorted by time.
func dropBefore(list []expiringJob, cutoff time.Time, remove func(id string)) []expiringJob {
	n := 0
	for n < len(list) && list[n].at.Before(cutoff) {
		remove(list[n].id)
		n++
	}
	return list[n:]
}
