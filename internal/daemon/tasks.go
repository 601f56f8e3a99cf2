package daemon

import (
	"context"
	"time"

	"gypsumwinch/internal/jobstate"
	"gypsumwinch/internal/ownership"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/scheduler"
	"gypsumwinch/internal/structs"
	"gypsumwinch/internal/workerclient"
)

// appendLocalJobRecord appends a record to the jobs stream of this data centre.
// The event failed, which may be nil, is posted if the record is not known to
// be on the log. The control loop of the owner calls it for the start and end
// records of tasks and for snapshots.
func (c *control) appendLocalJobRecord(record records.Record, failed event) {
	stream := records.JobsStream(c.d.settings.DataCentre)
	c.d.writers[stream].append(record, func(err error) {
		if err != nil && failed != nil {
			c.d.post(c.ctx, failed)
		}
	})
}

// logStarts appends the start records of placements. The start requests are
// sent after the records have been read back. runSchedulerActions calls it for
// a Start action.
func (c *control) logStarts(placements []scheduler.Placement) {
	for _, p := range placements {
		c.pendingStarts[p.Attempt] = &startState{placement: p}
		c.logTaskStart(p.Attempt)
	}
}

// logTaskStart appends the start record of an attempt; a failed append posts
// taskStartNotLogged. The control loop calls it for a new placement, for an
// adopted attempt, and again after a failed append.
func (c *control) logTaskStart(a structs.Attempt) {
	record := records.Record{TaskStart: &records.TaskStart{Attempt: a, Term: c.term}}
	c.appendLocalJobRecord(record, taskStartNotLogged{attempt: a, epoch: c.schedulerEpoch})
}

// taskStartNotLogged is the event that the start record of an attempt is not
// known to be on the log.
type taskStartNotLogged struct {
	attempt structs.Attempt
	epoch   int
}

// apply appends the record again. During an outage of the log, the owner starts
// idempotent tasks before their record is on the log, since its leases prevent
// other VMs from doing so. It runs on the control loop when the append of a
// start record has failed, and ignores records of an earlier scheduler.
func (ev taskStartNotLogged) apply(c *control) {
	s := c.pendingStarts[ev.attempt]
	if c.scheduler == nil || c.schedulerEpoch != ev.epoch || s == nil || s.isLogged {
		return
	}
	if c.mayStartWithoutRecord(ev.attempt) && !s.sentWithoutRecord {
		s.sentWithoutRecord = true
		c.sendStart(ev.attempt)
	}
	c.logTaskStart(ev.attempt)
}

// mayStartWithoutRecord reports whether a task may start before its record is
// on the log. It may not if a lost record could let the task run a second time.
// taskStartNotLogged.apply calls it.
func (c *control) mayStartWithoutRecord(a structs.Attempt) bool {
	// A worker that was listed only recently may be missing from a successor's
	// list. The successor would then not request its inventory.
	w := c.workers[a.Worker]
	known := w != nil && c.now()-w.firstListedAt >= ownership.DefaultRosterRetention
	return known && !c.isNonIdempotent(a) && !c.logReachable(records.StreamOwners) && !c.isLimited
}

// sendStart sends the start request of one attempt.
func (c *control) sendStart(a structs.Attempt) {
	c.sendStarts(a.Worker, []structs.Attempt{a})
}

// handleStartRecord handles a start record that was read back: the attempt is
// now live. applyJobRecord calls it on the owner for each start record that
// took effect, also one of a former owner.
func (c *control) handleStartRecord(a structs.Attempt) {
	s := c.pendingStarts[a]
	if s == nil {
		c.handleForeignStart(a)
		return
	}
	s.isLogged = true
	if result, ended := c.pendingEnds[a]; ended {
		c.logTaskEnd(a, result)
		return
	}
	switch {
	case s.isConfirmed:
		delete(c.pendingStarts, a)
	case !s.hasBeenSent:
		c.readyStarts[a.Worker] = append(c.readyStarts[a.Worker], a)
	}
}

