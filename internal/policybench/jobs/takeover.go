package jobs

import (
	"maps"
	"slices"
	"time"

	"gypsumwinch/internal/jobstate"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/scheduler"
	"gypsumwinch/internal/structs"
)

// epoch is the wall clock time at the start of a simulation.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Stream returns the state that results from the records that the owner has
// written. The cell keeps changing it.
func (c *Cell) Stream() *jobstate.State { return c.stream }

func (c *Cell) applyRecord(r records.Record) jobstate.Effect {
	return c.stream.Apply(c.stream.Next(), epoch.Add(c.now), r)
}

// recordStart applies the record of a started attempt and adds a violation if
// the job state refuses it.
func (c *Cell) recordStart(a structs.Attempt) {
	effect := c.applyRecord(records.Record{TaskStart: &records.TaskStart{Attempt: a, Term: 1}})
	if effect.Kind != jobstate.TaskStarted {
		c.addViolation("the job state refuses the start of %v: %s", a, effect.Reason)
	}
}

// recordEnd applies the record of a finished attempt and adds a violation if the
// job state refuses it.
func (c *Cell) recordEnd(ev scheduler.TaskEnded) {
	effect := c.applyRecord(records.Record{TaskEnd: &records.TaskEnd{Attempt: ev.Attempt, Result: ev.Result, Term: 1}})
	if effect.Kind != jobstate.TaskEnded {
		c.addViolation("the job state refuses the end of %v: %s", ev.Attempt, effect.Reason)
	}
}

// TakeOver replaces the scheduler by one that recovers from the job state and
// from the attempts that workers that are up report. Tasks of workers that are
// down stay live. The withheld tasks must not start until they are released.
func (c *Cell) TakeOver(withheld map[structs.TaskID]bool) {
	inv := scheduler.Inventory{Config: c.config, Withheld: withheld, Running: map[string][]structs.Attempt{},
		Allocated: map[structs.Attempt]structs.Resources{}}
	inv.Jobs, inv.Cancelled = scheduler.Jobs(c.stream, epoch.Add(c.now))
	for _, id := range slices.Sorted(maps.Keys(c.workers)) {
		w := c.workers[id]
		if w.isUp {
			inv.Workers = append(inv.Workers, w.spec)
			inv.Running[id] = nil
		}
	}
	for _, p := range c.sortedPlacements() {
		inv.Allocated[p.Attempt] = p.Allocated
		if id := p.Attempt.Worker; c.workers[id].isUp {
			inv.Running[id] = append(inv.Running[id], p.Attempt)
		}
	}
	var recovery scheduler.Recovery
	c.Sched, recovery = scheduler.Recover(c.now, inv)
	if len(recovery.Lost) > 0 || len(recovery.Unrecorded) > 0 {
		c.addViolation("after a takeover %v are lost and %v are unrecorded", recovery.Lost, recovery.Unrecorded)
	}
	c.perform(recovery.Actions)
	c.Apply(scheduler.Tick{})
}

// reportInventory reports to the scheduler what a worker that comes back still
// runs.
func (c *Cell) reportInventory(worker string) {
	ev := scheduler.WorkerInventory{Worker: worker, Allocated: map[structs.Attempt]structs.Resources{}}
	for _, p := range c.sortedPlacements() {
		if p.Attempt.Worker == worker {
			ev.Running = append(ev.Running, p.Attempt)
			ev.Allocated[p.Attempt] = p.Allocated
		}
	}
	if len(ev.Running) > 0 {
		c.Apply(ev)
	}
}
