// Package scheduler decides which task runs on which worker of one data centre.
// It is pure: it does no I/O, reads no clock and starts no goroutine. One
// goroutine drives it.
package scheduler

import (
	"time"

	"gypsumwinch/internal/structs"
)

const (
	// maxPlacementsPerApply bounds the placements of one Apply, so that the owner can
	// handle other events in between.
	maxPlacementsPerApply = 256
	// maxPlacementsPerDecision bounds the placements of one decision.
	maxPlacementsPerDecision = 32
	// minBlockedRetryInterval is the shortest pause before a blocked evaluation that may
	// preempt looks for victims again.
	minBlockedRetryInterval = time.Second
	// maxBlockedRetryInterval is the longest pause before a blocked evaluation is decided on
	// again, for changes that free no capacity, such as smaller learned sizes.
	maxBlockedRetryInterval = 30 * time.Second
)

// Scheduler is the job plane of one data centre.
type Scheduler struct {
	policy  *Policy
	cache   *Cache
	queue   *Queue
	now     time.Duration
	classes map[string]*class
	teams   map[string]*team
	// hasQuotas is false while no team is configured; teams are not limited then.
	hasQuotas bool

	jobs map[string]*job
	// jobList holds the jobs in the jobList of their addition. Jobs that ended are
	// removed by compact.
	jobList        []*job
	finishedJobIDs map[string]bool
	finishedJobs   []finishedJob
	withheldTasks  map[structs.TaskID]bool

	reservations    []*reservation
	selectedVictims []*task
	drainingEvals   []*Evaluation
	nextDrainAt     time.Duration
	// terminatingAttempts holds attempts that were told to end and have not ended.
	terminatingAttempts []terminatingAttempt
	// incompleteGangs holds gangs of which a part ended.
	incompleteGangs []*incompleteGang
	timers          binaryHeap[timer]
	// quarantinedWorkers counts the workers that are set quarantinedWorkers.
	quarantinedWorkers int
	// checkedShapesVersion is the version of the worker shapes for which it was last checkedShapesVersion
	// which jobs can never run.
	checkedShapesVersion int

	plan, reservationPlan Plan
	pendingPlacements     []Placement
	actions               []Action
}

// New returns a scheduler without workers and jobs that follows DefaultPolicy.
func New(config structs.ClusterConfig) *Scheduler {
	return NewWithPolicy(config, DefaultPolicy())
}

// NewWithPolicy returns a scheduler without workers and jobs.
func NewWithPolicy(config structs.ClusterConfig, policy *Policy) *Scheduler {
	s := &Scheduler{
		policy: policy, cache: NewCache(), queue: NewQueue(),
		classes: map[string]*class{}, teams: map[string]*team{},
		jobs: map[string]*job{}, finishedJobIDs: map[string]bool{},
	}
	s.timers.less = func(a, b timer) bool { return a.at < b.at }
	s.setConfig(config)
	return s
}

// Apply folds one event and returns what has to be done.
func (s *Scheduler) Apply(now time.Duration, ev Event) []Action {
	s.now = max(s.now, now)
	s.cache.now = s.now
	switch ev := ev.(type) {
	case JobAdded:
		s.addJob(ev)
	case JobCancelled:
		s.cancelJob(ev.Job)
	case JobRemoved:
		s.removeJob(ev.Job)
	case WorkerUp:
		s.setWorker(ev.Worker)
	case WorkerChanged:
		s.setWorker(ev.Worker)
	case WorkerDown:
		s.workerDown(ev.Worker)
	case WorkerInventory:
		s.reconcile(ev.Worker, ev.Running, ev.Allocated)
	case TaskStarted:
		s.taskStarted(ev.Attempt)
	case TaskEnded:
		s.taskEnded(ev)
	case UsageReport:
		s.applyUsage(ev)
	case ConfigChanged:
		s.applyConfig(ev.Config)
	case Withhold:
		s.setWithheldTasks(ev.Tasks)
	case Tick:
		s.tick()
	}
	s.scheduleReady()
	return s.takeActions()
}

// HasReadyWork reports whether a further Tick at the same time would decide more. The
// owner sends it after it has handled waiting events.
func (s *Scheduler) HasReadyWork() bool { return s.queue.readySubqueues.len() > 0 }

