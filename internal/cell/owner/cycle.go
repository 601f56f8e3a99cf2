package owner

import (
	"container/heap"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/shares"
	"gypsumwinch/internal/structs"
)

// A scheduling cycle ranks all waiting steps and places their tasks in the order of rank. With tens
// of thousands of waiting steps it takes longer than renewals, stops and cancellations may wait.
// It is therefore divided: Place returns after maxCycleSlice, and its next call goes on.

const (
	// maxCycleSlice is how long one call of Place goes on with a cycle. Answers from workers
	// wait meanwhile; renewals have 200 ms for theirs.
	maxCycleSlice = 10 * time.Millisecond
	// clockInterval is the number of steps between two readings of the clock.
	clockInterval = 16
)

// schedulingCycle is the cycle in progress.
type schedulingCycle struct {
	// unranked are the waiting steps that are not ranked yet.
	unranked []*step
	order    placementOrder
	// isRanked is true once all steps are ranked and placing them has begun.
	isRanked bool
}

// cycleSlice is the time of one call of Place.
type cycleSlice struct {
	clock func() time.Duration
	end   time.Duration
	steps int
}

// newSlice returns a slice that begins now.
func (m *Machine) newSlice() cycleSlice {
	c := cycleSlice{clock: m.opts.CycleClock}
	if c.clock != nil {
		c.end = c.clock() + maxCycleSlice
	}
	return c
}

// isOver reports whether the cycle has to yield. It is called after each step.
func (c *cycleSlice) isOver() bool {
	c.steps++
	return c.clock != nil && c.steps%clockInterval == 0 && c.clock() >= c.end
}

// beginCycle starts a scheduling cycle. Place calls it if anything has changed since the last
// cycle began.
func (m *Machine) beginCycle() {
	m.countJobs()
	m.refreshSpeeds()
	c := &schedulingCycle{unranked: make([]*step, 0, len(m.waitingSteps))}
	for _, s := range m.waitingSteps {
		c.unranked = append(c.unranked, s)
	}
	c.order.steps = make([]rankedStep, 0, len(c.unranked))
	m.inProgress = c
}

// continueCycle ranks and places waiting steps until the cycle or the slice is over.
func (m *Machine) continueCycle() {
	c, slice := m.inProgress, m.newSlice()
	for len(c.unranked) > 0 {
		s := c.unranked[len(c.unranked)-1]
		c.unranked = c.unranked[:len(c.unranked)-1]
		if m.isWaiting(s) {
			c.order.steps = append(c.order.steps, m.rankStep(s))
		}
		if slice.isOver() {
			return
		}
	}
	if !c.isRanked {
		m.beginPlacing(c)
	}
	m.updateQuarantineSuspension()
	m.findUsableWorkers()
	for {
		r, ok := c.order.next(m)
		if !ok {
			m.inProgress = nil
			return
		}
		if m.isWaiting(r.step) {
			m.placeStep(r.step, r.queue)
			m.addReservations(r.step)
		}
		if slice.isOver() {
			return
		}
	}
}

// isWaiting reports whether a step still waits: events are handled between the slices of a cycle.
func (m *Machine) isWaiting(s *step) bool { return m.waitingSteps[s.id] == s }

// beginPlacing prepares the placement of the ranked steps.
func (m *Machine) beginPlacing(c *schedulingCycle) {
	c.isRanked = true
	m.cycle++
	m.resetHoldState()
	clear(m.notFitting)
	heap.Init(&c.order)
	if m.ledger.HasCustomers() {
		m.findUsableWorkers()
		m.measureContention(c.order.steps)
	}
}

// placementOrder is a heap of the ranked steps of a cycle. With customers, steps that are equally
// urgent come in two passes. Those whose workers are not full come first: the others would only
// take advice proxies from them. So do long-running ones that wait for a restart: their share was
// granted before, and a task may be without a run for some seconds only. The others have their
// turns by the weighted share of their customer, in place of their deadlines. What a step has
// placed counts at once.
type placementOrder struct {
	steps []rankedStep
	// turns has the steps of the second pass, urgency is one of them.
	turns   *shares.Turns[rankedStep]
	urgency rankedStep
}

// next removes and returns the next step, or false if there is none.
func (o *placementOrder) next(m *Machine) (r rankedStep, ok bool) {
	for len(o.steps) > 0 && (o.turns == nil || o.steps[0].compareUrgency(o.urgency) == 0) {
		r = o.steps[0]
		heap.Pop(o)
		if !m.ledger.HasCustomers() || !m.mustTakeTurns(r) {
			return r, true
		}
		if o.turns == nil {
			o.turns, o.urgency = shares.NewTurns[rankedStep](m.contention.capacity), r
		}
		o.turns.Add(r.step.job.account, r)
	}
	if o.turns == nil {
		return r, false
	}
	if r, ok = o.turns.Next(); ok {
		return r, true
	}
	o.turns = nil
	return o.next(m)
}

// mustTakeTurns reports whether a step competes with those of other customers for full workers.
func (m *Machine) mustTakeTurns(r rankedStep) bool {
	s := m.contention.services[r.queue.Service]
	return s != nil && s.isFull && !r.step.awaitsRestart()
}

func (o *placementOrder) Len() int           { return len(o.steps) }
func (o *placementOrder) Less(a, b int) bool { return o.steps[a].compare(o.steps[b]) < 0 }
func (o *placementOrder) Swap(a, b int)      { o.steps[a], o.steps[b] = o.steps[b], o.steps[a] }

// Push implements heap.Interface; nothing is pushed.
func (o *placementOrder) Push(x any) { o.steps = append(o.steps, x.(rankedStep)) }

// Pop implements heap.Interface. It returns nil, since next has read the first step: an interface
// value of it would be allocated.
func (o *placementOrder) Pop() any {
	o.steps = o.steps[:len(o.steps)-1]
	return nil
}

// fitKey is what steps have in common that fit on the same workers.
type fitKey struct {
	service, label string
	charge         structs.Resources
}

// sharesFit reports whether a step that finds no worker says something about others with the same
// fitKey. The rooms for long-running steps and gangs differ, advice names workers for each step,
// and suspect workers accept some steps only.
func (m *Machine) sharesFit(s *step, q *cell.Queue) bool {
	return q.Advice == nil && !s.def.LongRunning && !s.def.Gang && m.usedCPUByService == nil
}

// isKnownNotToFit reports whether a task like that of a step has found no worker earlier in the
// cycle. What becomes free between two slices of a cycle is left to the next one, which begins
// with the most urgent step.
func (m *Machine) isKnownNotToFit(s *step, q *cell.Queue) bool {
	return m.sharesFit(s, q) && m.notFitting[fitKey{q.Service, s.def.Label, s.def.Charge()}]
}

// rememberNotFitting records that a task of a step has found no worker, unless that may be due to
// the workers that the step avoids or to its bound of tasks on a worker.
func (m *Machine) rememberNotFitting(s *step, q *cell.Queue) {
	avoids := !s.acceptsAllWorkers && len(s.failedAtByWorker) > 0
	if !m.sharesFit(s, q) || avoids || s.def.MaxPerWorker > 0 {
		return
	}
	m.notFitting[fitKey{q.Service, s.def.Label, s.def.Charge()}] = true
}
