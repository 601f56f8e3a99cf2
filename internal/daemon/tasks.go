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

// appendLocalJobRecord writes a record of the jobs stream. failed, which may be nil, is
// posted if the record is not known to be on the log.
func (c *control) appendLocalJobRecord(record records.Record, failed event) {
	stream := records.JobsStream(c.d.settings.DataCentre)
	c.d.writers[stream].append(record, func(err error) {
		if err != nil && failed != nil {
			c.d.post(c.ctx, failed)
		}
	})
}

// logStarts writes the start records of placements. The starts are sent when
// the records have been read back.
func (c *control) logStarts(placements []scheduler.Placement) {
	for _, p := range placements {
		c.pendingStarts[p.Attempt] = &startState{placement: p}
		c.logTaskStart(p.Attempt)
	}
}

func (c *control) logTaskStart(a structs.Attempt) {
	record := records.Record{TaskStart: &records.TaskStart{Attempt: a, Term: c.term}}
	c.appendLocalJobRecord(record, taskStartNotLogged{attempt: a, epoch: c.schedulerEpoch})
}

// taskStartNotLogged is the event of a start record that is not known to be on
// the log.
type taskStartNotLogged struct {
	attempt structs.Attempt
	epoch   int
}

// apply writes the record again. During an outage of the log, the owner starts
// idempotent tasks before that, since its leases keep others from doing so.
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

// mayStartWithoutRecord reports whether a task may start before its record is on the
// log: not if a lost record could let it run a second time.
func (c *control) mayStartWithoutRecord(a structs.Attempt) bool {
	// A worker that is new on the list may be missing on the list of a successor,
	// which would then not ask it what runs there.
	w := c.workers[a.Worker]
	known := w != nil && c.now()-w.firstListedAt >= ownership.DefaultRosterRetention
	return known && !c.isNonIdempotent(a) && !c.logReachable(records.StreamOwners) && !c.isLimited
}

// sendStart sends the start of one attempt.
func (c *control) sendStart(a structs.Attempt) {
	c.sendStarts(a.Worker, []structs.Attempt{a})
}

// handleStartRecord handles a start record that was read back: the attempt is live.
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

// handleRefusedRecord handles a record of this owner that had no effect.
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

// sendReadyStarts sends the starts whose records were read.
func (c *control) sendReadyStarts() {
	for worker, batch := range c.readyStarts {
		delete(c.readyStarts, worker)
		c.sendStarts(worker, batch)
	}
}

// sendStarts sends a batch of starts to a worker.
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
	// The worker's lease bounds how late the starts may arrive.
	ctx, cancel := context.WithTimeout(c.ctx, w.leaseExpiresAt-minRemainingLease-c.now())
	epoch := c.schedulerEpoch
	go func() {
		defer cancel()
		answer, err := c.d.workers.Start(ctx, w.vm.Addr, in)
		c.d.post(c.ctx, startsAnswered{worker: worker, epoch: epoch, tasks: in.Tasks, answer: answer, err: err})
	}()
}

// endUnsentStarts ends attempts that were never sent. Others stay live until the
// worker tells what became of them or its lease lapses.
func (c *control) endUnsentStarts(batch []structs.Attempt) {
	for _, a := range batch {
		if s := c.pendingStarts[a]; s != nil && !s.hasBeenSent {
			c.endAttempt(a, records.TaskNotStarted)
		}
	}
}

// groupOf returns the task group of the task with the given index.
func groupOf(job *structs.Job, index int) structs.TaskGroup {
	for _, g := range job.Groups {
		if index < g.Count {
			return g
		}
		index -= g.Count
	}
	return structs.TaskGroup{}
}

// startsAnswered is the event of a worker's answer to a batch of starts.
type startsAnswered struct {
	worker string
	epoch  int
	tasks  []workerclient.Start
	answer workerclient.StartAnswer
	err    error
}

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
		c.logger.Warn("start of tasks failed", "worker", ev.worker, "tasks", len(ev.tasks), "error", ev.err)
		return
	}
	if ev.answer.Refusal != "" {
		c.logger.Warn("the worker refused starts", "worker", ev.worker, "reason", ev.answer.Refusal)
		return
	}
	for _, t := range ev.answer.Tasks {
		c.handleStartResult(t)
	}
}

