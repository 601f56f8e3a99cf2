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
// Read Scheduler first: Apply takes an Event, changes the state that the event
// concerns, runs a scheduling cycle and returns Actions. The owner, in package
// daemon, calls Recover once after a takeover and Apply for each event after
// it, among them a Tick at a short interval, which does what is due at a time.
// Then read Evaluation, the unit that waits in the queue, Schedule, which makes
// one decision, and Policy, which holds the steps that filter workers, score
// them and reserve capacity.
//
// # Terms
//
// Jobs and tasks:
//
//   - Jobs stream: the stream of the log with the records about jobs: their
//     acceptance and cancellation, and the starts and ends of attempts. Package
//     jobstate computes the state of the jobs from it. By its rule, NextState,
//     the result of an attempt, the number of failures and whether the job is
//     cancelled or non-idempotent decide if the task is pending again.
//   - Attempt: one start of a task on one worker, with a number. It is live from
//     its placement or adoption until its TaskEnded; a task has at most one
//     live attempt.
//   - Orphan: an attempt that a worker runs although it is not the live attempt
//     of a task. It is stopped.
//   - Adopted attempt: an attempt that an earlier owner placed and that this
//     scheduler takes on as the live attempt of its task.
//   - Withheld task: a task that must not be placed for now, because a former
//     owner may still run it.
//   - Gang: tasks of a job that start together or not at all.
//   - Service: tasks that run until they are stopped. Other tasks end by
//     themselves.
//   - Non-idempotent job: a job whose tasks must run at most once.
//   - Overrunning attempt: an attempt that runs far longer than expected.
//   - Start target: how soon a task of a class should start. The start deadline
//     is the time at which it should have started. Work of a class with a very
//     short start target is urgent.
//   - Infeasible job: a job that can never run, however long it waits, with the
//     present workers and configuration. It is not queued; the reason is
//     reported in an Explain action.
//   - Explanation: the reason why a job waits or is infeasible, reported in an
//     Explain action. An Explain that has only the id of the job clears it.
//
// Queue and decisions:
//
//   - Cache: the type that holds the state of the workers: their capacity, what
//     runs on them and what is reserved.
//   - Inventory of a worker: its report of the attempts that it runs
//     (WorkerInventory).
//   - Recovered state: what a new owner knows after a takeover and passes to
//     Recover, in a value of type Inventory.
//   - Evaluation: tasks of one job that wait for a worker: equal tasks that may
//     start one by one, or a gang.
//   - Subqueue: the evaluations that need the same capacity on the same terms,
//     so that none fits if the first, the head, does not. A subqueue is ready if
//     a decision on its head is due, and blocked if the head did not fit.
//   - Decision: one call of Schedule, for the head of a ready subqueue.
//   - Plan: the result of a decision, that is the placements and whether the
//     rest does not fit, or the placements of tasks whose reservations are
//     ready.
//   - Scheduling cycle: the decisions at the end of each Apply, and of Recover,
//     until no subqueue is ready or enough tasks are placed.
//   - Placement: the choice of a worker for a new attempt.
//   - Shape: a capacity that some worker has.
//   - Declared size: the resources of a task as its job states them.
//   - Learned size: the declared size, raised to what earlier tasks of its class
//     used (the 90th percentile of used by declared size).
//   - Allocation: the resources that an attempt takes from its worker. They are
//     the learned size, raised to what earlier attempts of the same task needed
//     and limited to the capacity of the workers, but never less than the
//     declared size.
//
// Capacity for work that does not fit:
//
//   - Terminating attempt: an attempt that is to end early. It is checkpointed,
//     and stopped if that takes too long; until it has ended it holds its
//     capacity. Attempts of a non-idempotent job are terminated only if the job
//     is cancelled.
//   - Preemption: the termination of attempts, the victims, so that other work
//     can start in their place.
//   - Borrowed capacity: what a team holds above its quota, because it was idle.
//     It is reclaimed when work of a team within its quota preempts it.
//   - Reservation: capacity on a worker that is held for a task until victims
//     there, or on the workers of other members of its gang, have ended. It is
//     ready when the capacity is free, and it expires.
//   - Draining: a worker that is drained for one evaluation takes only tasks of
//     that evaluation until they fit. A worker that leaves is another matter:
//     it takes no tasks at all, because its machine is to be removed.
//   - Eviction: the termination of attempts because of their worker: it leaves,
//     has less capacity than before, or is drained and its attempts take too
//     long.
//   - Stranded accelerators: free accelerators on a worker whose CPU or memory
//     is used up by work without accelerators.
//
// Workers that fail:
//
//   - Quarantine: a worker on which many jobs failed takes no tasks, except a
//     probe from time to time: one task whose result shows whether the worker
//     is healthy again.
//   - Pause: a worker that refused a start takes no tasks for a short time.
package scheduler

