package jobstate

import (
	"time"

	"github.com/oklog/ulid/v2"

	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

func refused(job, reason string) Effect {
	return Effect{Kind: Refused, Job: job, Reason: reason}
}

// createdAt returns the creation time in the id of a job, or its submission
// time if the id is not a ULID.
func createdAt(j *structs.Job) time.Time {
	id, err := ulid.ParseStrict(j.ID)
	if err != nil {
		return j.AcceptedAt
	}
	return ulid.Time(id.Time())
}

func (s *State) accept(rec *records.JobAccepted) Effect {
	id := rec.Job.ID
	if _, known := s.jobs[id]; known {
		return Effect{Kind: Ignored, Job: id, Reason: "job id was accepted before"}
	}
	created := createdAt(&rec.Job)
	if !created.IsZero() && s.clock.Sub(created) > AcceptWindow {
		return refused(id, "job id is older than the accept window")
	}
	if s.early[id] {
		return refused(id, "job was cancelled before its acceptance")
	}
	if reason := invalid(&rec.Job); reason != "" {
		return refused(id, reason)
	}
	n := rec.Job.TaskCount()
	j := &job{spec: rec.Job, accepted: s.next - 1, at: s.clock, tasks: make([]task, n), open: n}
	for i := range j.tasks {
		j.tasks[i].state = Pending
	}
	s.jobs[id] = j
	return Effect{Kind: JobAccepted, Job: id}
}

// invalid returns why a job is malformed, or an empty string.
func invalid(j *structs.Job) string {
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

func (s *State) cancel(rec *records.JobCancelled) Effect {
	j := s.jobs[rec.Job]
	switch {
	case j == nil:
		return s.cancelEarly(rec.Job)
	case j.cancelled:
		return Effect{Kind: Ignored, Job: rec.Job, Reason: "job was cancelled before"}
	case j.movedTo != "":
		return refused(rec.Job, "job has moved to "+j.movedTo)
	case j.open == 0:
		return Effect{Kind: Ignored, Job: rec.Job, Reason: "job is finished"}
	}
	j.cancelled = true
	s.closePending(j, Cancelled)
	return Effect{Kind: JobCancelled, Job: rec.Job}
}

func (s *State) cancelEarly(id string) Effect {
	if !s.early[id] {
		s.early[id] = true
		s.earlyAge = append(s.earlyAge, datedJob{id, s.clock})
	}
	return refused(id, "job is unknown")
}

func (s *State) move(rec *records.JobMoved) Effect {
	stale := rec.Term < s.term
	s.seeTerm(rec.Term)
	j := s.jobs[rec.Job]
	switch {
	case stale:
		return refused(rec.Job, "term is lower than the highest seen")
	case j == nil:
		return refused(rec.Job, "job is unknown")
	case j.movedTo != "":
		return Effect{Kind: Ignored, Job: rec.Job, Reason: "job has moved before"}
	case j.cancelled:
		return refused(rec.Job, "job is cancelled")
	}
	for i := range j.tasks {
		if j.tasks[i].attempts > 0 {
			return refused(rec.Job, "a task of the job has started")
		}
	}
	j.movedTo = rec.To
	for i := range j.tasks {
		s.closeTask(j, &j.tasks[i], Moved)
	}
	return Effect{Kind: JobMoved, Job: rec.Job}
}

func (s *State) start(rec *records.TaskStart) Effect {
	stale := rec.Term < s.term
	s.seeTerm(rec.Term)
	id := rec.Attempt.Task
	j, t := s.task(id)
	effect := Effect{Kind: Refused, Job: id.Job, Attempt: rec.Attempt}
	if t != nil {
		effect.Task = t.state
	}
	switch {
	case t == nil:
		effect.Reason = "task is unknown"
	case stale:
		effect.Reason = "term is lower than the highest seen"
	case j.cancelled:
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
		s.setLive(j, t, rec.Attempt)
		effect.Kind = TaskStarted
		effect.Task = Running
	}
	return effect
}

func (s *State) setLive(j *job, t *task, a structs.Attempt) {
	t.state = Running
	t.attempts = a.Number
	t.worker = a.Worker
	s.addRunning(a)
}

func (s *State) addRunning(a structs.Attempt) {
	on := s.running[a.Worker]
	if on == nil {
		on = map[structs.TaskID]structs.Attempt{}
		s.running[a.Worker] = on
	}
	on[a.Task] = a
}

// end applies the end of an attempt. An owner of a lower term may report what a
// worker told it. It may not declare an attempt lost or not started, because
// its successor may have found that attempt running.
func (s *State) end(rec *records.TaskEnd) Effect {
	stale := rec.Term < s.term
	s.seeTerm(rec.Term)
	id := rec.Attempt.Task
	j, t := s.task(id)
	effect := Effect{Kind: Refused, Job: id.Job, Attempt: rec.Attempt}
	if t != nil {
		effect.Task = t.state
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
		effect.Task = t.state
	}
	return effect
}

func (s *State) endAttempt(j *job, t *task, rec *records.TaskEnd) {
	on := s.running[t.worker]
	delete(on, rec.Attempt.Task)
	if len(on) == 0 {
		delete(s.running, t.worker)
	}
	j.budget.Count(t.worker, rec.Result)
	t.worker = ""
	if rec.Result == records.TaskFailed {
		t.failures++
	}
	t.state = Pending
	if next := NextState(rec.Result, j.cancelled, j.spec.NonIdempotent, t.failures); next != Pending {
		s.closeTask(j, t, next)
	}
	if j.budget.Exhausted() {
		s.closePending(j, Failed)
	}
}

func (s *State) closePending(j *job, state TaskState) {
	for i := range j.tasks {
		if j.tasks[i].state == Pending {
			s.closeTask(j, &j.tasks[i], state)
		}
	}
}

// NextState returns the state of a task after one of its attempts ended with
// result, given whether its job is cancelled or must run at most once, and the
// number of failed attempts including this one.
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
	case failures >= MaxFailures:
		return Failed
	}
	return Pending
}

func (s *State) closeTask(j *job, t *task, state TaskState) {
	t.state = state
	j.open--
	if j.open == 0 {
		s.finished = append(s.finished, datedJob{j.spec.ID, s.clock})
	}
}

func (s *State) task(id structs.TaskID) (*job, *task) {
	j := s.jobs[id.Job]
	if j == nil || id.Index < 0 || id.Index >= len(j.tasks) {
		return nil, nil
	}
	return j, &j.tasks[id.Index]
}
