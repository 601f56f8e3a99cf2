// Package scheduler decides which task runs on which worker of one data centre.
// It is pure: it does no I/O, reads no clock and starts no goroutine. One
// goroutine drives it.
package scheduler

import (
	"time"

	"gypsumwinch/internal/structs"
)

const (
	// placementBatch bounds the placements of one Apply, so that the owner can
	// handle other events in between.
	placementBatch = 256
	// decisionBatch bounds the placements of one decision.
	decisionBatch = 32
	// blockRetry is the shortest pause before a blocked evaluation that may
	// preempt looks for victims again.
	blockRetry = time.Second
	// blockCheck is the longest pause before a blocked evaluation is decided on
	// again, for changes that free no capacity, such as smaller learned sizes.
	blockCheck = 30 * time.Second
)

// Scheduler is the job plane of one data centre.
type Scheduler struct {
	policy  *Policy
	cache   *Cache
	queue   *Queue
	now     time.Duration
	classes map[string]*class
	teams   map[string]*team
	// quotas is false while no team is configured; teams are not limited then.
	quotas bool

	jobs map[string]*job
	// order holds the jobs in the order of their addition. Jobs that ended are
	// removed by compact.
	order     []*job
	endedJobs map[string]bool
	endedAge  []endedJob
	withheld  map[structs.TaskID]bool

	claims   []*claim
	marked   []*task
	draining []*Evaluation
	drainAt  time.Duration
	// ending holds attempts that were told to end and have not ended.
	ending []endingAttempt
	// broken holds gangs of which a part ended.
	broken []*brokenGang
	timers heapOf[timer]
	// aside counts the workers that are set aside.
	aside int
	// checked is the version of the worker shapes for which it was last checked
	// which jobs can never run.
	checked int

	plan, claimPlan Plan
	batch           []Placement
	out             []Action
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
		jobs: map[string]*job{}, endedJobs: map[string]bool{},
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
		s.usage(ev)
	case ConfigChanged:
		s.changeConfig(ev.Config)
	case Withhold:
		s.withhold(ev.Tasks)
	case Tick:
		s.tick()
	}
	s.run()
	return s.flush()
}

// HasReadyWork reports whether a further Tick at the same time would decide more. The
// owner sends it after it has handled waiting events.
func (s *Scheduler) HasReadyWork() bool { return s.queue.ready.len() > 0 }

func (s *Scheduler) tick() {
	s.fireTimers()
	s.escalate()
	s.expireClaims()
	s.evictFromDrains()
	s.repairGangs()
	s.resumeWorkers()
	s.maintainWorkers()
	if s.checked != s.cache.shapesVersion {
		s.checked = s.cache.shapesVersion
		s.recheckJobs()
	}
	s.dropEndedIDs()
	s.queue.wake(s.now)
}

// run decides on ready evaluations until all are placed or blocked, or the
// batch is full.
func (s *Scheduler) run() {
	for budget := placementBatch; budget > 0; {
		l, e := s.queue.popReady()
		if e == nil {
			return
		}
		if s.resize(e) {
			s.queue.makeReady(l)
			continue
		}
		e.late = s.now > e.deadline
		Schedule(s.cache, s.policy, e, min(budget, decisionBatch), &s.plan)
		budget -= max(1, len(s.plan.Placements))
		s.commit(e, &s.plan)
		if s.plan.Blocked && !s.reserve(e) && l.state == laneIdle {
			s.block(l, e)
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

// block keeps a lane from further decisions until capacity becomes free or a
// policy step may apply to its head.
func (s *Scheduler) block(l *lane, e *Evaluation) {
	wakeAt := s.now + blockCheck
	for _, r := range s.policy.Reservers {
		wakeAt = min(wakeAt, max(r.WakeAt(e), s.now+blockRetry))
	}
	for _, waiting := range l.unexplained {
		if waiting.dead || waiting.explained || len(waiting.pending) == 0 {
			continue
		}
		waiting.explained = true
		s.explain(waiting.job, s.plan.Reason)
	}
	l.unexplained = nil
	s.queue.block(l, s.plan.Reason, wakeAt)
}

// resize brings the size of an evaluation up to date with what was learned
// about its class. It reports whether the evaluation went to another lane.
func (s *Scheduler) resize(e *Evaluation) bool {
	need := s.cache.need(e.job, e.pending[0])
	if need == e.need {
		return false
	}
	e.need = need
	e.demand = need
	if e.gang != nil {
		e.demand = need.Times(int64(len(e.pending)))
	}
	e.lane.evals.pop()
	e.lane = nil
	s.queue.add(e)
	return true
}

// commit takes over the placements of a plan.
func (s *Scheduler) commit(e *Evaluation, plan *Plan) {
	for _, p := range plan.Placements {
		t := &e.job.tasks[p.Attempt.Task.Index]
		t.started = false
		e.job.live++
		s.startTimer(t)
	}
	s.batch = append(s.batch, plan.Placements...)
	if len(plan.Placements) > 0 {
		s.endDrains(e)
	}
	plan.Placements = plan.Placements[:0]
	s.finishEvaluation(e)
}

// finishEvaluation drops an evaluation of which nothing waits.
func (s *Scheduler) finishEvaluation(e *Evaluation) {
	if e.dead || len(e.pending) > 0 || len(e.claims) > 0 {
		return
	}
	s.killEvaluation(e)
	if e.job.explained && len(e.job.evals) == 0 && e.job.never == "" {
		e.job.explained = false
		s.out = append(s.out, Explain{Job: e.job.spec.ID})
	}
}

// flush returns the actions decided so far.
func (s *Scheduler) flush() []Action {
	s.emitStarts()
	out := s.out
	s.out = nil
	return out
}

// emitStarts puts the placements decided so far into a Start. It precedes an
// action that may concern one of them.
func (s *Scheduler) emitStarts() {
	if len(s.batch) > 0 {
		s.out = append(s.out, Start{s.batch})
		s.batch = nil
	}
}

func (s *Scheduler) explain(j *job, reason string) {
	j.explained = true
	s.out = append(s.out, Explain{Job: j.spec.ID, Reason: reason})
}
