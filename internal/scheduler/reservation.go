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
// A search for victims computes it for each worker.
func (w *WorkerState) reservableCapacity() structs.Resources {
	return w.Capacity.Sub(w.used).Add(w.terminating).Sub(w.reserved)
}

// isReady reports whether the free capacity holds the reservation and those
// before it on the worker. It is called when capacity became free there, to
// decide which reserved tasks can be placed.
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

// addReservation reserves capacity on w for a task. It is called when victims
// were selected there, or, for a member of a gang, when w has free capacity.
func (s *Scheduler) addReservation(e *Evaluation, index int32, w *WorkerState, need structs.Resources) {
	r := &reservation{eval: e, taskIndex: index, worker: w, need: need, createdAt: s.now, pos: len(s.reservations)}
	e.job.tasks[index].state = taskReserved
	s.reservations = append(s.reservations, r)
	e.reservations = append(e.reservations, r)
	w.reservations = append(w.reservations, r)
	w.reserved = w.reserved.Add(need)
	s.cache.refreshWorker(w)
}

// removeReservation removes a reservation, when its task is placed and when the
// reservation is cancelled. The caller sets the state of the task.
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

// cancelReservations removes the reservations of an evaluation whose job or
// gang is taken out of the queue, and then places others on their workers. All
// are removed before anything is placed, because the remaining reservations of
// a gang could be ready.
func (s *Scheduler) cancelReservations(e *Evaluation) {
	reservations := slices.Clone(e.reservations)
	for _, r := range reservations {
		s.removeReservation(r)
		e.job.tasks[r.taskIndex].state = taskIdle
	}
	s.offerReleasedCapacity(reservations)
}

// offerReleasedCapacity uses the capacity of cancelled reservations: first for
// the other reservations on their workers, then for the queue. It is called
// after the reservations were removed.
func (s *Scheduler) offerReleasedCapacity(released []*reservation) {
	for _, r := range released {
		s.placeReservedOn(r.worker)
		s.queue.onCapacityFreed(r.worker)
	}
}

// requeueReservation cancels a reservation and queues its task again. The
// reservations of a gang are cancelled together. It is called when a
// reservation has expired, and when its worker can no longer hold it.
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
// order, as far as the reservations are ready. It is called when an attempt or
// a reservation on the worker has ended, and when the worker is added or
// changed.
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
// a gang when all are. It is called by placeReservedOn when capacity became
// free on one of their workers, and by reserveForGang at once, because free
// capacity may suffice for a gang.
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

// expireReservations runs on each Tick. It cancels reservations that are not
// ready in time and queues their tasks again.
func (s *Scheduler) expireReservations() {
	for i := len(s.reservations) - 1; i >= 0; i-- {
		if i < len(s.reservations) && s.now >= s.reservations[i].createdAt+reservationTimeout {
			s.requeueReservation(s.reservations[i])
		}
	}
}

// selectVictims marks live attempts as terminating, when preemptForTask has
// found them. The caller of preemptForTask then requests their termination with
// terminateVictims, or removes the marks with deselectVictims if a gang does
// not fit even so.
func (s *Scheduler) selectVictims(victims []*task) {
	for _, v := range victims {
		s.setTerminating(v, true)
		s.selectedVictims = append(s.selectedVictims, v)
	}
}

// setTerminating marks a live attempt as terminating, or removes the mark. The
// mark is set when the attempt is selected as a victim or is to be terminated
// or stopped, and removed when it has ended or is deselected.
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

// terminateVictims requests the termination of the selected victims, and of the
// gangs of which they are members. It is called when capacity is reserved for a
// task, or for all members of a gang.
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

// deselectVictims removes the terminating marks of the selected victims, whose
// termination was not requested. reserveForGang calls it when it finds no
// worker for a member.
func (s *Scheduler) deselectVictims() {
	for _, v := range s.selectedVictims {
		s.setTerminating(v, false)
	}
	s.selectedVictims = s.selectedVictims[:0]
}
