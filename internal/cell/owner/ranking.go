package owner

import (
	"cmp"
	"time"

	"gypsumwinch/internal/cell"
)

// rankedStep is a waiting step with its sort keys.
type rankedStep struct {
	step  *step
	queue *cell.Queue
	// lateness is 0 while the job can finish within its objective, 1 while it
	// can finish within maxLateFactor times the objective, else 2.
	lateness int
	deadline time.Duration
}

// maxLateFactor times the objective is the time after which a late job no longer
// counts.
const maxLateFactor = 3

// rankStep computes the sort keys of a waiting step. The objective of an occurrence counts from its due time. Long-running steps
// are never late.
func (m *Machine) rankStep(s *step) rankedStep {
	q := m.currentQueue(s.job)
	objective := m.currentObjective(s.job, q)
	r := rankedStep{step: s, queue: q, deadline: s.occurrence.dueAt + objective}
	remaining := m.currentRemainingTime(s.occurrence)
	finishTime := m.now.Mono - s.occurrence.dueAt + time.Duration(requiredWorkFraction*float64(remaining))
	switch {
	case s.def.LongRunning:
	case finishTime > maxLateFactor*objective:
		r.lateness = 2
	case finishTime > objective:
		r.lateness = 1
	}
	s.speedPreference = m.preferredSpeed(r, remaining)
	return r
}

// requiredWorkFraction is the fraction of the expected remaining run time for
// which a job must have time left to count as one that can finish in time. Half
// of all tasks take less than 0.85 of the mean.
const requiredWorkFraction = 0.8

// compare orders steps by urgency and then by deadline.
func (r rankedStep) compare(o rankedStep) int {
	return cmp.Or(
		r.compareUrgency(o),
		cmp.Compare(r.deadline, o.deadline),
		cmp.Compare(r.step.id.Job, o.step.id.Job),
		cmp.Compare(r.step.id.Occurrence, o.step.id.Occurrence),
		cmp.Compare(r.step.id.Step, o.step.id.Step),
	)
}

// compareUrgency orders steps by lateness, then by priority. Steps of excess jobs follow all
// others: also the late ones, which earn a part of their worth, and those without any, which
// have to run too. placementOrder shares capacity between the customers of equally urgent steps.
func (r rankedStep) compareUrgency(o rankedStep) int {
	if r.step.job.isExcess != o.step.job.isExcess {
		if r.step.job.isExcess {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(r.lateness, o.lateness), cmp.Compare(r.queue.Priority, o.queue.Priority))
}