func (c *control) handleStartResult(t workerclient.Started) {
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

func (c *control) confirmTaskStarted(a structs.Attempt) {
	if job, ok := c.jobs.Job(a.Task.Job); ok {
		c.d.metrics.recordTaskStarted(&job)
	}
	c.applySchedulerEvent(scheduler.TaskStarted{Attempt: a})
}

// endAttempt writes the endAttempt of an attempt. It has effect when the record is read back.
func (c *control) endAttempt(a structs.Attempt, result records.TaskResult) {
	if _, known := c.pendingEnds[a]; known || c.scheduler == nil {
		return
	}
	if live, ok := c.jobs.LiveAttempt(a.Task); ok && live == a {
		c.logTaskEnd(a, result)
		return
	}
	// An end before the start record would be refused, so it waits for it.
	if s := c.pendingStarts[a]; s != nil && !s.isLogged {
		c.pendingEnds[a] = result
	}
}

func (c *control) logTaskEnd(a structs.Attempt, result records.TaskResult) {
	c.pendingEnds[a] = result
	record := records.Record{TaskEnd: &records.TaskEnd{Attempt: a, Result: result, Term: c.term}}
	c.appendLocalJobRecord(record, taskEndNotLogged{attempt: a, epoch: c.schedulerEpoch})
}

// taskEndNotLogged is the event of an end record that is not known to be on
// the log.
type taskEndNotLogged struct {
	attempt structs.Attempt
	epoch   int
}

func (ev taskEndNotLogged) apply(c *control) {
	result, waiting := c.pendingEnds[ev.attempt]
	if c.scheduler == nil || c.schedulerEpoch != ev.epoch || !waiting {
		return
	}
	c.logTaskEnd(ev.attempt, result)
}

// handleEndRecord handles an end record that was read back.
func (c *control) handleEndRecord(a structs.Attempt, result records.TaskResult) {
	c.forgetAttempt(a)
	if result == records.TaskSucceeded {
		delete(c.checkpoints, a.Task)
	}
	c.applySchedulerEvent(scheduler.TaskEnded{Attempt: a, Result: result})
}

func (c *control) forgetAttempt(a structs.Attempt) {
	delete(c.pendingStarts, a)
	delete(c.pendingStops, a)
	delete(c.pendingEnds, a)
}

// stopAttempt asks a worker to stopAttempt an attempt, after a checkpoint if wanted.
func (c *control) stopAttempt(a structs.Attempt, checkpoint bool) {
	if c.pendingStops[a] != nil {
		return
	}
	c.pendingStops[a] = &stopState{needsCheckpoint: checkpoint, sentAt: -resendInterval}
}

// isNonIdempotent reports whether an attempt that may have run must not be
// repeated.
func (c *control) isNonIdempotent(a structs.Attempt) bool {
	job, ok := c.jobs.Job(a.Task.Job)
	return !ok || job.NonIdempotent
}

// resendDue sends the stops that are due, and starts without an answer again.
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
		c.d.post(c.ctx, stopsAnswered{worker: worker, batch: batch, saved: saved, answer: answer, err: err})
	}()
}

// saveCheckpoints asks for checkpoints. A task without one starts from its
// beginning.
func (d *Daemon) saveCheckpoints(ctx context.Context, addr string, authority workerclient.Authority, attempts []structs.Attempt) []workerclient.Checkpoint {
	if len(attempts) == 0 {
		return nil
	}
	in := workerclient.StopRequest{Authority: authority, Attempts: attempts}
	answer, err := d.workers.Checkpoint(ctx, addr, in)
	if err != nil {
		d.logger.Warn("checkpoint failed", "error", err)
		return nil
	}
	return answer.Checkpoints
}

// stopsAnswered is the event of a worker's answer to stops.
type stopsAnswered struct {
	worker string
	batch  []structs.Attempt
	saved  []workerclient.Checkpoint
	answer workerclient.StopAnswer
	err    error
}

func (ev stopsAnswered) apply(c *control) {
	for _, a := range ev.batch {
		if s := c.pendingStops[a]; s != nil {
			s.inFlight = false
		}
	}
	if ev.err != nil || c.scheduler == nil {
		c.logger.Debug("stop of tasks failed", "worker", ev.worker, "error", ev.err)
		return
	}
	for _, cp := range ev.saved {
		c.checkpoints[cp.Attempt.Task] = cp.Data
	}
	for _, a := range ev.answer.Stopped {
		if s := c.pendingStops[a]; s != nil {
			s.confirmedAt = c.now()
		}
	}
}

// endStoppedAttempts ends the attempts that a worker said not to run, once a report
// that was asked for later does not tell another end. An attempt may have
// succeeded just before it was stopped.
func (c *control) endStoppedAttempts(worker string, asked time.Duration) {
	for a, s := range c.pendingStops {
		if a.Worker != worker || s.confirmedAt == 0 || s.confirmedAt > asked {
			continue
		}
		c.endAttempt(a, records.TaskStopped)
		if c.pendingEnds[a] == "" { // not live on the log
			c.endUnrecorded(a)
		}
	}
}

// sendThrottle limits an attempt. A lost request is not repeated; the scheduler
// asks again when the next report shows that it had no effect.
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
			c.logger.Debug("throttle failed", "worker", a.Attempt.Worker, "error", err)
		}
	}()
}

const (
	// maxRecordsSinceSnapshot is the number of records after which the owner writes a
	// snapshot, so that a new VM reads few.
	maxRecordsSinceSnapshot = 20_000
)

// writeJobsSnapshot writes the state of the jobs stream when it is due.
func (c *control) writeJobsSnapshot() {
	retention := c.d.settings.retention()
	due := c.recordsSinceSnapshot >= maxRecordsSinceSnapshot ||
		c.now()-c.lastSnapshotAt > retention/3 && c.recordsSinceSnapshot > 0
	if !due || !c.ownershipMachine.Authority(c.now()).MayStartTasks || !c.logReachable(records.StreamOwners) {
		return
	}
	c.recordsSinceSnapshot = 0
	c.lastSnapshotAt = c.now()
	parts, err := c.jobs.Encode(c.d.instance+"-"+c.now().String(), c.term)
	if err != nil {
		c.logger.Error("encode the snapshot of the jobs", "error", err)
		return
	}
	for i := range parts {
		c.appendLocalJobRecord(records.Record{JobSnapshot: &parts[i]}, nil)
	}
	c.logger.Debug("wrote a snapshot of the jobs", "parts", len(parts))
}