// handleRefusedRecord handles a record of this owner that had no effect on the
// job state. applyJobRecord calls it on the owner for each record that was
// refused or ignored; only start records matter here.
func (c *control) handleRefusedRecord(record records.Record, effect jobstate.Effect) {
	if record.TaskStart == nil {
		return
	}
	a := record.TaskStart.Attempt
	s := c.pendingStarts[a]
	if s == nil {
		return
	}
	if live, ok := c.jobs.LiveAttempt(a.Task); ok && live == a {
		return // a repeated append of a record that took effect before
	}
	c.logger.Debug("start record refused", "task", a.Task, "attempt", a.Number, "reason", effect.Reason)
	if s.sentWithoutRecord {
		c.stopUnrecorded(a)
		return
	}
	c.forgetAttempt(a)
	c.applySchedulerEvent(scheduler.TaskEnded{Attempt: a, Result: records.TaskNotStarted, Unrecorded: true})
	c.syncRefusedTask(a)
}

// sendReadyStarts sends the start requests whose records have been read back.
// handleBatchRead calls it after each read of the jobs stream, so that the
// starts of one read share a request for each worker.
func (c *control) sendReadyStarts() {
	for worker, batch := range c.readyStarts {
		delete(c.readyStarts, worker)
		c.sendStarts(worker, batch)
	}
}

// sendStarts sends one start request for a batch of attempts to a worker. The
// control loop calls it after a read of the jobs stream, at slow ticks to
// repeat unconfirmed starts, and for a start without a record. The call runs on
// its own goroutine and posts startsAnswered.
func (c *control) sendStarts(worker string, batch []structs.Attempt) {
	w := c.workers[worker]
	if !c.maySendTo(w) {
		c.endUnsentStarts(batch)
		return
	}
	in := workerclient.StartRequest{Authority: c.workerAuthority(w)}
	for _, a := range batch {
		s := c.pendingStarts[a]
		job, ok := c.jobs.Job(a.Task.Job)
		if s == nil || s.inFlight || !ok {
			continue
		}
		s.inFlight = true
		s.hasBeenSent = true
		s.sentAt = c.now()
		group := groupOf(&job, a.Task.Index)
		in.Tasks = append(in.Tasks, workerclient.Start{
			Attempt: a, Resources: s.placement.Allocated, Service: group.Service,
			Payload: group.Payload, Checkpoint: c.checkpoints[a.Task],
		})
	}
	if len(in.Tasks) == 0 {
		return
	}
	w.lastActivityAt = c.now()
	c.d.metrics.countMessage("task start")
	// The request must reach the worker before its lease is about to expire.
	ctx, cancel := context.WithTimeout(c.ctx, w.leaseExpiresAt-minRemainingLease-c.now())
	epoch := c.schedulerEpoch
	go func() {
		defer cancel()
		answer, err := c.d.workers.Start(ctx, w.vm.Addr, in)
		c.d.post(c.ctx, startsAnswered{worker: worker, epoch: epoch, tasks: in.Tasks, answer: answer, err: err})
	}()
}

// endUnsentStarts ends attempts that were never sent. Others stay live until
// the worker reports their state or its lease expires. sendStarts calls it when
// this VM may not send to the worker.
func (c *control) endUnsentStarts(batch []structs.Attempt) {
	for _, a := range batch {
		if s := c.pendingStarts[a]; s != nil && !s.hasBeenSent {
			c.endAttempt(a, records.TaskNotStarted)
		}
	}
}

// groupOf returns the task group of the task with the given index. Groups
// number their tasks one after the other. sendStarts and workerUsed call it.
func groupOf(job *structs.Job, index int) structs.TaskGroup {
	for _, g := range job.Groups {
		if index < g.Count {
			return g
		}
		index -= g.Count
	}
	return structs.TaskGroup{}
}

// startsAnswered is the event of a worker's response to a start request.
type startsAnswered struct {
	worker string
	epoch  int
	tasks  []workerclient.Start
	answer workerclient.StartAnswer
	err    error
}

// apply handles the result of each attempt that the worker listed in its
// response. After an error, it records when the response was lost, and
// resendDue decides whether to repeat the request. It runs on the control loop
// after each start request, successful or not.
func (ev startsAnswered) apply(c *control) {
	if c.scheduler == nil || c.schedulerEpoch != ev.epoch {
		return
	}
	for _, t := range ev.tasks {
		if s := c.pendingStarts[t.Attempt]; s != nil {
			s.inFlight = false
		}
	}
	if ev.err != nil {
		for _, t := range ev.tasks {
			if s := c.pendingStarts[t.Attempt]; s != nil && s.answerLostAt == 0 {
				s.answerLostAt = c.now()
			}
		}
		c.logger.Warn("task start request failed", "worker", ev.worker, "tasks", len(ev.tasks), "error", ev.err)
		return
	}
	if ev.answer.Refusal != "" {
		c.logger.Warn("worker refused task starts", "worker", ev.worker, "reason", ev.answer.Refusal)
		return
	}
	for _, t := range ev.answer.Tasks {
		c.handleStartResult(t)
	}
}

