package owner

import (
	"cmp"
	"slices"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/room"
	"gypsumwinch/internal/cell/shares"
	"gypsumwinch/internal/structs"
)

// A gang that waits for the answer of a slow advice service finds a part of the capacity taken
// when it arrives: smaller steps use each part as it becomes free. While its tickets are valid,
// it therefore holds capacity on their workers, if all its members are expected to fit there
// before the tickets expire. Otherwise it would query again, and the advice proxies are what a
// full cell lacks first. docs/design/room-for-gangs.md says what else was tried.

const (
	// holdMinUsage is the used fraction of a service from which gangs hold its capacity. A job
	// that could run may have nothing running for 3 s while under half of its service is in
	// use, so that nothing may be held from it then.
	holdMinUsage = 0.5
	// maxHeldFraction bounds the capacity of a service that all gangs hold together, since it
	// is idle until they start. A single gang may be larger.
	maxHeldFraction = 0.2
	// maxHoldAttempts is the number of gangs per scheduling cycle for which places are sought,
	// the most urgent ones, so that the cost of a cycle does not grow with their number.
	maxHoldAttempts = 64
	// minRemainingFraction of a run's expected time remains of a run that has exceeded it.
	minRemainingFraction = 0.25
	// heldPenalty is the penalty of a worker for a task that would use capacity that a gang
	// holds. It is below lastChoicePenalty.
	heldPenalty = 2.0
)

// holdState is the capacity that gangs hold in the current scheduling cycle.
type holdState struct {
	// services are the listed workers by service. They are added up when the first gang of
	// the cycle may hold capacity; before that the map is empty.
	services map[string]*serviceHold
	// held is the CPU held in this cycle, in thousandths of a core; gangs is the number of
	// gangs that hold it.
	held  int64
	gangs int
	// attempts is the number of gangs of this cycle for which places were sought.
	attempts int
	// workers and places are reused by holdRoom.
	workers []*worker
	places  []room.Worker
}

// serviceHold is the use of a service's workers, and what gangs hold of them.
type serviceHold struct {
	capacity, used, held structs.Resources
}

// isScarce reports whether gangs may hold capacity of the service.
func (h *serviceHold) isScarce() bool {
	return isAboveFraction(h.used.MilliCPU, h.capacity.MilliCPU) || isAboveFraction(h.used.MemoryMB, h.capacity.MemoryMB)
}

func isAboveFraction(used, capacity int64) bool {
	return capacity > 0 && float64(used) > holdMinUsage*float64(capacity)
}

// resetHoldState resets the state at the start of a scheduling cycle. beginPlacing calls it.
func (m *Machine) resetHoldState() {
	clear(m.hold.services)
	m.hold.held, m.hold.gangs, m.hold.attempts = 0, 0, 0
}

// serviceHoldOf returns the state of a service, or nil if it has no workers.
func (m *Machine) serviceHoldOf(service string) *serviceHold {
	h := &m.hold
	if h.services == nil {
		h.services = map[string]*serviceHold{}
	}
	if len(h.services) == 0 {
		for _, w := range m.sortedWorkers {
			if !w.isListed {
				continue
			}
			s := h.services[w.info.Service]
			if s == nil {
				s = &serviceHold{}
				h.services[w.info.Service] = s
			}
			s.capacity, s.used = s.capacity.Add(w.info.Capacity), s.used.Add(w.used)
		}
	}
	return h.services[service]
}

// mayHoldRoom reports whether a gang holds capacity while it waits. Where advice is answered
// quickly, or not needed, the gang starts in the first cycle in which it fits. While its queries
// are in flight, it waits for the answers. Jobs beyond the rate of their customer leave the
// capacity to others.
func (m *Machine) mayHoldRoom(s *step, q *cell.Queue) bool {
	if len(s.advice.tickets) == 0 || s.advice.queriesInFlight > 0 || s.job.isExcess ||
		q.Advice == nil || q.Advice.AnswerTime(queryWorkers) < m.adviceCapacity.LongQueryTime {
		return false
	}
	h := m.serviceHoldOf(q.Service)
	return h != nil && h.isScarce()
}

// availableCapacity returns the capacity of a worker that neither runs use nor gangs earlier in
// the scheduling cycle hold. What gangs hold is available to a long-running step, which may
// not wait for 3 s while there is free capacity, however full its service is.
func (m *Machine) availableCapacity(w *worker, s *step) structs.Resources {
	if s.def.LongRunning {
		return w.freeCapacity()
	}
	return w.freeCapacity().Sub(m.heldOn(w))
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
	total := charge.Times(int64(need))
	service := m.serviceHoldOf(q.Service)
	held := service.held.Add(total)
	if !service.held.IsZero() && shares.UsedFraction(held, service.capacity) > maxHeldFraction || m.hold.attempts >= maxHoldAttempts {
		return
	}
	m.hold.attempts++
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
	service.held = held
	m.hold.held += total.MilliCPU
	m.hold.gangs++
	for i, n := range members {
		w := workers[i]
		if n == 0 {
			continue
		}
		if w.heldInCycle != m.cycle {
			w.heldInCycle, w.held = m.cycle, structs.Resources{}
		}
		w.held = w.held.Add(charge.Times(int64(n)))
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
	free := m.availableCapacity(w, s)
	var out []time.Duration
	for n := m.taskCapacityWithin(free, w, s); len(out) < min(n, need); {
		out = append(out, m.now.Mono)
	}
	if len(out) == need {
		return out
	}
	for _, e := range m.runEndsOn(w) {
		if len(out) == need || e.at > latest {
			break
		}
		free = free.Add(e.allocated)
		for n := m.taskCapacityWithin(free, w, s); len(out) < min(n, need); {
			out = append(out, e.at)
		}
	}
	return out
}

// runEndsOn returns the expected ends of the runs on a worker, in ascending order. They are
// computed once in each scheduling cycle, since many gangs may have tickets for one worker.
func (m *Machine) runEndsOn(w *worker) []runEnd {
	if w.endsInCycle == m.cycle {
		return w.ends
	}
	w.endsInCycle, w.ends = m.cycle, w.ends[:0]
	for _, r := range w.runList {
		if at := m.expectedEnd(r); at < neverEnds {
			w.ends = append(w.ends, runEnd{at, r.allocated})
		}
	}
	slices.SortFunc(w.ends, func(a, b runEnd) int { return cmp.Compare(a.at, b.at) })
	return w.ends
}

// neverEnds is the expected end of a long-running task, and of one of unknown run time.
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
	if expected <= 0 {
		return neverEnds
	}
	startedAt := r.startedAt
	if startedAt == 0 {
		startedAt = m.now.Mono
	}
	return max(startedAt+expected, m.now.Mono+time.Duration(minRemainingFraction*float64(expected)))
}
