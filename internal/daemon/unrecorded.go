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
	_, ended := c.ends[a]
	delete(c.starts, a)
	delete(c.ends, a)
	if ended {
		c.endUnrecorded(a)
		return
	}
	c.stop(a, false)
}

// endUnrecorded tells the scheduler that an attempt does not run that is not
// live on the log.
func (c *control) endUnrecorded(a structs.Attempt) {
	c.forgetAttempt(a)
	c.schedule(scheduler.TaskEnded{Attempt: a, Result: records.TaskStopped})
}

// dropUnlogged ends the attempts on a lapsed worker that are not live on the
// log: those whose start record is still to come when it arrives, others at
// once.
func (c *control) dropUnlogged(worker string) {
	for a, s := range c.starts {
		if a.Worker == worker && !s.logged {
			c.end(a, records.TaskLost)
		}
	}
	for a := range c.stops {
		if a.Worker == worker && c.starts[a] == nil && c.ends[a] == "" {
			c.endUnrecorded(a)
		}
	}
}

// foreignStart handles a start record that this scheduler did not write: that
// of a former owner, whose append took effect late. A start of the task that is
// on its way is refused next and leads to catchUp as well.
func (c *control) foreignStart(a structs.Attempt) {
	if c.sched == nil || c.stops[a] != nil {
		return
	}
	for own, s := range c.starts {
		if own.Task == a.Task && !s.logged {
			return
		}
	}
	c.catchUp(a)
}

// catchUp tells the scheduler of an attempt on the log that it does not know,
// and stops the attempt. The worker's inventory did not show it; if the worker
// is not up, its next inventory or its lapse ends the attempt.
func (c *control) catchUp(a structs.Attempt) {
	c.schedule(scheduler.WorkerInventory{Worker: a.Worker, Running: []structs.Attempt{a}})
	switch w := c.workers[a.Worker]; {
	case w == nil:
		c.expectUnlisted()
	case w.up:
		c.stop(a, false)
	}
}

// catchUpTask brings the scheduler up to date with a task whose start record
// was refused, because the log holds attempts that the scheduler does not know.
func (c *control) catchUpTask(refused structs.Attempt) {
	if live, ok := c.jobs.LiveAttempt(refused.Task); ok {
		c.foreignStart(live)
		return
	}
	status, ok := c.jobs.Status(refused.Task.Job)
	if !ok || refused.Task.Index >= len(status.Tasks) {
		return
	}
	last := structs.Attempt{Task: refused.Task, Number: status.Tasks[refused.Task.Index].Attempt, Worker: refused.Worker}
	if last.Number >= refused.Number {
		c.schedule(scheduler.WorkerInventory{Worker: last.Worker, Running: []structs.Attempt{last}})
		c.schedule(scheduler.TaskEnded{Attempt: last, Result: records.TaskNotStarted})
	}
}

// expectUnlisted sets the time from which attempts on workers that this VM does
// not know have ended: the former owner's last renewal lapses before.
func (c *control) expectUnlisted() {
	c.unlistedAt = c.now() + ownership.DefaultTaskLeaseTTL + lapseMargin
}

// endUnlisted ends the attempts on workers that left the list before this VM
// could lease them. A limited owner can't know that they have ended.
func (c *control) endUnlisted() {
	if c.unlistedAt == 0 || c.now() < c.unlistedAt || c.limited || c.vmsRead.IsZero() {
		return
	}
	c.unlistedAt = 0
	for worker, attempts := range c.jobs.Running() {
		if c.workers[worker] != nil {
			continue
		}
		for _, a := range attempts {
			c.end(a, records.TaskLost)
		}
	}
}
