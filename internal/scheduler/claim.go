package scheduler

import (
	"slices"
	"time"

	"gypsumwinch/internal/structs"
)

// reservationTimeout is how long a claim waits for attempts to end.
const reservationTimeout = 15 * time.Second

// reservation sets capacity apart on a worker for a task until enough of the attempts
// that are told to end there have ended.
type reservation struct {
	eval      *Evaluation
	taskIndex int32
	worker    *WorkerState
	need      structs.Resources
	createdAt time.Duration
	pos       int
}

// reservableCapacity returns the capacity for further claims on a worker: what is free once
// all attempts that are told to end have ended, less what is claimed.
func (w *WorkerState) reservableCapacity() structs.Resources {
	return w.Capacity.Sub(w.used).Add(w.terminating).Sub(w.reserved)
}

// isReady reports whether the free capacity holds the claim and those before it
// on the worker.
func (c *reservation) isReady() bool {
	free := c.worker.Capacity.Sub(c.worker.used)
	for _, o := range c.worker.reservations {
		if !o.need.Fits(free) {
			return false
		}
		if o == c {
			return true
		}
		free = free.Sub(o.need)
	}
	return false
}

// addReservation claims capacity on w for a task.
func (s *Scheduler) addReservation(e *Evaluation, index int32, w *WorkerState, need structs.Resources) {
	c := &reservation{eval: e, taskIndex: index, worker: w, need: need, createdAt: s.now, pos: len(s.reservations)}
	e.job.tasks[index].state = taskReserved
	s.reservations = append(s.reservations, c)
	e.reservations = append(e.reservations, c)
	w.reservations = append(w.reservations, c)
	w.reserved = w.reserved.Add(need)
	s.cache.refreshWorker(w)
}

// removeReservation ends a claim.
func (s *Scheduler) removeReservation(c *reservation) {
	last := s.reservations[len(s.reservations)-1]
	s.reservations[c.pos] = last
	last.pos = c.pos
	s.reservations = s.reservations[:len(s.reservations)-1]
	same := func(o *reservation) bool { return o == c }
	c.eval.reservations = slices.DeleteFunc(c.eval.reservations, same)
	c.worker.reservations = slices.DeleteFunc(c.worker.reservations, same)
	c.worker.reserved = c.worker.reserved.Sub(c.need)
	s.cache.refreshWorker(c.worker)
}

// cancelReservations ends the claims of an evaluation and offers their capacity to
// others. All end before anything is placed: what is left of the claims of a
// gang could be ready.
func (s *Scheduler) cancelReservations(e *Evaluation) {
	claims := slices.Clone(e.reservations)
	for _, c := range claims {
		s.removeReservation(c)
		e.job.tasks[c.taskIndex].state = taskIdle
	}
	s.offerReleasedCapacity(claims)
}

// offerReleasedCapacity gives the capacity of claims that have ended to others.
func (s *Scheduler) offerReleasedCapacity(claims []*reservation) {
	for _, c := range claims {
		s.placeReservedOn(c.worker)
		s.queue.onCapacityFreed(c.worker)
	}
}

// requeueReservation gives up a claim. The claims of a gang are given up together.
func (s *Scheduler) requeueReservation(c *reservation) {
	e := c.eval
	claims := []*reservation{c}
	if e.gang != nil {
		claims = slices.Clone(e.reservations)
	}
	for _, c := range claims {
		s.removeReservation(c)
		e.job.tasks[c.taskIndex].state = taskQueued
		e.pendingTasks = append(e.pendingTasks, c.taskIndex)
	}
	s.queue.add(e)
	s.offerReleasedCapacity(claims)
}

// placeReservedOn places what the claims on a worker hold as far as they are ready.
func (s *Scheduler) placeReservedOn(w *WorkerState) {
	for _, c := range slices.Clone(w.reservations) {
		if !slices.Contains(w.reservations, c) {
			continue
		}
		if !c.isReady() {
			return
		}
		s.placeReserved(c.eval)
	}
}

// placeReserved places the tasks of an evaluation whose claims are ready, a gang when
// all are.
func (s *Scheduler) placeReserved(e *Evaluation) {
	waits := func(c *reservation) bool { return !c.isReady() || !c.worker.canStartTasks() }
	if e.gang != nil && slices.ContainsFunc(e.reservations, waits) {
		return
	}
	for _, c := range slices.Clone(e.reservations) {
		if waits(c) {
			continue
		}
		s.removeReservation(c)
		s.cache.place(e, &e.job.tasks[c.taskIndex], c.worker, c.need, &s.reservationPlan)
	}
	s.commitPlan(e, &s.reservationPlan)
}

// expireReservations gives up claims that are not ready in time.
func (s *Scheduler) expireReservations() {
	for i := len(s.reservations) - 1; i >= 0; i-- {
		if i < len(s.reservations) && s.now >= s.reservations[i].createdAt+reservationTimeout {
			s.requeueReservation(s.reservations[i])
		}
	}
}

// selectVictims marks live attempts as told to end. They are told by endMarked, or spared
// by unmark if their end is of no use to a gang that finds no place.
func (s *Scheduler) selectVictims(victims []*task) {
	for _, v := range victims {
		s.setTerminating(v, true)
		s.selectedVictims = append(s.selectedVictims, v)
	}
}

// setTerminating marks a live attempt as told to end, or takes the mark back.
func (s *Scheduler) setTerminating(t *task, ending bool) {
	w, tm := t.worker, t.job.team
	if ending {
		w.countPreemptible(t, -1)
		tm.terminating = tm.terminating.Add(t.allocated)
		w.terminating = w.terminating.Add(t.allocated)
	}
	t.isTerminating = ending
	t.terminatingSince = s.now
	g := t.gang()
	if ending && g != nil {
		g.busyMembers++
	}
	if !ending {
		w.countPreemptible(t, 1)
		tm.terminating = tm.terminating.Sub(t.allocated)
		w.terminating = w.terminating.Sub(t.allocated)
		if g != nil {
			g.busyMembers--
		}
	}
	s.cache.refreshWorker(w)
}

// terminateVictims tells the marked victims to end. A gang ends as a whole.
func (s *Scheduler) terminateVictims(e *Evaluation) {
	reason := "preempted for job " + e.job.spec.ID
	for _, v := range s.selectedVictims {
		s.requestTermination(v, reason)
	}
	for _, v := range s.selectedVictims {
		if g := v.gang(); g != nil {
			s.terminateGang(v.job, g, reason)
		}
	}
	s.selectedVictims = s.selectedVictims[:0]
}

func (s *Scheduler) deselectVictims() {
	for _, v := range s.selectedVictims {
		s.setTerminating(v, false)
	}
	s.selectedVictims = s.selectedVictims[:0]
}
