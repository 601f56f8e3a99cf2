package scheduler

import (
	"slices"
	"time"

	"gypsumwinch/internal/structs"
)

// Evaluation is a set of tasks of one job that wait for a place: equal tasks
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
	// startDeadline is the latest start that meets the targets, waitingSince is when the
	// tasks began to wait.
	startDeadline, waitingSince time.Duration
	seq                         uint64
	// isLate is set when the deadline has passed.
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

// subqueueKey holds what decides where and in which order an evaluation is placed.
// If one evaluation of a lane does not fit, none does.
type subqueueKey struct {
	need      structs.Resources
	class     *class
	team      *team
	isService bool
	// gangSize is the number of members, zero for tasks that start one by one.
	gangSize int
	// mixedGang is set for a gang of tasks that differ.
	mixedGang *Evaluation
}

type subqueueState uint8

const (
	subqueueIdle subqueueState = iota
	subqueueReady
	subqueueBlocked
)

// subqueue is a queue of like evaluations.
type subqueue struct {
	key   subqueueKey
	evals binaryHeap[*Evaluation]
	state subqueueState
	// blockedPos is the position among the blocked lanes.
	blockedPos int
	// wakeAt is when the head may do more than wait for free capacity.
	wakeAt time.Duration
	// blockedReason tells why the lane is blocked, unexplained holds the evaluations whose
	// job was not told.
	blockedReason    string
	unexplainedEvals []*Evaluation
	// hasFailedSearch is set after a search for victims failed, at searchedAt.
	hasFailedSearch bool
	failedSearchAt  time.Duration
}

// rank is the rank of an evaluation: urgent work first, then teams within
// their quota, then the earliest deadline, which is what makes work age.
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

type readySubqueue struct {
	subqueue *subqueue
	rank     rank
}

// Queue holds the pending evaluations in lanes. Only lanes that may have become
// placeable are ready.
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

// add puts an evaluation into its lane. Urgent work makes a blocked lane ready,
// because it may preempt.
func (q *Queue) add(e *Evaluation) *subqueue {
	if e.subqueue != nil {
		return e.subqueue
	}
	key := e.subqueueKey()
	l := q.subqueues[key]
	if l == nil {
		l = &subqueue{key: key}
		l.evals.less = isEarlierEvaluation
		q.subqueues[key] = l
	}
	e.subqueue = l
	l.evals.push(e)
	if l.state == subqueueIdle || e.job.class.isUrgent() {
		q.makeReady(l)
	}
	if !e.isExplained {
		l.addUnexplained(e)
	}
	return l
}

// addUnexplained notes an evaluation whose job was not told why it waits. Those that
// were placed since are dropped now and then.
func (l *subqueue) addUnexplained(e *Evaluation) {
	if len(l.unexplainedEvals) > 2*l.evals.len()+minUnexplainedCompaction {
		l.unexplainedEvals = slices.DeleteFunc(l.unexplainedEvals, func(o *Evaluation) bool { return o.isRemoved })
	}
	l.unexplainedEvals = append(l.unexplainedEvals, e)
}

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

// head returns the first evaluation that waits, or nil.
func (l *subqueue) head() *Evaluation {
	for l.evals.len() > 0 {
		e := l.evals.items[0]
		if !e.isRemoved && len(e.pendingTasks) > 0 {
			return e
		}
		l.evals.pop()
		e.subqueue = nil
	}
	return nil
}

func (q *Queue) makeReady(l *subqueue) {
	if l.state == subqueueReady {
		return
	}
	if l.state == subqueueBlocked {
		q.unblock(l)
	}
	e := l.head()
	if e == nil {
		q.removeSubqueue(l)
		return
	}
	l.state = subqueueReady
	q.readySubqueues.push(readySubqueue{l, e.rank()})
}

func (q *Queue) unblock(l *subqueue) {
	last := q.blockedSubqueues[len(q.blockedSubqueues)-1]
	q.blockedSubqueues[l.blockedPos] = last
	last.blockedPos = l.blockedPos
	q.blockedSubqueues = q.blockedSubqueues[:len(q.blockedSubqueues)-1]
	l.state = subqueueIdle
}

func (q *Queue) removeSubqueue(l *subqueue) {
	l.state = subqueueIdle
	l.unexplainedEvals = nil
	delete(q.subqueues, l.key)
}

// popReady returns the ready lane whose head comes first, and its head. Orders
// in the heap may be out of date, because the use of a team changes; such a
// lane goes back with its new order.
func (q *Queue) popReady() (*subqueue, *Evaluation) {
	for q.readySubqueues.len() > 0 {
		top := q.readySubqueues.pop()
		l := top.subqueue
		l.state = subqueueIdle
		e := l.head()
		if e == nil {
			q.removeSubqueue(l)
			continue
		}
		if now := e.rank(); now != top.rank && q.readySubqueues.len() > 0 && q.readySubqueues.items[0].rank.before(now) {
			q.makeReady(l)
			continue
		}
		return l, e
	}
	return nil, nil
}

func (q *Queue) block(l *subqueue, reason string, wakeAt time.Duration) {
	l.state = subqueueBlocked
	l.blockedReason = reason
	l.wakeAt = wakeAt
	l.blockedPos = len(q.blockedSubqueues)
	q.blockedSubqueues = append(q.blockedSubqueues, l)
}

// onCapacityFreed makes the lanes ready whose tasks fit into the free capacity of w.
func (q *Queue) onCapacityFreed(w *WorkerState) {
	if w.drainedFor != nil {
		if l := w.drainedFor.subqueue; l != nil && l.state == subqueueBlocked {
			q.makeReady(l)
		}
		return
	}
	if !w.acceptsAllTasks() {
		return
	}
	for i := 0; i < len(q.blockedSubqueues); {
		l := q.blockedSubqueues[i]
		switch {
		case l.key.gangSize > 0:
			q.shouldRetryGangs = true
		case l.key.need.Fits(w.available):
			q.makeReady(l)
			continue
		}
		i++
	}
}

// wakeDue makes the lanes ready that may do more than wait for free capacity.
func (q *Queue) wakeDue(now time.Duration) {
	for i := 0; i < len(q.blockedSubqueues); {
		l := q.blockedSubqueues[i]
		if now >= l.wakeAt || l.key.gangSize > 0 && q.shouldRetryGangs {
			q.makeReady(l)
			continue
		}
		i++
	}
	q.shouldRetryGangs = false
}
