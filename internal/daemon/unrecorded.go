package daemon

import (
	"gypsumwinch/internal/ownership"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/scheduler"
	"gypsumwinch/internal/structs"
)

// stopUnrecorded stops an attempt that was sent before its start record was
// refused. Its end cannot be recorded on the log either, so the scheduler gets
// it directly. handleRefusedRecord calls it.
func (c *control) stopUnrecorded(a structs.Attempt) {
	_, ended := c.pendingEnds[a]
	delete(c.pendingStarts, a)
	delete(c.pendingEnds, a)
	if ended {
		c.endUnrecorded(a)
		return
	}
	c.stopAttempt(a, false)
}

// endUnrecorded reports to the scheduler that an attempt without a live record
// on the log does not run. The control loop calls it when such an attempt has
// ended or was stopped, or its worker's lease has expired.
func (c *control) endUnrecorded(a structs.Attempt) {
	c.forgetAttempt(a)
	c.applySchedulerEvent(scheduler.TaskEnded{Attempt: a, Result: records.TaskStopped})
}

// endUnlogged ends the attempts on a worker with an expired lease that are not
// live on the log. If a start record is still in flight, the attempt ends when
// the record is read; other attempts end at once. checkWorkerLeases calls it.
func (c *control) endUnlogged(worker string) {
	for a, s := range c.pendingStarts {
		if a.Worker == worker && !s.isLogged {
			c.endAttempt(a, records.TaskLost)
		}
	}
	for a := range c.pendingStops {
		if a.Worker == worker && c.pendingStarts[a] == nil && c.pendingEnds[a] == "" {
			c.endUnrecorded(a)
		}
	}
}

// handleForeignStart handles a start record that this scheduler did not append.
// It is from a former owner whose append took effect late. If this owner's own
// start record of the task is in flight, that one is refused next, and
// handleRefusedRecord deals with the foreign attempt. The control loop calls it
// when such a record is read, and for the live attempt of a task whose start
// record was refused.
func (c *control) handleForeignStart(a structs.Attempt) {
	if c.scheduler == nil || c.pendingStops[a] != nil {
		return
	}
	for own, s := range c.pendingStarts {
		if own.Task == a.Task && !s.isLogged {
			return
		}
	}
	c.stopUnknownAttempt(a)
}

// stopUnknownAttempt reports to the scheduler an attempt on the log that it
// does not know, and stops the attempt. The worker's inventory did not contain
// it. If the worker is not up, its next inventory or the expiry of its lease
// ends the attempt. handleForeignStart calls it.
func (c *control) stopUnknownAttempt(a structs.Attempt) {
	c.applySchedulerEvent(scheduler.WorkerInventory{Worker: a.Worker, Running: []structs.Attempt{a}})
	switch w := c.workers[a.Worker]; {
	case w == nil:
		c.scheduleUnknownWorkerExpiry()
	case w.isUp:
		c.stopAttempt(a, false)
	}
}

// syncRefusedTask reports to the scheduler the attempts of a task that it does
// not know. They are the reason why the log refused its own start record.
// handleRefusedRecord calls it.
func (c *control) syncRefusedTask(refused structs.Attempt) {
	if live, ok := c.jobs.LiveAttempt(refused.Task); ok {
		c.handleForeignStart(live)
		return
	}
	status, ok := c.jobs.Status(refused.Task.Job)
	if !ok || refused.Task.Index >= len(status.Tasks) {
		return
	}
	last := structs.Attempt{Task: refused.Task, Number: status.Tasks[refused.Task.Index].Attempt, Worker: refused.Worker}
	if last.Number >= refused.Number {
		c.applySchedulerEvent(scheduler.WorkerInventory{Worker: last.Worker, Running: []structs.Attempt{last}})
		c.applySchedulerEvent(scheduler.TaskEnded{Attempt: last, Result: records.TaskNotStarted})
	}
}

// scheduleUnknownWorkerExpiry sets the time from which attempts on workers that
// this VM does not know have ended. The leases that the former owner renewed
// last expire before it. The control loop calls it when the scheduler starts,
// when the term or isLimited changes while this VM is the owner, and when an
// attempt on an unknown worker is found on the log.
func (c *control) scheduleUnknownWorkerExpiry() {
	c.unknownWorkersExpireAt = c.now() + ownership.DefaultTaskLeaseTTL + leaseExpiryMargin
}

// endOnUnknownWorkers ends the attempts on workers that left the VM list before
// this VM could lease them. A limited owner cannot know that they have ended.
// tickJobs calls it at each slow tick.
func (c *control) endOnUnknownWorkers() {
	if c.unknownWorkersExpireAt == 0 || c.now() < c.unknownWorkersExpireAt || c.isLimited || c.vmsReadAt.IsZero() {
		return
	}
	c.unknownWorkersExpireAt = 0
	for worker, attempts := range c.jobs.Running() {
		if c.workers[worker] != nil {
			continue
		}
		for _, a := range attempts {
			c.endAttempt(a, records.TaskLost)
		}
	}
}
