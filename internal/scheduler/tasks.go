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
	// stopRetryInterval is the pause before a stop is asked for again.
	stopRetryInterval = 10 * time.Second
	// incompleteGangTimeout is how long the rest of a gang runs on while a member that
	// ended finds no place.
	incompleteGangTimeout = 30 * time.Second
)

type timerKind uint8

const (
	timerRetry timerKind = iota
	timerOverrun
)

// timer is something that is due for an attempt at a time.
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

// lookup returns a task, or nil.
func (s *Scheduler) lookup(id structs.TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil || id.Index < 0 || id.Index >= len(j.tasks) {
		return nil
	}
	return &j.tasks[id.Index]
}

// live returns the task of an attempt if the attempt is live, or nil.
func (s *Scheduler) live(a structs.Attempt) *task {
	t := s.lookup(a.Task)
	if t == nil || t.state != taskLive || int(t.attempts) != a.Number || t.worker.ID != a.Worker {
		return nil
	}
	return t
}

func (s *Scheduler) taskStarted(a structs.Attempt) {
	t := s.live(a)
	if t == nil || t.hasStarted {
		return
	}
	t.hasStarted = true
	t.startedAt = s.now
	t.worker.health.consecutiveRefusals = 0
}

func (s *Scheduler) taskEnded(ev TaskEnded) {
	t := s.live(ev.Attempt)
	if t == nil {
		s.orphanEnded(ev.Attempt)
		return
	}
	j, w := t.job, t.worker
	s.learn(t, ev.Result)
	s.detach(t)
	s.applyResult(t, w, ev)
	if !ev.Unrecorded {
		s.updateHealth(w, j, ev.Result)
	}
	s.placeClaimsOn(w)
	s.queue.freed(w)
	s.closeJob(j)
}

// detach takes an attempt that ended off its worker.
func (s *Scheduler) detach(t *task) {
	if spread := t.job.spreadOf(t); spread != nil {
		spread[t.worker.rack]--
	}
	if t.isTerminating {
		s.setEnding(t, false)
	}
	s.cache.release(t)
	t.job.liveTasks--
	t.isStopRequested, t.hasStarted = false, false
	t.throttledAt = 0
}

// applyResult decides what becomes of a task whose attempt ended on w.
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
	case budgetSpent(t, ev):
		t.state = taskDone
		j.openTasks--
	case ev.Result == records.TaskFailed:
		s.delay(t, backoff(minRetryDelay, maxRetryDelay, int(t.failures)-1))
	case ev.Result == records.TaskNotStarted:
		s.delay(t, notStartedRetryDelay)
	}
	s.resumeGang(t)
	if t.state == taskIdle {
		s.enqueue(t)
	}
	t.wasStraggler = t.wasStraggler || t.isOverrun
	t.isOverrun = false
}

// closeJob ends a job that needs no further starts.
func (s *Scheduler) closeJob(j *job) {
	if j.budget.Exhausted() {
		s.failAll(j)
	}
	if j.openTasks == 0 && j.liveTasks == 0 && s.jobs[j.spec.ID] == j {
		s.dropJob(j)
	}
}

func (s *Scheduler) delay(t *task, wait time.Duration) {
	t.state = taskDelayed
	if g := t.gang(); g != nil {
		g.busyMembers++
	}
	s.timers.push(timer{s.now + wait, t, t.attempts, timerRetry})
}

// undelay ends the retry delay of a task.
func (s *Scheduler) undelay(t *task) {
	if t.state != taskDelayed {
		return
	}
	t.state = taskIdle
	if g := t.gang(); g != nil {
		g.busyMembers--
	}
}

func (s *Scheduler) startTimer(t *task) {
	run := t.job.class.expectedRunTime(t.spec().RunTime)
	if run <= 0 || t.service() || t.wasStraggler {
		return
	}
	s.timers.push(timer{s.now + overrunFactor*run, t, t.attempts, timerOverrun})
}

func (s *Scheduler) fireTimers() {
	for s.timers.len() > 0 && s.timers.items[0].at <= s.now {
		tm := s.timers.pop()
		t := tm.task
		switch {
		case t.attempts != tm.attemptNumber || s.jobs[t.job.spec.ID] != t.job:
		case tm.kind == timerRetry && t.state == taskDelayed:
			s.undelay(t)
			s.enqueue(t)
		case tm.kind == timerOverrun && t.state == taskLive && !t.isTerminating:
			t.worker.count(t, -1)
			t.isOverrun = true
			t.worker.count(t, 1)
		}
	}
}