// handleStartResult handles a worker's report that an attempt runs or was not
// started. The control loop calls it for each attempt in the response to a
// start request. If that response was lost, it calls it when a later report
// lists the attempt as running.
func (c *control) handleStartResult(t workerclient.StartResult) {
	s := c.pendingStarts[t.Attempt]
	if s == nil {
		return
	}
	if !t.Started {
		c.endAttempt(t.Attempt, records.TaskNotStarted)
		return
	}
	s.isConfirmed = true
	if s.isLogged {
		delete(c.pendingStarts, t.Attempt)
	}
	c.confirmTaskStarted(t.Attempt)
}

// confirmTaskStarted passes the start of an attempt to the metrics and the
// scheduler. handleStartResult calls it once the worker has confirmed the
// start.
func (c *control) confirmTaskStarted(a structs.Attempt) {
	if job, ok := c.jobs.Job(a.Task.Job); ok {
		c.d.metrics.recordTaskStarted(&job)
	}
	c.applySchedulerEvent(scheduler.TaskStarted{Attempt: a})
}

// endAttempt appends the end record of an attempt. The end has effect when the
// record is read back. The control loop calls it when a report lists a finished
// run, when the attempt could not be sent, was not started or was stopped, and
// when it is missing on its worker or the worker's lease has expired.
func (c *control) endAttempt(a structs.Attempt, result records.TaskResult) {
	if _, known := c.pendingEnds[a]; known || c.scheduler == nil {
		return
	}
	if live, ok := c.jobs.LiveAttempt(a.Task); ok && live == a {
		c.logTaskEnd(a, result)
		return
	}
	// An end record before the start record would be refused, so it is appended
	// after the start record has been read.
	if s := c.pendingStarts[a]; s != nil && !s.isLogged {
		c.pendingEnds[a] = result
	}
}

// logTaskEnd appends the end record of an attempt; a failed append posts
// taskEndNotLogged. The control loop calls it when the attempt ends, when the
// start record of an attempt that has ended already is read back, and again
// after a failed append.
func (c *control) logTaskEnd(a structs.Attempt, result records.TaskResult) {
	c.pendingEnds[a] = result
	record := records.Record{TaskEnd: &records.TaskEnd{Attempt: a, Result: result, Term: c.term}}
	c.appendLocalJobRecord(record, taskEndNotLogged{attempt: a, epoch: c.schedulerEpoch})
}

// taskEndNotLogged is the event that the end record of an attempt is not known
// to be on the log.
type taskEndNotLogged struct {
	attempt structs.Attempt
	epoch   int
}

// apply appends the end record again, unless it was read back in the meantime
// or is of an earlier scheduler. It runs on the control loop when the append of
// the record has failed.
func (ev taskEndNotLogged) apply(c *control) {
	result, waiting := c.pendingEnds[ev.attempt]
	if c.scheduler == nil || c.schedulerEpoch != ev.epoch || !waiting {
		return
	}
	c.logTaskEnd(ev.attempt, result)
}

// handleEndRecord handles an end record that was read back. applyJobRecord
// calls it on the owner for each end record that took effect.
func (c *control) handleEndRecord(a structs.Attempt, result records.TaskResult) {
	c.forgetAttempt(a)
	if result == records.TaskSucceeded {
		delete(c.checkpoints, a.Task)
	}
	c.applySchedulerEvent(scheduler.TaskEnded{Attempt: a, Result: result})
}

// forgetAttempt removes an attempt from the owner state. The control loop calls
// it when the end record is read back, when the start record of an unsent
// attempt is refused, and when an attempt without a live record ends.
func (c *control) forgetAttempt(a structs.Attempt) {
	delete(c.pendingStarts, a)
	delete(c.pendingStops, a)
	delete(c.pendingEnds, a)
}

