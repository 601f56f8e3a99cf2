package daemon

import (
	"gypsumwinch/internal/ownership"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/scheduler"
	"gypsumwinch/internal/structs"
)

// stopUnrecorded stops an attempt that was sent before its record was refused.
// No record tells its end, so the scheduler is told without one.
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

// endUnrecorded tells the scheduler that an attempt does not run that is not
// live on the log.
func (c *control) endUnrecorded(a structs.Attempt) {
	c.forgetAttempt(a)
	c.applySchedulerEvent(scheduler.TaskEnded{Attempt: a, Result: records.TaskStopped})
}

// endUnlogged ends the attempts on a lapsed worker that are not live on the
// log: those whose start record is still to come when it arrives, others at
// once.
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

// handleForeignStart handles a start record that this scheduler did not write: that
// of a former owner, whose append took effect late. A start of the task that is
// on its way is refused next and leads to catchUp as well.
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

// stopUnknownAttempt tells the scheduler of an attempt on the log that it does not know,
// and stops the attempt. The worker's inventory did not show it; if the worker
// is not up, its next inventory or its lapse ends the attempt.
func (c *control) stopUnknownAttempt(a structs.Attempt) {
	c.applySchedulerEvent(scheduler.WorkerInventory{Worker: a.Worker, Running: []structs.Attempt{a}})
	switch w := c.workers[a.Worker]; {
	case w == nil:
		c.scheduleUnknownWorkerExpiry()
	case w.isUp:
		c.stopAttempt(a, false)
	}
}

// syncRefusedTask brings the scheduler up to date with a task whose start record
// was refused, because the log holds attempts that the scheduler does not know.
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

// scheduleUnknownWorkerExpiry sets the time from which attempts on workers that this VM does
// not know have ended: the former owner's last renewal lapses before.
func (c *control) scheduleUnknownWorkerExpiry() {
	c.unknownWorkersExpireAt = c.now() + ownership.DefaultTaskLeaseTTL + leaseExpiryMargin
}

// endOnUnknownWorkers ends the attempts on workers that left the list before this VM
// could lease them. A limited owner can't know that they have ended.
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
