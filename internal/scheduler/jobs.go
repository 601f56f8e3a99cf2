package scheduler

import (
	"slices"
	"time"

	"gypsumwinch/internal/jobstate"
	"gypsumwinch/internal/structs"
)

// finishedJob is a job that finished, or was cancelled before it was added.
type finishedJob struct {
	id         string
	finishedAt time.Duration
}

// finishedIDTTL is how long the id of a finished job is retained, so that a
// repeated JobAdded does not add the job again. After it the jobs stream
// refuses the id.
const finishedIDTTL = jobstate.FinishedRetention + jobstate.AcceptWindow

// addJob adds a job and queues its tasks. It runs on JobAdded, and after a
// takeover for each job of the recovered state. ev.Budget counts the failures
// of the job so far; once it is exhausted, no further attempt of the job
// starts.
func (s *Scheduler) addJob(ev JobAdded) {
	id := ev.Job.ID
	if s.jobs[id] != nil || s.finishedJobIDs[id] {
		return
	}
	j := newJob(ev.Job, s.classByName(ev.Job.Class), s.teamByName(ev.Job.Team), s.now-ev.Age)
	j.budget = ev.Budget
	s.jobs[id] = j
	s.jobList = append(s.jobList, j)
	for i, p := range ev.Tasks {
		if i < len(j.tasks) {
			s.resumeTask(&j.tasks[i], p)
		}
	}
	if j.openTasks == 0 {
		s.finishJob(j)
		return
	}
	s.admitJob(j)
}

// resumeTask applies the progress that the jobs stream holds for a task. addJob
// calls it for jobs that have made progress, that is after a takeover.
func (s *Scheduler) resumeTask(t *task, p TaskProgress) {
	t.attempts = int32(p.Attempts)
	t.failures = int32(p.Failures)
	if p.Done {
		t.state = taskDone
		t.job.openTasks--
		return
	}
	if p.LiveWorker != "" {
		s.adoptAttempt(t, s.ensureWorker(p.LiveWorker))
	}
}

// adoptAttempt records an attempt that runs and was not placed by this
// scheduler as the live attempt of its task. It is called after a takeover, for
// attempts that are live on the jobs stream, and by reconcile, for attempts
// that a worker reports and the jobs stream does not hold yet.
func (s *Scheduler) adoptAttempt(t *task, w *WorkerState) {
	t.state = taskLive
	t.hasStarted = true
	s.setStartDeadline(t)
	t.job.liveTasks++
	s.cache.allocate(t, w, t.spec().Resources)
	if byRack := t.job.liveByRackOf(t); byRack != nil {
		byRack[w.rack]++
	}
	s.startOverrunTimer(t)
}

// admitJob queues the tasks of a job that are idle, or explains that the job is
// infeasible. It is called when the job is added, after dequeueJob if the job
// still has to run, and when a task is queued for the first time after the
// capacities of the workers changed.
func (s *Scheduler) admitJob(j *job) {
	if j.isCancelled {
		return
	}
	j.checkedShapesVersion = s.cache.shapesVersion
	j.infeasibleReason = s.infeasibleReason(j)
	if j.infeasibleReason != "" {
		s.dequeueJob(j)
		j.hasExplanation = true
		s.actions = append(s.actions, Explain{Job: j.spec.ID, Reason: j.infeasibleReason, Infeasible: true})
		return
	}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskIdle {
			s.enqueueTask(t)
		}
	}
}

// dequeueJob takes the tasks of a job out of the queue and cancels their
// reservations. It is called when the job is cancelled, removed, infeasible or
// out of failure budget, and before the job is admitted again.
func (s *Scheduler) dequeueJob(j *job) {
	for _, e := range slices.Clone(j.evals) {
		s.cancelReservations(e)
		for _, i := range e.pendingTasks {
			j.tasks[i].state = taskIdle
		}
		s.removeEvaluation(e)
	}
}

// requeueJob takes the tasks of a job out of the queue and queues them again.
// It is called for the jobs that a change of the configuration or of the
// withheld tasks concerns.
func (s *Scheduler) requeueJob(j *job) {
	s.dequeueJob(j)
	s.admitJob(j)
}

// removeEvaluation removes an evaluation from its job and ends its drain. Its
// subqueue skips it from now on. It is called when all tasks of the evaluation
// are placed, and when its job or gang is taken out of the queue.
func (s *Scheduler) removeEvaluation(e *Evaluation) {
	e.isRemoved = true
	e.pendingTasks = nil
	s.endDrain(e)
	if e.gang != nil && e.gang.eval == e {
		e.gang.eval = nil
	}
	e.job.evals = slices.DeleteFunc(e.job.evals, func(o *Evaluation) bool { return o == e })
}