import (
	"time"

	"gypsumwinch/internal/structs"
)

const (
	// maxPlacementsPerApply bounds the placements of one scheduling cycle, that
	// is of one Apply, so that the owner can handle other events in between.
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
	// selectedVictims holds attempts that are marked as terminating and whose
	// termination is not requested yet.
	selectedVictims []*task
	drainingEvals   []*Evaluation
	// nextDrainAt is the earliest time of the next search for workers to drain.
	nextDrainAt time.Duration
	// terminatingAttempts holds attempts whose termination was requested and
	// that have not ended.
	terminatingAttempts []terminatingAttempt
	// incompleteGangs holds gangs of which a member ended and has to start
	// again.
	incompleteGangs []*incompleteGang
	timers          binaryHeap[timer]
	// quarantinedWorkers counts the quarantined workers.
	quarantinedWorkers int
	// checkedShapesVersion is the version of the worker shapes at the last
	// check for infeasible jobs.
	checkedShapesVersion int

	plan, reservationPlan Plan
	// pendingPlacements are not in a Start yet, and actions are not returned
	// yet.
	pendingPlacements []Placement
	actions           []Action
}

// New returns a scheduler without workers and jobs that uses DefaultPolicy.
// Recover calls it for a new owner; tests and benchmarks call it directly.
func New(config structs.ClusterConfig) *Scheduler {
	return NewWithPolicy(config, DefaultPolicy())
}

// NewWithPolicy returns a scheduler without workers and jobs that uses the
// steps of policy. New calls it with DefaultPolicy.
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

// Apply processes one event, runs a scheduling cycle and returns the actions
// that the owner has to carry out, in this order. The owner calls it for each
// change of jobs and workers that it learns of, and with a Tick at a short
// interval. A now before that of an earlier call counts as the earlier one.
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

// tick handles Tick: it does everything that is due at a time rather than on
// another event, and ends with wakeDue, so that the scheduling cycle after it
// tries the blocked work that is due.
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

// scheduleReady runs a scheduling cycle: it decides on ready evaluations until
// all are placed or blocked, or maxPlacementsPerApply is reached. It runs at
// the end of each Apply and once in Recover.
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

// reserve calls the Reservers of the policy in turn for an evaluation that does
// not fit. It reports whether the evaluation waits for nothing but its
// reservations, or has to be tried again at once. scheduleReady calls it after
// each decision that is blocked.
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
// jobs that have no explanation. scheduleReady calls it when the head does not
// fit and nothing could be reserved.
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
// subqueue. scheduleReady calls it before each decision.
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

// commitPlan applies the placements of a plan to the job of e and adds them to
// the next Start. It is called with the result of each decision, and with the
// tasks of e that placeReserved has placed because their reservations are
// ready.
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

// removeIfComplete removes an evaluation that has neither pending tasks nor
// reservations left. If no other evaluation of the job is left and the job is
// not infeasible, it also clears the explanation of the job, if there is one,
// with an Explain that has no reason. commitPlan calls it last, that is after
// each decision and each placement of reserved tasks.
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

// takeActions returns the actions decided since the last call. It is called at
// the end of Apply and Recover.
func (s *Scheduler) takeActions() []Action {
	s.flushPlacements()
	actions := s.actions
	s.actions = nil
	return actions
}

// flushPlacements puts the placements decided so far into a Start. It is called
// before an action that may concern one of them, and by takeActions.
func (s *Scheduler) flushPlacements() {
	if len(s.pendingPlacements) > 0 {
		s.actions = append(s.actions, Start{s.pendingPlacements})
		s.pendingPlacements = nil
	}
}

// explain adds the action that reports why a job waits. It is called when the
// subqueue of one of its evaluations is blocked, and when an evaluation is
// added to a blocked subqueue.
func (s *Scheduler) explain(j *job, reason string) {
	j.hasExplanation = true
	s.actions = append(s.actions, Explain{Job: j.spec.ID, Reason: reason})
}