// resumeGang handles the end of a member of a gang: the members that wait are
// queued together once none of the others is about to end.
func (s *Scheduler) resumeGang(t *task) {
	g := t.gang()
	if g == nil {
		return
	}
	if t.state != taskDone && !g.isIncomplete {
		g.isIncomplete = true
		g.incompleteSince = s.now
		s.incompleteGangs = append(s.incompleteGangs, &incompleteGang{t.job, g})
	}
	s.withdrawGang(g)
	s.enqueueGang(t.job, g)
}

// withdrawGang takes the waiting members of a gang out of the queue.
func (s *Scheduler) withdrawGang(g *gang) {
	e := g.eval
	if e == nil {
		return
	}
	s.dropClaims(e)
	for _, i := range e.pendingTasks {
		e.job.tasks[i].state = taskIdle
	}
	s.killEvaluation(e)
}

// endGang tells the live members of a gang to end, so that all start together
// again.
func (s *Scheduler) endGang(j *job, g *gang, reason string) {
	if j.nonIdempotent() {
		return
	}
	s.withdrawGang(g)
	for _, i := range g.members {
		if t := &j.tasks[i]; t.state == taskLive && !t.isTerminating {
			s.requestEnd(t, reason)
		}
	}
}

// repairGangs ends what is left of gangs that could not be made whole in time. A
// part of a gang that holds capacity while it waits for more could block
// another such part for ever.
func (s *Scheduler) repairGangs() {
	kept := s.incompleteGangs[:0]
	for _, b := range s.incompleteGangs {
		live, waiting := b.gang.count(b.job)
		if waiting == 0 || live == 0 || s.jobs[b.job.spec.ID] != b.job {
			b.gang.isIncomplete = false
			continue
		}
		if s.now >= b.gang.incompleteSince+incompleteGangTimeout {
			s.endGang(b.job, b.gang, "the gang could not be made whole")
		}
		kept = append(kept, b)
	}
	clear(s.incompleteGangs[len(kept):])
	s.incompleteGangs = kept
}

func (g *gang) count(j *job) (live, waiting int) {
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

// requestEnd ends a live attempt for others.
func (s *Scheduler) requestEnd(t *task, reason string) {
	s.setEnding(t, true)
	s.emitEnd(t, reason)
}

// emitEnd asks for a checkpoint, or for a stop of a service, which keeps no
// state worth saving.
func (s *Scheduler) emitEnd(t *task, reason string) {
	s.emitStarts()
	s.terminatingAttempts = append(s.terminatingAttempts, terminatingAttempt{t, t.attempts})
	if t.service() {
		t.isStopRequested = true
		s.actions = append(s.actions, Stop{t.attempt(), reason})
		return
	}
	s.actions = append(s.actions, Checkpoint{t.attempt(), reason})
}

// stop ends a live attempt without a checkpoint.
func (s *Scheduler) stop(t *task, reason string) {
	if !t.isTerminating {
		s.setEnding(t, true)
		s.terminatingAttempts = append(s.terminatingAttempts, terminatingAttempt{t, t.attempts})
	}
	s.emitStarts()
	t.isStopRequested = true
	t.terminatingSince = s.now
	s.actions = append(s.actions, Stop{t.attempt(), reason})
}

// escalate stops attempts whose checkpoint takes too long, and asks again for
// stops that had no effect.
func (s *Scheduler) escalate() {
	kept := s.terminatingAttempts[:0]
	for _, e := range s.terminatingAttempts {
		t := e.task
		if t.state != taskLive || t.attempts != e.attemptNumber || !t.isTerminating {
			continue
		}
		kept = append(kept, e)
		wait, reason := checkpointTimeout, "checkpoint took too long"
		if t.isStopRequested {
			wait, reason = stopRetryInterval, "earlier stop had no effect"
		}
		if s.now >= t.terminatingSince+wait {
			s.stop(t, reason)
		}
	}
	clear(s.terminatingAttempts[len(kept):])
	s.terminatingAttempts = kept
}
