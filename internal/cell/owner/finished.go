package owner

import (
	"time"

	"gypsumwinch/internal/cell"
)

// handleFinishedRun processes one finished run of a worker's inventory.
// reconcile calls it once for each finished run that it has not processed
// yet. The run is closed, and its outcome counts unless the job has a final
// state or no longer has the step.
func (m *Machine) handleFinishedRun(w *worker, finished cell.FinishedRun) {
	r, open := w.runs[runKey{finished.Task, finished.Run}]
	if !open {
		m.handleUnknownFinishedRun(w, finished)
		return
	}
	m.saveCheckpoint(r, finished.Checkpoint)
	s := r.step
	if s == nil || r.job.state.IsFinal() {
		m.closeRun(r, "ended")
		return
	}
	// The run has finished, so the calls below must not send a stop for it.
	r.phase = phaseEnding
	if s.def.Gang {
		m.expectGangEnd(s)
	}
	switch finished.Outcome {
	case cell.OutcomeDone:
		m.handleSucceededRun(r)
	case cell.OutcomeFailed:
		m.handleFailedRun(r)
	default:
		m.logDecision(r.taskName, "run ended early", "run", r.number, "worker", w.info.ID, "how", string(finished.Outcome))
	}
	m.closeRun(r, "ended "+string(finished.Outcome))
	m.markDirty(r.job)
}

// handleUnknownFinishedRun processes a finished run that is not open: one that
// was given up before (see the package comment), or one that a former owner has
// processed and the worker lists again. If the run completed its task, the task
// is not run again. handleFinishedRun calls it.
func (m *Machine) handleUnknownFinishedRun(w *worker, finished cell.FinishedRun) {
	if finished.Outcome != cell.OutcomeDone {
		return
	}
	id, err := cell.ParseTaskID(finished.Task)
	if err != nil {
		m.logDecision(finished.Task, "end of an unreadable task", "worker", w.info.ID, "error", err.Error())
		return
	}
	j, ok := m.jobs[id.Job]
	if !ok || j.state.IsFinal() {
		return
	}
	s := j.steps[id.StepID]
	if s == nil || id.Index >= len(s.tasks) || s.tasks[id.Index].isDone || s.def.LongRunning {
		return
	}
	m.logDecision(finished.Task, "run that was given up has completed its task", "run", finished.Run, "worker", w.info.ID)
	m.completeTask(s, id.Index)
	m.markDirty(j)
}

// handleSucceededRun marks the task of a run with outcome done, or its whole
// gang, as done. A long-running task is restarted instead. handleFinishedRun
// calls it.
func (m *Machine) handleSucceededRun(r *run) {
	s := r.step
	if s.def.LongRunning {
		s.tasks[r.id.Index].notBefore = m.now.Mono + restartDelay
		return
	}
	m.recordSucceededRun(r)
	if r.startedAt > 0 {
		m.updateMeanRunTime(r, m.now.Mono-r.startedAt)
	}
	m.learnFrom(r)
	m.completeTask(s, r.id.Index)
}

// restartDelay is the delay before a long-running task is started again.
const restartDelay = 100 * time.Millisecond

// completeTask marks a task as done, or all members if the step is a gang.
// Once the whole step is done it queues the steps that depend on it and
// completes the job if nothing is left. It is called for each run that
// completed its task, also for one that was given up.
func (m *Machine) completeTask(s *step, index int) {
	if s.doneTasks == len(s.tasks) {
		// Each member of a gang is listed as done; the step is done with the first one.
		return
	}
	if s.def.Gang {
		for i := range s.tasks {
			m.markDone(s, i)
		}
	} else {
		m.markDone(s, index)
	}
	if s.doneTasks < len(s.tasks) {
		return
	}
	delete(m.waitingSteps, s.id)
	m.learnSpeeds(s)
	m.markStepDone(s)
	m.completeIfDone(s.job)
	m.queueReadySteps(s.occurrence)
	m.removeIfEnded(s.occurrence)
}

// markDone marks one task as done for completeTask; a task that is done
// already does not count twice.
func (m *Machine) markDone(s *step, i int) {
	if s.tasks[i].isDone {
		return
	}
	s.tasks[i].isDone = true
	s.doneTasks++
}

// expectGangEnd marks the other runs of a gang as ending: workers end all
// members by themselves once one of them has finished. handleFinishedRun
// calls it when the first member is listed as finished.
func (m *Machine) expectGangEnd(s *step) {
	for i := range s.tasks {
		r := s.tasks[i].run
		if r == nil {
			continue
		}
		switch r.phase {
		case phaseRunning, phaseRecovered:
			r.phase = phaseEnding
			r.acknowledgedAt = m.now.Mono
		}
	}
}

// handleFailedRun counts a run with outcome failed and fails the job after
// the last permitted attempt (cell.Queue.MaxAttempts). handleFinishedRun
// calls it.
func (m *Machine) handleFailedRun(r *run) {
	s := r.step
	t := &s.tasks[r.id.Index]
	limit := m.currentQueue(r.job).MaxAttempts
	m.recordFailedRun(r)
	if s.def.LongRunning {
		t.notBefore = m.now.Mono + restartDelay
		return
	}
	failures := 0
	if s.def.Gang {
		// A run of a gang counts as one failure, however many of its members
		// fail.
		if s.lastFailedGangRun != r.number {
			s.lastFailedGangRun = r.number
			s.gangFailures++
		}
		failures = s.gangFailures
	} else {
		t.failedRuns++
		failures = t.failedRuns
	}
	r.job.expectations = nil
	m.logDecision(r.taskName, "run failed", "run", r.number, "worker", r.worker.info.ID, "failures", failures, "limit", limit)
	if limit > 0 && failures >= limit {
		m.logDecision(string(r.job.def.ID), "job is given up", "task", r.taskName, "failures", failures)
		m.finishJob(r.job, cell.StateFailed)
	}
}

// updateMeanRunTime adds the run time of a succeeded run to the moving
// average of its queue. handleSucceededRun calls it.
func (m *Machine) updateMeanRunTime(r *run, runTime time.Duration) {
	q := m.statsFor(r.job.def.Queue.Name)
	if q.meanRunTime == 0 {
		q.meanRunTime = runTime
		return
	}
	q.meanRunTime += time.Duration(newSampleWeight * float64(runTime-q.meanRunTime))
}
