// Package scheduler decides which task of a job runs on which worker of one
// data centre. It queues the tasks, places them, reserves capacity by
// preemption and by draining workers, retries failed attempts, enforces the
// quotas of teams and quarantines workers on which many jobs fail.
//
// It is pure: it does no I/O, reads no clock and starts no goroutine, and one
// goroutine drives it. It does not write to the jobs stream, talk to workers or
// choose the data centre of a job; the owner of the data centre does that and
// carries out the actions that the scheduler returns. Requests that wait for an
// answer are not scheduled here.
//
// Read Scheduler first: Apply takes an Event and returns Actions. Evaluation is
// the unit that waits in the queue, Schedule makes one decision, and Policy
// holds the steps that filter workers, score them and reserve capacity.
package scheduler

import (
	"time"

	"gypsumwinch/internal/structs"
)

const (
	// maxPlacementsPerApply bounds the placements of one Apply, so that the
	// owner can handle other events in between.
	maxPlacementsPerApply = 256
	// maxPlacementsPerDecision bounds the placements of one call of Schedule.
	maxPlacementsPerDecision = 32
	// minBlockedRetryInterval is the shortest pause before a blocked evaluation
	// that may preempt searches for victims again.
	minBlockedRetryInterval = time.Second
	// maxBlockedRetryInterval is the longest pause before a blocked evaluation
	// is tried again. The retry covers changes that free no capacity, such as
	// smaller learned sizes.
	maxBlockedRetryInterval = 30 * time.Second
)

// Scheduler holds the jobs, the workers and the queue of one data centre. Apply
// feeds it with events. It is not safe for concurrent use.
type Scheduler struct {
	policy  *Policy
	cache   *Cache
	queue   *Queue
	now     time.Duration
	classes map[string]*class
	teams   map[string]*team
	// hasQuotas is false while no team is configured; teams are not limited
	// then.
	hasQuotas bool

	jobs map[string]*job
	// jobList holds the jobs in the order of their addition. pruneFinishedJobs
	// removes finished jobs.
	jobList        []*job
	finishedJobIDs map[string]bool
	finishedJobs   []finishedJob
	withheldTasks  map[structs.TaskID]bool

	reservations []*reservation
	// selectedVictims holds attempts that are marked as terminating and were
	// not asked to end yet.
	selectedVictims []*task
	drainingEvals   []*Evaluation
	// nextDrainAt is the earliest time of the next search for workers to drain.
	nextDrainAt time.Duration
	// terminatingAttempts holds attempts that were asked to end and have not
	// ended.
	terminatingAttempts []terminatingAttempt
	// incompleteGangs holds gangs of which a member ended and has to start
	// again.
	incompleteGangs []*incompleteGang
	timers          binaryHeap[timer]
	// quarantinedWorkers counts the quarantined workers.
	quarantinedWorkers int
	// checkedShapesVersion is the version of the worker shapes at the last
	// check for jobs that can never run.
	checkedShapesVersion int

	plan, reservationPlan Plan
	// pendingPlacements are not in a Start yet, and actions are not returned
	// yet.
	pendingPlacements []Placement
	actions           []Action
}

// New returns a scheduler without workers and jobs that uses DefaultPolicy.
func New(config structs.ClusterConfig) *Scheduler {
	return NewWithPolicy(config, DefaultPolicy())
}

// NewWithPolicy returns a scheduler without workers and jobs that uses the
// steps of policy.
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

// Apply processes one event and returns the actions that the owner has to carry
// out, in this order. A now before that of an earlier call counts as the
// earlier one.
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

// HasReadyWork reports whether another Tick at the same time would decide on
// further tasks. The owner sends that Tick after it has handled the events that
// wait.
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

// scheduleReady decides on ready evaluations until all are placed or blocked,
// or maxPlacementsPerApply is reached.
func (s *Scheduler) scheduleReady() {
	for remaining := maxPlacementsPerApply; remaining > 0; {
		sq, e := s.queue.popReady()
		if e == nil {
			return
		}
		if s.updateNeed(e) {
			s.queue.makeReady(sq)
			continue
		}
		e.isLate = s.now > e.startDeadline
		Schedule(s.cache, s.policy, e, min(remaining, maxPlacementsPerDecision), &s.plan)
		remaining -= max(1, len(s.plan.Placements))
		s.commitPlan(e, &s.plan)
		if s.plan.Blocked && !s.reserve(e) && sq.state == subqueueIdle {
			s.blockSubqueue(sq, e)
			continue
		}
		s.queue.makeReady(sq)
	}
}

// reserve asks the steps of the policy in turn to reserve capacity for an
// evaluation that does not fit. It reports whether the evaluation waits for
// nothing but its reservations.
func (s *Scheduler) reserve(e *Evaluation) bool {
	for _, r := range s.policy.Reservers {
		if r.Reserve(s, e) {
			return true
		}
	}
	return false
}

// blockSubqueue keeps a subqueue from further decisions until capacity becomes
// free or a step of the policy may apply to its head. It explains the wait to
// jobs that have no explanation.
func (s *Scheduler) blockSubqueue(sq *subqueue, e *Evaluation) {
	wakeAt := s.now + maxBlockedRetryInterval
	for _, r := range s.policy.Reservers {
		wakeAt = min(wakeAt, max(r.WakeAt(e), s.now+minBlockedRetryInterval))
	}
	for _, unexplained := range sq.unexplainedEvals {
		if unexplained.isRemoved || unexplained.isExplained || len(unexplained.pendingTasks) == 0 {
			continue
		}
		unexplained.isExplained = true
		s.explain(unexplained.job, s.plan.Reason)
	}
	sq.unexplainedEvals = nil
	s.queue.block(sq, s.plan.Reason, wakeAt)
}

// updateNeed recomputes the size of the tasks of an evaluation from what was
// learned about its class. It reports whether the evaluation moved to another
// subqueue.
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

// commitPlan applies the placements of a plan to the job and adds them to the
// next Start.
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

// removeIfComplete removes an evaluation of which no task waits.
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

// takeActions returns the actions decided since the last call.
func (s *Scheduler) takeActions() []Action {
	s.flushPlacements()
	actions := s.actions
	s.actions = nil
	return actions
}

// flushPlacements puts the placements decided so far into a Start. It is called
// before an action that may concern one of them.
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
