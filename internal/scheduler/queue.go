package scheduler

import (
	"slices"
	"time"

	"gypsumwinch/internal/structs"
)

// Evaluation is a set of tasks of one job that wait for a worker: equal tasks
// that may start one by one, or a gang.
type Evaluation struct {
	job  *job
	gang *gang
	// need is the size of a task. The members of a gang may differ; it is then
	// the size of the first.
	need structs.Resources
	// quotaDemand is what counts against the quota: need, or the sum of a gang.
	quotaDemand structs.Resources
	isService   bool
	// hasMixedSizes means that the members of the gang differ in size.
	hasMixedSizes bool
	pendingTasks  []int32
	// startDeadline is the latest start that meets the targets, waitingSince is
	// when the tasks began to wait.
	startDeadline, waitingSince time.Duration
	seq                         uint64
	// isLate is set when the start deadline has passed.
	isLate         bool
	isRemoved      bool
	subqueue       *subqueue
	reservations   []*reservation
	drainedWorkers []*WorkerState
	drainingSince  time.Duration
	// liveByRack counts the live tasks of a service by rack.
	liveByRack  map[*rack]int
	isExplained bool
}

// subqueueKey holds what decides where and in which order an evaluation is
// placed. If one evaluation of a subqueue does not fit, none does.
type subqueueKey struct {
	need      structs.Resources
	class     *class
	team      *team
	isService bool
	// gangSize is the number of members, zero for tasks that start one by one.
	gangSize int
	// mixedGang is set for a gang whose members differ in size. It has a
	// subqueue of its own.
	mixedGang *Evaluation
}

type subqueueState uint8

const (
	subqueueIdle subqueueState = iota
	subqueueReady
	subqueueBlocked
)

// subqueue holds the evaluations with the same key in order.
type subqueue struct {
	key   subqueueKey
	evals binaryHeap[*Evaluation]
	state subqueueState
	// blockedPos is the position among the blocked subqueues.
	blockedPos int
	// wakeAt is when a step of the policy may apply to the head.
	wakeAt time.Duration
	// blockedReason says why the subqueue is blocked. unexplainedEvals holds
	// the evaluations whose jobs have no explanation.
	blockedReason    string
	unexplainedEvals []*Evaluation
	// hasFailedSearch is set after a search for victims failed, at
	// failedSearchAt.
	hasFailedSearch bool
	failedSearchAt  time.Duration
}

// rank is the place of an evaluation in the order of decisions: urgent work
// first, then teams within their quota, then the earliest start deadline, which
// raises the priority of work with its wait.
type rank struct {
	isNonUrgent   bool
	exceedsQuota  bool
	startDeadline time.Duration
	seq           uint64
}

func (a rank) before(b rank) bool {
	switch {
	case a.isNonUrgent != b.isNonUrgent:
		return b.isNonUrgent
	case a.exceedsQuota != b.exceedsQuota:
		return b.exceedsQuota
	case a.startDeadline != b.startDeadline:
		return a.startDeadline < b.startDeadline
	}
	return a.seq < b.seq
}

func (e *Evaluation) rank() rank {
	return rank{!e.job.class.isUrgent(), e.job.team.wouldExceedQuota(e.quotaDemand), e.startDeadline, e.seq}
}

// readySubqueue is a subqueue with the rank of its head when it became ready.
type readySubqueue struct {
	subqueue *subqueue
	rank     rank
}

// Queue holds the pending evaluations in subqueues. Only subqueues that may
// have become placeable are ready.
type Queue struct {
	subqueues        map[subqueueKey]*subqueue
	readySubqueues   binaryHeap[readySubqueue]
	blockedSubqueues []*subqueue
	seq              uint64
	// shouldRetryGangs is set if capacity became free since the blocked gangs
	// were last tried.
	shouldRetryGangs bool
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	q := &Queue{subqueues: map[subqueueKey]*subqueue{}}
	q.readySubqueues.less = func(a, b readySubqueue) bool { return a.rank.before(b.rank) }
	return q
}

func isEarlierEvaluation(a, b *Evaluation) bool {
	if a.startDeadline != b.startDeadline {
		return a.startDeadline < b.startDeadline
	}
	return a.seq < b.seq
}

// add puts an evaluation into its subqueue. Urgent work makes a blocked
// subqueue ready, because it may preempt.
func (q *Queue) add(e *Evaluation) *subqueue {
	if e.subqueue != nil {
		return e.subqueue
	}
	key := e.subqueueKey()
	sq := q.subqueues[key]
	if sq == nil {
		sq = &subqueue{key: key}
		sq.evals.less = isEarlierEvaluation
		q.subqueues[key] = sq
	}
	e.subqueue = sq
	sq.evals.push(e)
	if sq.state == subqueueIdle || e.job.class.isUrgent() {
		q.makeReady(sq)
	}
	if !e.isExplained {
		sq.addUnexplained(e)
	}
	return sq
}

