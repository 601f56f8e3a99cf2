package scheduler

import (
	"time"

	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

const (
	// overrunFactor is how many times its expected run time a task may run
	// before it counts as a straggler, which other work may preempt.
	overrunFactor = 10
	// stopRetryInterval is the pause before a stop is requested again.
	stopRetryInterval = 10 * time.Second
	// incompleteGangTimeout is how long the rest of a gang runs on while a
	// member that ended finds no worker.
	incompleteGangTimeout = 30 * time.Second
)

type timerKind uint8

const (
	timerRetry timerKind = iota
	timerOverrun
)

// timer is a retry or an overrun check that is due for an attempt at a time.
type timer struct {
	at            time.Duration
	task          *task
	attemptNumber int32
	kind          timerKind
}

type terminatingAttempt struct {
	task          *task
	attemptNumber int32
}

type incompleteGang struct {
	job  *job
	gang *gang
}

// taskByID returns a task, or nil.
func (s *Scheduler) taskByID(id structs.TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil || id.Index < 0 || id.Index >= len(j.tasks) {
		return nil
	}
	return &j.tasks[id.Index]
}

// liveTask returns the task of an attempt if the attempt is live, or nil.
func (s *Scheduler) liveTask(a structs.Attempt) *task {
	t := s.taskByID(a.Task)
	if t == nil || t.state != taskLive || int(t.attempts) != a.Number || t.worker.ID != a.Worker {
		return nil
	}
	return t
}

func (s *Scheduler) taskStarted(a structs.Attempt) {
	t := s.liveTask(a)
	if t == nil || t.hasStarted {
		return
	}
	t.hasStarted = true
	t.startedAt = s.now
	t.worker.health.consecutiveRefusals = 0
}

func (s *Scheduler) taskEnded(ev TaskEnded) {
	t := s.liveTask(ev.Attempt)
	if t == nil {
		s.orphanEnded(ev.Attempt)
		return
	}
	j, w := t.job, t.worker
	s.learn(t, ev.Result)
	s.releaseAttempt(t)
	s.applyResult(t, w, ev)
	if !ev.Unrecorded {
		s.updateHealth(w, j, ev.Result)
	}
	s.placeReservedOn(w)
	s.queue.onCapacityFreed(w)
	s.finishJobIfDone(j)
}

// releaseAttempt takes an attempt that ended off its worker.
func (s *Scheduler) releaseAttempt(t *task) {
	if spread := t.job.liveByRackOf(t); spread != nil {
		spread[t.worker.rack]--
	}
	if t.isTerminating {
		s.setTerminating(t, false)
	}
	s.cache.release(t)
	t.job.liveTasks--
	t.isStopRequested, t.hasStarted = false, false
	t.throttledAt = 0
}

// applyResult decides on the next state of a task whose attempt ended on w.
func (s *Scheduler) applyResult(t *task, w *WorkerState, ev TaskEnded) {
	j := t.job
	t.state = taskIdle
	if ev.Unrecorded {
		t.attempts--
	}
	j.budget.Count(w.ID, ev.Result)
	if ev.Result == records.TaskFailed {
		t.failures++
		t.avoidWorker = w.ID
	}
	switch {
	case isTaskFinished(t, ev):
		t.state = taskDone
		j.openTasks--
	case ev.Result == records.TaskFailed:
		s.delayRetry(t, backoff(minRetryDelay, maxRetryDelay, int(t.failures)-1))
	case ev.Result == records.TaskNotStarted:
		s.delayRetry(t, notStartedRetryDelay)
	}
	s.requeueGang(t)
	if t.state == taskIdle {
		s.enqueueTask(t)
	}
	t.wasStraggler = t.wasStraggler || t.isOverrun
	t.isOverrun = false
}

// finishJobIfDone finishes a job that needs no further starts and of which no
// task runs.
func (s *Scheduler) finishJobIfDone(j *job) {
	if j.budget.Exhausted() {
		s.failWaitingTasks(j)
	}
	if j.openTasks == 0 && j.liveTasks == 0 && s.jobs[j.spec.ID] == j {
		s.finishJob(j)
	}
}

func (s *Scheduler) delayRetry(t *task, wait time.Duration) {
	t.state = taskDelayed
	if g := t.gang(); g != nil {
		g.busyMembers++
	}
	s.timers.push(timer{s.now + wait, t, t.attempts, timerRetry})
}

// cancelRetryDelay ends the retry delay of a task.
func (s *Scheduler) cancelRetryDelay(t *task) {
	if t.state != taskDelayed {
		return
	}
	t.state = taskIdle
	if g := t.gang(); g != nil {
		g.busyMembers--
	}
}

func (s *Scheduler) startOverrunTimer(t *task) {
	runTime := t.job.class.expectedRunTime(t.spec().RunTime)
	if runTime <= 0 || t.isService() || t.wasStraggler {
		return
	}
	s.timers.push(timer{s.now + overrunFactor*runTime, t, t.attempts, timerOverrun})
}

func (s *Scheduler) fireTimers() {
	for s.timers.len() > 0 && s.timers.items[0].at <= s.now {
		due := s.timers.pop()
		t := due.task
		switch {
		case t.attempts != due.attemptNumber || s.jobs[t.job.spec.ID] != t.job:
		case due.kind == timerRetry && t.state == taskDelayed:
			s.cancelRetryDelay(t)
			s.enqueueTask(t)
		case due.kind == timerOverrun && t.state == taskLive && !t.isTerminating:
			t.worker.countPreemptible(t, -1)
			t.isOverrun = true
			t.worker.countPreemptible(t, 1)
		}
	}
}

// requeueGang handles the end of a member of a gang: the members that wait are
// queued together once none of the others is terminating or waits for a retry.
func (s *Scheduler) requeueGang(t *task) {
	g := t.gang()
	if g == nil {
		return
	}
	if t.state != taskDone && !g.isIncomplete {
		g.isIncomplete = true
		g.incompleteSince = s.now
		s.incompleteGangs = append(s.incompleteGangs, &incompleteGang{t.job, g})
	}
	s.dequeueGang(g)
	s.enqueueGang(t.job, g)
}

// dequeueGang takes the waiting members of a gang out of the queue.
func (s *Scheduler) dequeueGang(g *gang) {
	e := g.eval
	if e == nil {
		return
	}
	s.cancelReservations(e)
	for _, i := range e.pendingTasks {
		e.job.tasks[i].state = taskIdle
	}
	s.removeEvaluation(e)
}

// terminateGang asks the live members of a gang to end, so that all start
// together again.
func (s *Scheduler) terminateGang(j *job, g *gang, reason string) {
	if j.isNonIdempotent() {
		return
	}
	s.dequeueGang(g)
	for _, i := range g.members {
		if t := &j.tasks[i]; t.state == taskLive && !t.isTerminating {
			s.terminate(t, reason)
		}
	}
}

// terminateIncompleteGangs terminates the rest of gangs whose other members
// found no worker in time. A part of a gang that holds capacity while it waits
// for more could block another such part for ever.
func (s *Scheduler) terminateIncompleteGangs() {
	remaining := s.incompleteGangs[:0]
	for _, ig := range s.incompleteGangs {
		live, waiting := ig.gang.countMembers(ig.job)
		if waiting == 0 || live == 0 || s.jobs[ig.job.spec.ID] != ig.job {
			ig.gang.isIncomplete = false
			continue
		}
		if s.now >= ig.gang.incompleteSince+incompleteGangTimeout {
			s.terminateGang(ig.job, ig.gang, "other tasks of the gang could not be started in time")
		}
		remaining = append(remaining, ig)
	}
	clear(s.incompleteGangs[len(remaining):])
	s.incompleteGangs = remaining
}

func (g *gang) countMembers(j *job) (live, waiting int) {
	for _, i := range g.members {
		switch j.tasks[i].state {
		case taskLive:
			live++
		case taskDone:
		default:
			waiting++
		}
	}
	return live, waiting
}

// terminate asks a live attempt to end early.
func (s *Scheduler) terminate(t *task, reason string) {
	s.setTerminating(t, true)
	s.requestTermination(t, reason)
}

// requestTermination requests a checkpoint, or a stop of a service, which has
// no state worth saving.
func (s *Scheduler) requestTermination(t *task, reason string) {
	s.flushPlacements()
	s.terminatingAttempts = append(s.terminatingAttempts, terminatingAttempt{t, t.attempts})
	if t.isService() {
		t.isStopRequested = true
		s.actions = append(s.actions, Stop{t.attempt(), reason})
		return
	}
	s.actions = append(s.actions, Checkpoint{t.attempt(), reason})
}

// stopAttempt ends a live attempt without a checkpoint.
func (s *Scheduler) stopAttempt(t *task, reason string) {
	if !t.isTerminating {
		s.setTerminating(t, true)
		s.terminatingAttempts = append(s.terminatingAttempts, terminatingAttempt{t, t.attempts})
	}
	s.flushPlacements()
	t.isStopRequested = true
	t.terminatingSince = s.now
	s.actions = append(s.actions, Stop{t.attempt(), reason})
}

// escalateTerminations stops attempts whose checkpoint takes too long, and
// repeats stops that had no effect.
func (s *Scheduler) escalateTerminations() {
	remaining := s.terminatingAttempts[:0]
	for _, terminating := range s.terminatingAttempts {
		t := terminating.task
		if t.state != taskLive || t.attempts != terminating.attemptNumber || !t.isTerminating {
			continue
		}
		remaining = append(remaining, terminating)
		wait, reason := checkpointTimeout, "checkpoint took too long"
		if t.isStopRequested {
			wait, reason = stopRetryInterval, "earlier stop had no effect"
		}
		if s.now >= t.terminatingSince+wait {
			s.stopAttempt(t, reason)
		}
	}
	clear(s.terminatingAttempts[len(remaining):])
	s.terminatingAttempts = remaining
}
