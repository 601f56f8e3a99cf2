package owner

import (
	"time"

	"gypsumwinch/internal/cell"
)

// ended processes one end that a worker lists.
func (m *Machine) ended(w *worker, end cell.FinishedRun) {
	r, open := w.runs[runKey{end.Task, end.Run}]
	if !open {
		m.endedUnknown(w, end)
		return
	}
	m.keepCheckpoint(r, end.Checkpoint)
	s := r.step
	if s == nil || r.job.state.IsFinal() {
		m.closeRun(r, "ended")
		return
	}
	// The run is over, so that nothing below stops it.
	r.phase = phaseEnding
	if s.def.Gang {
		m.expectEnds(s)
	}
	switch end.Outcome {
	case cell.OutcomeDone:
		m.taskDone(r)
	case cell.OutcomeFailed:
		m.taskFailed(r)
	default:
		m.decide(r.name, "run ended early", "run", r.number, "worker", w.info.ID, "how", string(end.Outcome))
	}
	m.closeRun(r, "ended "+string(end.Outcome))
	m.markDirty(r.job)
}

// endedUnknown processes an end of a run that the owner had given up. If the
// task was done after all, it is not run again.
func (m *Machine) endedUnknown(w *worker, end cell.FinishedRun) {
	if end.Outcome != cell.OutcomeDone {
		return
	}
	id, err := cell.ParseTaskID(end.Task)
	if err != nil {
		m.decide(end.Task, "end of an unreadable task", "worker", w.info.ID, "error", err.Error())
		return
	}
	j, ok := m.jobs[id.Job]
	if !ok || j.state.IsFinal() {
		return
	}
	s := j.steps[id.StepID]
	if s == nil || id.Index >= len(s.task) || s.task[id.Index].done || s.def.LongRunning {
		return
	}
	m.decide(end.Task, "given up run was done after all", "run", end.Run, "worker", w.info.ID)
	m.stepAdvanced(s, id.Index)
	m.markDirty(j)
}

// taskDone marks a task, or a whole gang, as done.
func (m *Machine) taskDone(r *run) {
	s := r.step
	if s.def.LongRunning {
		s.task[r.id.Index].notBefore = m.now.Mono + restartPause
		return
	}
	r.worker.health.succeeded()
	if r.startedAt > 0 {
		m.learnRunTime(r, m.now.Mono-r.startedAt)
	}
	m.stepAdvanced(s, r.id.Index)
}

// restartPause is the pause before a lasting task is started again.
const restartPause = 100 * time.Millisecond

// stepAdvanced marks a task, and with it all members of a gang, as done.
func (m *Machine) stepAdvanced(s *step, index int) {
	if s.def.Gang {
		for i := range s.task {
			m.markDone(s, i)
		}
	} else {
		m.markDone(s, index)
	}
	if s.done < len(s.task) {
		return
	}
	delete(m.waiting, s.id)
	j := s.job
	if m.occurrenceDone(j, s.id.Occurrence) {
		j.open--
		m.checkCompleted(j)
	}
	m.updateReady(j)
}

// markDone marks one task.
func (m *Machine) markDone(s *step, i int) {
	if s.task[i].done {
		return
	}
	s.task[i].done = true
	s.done++
}

// expectEnds notes that the workers end the members of a gang by themselves
// once one has ended.
func (m *Machine) expectEnds(s *step) {
	for i := range s.task {
		r := s.task[i].run
		if r == nil {
			continue
		}
		switch r.phase {
		case phaseRunning, phaseInherited:
			r.phase = phaseEnding
			r.settledAt = m.now.Mono
		}
	}
}

// occurrenceDone reports whether all steps of an occurrence are done.
func (m *Machine) occurrenceDone(j *job, occurrence int) bool {
	for i := range j.def.Steps {
		s := j.steps[cell.StepID{Job: j.def.ID, Occurrence: occurrence, Step: i}]
		if s == nil || s.done < len(s.task) {
			return false
		}
	}
	return true
}

// taskFailed counts a failed run and gives the job up after the last attempt.
func (m *Machine) taskFailed(r *run) {
	s := r.step
	t := &s.task[r.id.Index]
	limit := m.queue(r.job).MaxAttempts
	m.failedOn(r)
	if s.def.LongRunning {
		t.notBefore = m.now.Mono + restartPause
		return
	}
	failures := 0
	if s.def.Gang {
		// One run of a gang fails once, whichever members end so.
		if s.gangCountRun != r.number {
			s.gangCountRun = r.number
			s.gangFailures++
		}
		failures = s.gangFailures
	} else {
		t.failed++
		failures = t.failed
	}
	m.decide(r.name, "run failed", "run", r.number, "worker", r.worker.info.ID, "failures", failures, "limit", limit)
	if limit > 0 && failures >= limit {
		m.decide(string(r.job.def.ID), "job is given up", "task", r.name, "failures", failures)
		m.finish(r.job, cell.StateFailed)
	}
}

// learnRunTime learns how long tasks of a queue take.
func (m *Machine) learnRunTime(r *run, took time.Duration) {
	q := m.stats(r.job.def.Queue.Name)
	if q.runTime == 0 {
		q.runTime = took
		return
	}
	q.runTime += time.Duration(learnRate * float64(took-q.runTime))
}
