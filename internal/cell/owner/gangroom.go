package owner

import (
	"cmp"
	"slices"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/room"
	"gypsumwinch/internal/structs"
)

// A gang that waits for the answer of a slow advice service finds a part of the capacity taken
// when it arrives: smaller steps use each part as it becomes free. While its tickets are valid,
// it therefore holds capacity on their workers, if all its members are expected to fit there
// before the tickets expire. Otherwise it would query again, and the advice proxies are what a
// full cell lacks first. docs/design/room-for-gangs.md says what else was tried.

const (
	// holdMinUsage is the used fraction of the cell from which gangs hold capacity. A job that
	// could run may have nothing running for 3 s while under half of its service is in use, so
	// that nothing may be held from it then.
	holdMinUsage = 0.5
	// maxHeldFraction bounds the capacity that all gangs hold together, since it is idle until
	// they start.
	maxHeldFraction = 0.2
	// minRemainingFraction of a run's expected time remains of a run that has exceeded it.
	minRemainingFraction = 0.25
	// heldPenalty is the penalty of a worker for a task that would use capacity that a gang
	// holds. It is below lastChoicePenalty.
	heldPenalty = 2.0
)

// holdState is the capacity that gangs hold in the current scheduling cycle.
type holdState struct {
	isScarce bool
	// held and limit are the CPU held in this cycle and its bound, in thousandths of a core;
	// gangs is the number of gangs that hold it.
	held, limit int64
	gangs       int
	// workers and places are reused by holdRoom.
	workers []*worker
	places  []room.Worker
}

// updateHoldState resets the state at the start of a scheduling cycle. runCycle calls it after
// findUsableWorkers.
func (m *Machine) updateHoldState() {
	var capacity, used structs.Resources
	for _, w := range m.usableWorkers {
		capacity = capacity.Add(w.info.Capacity)
		used = used.Add(w.used)
	}
	m.hold.isScarce = isAboveFraction(used.MilliCPU, capacity.MilliCPU) || isAboveFraction(used.MemoryMB, capacity.MemoryMB)
	m.hold.held, m.hold.limit, m.hold.gangs = 0, int64(maxHeldFraction*float64(capacity.MilliCPU)), 0
}

func isAboveFraction(used, capacity int64) bool {
	return capacity > 0 && float64(used) > holdMinUsage*float64(capacity)
}

// mayHoldRoom reports whether a gang holds capacity while it waits. Where advice is answered
// quickly, or not needed, the gang starts in the first cycle in which it fits. While its queries
// are in flight, it waits for the answers. Jobs beyond the rate of their customer leave the
// capacity to others.
func (m *Machine) mayHoldRoom(s *step, q *cell.Queue) bool {
	return m.hold.isScarce && s.advice.queriesInFlight == 0 && !s.job.isExcess &&
		q.Advice != nil && q.Advice.AnswerTime(queryWorkers) >= m.adviceCapacity.LongQueryTime
}

// heldOn returns the capacity of a worker that gangs earlier in the scheduling cycle hold.
func (m *Machine) heldOn(w *worker) structs.Resources {
	if w.heldInCycle != m.cycle {
		return structs.Resources{}
	}
	return w.held
}

// usesHeld reports whether a task on a worker would use capacity that a gang held in this or the
// last scheduling cycle: urgent steps are placed before the gangs of a cycle hold theirs.
func (m *Machine) usesHeld(w *worker, need structs.Resources) bool {
	if w.heldInCycle == 0 || w.heldInCycle < m.cycle-1 {
		return false
	}
	return countFitting(need, w.freeCapacity().Sub(w.held)) == 0
}

// holdRoom holds capacity for the members of a waiting gang for the rest of the scheduling cycle,
// on the workers for which it has tickets, if all members are expected to fit there before the
// tickets expire and the gangs together stay below their bound. placeGang calls it in each cycle
// in which the gang does not fit yet.
func (m *Machine) holdRoom(s *step, q *cell.Queue, need int) {
	charge := s.def.Charge()
	total := int64(need) * charge.MilliCPU
	if m.hold.held > 0 && m.hold.held+total > m.hold.limit {
		return
	}
	workers, places := m.hold.workers[:0], m.hold.places[:0]
	for i := range s.advice.tickets {
		t := &s.advice.tickets[i]
		if t.isValid(m.now.Mono) && m.isSuitable(t.worker, s, q) {
			workers = append(workers, t.worker)
			places = append(places, room.Worker{FitsAt: m.fitsAt(t.worker, s, need, t.expiresAt-ticketMargin)})
		}
	}
	m.hold.workers, m.hold.places = workers, places
	members := room.Hold(places, need)
	if members == nil {
		return
	}
	m.hold.held += total
	m.hold.gangs++
	for i, n := range members {
		w := workers[i]
		if n == 0 {
			continue
		}
		if w.heldInCycle != m.cycle {
			w.heldInCycle, w.held = m.cycle, structs.Resources{}
		}
		w.held = w.held.Add(scaleResources(charge, float64(n)))
	}
}

// runEnd is the expected end of a run.
type runEnd struct {
	at        time.Duration
	allocated structs.Resources
}

// fitsAt returns the times, up to a latest one, from which one, two and more tasks of a step are
// expected to fit on a worker beside what gangs earlier in the cycle hold.
func (m *Machine) fitsAt(w *worker, s *step, need int, latest time.Duration) []time.Duration {
	free := w.freeCapacity().Sub(m.heldOn(w))
	var out []time.Duration
	for n := m.taskCapacityWithin(free, w, s); len(out) < min(n, need); {
		out = append(out, m.now.Mono)
	}
	ends := make([]runEnd, 0, len(w.runList))
	for _, r := range w.runList {
		if at := m.expectedEnd(r); at <= latest {
			ends = append(ends, runEnd{at, r.allocated})
		}
	}
	slices.SortFunc(ends, func(a, b runEnd) int { return cmp.Compare(a.at, b.at) })
	for _, e := range ends {
		free = free.Add(e.allocated)
		for n := m.taskCapacityWithin(free, w, s); len(out) < min(n, need); {
			out = append(out, e.at)
		}
	}
	return out
}

// neverEnds is the expected end of a long-running task.
const neverEnds = time.Duration(1<<63 - 1)

// expectedEnd returns when a run is expected to free its capacity.
func (m *Machine) expectedEnd(r *run) time.Duration {
	switch {
	case r.step == nil || r.phase == phaseStopping || r.phase == phaseEnding:
		return m.now.Mono
	case r.step.def.LongRunning:
		return neverEnds
	}
	expected := m.expectedRunTime(r.job, r.id.Step)
	startedAt := r.startedAt
	if startedAt == 0 {
		startedAt = m.now.Mono
	}
	return max(startedAt+expected, m.now.Mono+time.Duration(minRemainingFraction*float64(expected)))
}