// addUnexplained records an evaluation whose job has no explanation of its
// wait. Removed evaluations are deleted from the list when it has grown to more
// than twice the length of the subqueue.
func (sq *subqueue) addUnexplained(e *Evaluation) {
	if len(sq.unexplainedEvals) > 2*sq.evals.len()+minUnexplainedCompaction {
		sq.unexplainedEvals = slices.DeleteFunc(sq.unexplainedEvals, func(o *Evaluation) bool { return o.isRemoved })
	}
	sq.unexplainedEvals = append(sq.unexplainedEvals, e)
}

// minUnexplainedCompaction is the length up to which unexplainedEvals is not
// compacted.
const minUnexplainedCompaction = 16

func (e *Evaluation) subqueueKey() subqueueKey {
	key := subqueueKey{need: e.need, class: e.job.class, team: e.job.team, isService: e.isService}
	if e.gang == nil {
		return key
	}
	key.gangSize = len(e.pendingTasks)
	if e.hasMixedSizes {
		key.mixedGang = e
	}
	return key
}

// head returns the first evaluation with pending tasks, or nil.
func (sq *subqueue) head() *Evaluation {
	for sq.evals.len() > 0 {
		e := sq.evals.items[0]
		if !e.isRemoved && len(e.pendingTasks) > 0 {
			return e
		}
		sq.evals.pop()
		e.subqueue = nil
	}
	return nil
}

func (q *Queue) makeReady(sq *subqueue) {
	if sq.state == subqueueReady {
		return
	}
	if sq.state == subqueueBlocked {
		q.unblock(sq)
	}
	e := sq.head()
	if e == nil {
		q.removeSubqueue(sq)
		return
	}
	sq.state = subqueueReady
	q.readySubqueues.push(readySubqueue{sq, e.rank()})
}

func (q *Queue) unblock(sq *subqueue) {
	last := q.blockedSubqueues[len(q.blockedSubqueues)-1]
	q.blockedSubqueues[sq.blockedPos] = last
	last.blockedPos = sq.blockedPos
	q.blockedSubqueues = q.blockedSubqueues[:len(q.blockedSubqueues)-1]
	sq.state = subqueueIdle
}

func (q *Queue) removeSubqueue(sq *subqueue) {
	sq.state = subqueueIdle
	sq.unexplainedEvals = nil
	delete(q.subqueues, sq.key)
}

// popReady returns the ready subqueue whose head ranks first, and its head.
// Ranks in the heap may be out of date, because the use of a team changes; such
// a subqueue goes back with its new rank.
func (q *Queue) popReady() (*subqueue, *Evaluation) {
	for q.readySubqueues.len() > 0 {
		top := q.readySubqueues.pop()
		sq := top.subqueue
		sq.state = subqueueIdle
		e := sq.head()
		if e == nil {
			q.removeSubqueue(sq)
			continue
		}
		if current := e.rank(); current != top.rank && q.readySubqueues.len() > 0 && q.readySubqueues.items[0].rank.before(current) {
			q.makeReady(sq)
			continue
		}
		return sq, e
	}
	return nil, nil
}

func (q *Queue) block(sq *subqueue, reason string, wakeAt time.Duration) {
	sq.state = subqueueBlocked
	sq.blockedReason = reason
	sq.wakeAt = wakeAt
	sq.blockedPos = len(q.blockedSubqueues)
	q.blockedSubqueues = append(q.blockedSubqueues, sq)
}

// onCapacityFreed makes the subqueues ready whose tasks fit into the free
// capacity of w.
func (q *Queue) onCapacityFreed(w *WorkerState) {
	if w.drainedFor != nil {
		if sq := w.drainedFor.subqueue; sq != nil && sq.state == subqueueBlocked {
			q.makeReady(sq)
		}
		return
	}
	if !w.acceptsAllTasks() {
		return
	}
	for i := 0; i < len(q.blockedSubqueues); {
		sq := q.blockedSubqueues[i]
		switch {
		case sq.key.gangSize > 0:
			q.shouldRetryGangs = true
		case sq.key.need.Fits(w.available):
			q.makeReady(sq)
			continue
		}
		i++
	}
}

// wakeDue makes the blocked subqueues ready whose wakeAt has passed, and those
// of gangs if capacity became free.
func (q *Queue) wakeDue(now time.Duration) {
	for i := 0; i < len(q.blockedSubqueues); {
		sq := q.blockedSubqueues[i]
		if now >= sq.wakeAt || sq.key.gangSize > 0 && q.shouldRetryGangs {
			q.makeReady(sq)
			continue
		}
		i++
	}
	q.shouldRetryGangs = false
}
