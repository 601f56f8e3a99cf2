package scheduler

import (
	"slices"
	"time"

	"gypsumwinch/internal/structs"
)

// reservationTimeout is how long a reservation waits for attempts to end.
const reservationTimeout = 15 * time.Second

// reservation holds capacity on a worker for a task until enough of the
// terminating attempts there have ended.
type reservation struct {
	eval      *Evaluation
	taskIndex int32
	worker    *WorkerState
	need      structs.Resources
	createdAt time.Duration
	pos       int
}

// reservableCapacity returns the capacity for further reservations on a worker:
// what is free once all terminating attempts have ended, less what is reserved.
func (w *WorkerState) reservableCapacity() structs.Resources {
	return w.Capacity.Sub(w.used).Add(w.terminating).Sub(w.reserved)
}

// isReady reports whether the free capacity holds the reservation and those
// before it on the worker.
func (r *reservation) isReady() bool {
	free := r.worker.Capacity.Sub(r.worker.used)
	for _, earlier := range r.worker.reservations {
		if !earlier.need.Fits(free) {
			return false
		}
		if earlier == r {
			return true
		}
		free = free.Sub(earlier.need)
	}
	return false
}

// addReservation reserves capacity on w for a task.
func (s *Scheduler) addReservation(e *Evaluation, index int32, w *WorkerState, need structs.Resources) {
	r := &reservation{eval: e, taskIndex: index, worker: w, need: need, createdAt: s.now, pos: len(s.reservations)}
	e.job.tasks[index].state = taskReserved
	s.reservations = append(s.reservations, r)
	e.reservations = append(e.reservations, r)
	w.reservations = append(w.reservations, r)
	w.reserved = w.reserved.Add(need)
	s.cache.refreshWorker(w)
}

// removeReservation removes a reservation. The caller sets the state of its
// task.
func (s *Scheduler) removeReservation(r *reservation) {
	last := s.reservations[len(s.reservations)-1]
	s.reservations[r.pos] = last
	last.pos = r.pos
	s.reservations = s.reservations[:len(s.reservations)-1]
	same := func(o *reservation) bool { return o == r }
	r.eval.reservations = slices.DeleteFunc(r.eval.reservations, same)
	r.worker.reservations = slices.DeleteFunc(r.worker.reservations, same)
	r.worker.reserved = r.worker.reserved.Sub(r.need)
	s.cache.refreshWorker(r.worker)
}

// cancelReservations removes the reservations of an evaluation and offers their
// capacity to others. All are removed before anything is placed, because what
// is left of the reservations of a gang could be ready.
func (s *Scheduler) cancelReservations(e *Evaluation) {
	reservations := slices.Clone(e.reservations)
	for _, r := range reservations {
		s.removeReservation(r)
		e.job.tasks[r.taskIndex].state = taskIdle
	}
	s.offerReleasedCapacity(reservations)
}

// offerReleasedCapacity offers the capacity of removed reservations to the
// other reservations on their workers and then to the queue.
func (s *Scheduler) offerReleasedCapacity(released []*reservation) {
	for _, r := range released {
		s.placeReservedOn(r.worker)
		s.queue.onCapacityFreed(r.worker)
	}
}

// requeueReservation gives up a reservation and queues its task again. The
// reservations of a gang are given up together.
func (s *Scheduler) requeueReservation(r *reservation) {
	e := r.eval
	reservations := []*reservation{r}
	if e.gang != nil {
		reservations = slices.Clone(e.reservations)
	}
	for _, r := range reservations {
		s.removeReservation(r)
		e.job.tasks[r.taskIndex].state = taskQueued
		e.pendingTasks = append(e.pendingTasks, r.taskIndex)
	}
	s.queue.add(e)
	s.offerReleasedCapacity(reservations)
}

// placeReservedOn places the tasks that have reservations on a worker, in
// order, as far as the reservations are ready.
func (s *Scheduler) placeReservedOn(w *WorkerState) {
	for _, r := range slices.Clone(w.reservations) {
		if !slices.Contains(w.reservations, r) {
			continue
		}
		if !r.isReady() {
			return
		}
		s.placeReserved(r.eval)
	}
}

// placeReserved places the tasks of an evaluation whose reservations are ready,
// a gang when all are.
func (s *Scheduler) placeReserved(e *Evaluation) {
	mustWait := func(r *reservation) bool { return !r.isReady() || !r.worker.canStartTasks() }
	if e.gang != nil && slices.ContainsFunc(e.reservations, mustWait) {
		return
	}
	for _, r := range slices.Clone(e.reservations) {
		if mustWait(r) {
			continue
		}
		s.removeReservation(r)
		s.cache.place(e, &e.job.tasks[r.taskIndex], r.worker, r.need, &s.reservationPlan)
	}
	s.commitPlan(e, &s.reservationPlan)
}

// expireReservations gives up reservations that are not ready in time.
func (s *Scheduler) expireReservations() {
	for i := len(s.reservations) - 1; i >= 0; i-- {
		if i < len(s.reservations) && s.now >= s.reservations[i].createdAt+reservationTimeout {
			s.requeueReservation(s.reservations[i])
		}
	}
}

// selectVictims marks live attempts as terminating. They are asked to end by
// terminateVictims, or released by deselectVictims if their end is of no use to
// a gang that finds no place.
func (s *Scheduler) selectVictims(victims []*task) {
	for _, v := range victims {
		s.setTerminating(v, true)
		s.selectedVictims = append(s.selectedVictims, v)
	}
}

// setTerminating marks a live attempt as terminating, or removes the mark.
func (s *Scheduler) setTerminating(t *task, terminating bool) {
	w, tm := t.worker, t.job.team
	if terminating {
		w.countPreemptible(t, -1)
		tm.terminating = tm.terminating.Add(t.allocated)
		w.terminating = w.terminating.Add(t.allocated)
	}
	t.isTerminating = terminating
	t.terminatingSince = s.now
	g := t.gang()
	if terminating && g != nil {
		g.busyMembers++
	}
	if !terminating {
		w.countPreemptible(t, 1)
		tm.terminating = tm.terminating.Sub(t.allocated)
		w.terminating = w.terminating.Sub(t.allocated)
		if g != nil {
			g.busyMembers--
		}
	}
	s.cache.refreshWorker(w)
}

// terminateVictims asks the selected victims to end. A gang ends as a whole.
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
