package scheduler

import (
	"time"

	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

const (
	// overrunFactor is how many times its expected run time a task may run
	// before it counts as overrunning. Other work may preempt it then.
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

// terminatingAttempt is an attempt that is to end early and has not ended. The
// number distinguishes it from later attempts of the task.
type terminatingAttempt struct {
	task          *task
	attemptNumber int32
}

// incompleteGang is a gang of which a member ended and has to start again, with
// its job.
type incompleteGang struct {
	job  *job
	gang *gang
}

// taskByID returns the task with an id, or nil if the job is not known or has
// no such task. Events about an attempt and the inventories of workers find
// their task with it.
func (s *Scheduler) taskByID(id structs.TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil || id.Index < 0 || id.Index >= len(j.tasks) {
		return nil
	}
	return &j.tasks[id.Index]
}

// liveTask returns the task of an attempt if the attempt is live, or nil. Each
// event about an attempt is checked with it, so that a late event does not
// change a later attempt of the task.
func (s *Scheduler) liveTask(a structs.Attempt) *task {
	t := s.taskByID(a.Task)
	if t == nil || t.state != taskLive || int(t.attempts) != a.Number || t.worker.ID != a.Worker {
		return nil
	}
	return t
}

// taskStarted handles TaskStarted: a worker confirmed the start of an attempt.
// The run time counts from now, and the worker no longer counts as one that
// refuses starts.
func (s *Scheduler) taskStarted(a structs.Attempt) {
	t := s.liveTask(a)
	if t == nil || t.hasStarted {
		return
	}
	t.hasStarted = true
	t.startedAt = s.now
	t.worker.health.consecutiveRefusals = 0
}

// taskEnded handles TaskEnded: an attempt ended, or was never started. It frees
// the capacity of the attempt, decides whether the task starts again, and
// places tasks whose reservations on the worker are ready now.
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

// releaseAttempt takes an attempt off its worker. It runs on each TaskEnded of
// a live attempt.
func (s *Scheduler) releaseAttempt(t *task) {
	if byRack := t.job.liveByRackOf(t); byRack != nil {
		byRack[t.worker.rack]--
	}
	if t.isTerminating {
		s.setTerminating(t, false)
	}
	s.cache.release(t)
	t.job.liveTasks--
	t.isStopRequested, t.hasStarted = false, false
	t.throttledAt = 0
}

// applyResult sets the next state of a task whose attempt ended on w: done,
// delayed until a retry, or queued. It runs on each TaskEnded of a live
// attempt.
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
	t.hadOverrun = t.hadOverrun || t.isOverrun
	t.isOverrun = false
}

// finishJobIfDone finishes a job that needs no further starts and of which no
// task runs. It is called at the end of taskEnded.
func (s *Scheduler) finishJobIfDone(j *job) {
	if j.budget.Exhausted() {
		s.failWaitingTasks(j)
	}
	if j.openTasks == 0 && j.liveTasks == 0 && s.jobs[j.spec.ID] == j {
		s.finishJob(j)
	}
}

// delayRetry keeps a task out of the queue until a timer fires after wait. It
// is called when an attempt failed or was not started.
func (s *Scheduler) delayRetry(t *task, wait time.Duration) {
	t.state = taskDelayed
	if g := t.gang(); g != nil {
		g.busyMembers++
	}
	s.timers.push(timer{s.now + wait, t, t.attempts, timerRetry})
}

// cancelRetryDelay ends the retry delay of a task, if it has one. It is called
// when the timer of the delay fires, and when a worker turns out to run an
// attempt of the task already.
func (s *Scheduler) cancelRetryDelay(t *task) {
	if t.state != taskDelayed {
		return
	}
	t.state = taskIdle
	if g := t.gang(); g != nil {
		g.busyMembers--
	}
}

// startOverrunTimer starts the timer after which an attempt counts as
// overrunning. It is called when an attempt is placed or adopted. Services,
// tasks of unknown run time and tasks that have overrun before get no timer.
func (s *Scheduler) startOverrunTimer(t *task) {
	runTime := t.job.class.expectedRunTime(t.spec().RunTime)
	if runTime <= 0 || t.isService() || t.hadOverrun {
		return
	}
	s.timers.push(timer{s.now + overrunFactor*runTime, t, t.attempts, timerOverrun})
}

// fireTimers runs on each Tick. It queues tasks whose retry delay is over and
// marks attempts that run too long as overrunning, so that they may be
// preempted. Timers of attempts that have ended do nothing.
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

// requeueGang runs on each TaskEnded of a member of a gang: the members that
// wait are queued together once none of the others is terminating or waits for
// a retry.
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

// dequeueGang takes the waiting members of a gang out of the queue. It is
// called when a member ended, before the members are queued again, and when the
// gang is terminated.
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

// terminateGang requests the termination of the live members of a gang, so that
// all start together again. It is called after one member was selected for
// preemption or eviction or uses too much memory, and by
// terminateIncompleteGangs. Gangs of non-idempotent jobs run on.
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

// terminateIncompleteGangs runs on each Tick. It terminates the rest of gangs
// whose other members were not placed in time. A part of a gang that holds
// capacity while it waits for more could block another such part for ever.
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

// countMembers returns how many members run and how many still have to start.
// terminateIncompleteGangs calls it for each incomplete gang on each Tick.
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

// terminate marks a live attempt as terminating and requests its termination.
// It is called when an attempt is evicted from a drained, leaving or shrunken
// worker, when it uses too much memory, and when its gang is terminated.
func (s *Scheduler) terminate(t *task, reason string) {
	s.setTerminating(t, true)
	s.requestTermination(t, reason)
}

// requestTermination requests a checkpoint, or a stop of a service, which has
// no state worth saving. It is called by terminate, and by terminateVictims for
// victims, which are marked as terminating before.
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

// stopAttempt ends a live attempt without a checkpoint. It is called when the
// job is cancelled, and on a Tick when a termination takes too long.
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

// escalateTerminations runs on each Tick. It stops attempts whose checkpoint
// takes too long, and repeats stops that had no effect.
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