func (s *Scheduler) tick() {
	s.fireTimers()
	s.escalateTerminations()
	s.expireReservations()
	s.evictFromDrainedWorkers()
	s.terminateIncompleteGangs()
	s.resumeWorkers()
	s.maintainWorkers()
	if s.checkedShapesVersion != s.cache.shapesVersion {
		s.checkedShapesVersion = s.cache.shapesVersion
		s.recheckFeasibility()
	}
	s.pruneFinishedJobs()
	s.queue.wakeDue(s.now)
}

// scheduleReady decides on ready evaluations until all are placed or blocked, or the
// batch is full.
func (s *Scheduler) scheduleReady() {
	for budget := maxPlacementsPerApply; budget > 0; {
		l, e := s.queue.popReady()
		if e == nil {
			return
		}
		if s.updateNeed(e) {
			s.queue.makeReady(l)
			continue
		}
		e.isLate = s.now > e.startDeadline
		Schedule(s.cache, s.policy, e, min(budget, maxPlacementsPerDecision), &s.plan)
		budget -= max(1, len(s.plan.Placements))
		s.commitPlan(e, &s.plan)
		if s.plan.Blocked && !s.reserve(e) && l.state == subqueueIdle {
			s.blockSubqueue(l, e)
			continue
		}
		s.queue.makeReady(l)
	}
}

// reserve asks the policy steps to set capacity apart for an evaluation that
// does not fit.
func (s *Scheduler) reserve(e *Evaluation) bool {
	for _, r := range s.policy.Reservers {
		if r.Reserve(s, e) {
			return true
		}
	}
	return false
}

// blockSubqueue keeps a lane from further decisions until capacity becomes free or a
// policy step may apply to its head.
func (s *Scheduler) blockSubqueue(l *subqueue, e *Evaluation) {
	wakeAt := s.now + maxBlockedRetryInterval
	for _, r := range s.policy.Reservers {
		wakeAt = min(wakeAt, max(r.WakeAt(e), s.now+minBlockedRetryInterval))
	}
	for _, waiting := range l.unexplainedEvals {
		if waiting.isRemoved || waiting.isExplained || len(waiting.pendingTasks) == 0 {
			continue
		}
		waiting.isExplained = true
		s.explain(waiting.job, s.plan.Reason)
	}
	l.unexplainedEvals = nil
	s.queue.block(l, s.plan.Reason, wakeAt)
}

// updateNeed brings the size of an evaluation up to date with what was learned
// about its class. It reports whether the evaluation went to another lane.
func (s *Scheduler) updateNeed(e *Evaluation) bool {
	need := s.cache.allocationFor(e.job, e.pendingTasks[0])
	if need == e.need {
		return false
	}
	e.need = need
	e.quotaDemand = need
	if e.gang != nil {
		e.quotaDemand = need.Times(int64(len(e.pendingTasks)))
	}
	e.subqueue.evals.pop()
	e.subqueue = nil
	s.queue.add(e)
	return true
}

// commitPlan takes over the placements of a plan.
func (s *Scheduler) commitPlan(e *Evaluation, plan *Plan) {
	for _, p := range plan.Placements {
		t := &e.job.tasks[p.Attempt.Task.Index]
		t.hasStarted = false
		e.job.liveTasks++
		s.startOverrunTimer(t)
	}
	s.pendingPlacements = append(s.pendingPlacements, plan.Placements...)
	if len(plan.Placements) > 0 {
		s.endDrain(e)
	}
	plan.Placements = plan.Placements[:0]
	s.removeIfComplete(e)
}

// removeIfComplete drops an evaluation of which nothing waits.
func (s *Scheduler) removeIfComplete(e *Evaluation) {
	if e.isRemoved || len(e.pendingTasks) > 0 || len(e.reservations) > 0 {
		return
	}
	s.removeEvaluation(e)
	if e.job.hasExplanation && len(e.job.evals) == 0 && e.job.infeasibleReason == "" {
		e.job.hasExplanation = false
		s.actions = append(s.actions, Explain{Job: e.job.spec.ID})
	}
}

// takeActions returns the actions decided so far.
func (s *Scheduler) takeActions() []Action {
	s.flushPlacements()
	out := s.actions
	s.actions = nil
	return out
}

// flushPlacements puts the placements decided so far into a Start. It precedes an
// action that may concern one of them.
func (s *Scheduler) flushPlacements() {
	if len(s.pendingPlacements) > 0 {
		s.actions = append(s.actions, Start{s.pendingPlacements})
		s.pendingPlacements = nil
	}
}

func (s *Scheduler) explain(j *job, reason string) {
	j.hasExplanation = true
	s.actions = append(s.actions, Explain{Job: j.spec.ID, Reason: reason})
}
