package jobstate

import (
	"time"

	"github.com/oklog/ulid/v2"

	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

// refusedEffect returns the effect of a job record that is refused for reason.
func refusedEffect(job, reason string) Effect {
	return Effect{Kind: Refused, Job: job, Reason: reason}
}

// createdAt returns the creation time that the id of a job encodes, or its
// submission time if the id is not a ULID.
func createdAt(j *structs.Job) time.Time {
	id, err := ulid.ParseStrict(j.ID)
	if err != nil {
		return j.AcceptedAt
	}
	return ulid.Time(id.Time())
}

// accept applies the acceptance of a job. It adds the job with all tasks pending
// unless the id is known, too old or cancelled before, or the job is malformed.
func (s *State) accept(rec *records.JobAccepted) Effect {
	id := rec.Job.ID
	if _, known := s.jobs[id]; known {
		return Effect{Kind: Ignored, Job: id, Reason: "job id was accepted before"}
	}
	created := createdAt(&rec.Job)
	if !created.IsZero() && s.clock.Sub(created) > AcceptWindow {
		return refusedEffect(id, "job id is older than the accept window")
	}
	if s.isCancelledEarly[id] {
		return refusedEffect(id, "job was cancelled before its acceptance")
	}
	if reason := invalidReason(&rec.Job); reason != "" {
		return refusedEffect(id, reason)
	}
	n := rec.Job.TaskCount()
	j := &job{spec: rec.Job, acceptedOffset: s.next - 1, acceptedAt: s.clock, tasks: make([]task, n), openTasks: n}
	for i := range j.tasks {
		j.tasks[i].state = Pending
	}
	s.jobs[id] = j
	return Effect{Kind: JobAccepted, Job: id}
}

// invalidReason returns why accept must refuse a job as malformed, or an empty
// string.
func invalidReason(j *structs.Job) string {
	total := 0
	for _, g := range j.Groups {
		if g.Count < 1 || g.Count > MaxTasks {
			return "a task group has no tasks or too many"
		}
		if r := g.Resources; r.MilliCPU < 0 || r.MemoryMB < 0 || r.Accelerators < 0 {
			return "a task group has a negative size"
		}
		total += g.Count
	}
	if total == 0 || total > MaxTasks {
		return "job has no tasks or too many"
	}
	return ""
}

// cancel applies the cancellation of a job. Pending tasks become cancelled at
// once; running tasks get their final state when their attempt ends. It is refused
// if the job has moved.
func (s *State) cancel(rec *records.JobCancelled) Effect {
	j := s.jobs[rec.Job]
	switch {
	case j == nil:
		return s.cancelEarly(rec.Job)
	case j.isCancelled:
		return Effect{Kind: Ignored, Job: rec.Job, Reason: "job was cancelled before"}
	case j.movedTo != "":
		return refusedEffect(rec.Job, "job has moved to "+j.movedTo)
	case j.openTasks == 0:
		return Effect{Kind: Ignored, Job: rec.Job, Reason: "job is finished"}
	}
	j.isCancelled = true
	s.closePending(j, Cancelled)
	return Effect{Kind: JobCancelled, Job: rec.Job}
}

// cancelEarly records the cancellation of an unknown job, so that accept refuses
// the job if its acceptance follows within AcceptWindow.
func (s *State) cancelEarly(id string) Effect {
	if !s.isCancelledEarly[id] {
		s.isCancelledEarly[id] = true
		s.earlyCancellations = append(s.earlyCancellations, expiringJob{id, s.clock})
	}
	return refusedEffect(id, "job is unknown")
}

// move applies the move of a job to another data centre. It is refused if a task of
// the job has started, the job is cancelled, or the term of the record is stale.
func (s *State) move(rec *records.JobMoved) Effect {
	stale := rec.Term < s.term
	s.raiseTerm(rec.Term)
	j := s.jobs[rec.Job]
	switch {
	case stale:
		return refusedEffect(rec.Job, "term is lower than the highest seen")
	case j == nil:
		return refusedEffect(rec.Job, "job is unknown")
	case j.movedTo != "":
		return Effect{Kind: Ignored, Job: rec.Job, Reason: "job has moved before"}
	case j.isCancelled:
		return refusedEffect(rec.Job, "job is cancelled")
	}
	for i := range j.tasks {
		if j.tasks[i].attempts > 0 {
			return refusedEffect(rec.Job, "a task of the job has started")
		}
	}
	j.movedTo = rec.To
	for i := range j.tasks {
		s.closeTask(j, &j.tasks[i], Moved)
	}
	return Effect{Kind: JobMoved, Job: rec.Job}
}

// start applies the start of an attempt. It is valid only for a pending task, with
// the next attempt number, from an owner whose term is not stale.
func (s *State) start(rec *records.TaskStart) Effect {
	stale := rec.Term < s.term
	s.raiseTerm(rec.Term)
	id := rec.Attempt.Task
	j, t := s.task(id)
	effect := Effect{Kind: Refused, Job: id.Job, Attempt: rec.Attempt}
	if t != nil {
		effect.TaskState = t.state
	}
	switch {
	case t == nil:
		effect.Reason = "task is unknown"
	case stale:
		effect.Reason = "term is lower than the highest seen"
	case j.isCancelled:
		effect.Reason = "job is cancelled"
	case t.state == Running:
		effect.Reason = "task has a live attempt"
	case t.state != Pending:
		effect.Reason = "task is " + string(t.state)
	case rec.Attempt.Number != t.attempts+1:
		effect.Reason = "attempt number is not the next one"
	case rec.Attempt.Worker == "":
		effect.Reason = "attempt names no worker"
	default:
		s.startAttempt(j, t, rec.Attempt)
		effect.Kind = TaskStarted
		effect.TaskState = Running
	}
	return effect
}

// startAttempt makes a the live attempt of task t. start calls it for a valid start
// record.
func (s *State) startAttempt(j *job, t *task, a structs.Attempt) {
	t.state = Running
	t.attempts = a.Number
	t.worker = a.Worker
	s.addRunningAttempt(a)
}

// addRunningAttempt enters a live attempt into the index by worker, when it starts
// or is loaded from a snapshot.
func (s *State) addRunningAttempt(a structs.Attempt) {
	attempts := s.runningByWorker[a.Worker]
	if attempts == nil {
		attempts = map[structs.TaskID]structs.Attempt{}
		s.runningByWorker[a.Worker] = attempts
	}
	attempts[a.Task] = a
}

// end applies the end of an attempt. An owner with a stale term may report a
// result that it received from the worker. It may not declare an attempt lost or
// not started, because its successor may have found that attempt running.
func (s *State) end(rec *records.TaskEnd) Effect {
	stale := rec.Term < s.term
	s.raiseTerm(rec.Term)
	id := rec.Attempt.Task
	j, t := s.task(id)
	effect := Effect{Kind: Refused, Job: id.Job, Attempt: rec.Attempt}
	if t != nil {
		effect.TaskState = t.state
	}
	assumed := rec.Result == records.TaskLost || rec.Result == records.TaskNotStarted
	switch {
	case t == nil:
		effect.Reason = "task is unknown"
	case t.state != Running || t.attempts != rec.Attempt.Number || t.worker != rec.Attempt.Worker:
		effect.Reason = "attempt is not live"
	case stale && assumed:
		effect.Reason = "term is lower than the highest seen"
	default:
		s.endAttempt(j, t, rec)
		effect.Kind = TaskEnded
		effect.TaskState = t.state
	}
	return effect
}

// endAttempt removes the live attempt of task t, counts its result and sets the
// next state of the task. If the failure budget of the job is exhausted, its
// pending tasks fail. end calls it for a valid end record.
func (s *State) endAttempt(j *job, t *task, rec *records.TaskEnd) {
	attempts := s.runningByWorker[t.worker]
	delete(attempts, rec.Attempt.Task)
	if len(attempts) == 0 {
		delete(s.runningByWorker, t.worker)
	}
	j.budget.Count(t.worker, rec.Result)
	t.worker = ""
	if rec.Result == records.TaskFailed {
		t.failures++
	}
	t.state = Pending
	if next := NextState(rec.Result, j.isCancelled, j.spec.NonIdempotent, t.failures); next != Pending {
		s.closeTask(j, t, next)
	}
	if j.budget.Exhausted() {
		s.closePending(j, Failed)
	}
}

// closePending puts the pending tasks of a job into a final state, on cancellation
// or when the failure budget is exhausted.
func (s *State) closePending(j *job, state TaskState) {
	for i := range j.tasks {
		if j.tasks[i].state == Pending {
			s.closeTask(j, &j.tasks[i], state)
		}
	}
}

// NextState returns the state of a task after one of its attempts ended with
// result. cancelled and nonIdempotent describe the job; failures is the number of
// failed attempts of the task, including this one.
func NextState(result records.TaskResult, cancelled, nonIdempotent bool, failures int) TaskState {
	switch {
	case result == records.TaskSucceeded:
		return Succeeded
	case cancelled:
		return Cancelled
	case result == records.TaskNotStarted:
		return Pending
	case nonIdempotent:
		return Failed
	case failures >= MaxTaskFailures:
		return Failed
	}
	return Pending
}

// closeTask puts a task into a final state. With the last task of a job, the
// retention time of the job begins.
func (s *State) closeTask(j *job, t *task, state TaskState) {
	t.state = state
	j.openTasks--
	if j.openTasks == 0 {
		s.finishedJobs = append(s.finishedJobs, expiringJob{j.spec.ID, s.clock})
	}
}

// task returns a task and its job, or nil for both if the job or the index is
// unknown.
func (s *State) task(id structs.TaskID) (*job, *task) {
	j := s.jobs[id.Job]
	if j == nil || id.Index < 0 || id.Index >= len(j.tasks) {
		return nil, nil
	}
	return j, &j.tasks[id.Index]
}
