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

// resumeTask applies the progress that the jobs stream holds for a task.
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
// scheduler as the live attempt of its task.
func (s *Scheduler) adoptAttempt(t *task, w *WorkerState) {
	t.state = taskLive
	t.hasStarted = true
	s.setDeadline(t)
	t.job.liveTasks++
	s.cache.allocate(t, w, t.spec().Resources)
	if spread := t.job.liveByRackOf(t); spread != nil {
		spread[w.rack]++
	}
	s.startOverrunTimer(t)
}

// admitJob queues the tasks of a job, or explains that it can never run.
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

// dequeueJob takes the tasks of a job out of the queue.
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
func (s *Scheduler) requeueJob(j *job) {
	s.dequeueJob(j)
	s.admitJob(j)
}

// removeEvaluation removes an evaluation from its job. Its subqueue skips it.
func (s *Scheduler) removeEvaluation(e *Evaluation) {
	e.isRemoved = true
	e.pendingTasks = nil
	s.endDrain(e)
	if e.gang != nil && e.gang.eval == e {
		e.gang.eval = nil
	}
	e.job.evals = slices.DeleteFunc(e.job.evals, func(o *Evaluation) bool { return o == e })
}

// enqueueTask adds a task that has to start to an evaluation of its job.
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

// addEvaluation queues an evaluation. If its subqueue is blocked, no decision
// on it follows soon, so the wait is explained with the reason of the subqueue.
func (s *Scheduler) addEvaluation(e *Evaluation) {
	sq := s.queue.add(e)
	if sq.state == subqueueBlocked && !e.isExplained {
		e.isExplained = true
		s.explain(e.job, sq.blockedReason)
	}
}

// evaluationFor returns the evaluation of the job for tasks with the group,
// size and start deadline of t, and adds one if there is none.
func (s *Scheduler) evaluationFor(t *task) *Evaluation {
	j := t.job
	need := s.cache.allocationFor(j, t.index)
	s.setDeadline(t)
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

func (s *Scheduler) newEvaluation(j *job, need structs.Resources, deadline time.Duration) *Evaluation {
	s.queue.seq++
	e := &Evaluation{job: j, need: need, quotaDemand: need, startDeadline: deadline, waitingSince: s.now, seq: s.queue.seq}
	j.evals = append(j.evals, e)
	return e
}

// setDeadline sets the latest start of a task that meets the targets of its
// class. A task whose attempt ended after an overrun goes to the end of its
// class.
func (s *Scheduler) setDeadline(t *task) {
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
// be started.
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
	s.setDeadline(first)
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

// removeJob removes a job that moved to another data centre. A job of which a
// task runs is retained.
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

// finishJob removes a job that has finished and retains its id.
func (s *Scheduler) finishJob(j *job) {
	delete(s.jobs, j.spec.ID)
	s.recordFinishedJob(j.spec.ID)
}

func (s *Scheduler) recordFinishedJob(id string) {
	if !s.finishedJobIDs[id] {
		s.finishedJobIDs[id] = true
		s.finishedJobs = append(s.finishedJobs, finishedJob{id, s.now})
	}
}

// pruneFinishedJobs removes the ids of jobs that finished more than
// finishedIDTTL ago, and takes finished jobs off jobList when they are more
// than half of it.
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

// setWithheldTasks replaces the set of tasks that are not placed.
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
// the job has used up its failure budget.
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
// It returns nil for tasks that are not spread.
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

// Explanation returns why a job waits, and whether it can never run. The reason
// is empty if the job is unknown or does not wait.
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
// applies the rule of the jobs stream.
func isTaskFinished(t *task, ev TaskEnded) bool {
	next := jobstate.NextState(ev.Result, t.job.isCancelled, t.job.isNonIdempotent(), int(t.failures))
	return next != jobstate.Pending
}