// stopAttempt schedules a stop request for an attempt, preceded by a checkpoint
// if that is requested. resendDue sends it. The control loop calls it for Stop
// and Checkpoint actions of the scheduler, for attempts without a valid start
// record, for recorded attempts that their worker does not list, and for
// non-idempotent starts that remain unanswered.
func (c *control) stopAttempt(a structs.Attempt, checkpoint bool) {
	if c.pendingStops[a] != nil {
		return
	}
	c.pendingStops[a] = &stopState{needsCheckpoint: checkpoint, sentAt: -resendInterval}
}

// isNonIdempotent reports whether an attempt that may have run must not be
// repeated. Attempts of unknown jobs count as non-idempotent. The control loop
// calls it before it starts a task without a record and before it repeats a
// start request whose response was lost.
func (c *control) isNonIdempotent(a structs.Attempt) bool {
	job, ok := c.jobs.Job(a.Task.Job)
	return !ok || job.NonIdempotent
}

// resendDue sends the stop requests that are due and repeats start requests
// that were not confirmed. tickJobs calls it at each slow tick.
func (c *control) resendDue() {
	now := c.now()
	stops := map[string][]structs.Attempt{}
	for a, s := range c.pendingStops {
		if !s.inFlight && s.confirmedAt == 0 && now-s.sentAt >= resendInterval {
			stops[a.Worker] = append(stops[a.Worker], a)
		}
	}
	for worker, batch := range stops {
		c.sendStops(worker, batch)
	}
	starts := map[string][]structs.Attempt{}
	for a, s := range c.pendingStarts {
		waiting := s.hasBeenSent && !s.isConfirmed && !s.inFlight && c.pendingStops[a] == nil && c.pendingEnds[a] == ""
		switch {
		case !waiting || now-s.sentAt < resendInterval || !s.isLogged && !s.sentWithoutRecord:
		case s.answerLostAt == 0 || !c.isNonIdempotent(a):
			starts[a.Worker] = append(starts[a.Worker], a)
		case now-s.answerLostAt >= unansweredStartTimeout:
			c.stopAttempt(a, false)
		}
	}
	for worker, batch := range starts {
		c.sendStarts(worker, batch)
	}
}

// sendStops sends one stop request for a batch of attempts to a worker,
// preceded by a checkpoint request for those that need one. resendDue calls it;
// the calls run on their own goroutine, which posts stopsAnswered.
func (c *control) sendStops(worker string, batch []structs.Attempt) {
	w := c.workers[worker]
	if !c.maySendTo(w) {
		return
	}
	in := workerclient.StopRequest{Authority: c.workerAuthority(w), Attempts: batch}
	var checkpoints []structs.Attempt
	for _, a := range batch {
		s := c.pendingStops[a]
		s.inFlight = true
		s.sentAt = c.now()
		if s.needsCheckpoint {
			checkpoints = append(checkpoints, a)
		}
	}
	addr := w.vm.Addr
	go func() {
		saved := c.d.saveCheckpoints(c.ctx, addr, in.Authority, checkpoints)
		answer, err := c.d.workers.Stop(c.ctx, addr, in)
		c.d.post(c.ctx, stopsAnswered{worker: worker, batch: batch, checkpoints: saved, answer: answer, err: err})
	}()
}

// saveCheckpoints requests checkpoints of attempts. It returns nil on failure:
// a task without a checkpoint restarts from the beginning. sendStops calls it
// on the goroutine of the stop request.
func (d *Daemon) saveCheckpoints(ctx context.Context, addr string, authority workerclient.Authority, attempts []structs.Attempt) []workerclient.Checkpoint {
	if len(attempts) == 0 {
		return nil
	}
	in := workerclient.StopRequest{Authority: authority, Attempts: attempts}
	answer, err := d.workers.Checkpoint(ctx, addr, in)
	if err != nil {
		d.logger.Warn("checkpoint request failed", "error", err)
		return nil
	}
	return answer.Checkpoints
}

// stopsAnswered is the event of a worker's response to a stop request.
type stopsAnswered struct {
	worker      string
	batch       []structs.Attempt
	checkpoints []workerclient.Checkpoint
	answer      workerclient.StopAnswer
	err         error
}