// enqueueTask adds a task that has to start to an evaluation of its job. It is
// called when the job is admitted, when an attempt of the task or an orphan of
// it has ended, and when the retry delay of the task is over. A task that must
// not start now stays idle.
func (s *Scheduler) enqueueTask(t *task) {
	j := t.job
	t.state = taskIdle
	if j.checkedShapesVersion != s.cache.shapesVersion && !j.isCancelled {
		s.admitJob(j)
		return
	}
	if j.isCancelled || j.infeasibleReason != "" || t.orphanCount > 0 || s.withheldTasks[t.id()] {
		return
	}
	if g := t.gang(); g != nil {
		s.enqueueGang(j, g)
		return
	}
	e := s.evaluationFor(t)
	t.state = taskQueued
	e.pendingTasks = append(e.pendingTasks, t.index)
	s.addEvaluation(e)
}

// addEvaluation queues an evaluation, when a task or a gang is added to it. If
// its subqueue is blocked, no decision on it follows soon, so the wait is
// explained with the reason of the subqueue.
func (s *Scheduler) addEvaluation(e *Evaluation) {
	sq := s.queue.add(e)
	if sq.state == subqueueBlocked && !e.isExplained {
		e.isExplained = true
		s.explain(e.job, sq.blockedReason)
	}
}

// evaluationFor returns the evaluation of the job for tasks with the group,
// size and start deadline of t, and adds one if there is none. enqueueTask
// calls it for each task outside of gangs.
func (s *Scheduler) evaluationFor(t *task) *Evaluation {
	j := t.job
	need := s.cache.allocationFor(j, t.index)
	s.setStartDeadline(t)
	for _, e := range j.evals {
		matches := e.gang == nil && len(e.pendingTasks) > 0 && j.tasks[e.pendingTasks[0]].group == t.group
		if matches && e.need == need && e.startDeadline == t.startDeadline {
			return e
		}
	}
	e := s.newEvaluation(j, need, t.startDeadline)
	e.isService = t.isService()
	e.liveByRack = j.liveByRackOf(t)
	return e
}

// newEvaluation adds an evaluation to a job: the first time that a task of its
// kind is queued, or each time that a gang is queued. The caller puts it into
// the queue.
func (s *Scheduler) newEvaluation(j *job, need structs.Resources, deadline time.Duration) *Evaluation {
	s.queue.seq++
	e := &Evaluation{job: j, need: need, quotaDemand: need, startDeadline: deadline, waitingSince: s.now, seq: s.queue.seq}
	j.evals = append(j.evals, e)
	return e
}

// setStartDeadline sets the latest start of a task that meets the targets of
// its class, if it is not set yet. A task whose attempt ended after an overrun
// goes to the end of its class. It is called when the task is queued or an
// attempt of it is adopted, and again when the configuration of its class or
// team changes.
func (s *Scheduler) setStartDeadline(t *task) {
	j := t.job
	target := j.class.startTarget()
	switch {
	case t.isOverrun:
		t.startDeadline = s.now + target
	case t.startDeadline == 0:
		t.startDeadline = j.acceptedAt + target
		if j.class.FinishTarget > 0 {
			runTime := j.class.expectedRunTime(t.spec().RunTime)
			t.startDeadline = min(t.startDeadline, max(j.acceptedAt+j.class.FinishTarget-runTime, j.acceptedAt))
		}
	}
}

// enqueueGang queues the members of a gang that do not run once all of them can
// be started. It is called for each member that has to start, and when a member
// has ended. While a member is terminating, withheld, or waits for a retry or
// the end of an orphan, or the gang is queued already, it does nothing.
func (s *Scheduler) enqueueGang(j *job, g *gang) {
	if g.busyMembers > 0 || g.eval != nil {
		return
	}
	var pending []int32
	for _, i := range g.members {
		t := &j.tasks[i]
		switch {
		case t.state == taskDone || t.state == taskLive:
		case t.orphanCount > 0 || s.withheldTasks[t.id()]:
			return
		default:
			pending = append(pending, i)
		}
	}
	if len(pending) == 0 {
		return
	}
	first := &j.tasks[pending[0]]
	s.setStartDeadline(first)
	e := s.newEvaluation(j, s.cache.allocationFor(j, first.index), first.startDeadline)
	e.gang = g
	e.pendingTasks = pending
	g.eval = e
	for _, i := range pending {
		j.tasks[i].state = taskQueued
		j.tasks[i].startDeadline = e.startDeadline
		e.hasMixedSizes = e.hasMixedSizes || s.cache.allocationFor(j, i) != e.need
	}
	e.quotaDemand = e.need.Times(int64(len(pending)))
	s.addEvaluation(e)
}

// cancelJob stops the live attempts of a job and marks its other tasks as done.
// It runs on JobCancelled, and after a takeover for the cancelled jobs of the
// recovered state. The id of an unknown job is retained, so that a later
// JobAdded does not add the job.
func (s *Scheduler) cancelJob(id string) {
	j := s.jobs[id]
	if j == nil {
		s.recordFinishedJob(id)
		return
	}
	if j.isCancelled {
		return
	}
	j.isCancelled = true
	s.dequeueJob(j)
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.state == taskLive:
			s.stopAttempt(t, "job is cancelled")
		case t.state != taskDone:
			t.state = taskDone
			j.openTasks--
		}
	}
	if j.openTasks == 0 {
		s.finishJob(j)
	}
}