// apply stores the checkpoints and marks the stops that the worker confirmed;
// endStoppedAttempts ends those attempts after the next report. It runs on the
// control loop after each stop request. If the request failed, or this VM is no
// longer the owner, it only marks the stops as not in flight; resendDue repeats
// a failed request.
func (ev stopsAnswered) apply(c *control) {
	for _, a := range ev.batch {
		if s := c.pendingStops[a]; s != nil {
			s.inFlight = false
		}
	}
	if ev.err != nil || c.scheduler == nil {
		c.logger.Debug("task stop request failed", "worker", ev.worker, "error", ev.err)
		return
	}
	for _, cp := range ev.checkpoints {
		c.checkpoints[cp.Attempt.Task] = cp.Data
	}
	for _, a := range ev.answer.Stopped {
		if s := c.pendingStops[a]; s != nil {
			s.confirmedAt = c.now()
		}
	}
}

// endStoppedAttempts ends the attempts of a worker that confirmed their stop
// before the report that was requested at the given time. That report would
// contain the result of an attempt that succeeded just before it was stopped.
// leaseAnswered.apply calls it on the owner for each granted lease, after the
// report in the response.
func (c *control) endStoppedAttempts(worker string, requestedAt time.Duration) {
	for a, s := range c.pendingStops {
		if a.Worker != worker || s.confirmedAt == 0 || s.confirmedAt > requestedAt {
			continue
		}
		c.endAttempt(a, records.TaskStopped)
		if c.pendingEnds[a] == "" { // not live on the log
			c.endUnrecorded(a)
		}
	}
}

// sendThrottle limits the CPU of an attempt. A lost request is not repeated;
// the scheduler returns the action again when the next report shows that it had
// no effect. runSchedulerActions calls it for a Throttle action; the call runs
// on its own goroutine and posts nothing.
func (c *control) sendThrottle(a scheduler.Throttle) {
	w := c.workers[a.Attempt.Worker]
	if !c.maySendTo(w) {
		return
	}
	in := workerclient.ThrottleRequest{
		Authority: c.workerAuthority(w),
		Throttles: []workerclient.Throttle{{Attempt: a.Attempt, MilliCPU: a.MilliCPU}},
	}
	go func() {
		if _, err := c.d.workers.Throttle(c.ctx, w.vm.Addr, in); err != nil {
			c.logger.Debug("throttle request failed", "worker", a.Attempt.Worker, "error", err)
		}
	}()
}

const (
	// maxRecordsSinceSnapshot is the number of records after which the owner
	// appends a snapshot, so that a new VM has few records to read.
	maxRecordsSinceSnapshot = 20_000
)

// recordSnapshotAge keeps how many records a new VM has to read and how old the first
// of them is: the last snapshot or, before there is one, the first record. applyJobRecord
// calls it for each record before it is applied.
func (c *control) recordSnapshotAge(e logEntry) {
	snapshot := e.record.JobSnapshot
	isComplete := snapshot != nil && snapshot.Part == snapshot.Parts-1
	if snapshot == nil {
		c.recordsSinceSnapshot++
	}
	if isComplete {
		c.recordsSinceSnapshot = 0
	}
	if isComplete || c.jobs.Next() == 0 {
		c.lastSnapshotAt = c.now() - max(time.Since(e.storedAt), 0)
	}
}

// writeJobsSnapshot appends a snapshot of the job state when one is due: also when
// nothing was written since the last one, which the log drops like any record.
// tickJobs calls it at each slow tick of an owner.
func (c *control) writeJobsSnapshot() {
	retention := c.d.settings.retention()
	due := c.recordsSinceSnapshot >= maxRecordsSinceSnapshot ||
		c.now()-c.lastSnapshotAt > retention/3 && c.jobs.Next() > 0
	if !due || !c.ownershipMachine.Authority(c.now()).MayStartTasks || !c.logReachable(records.StreamOwners) {
		return
	}
	c.recordsSinceSnapshot = 0
	c.lastSnapshotAt = c.now()
	parts, err := c.jobs.Encode(c.d.instance+"-"+c.now().String(), c.term)
	if err != nil {
		c.logger.Error("failed to encode the jobs snapshot", "error", err)
		return
	}
	for i := range parts {
		c.appendLocalJobRecord(records.Record{JobSnapshot: &parts[i]}, nil)
	}
	c.logger.Debug("appended a jobs snapshot", "parts", len(parts))
}