// removeJob runs on JobRemoved: the job moved to another data centre. A job of
// which a task runs is retained.
func (s *Scheduler) removeJob(id string) {
	j := s.jobs[id]
	if j == nil || j.liveTasks > 0 {
		return
	}
	j.isCancelled = true
	s.dequeueJob(j)
	j.openTasks = 0
	s.finishJob(j)
}

// finishJob removes a job that has finished and retains its id. It is called
// when the last task is done, and when the job is cancelled or removed while no
// task runs.
func (s *Scheduler) finishJob(j *job) {
	delete(s.jobs, j.spec.ID)
	s.recordFinishedJob(j.spec.ID)
}

// recordFinishedJob retains the id of a job that has finished, or was cancelled
// before it was added. pruneFinishedJobs deletes the id later.
func (s *Scheduler) recordFinishedJob(id string) {
	if !s.finishedJobIDs[id] {
		s.finishedJobIDs[id] = true
		s.finishedJobs = append(s.finishedJobs, finishedJob{id, s.now})
	}
}

// pruneFinishedJobs runs on each Tick. It removes the ids of jobs that finished
// more than finishedIDTTL ago, and takes finished jobs off jobList when they
// are more than half of it.
func (s *Scheduler) pruneFinishedJobs() {
	n := 0
	for n < len(s.finishedJobs) && s.now-s.finishedJobs[n].finishedAt > finishedIDTTL {
		delete(s.finishedJobIDs, s.finishedJobs[n].id)
		n++
	}
	s.finishedJobs = s.finishedJobs[n:]
	if len(s.jobList) > 2*len(s.jobs) {
		s.jobList = slices.DeleteFunc(s.jobList, func(j *job) bool { return s.jobs[j.spec.ID] != j })
	}
}

// setWithheldTasks runs on Withhold, which an owner sends when its term
// changes and when it becomes or ceases to be limited. It replaces the set of tasks that are not placed, and queues the
// jobs of the old and the new set again.
func (s *Scheduler) setWithheldTasks(tasks map[structs.TaskID]bool) {
	affected := map[string]bool{}
	for _, set := range []map[structs.TaskID]bool{s.withheldTasks, tasks} {
		for id := range set {
			affected[id.Job] = true
		}
	}
	s.withheldTasks = tasks
	for _, j := range s.jobList {
		if affected[j.spec.ID] && s.jobs[j.spec.ID] == j {
			s.requeueJob(j)
		}
	}
}

// failWaitingTasks marks the tasks of a job that do not run as done, because
// the job has used up its failure budget. finishJobIfDone calls it after each
// end of an attempt of such a job.
func (s *Scheduler) failWaitingTasks(j *job) {
	s.dequeueJob(j)
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskLive && t.state != taskDone {
			t.state = taskDone
			j.openTasks--
		}
	}
}

// liveByRackOf returns the live tasks by rack of the service group of a task.
// It returns nil for tasks that are not spread. It is called when a task is
// queued, and when an attempt is adopted or has ended, to count it.
func (j *job) liveByRackOf(t *task) map[*rack]int {
	if !t.isService() || t.gang() != nil {
		return nil
	}
	if j.liveByRack == nil {
		j.liveByRack = make([]map[*rack]int, len(j.spec.Groups))
	}
	if j.liveByRack[t.group] == nil {
		j.liveByRack[t.group] = map[*rack]int{}
	}
	return j.liveByRack[t.group]
}

// Explanation returns why a job waits, and whether it is infeasible, for a
// request for the status of the job. The reason is empty if the job is unknown
// or does not wait.
func (s *Scheduler) Explanation(id string) (reason string, infeasible bool) {
	j := s.jobs[id]
	if j == nil || j.isCancelled {
		return "", false
	}
	if j.infeasibleReason != "" {
		return j.infeasibleReason, true
	}
	if len(j.evals) > 0 {
		return s.waitReason(j.evals[0]), false
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.state == taskDelayed:
			return "waits before it tries a failed or refused start again", false
		case t.state == taskIdle && s.withheldTasks[t.id()]:
			return "is withheld: a former owner may still run a task of it", false
		case t.state == taskIdle && t.orphanCount > 0:
			return "waits for the end of an attempt that has to be stopped", false
		}
	}
	return "", false
}

// waitReason returns why an evaluation waits at this moment. Explanation calls
// it for the first evaluation of a job.
func (s *Scheduler) waitReason(e *Evaluation) string {
	switch {
	case len(e.reservations) > 0:
		return "waits for preempted work to end"
	case e.subqueue != nil && e.subqueue.state == subqueueBlocked:
		return s.cache.waitReason(e)
	}
	return "waits for its turn"
}

// isTaskFinished reports whether a task that ended takes no further start. It
// applies the rule of the jobs stream, jobstate.NextState. applyResult calls it on each TaskEnded.
func isTaskFinished(t *task, ev TaskEnded) bool {
	next := jobstate.NextState(ev.Result, t.job.isCancelled, t.job.isNonIdempotent(), int(t.failures))
	return next != jobstate.Pending
}
