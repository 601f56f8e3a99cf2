package owner

import (
	"math"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/expect"
)

// speedPreference is which workers a step prefers, where the speeds of workers are known to
// differ.
type speedPreference int

const (
	// anySpeed makes the step choose by best fit only.
	anySpeed speedPreference = iota
	prefersFast
	prefersSlow
)

const (
	// speedRefreshInterval is how often the learned speeds are applied to the workers.
	speedRefreshInterval = 500 * time.Millisecond
	// mixedFraction is the fraction of distinct workers from which the deployment counts as
	// one of mixed speeds. It is a multiple of the fraction that noise makes distinct.
	mixedFraction = 0.05
	// littleSlack and muchSlack are multiples of the expected remaining run time that a job
	// has left. The slowest workers known take twice as long as the usual ones, and part of
	// the time is spent waiting: below littleSlack a step prefers fast workers, from
	// muchSlack on it leaves them to others. Objectives are 2.2 and 4 times the run time.
	littleSlack = 2.5
	muchSlack   = 3.0
	// speedPenalty is added for a worker of the speed that a step does not prefer, and
	// subtracted for one that it does, beside the logarithm of the speed. In total the
	// difference exceeds that of best fit, which is 1, and stays below remotePenalty.
	speedPenalty = 0.9
	// gangSpeedRank multiplies the penalty in the rank for queries of a gang, which is the
	// number of tasks that fit on the worker. It stays below the other terms of the rank.
	gangSpeedRank = 100
)

// refreshSpeeds applies the learned speeds to the workers and adds up their capacity. A worker
// whose difference from the usual speed does not exceed its uncertainty counts as one of usual
// speed. beginCycle calls it.
func (m *Machine) refreshSpeeds() {
	l := &m.learning
	if l.model == nil || l.speedsAt > 0 && m.now.Mono-l.speedsAt < speedRefreshInterval {
		return
	}
	l.speedsAt = m.now.Mono
	clear(l.rooms)
	for _, w := range m.sortedWorkers {
		if w.isListed {
			l.rooms[w.info.Service] = l.rooms[w.info.Service].Add(w.info.Capacity)
		}
	}
	m.applySpeeds(expect.DistinctDeviations)
	if float64(l.slowWorkers+l.fastWorkers) >= mixedFraction*float64(len(m.sortedWorkers)) {
		m.applySpeeds(expect.MixedDeviations)
	}
}

// applySpeeds sets the slowness of each worker whose speed differs from the usual one by more
// than a number of deviations. refreshSpeeds calls it.
func (m *Machine) applySpeeds(deviations float64) {
	l := &m.learning
	l.slowWorkers, l.fastWorkers = 0, 0
	for _, w := range m.sortedWorkers {
		w.slowness = 0
		speed := l.model.WorkerSpeed(m.now.Mono, w.info.ID, w.info.Born)
		if !speed.IsDistinct(deviations) {
			continue
		}
		w.slowness = -math.Log(speed.Factor)
		if w.slowness > 0 {
			l.slowWorkers++
		} else {
			l.fastWorkers++
		}
	}
}

// hasDistinctWorkers reports whether speeds are known to differ, so that preferences count.
func (l *learning) hasDistinctWorkers() bool { return l.slowWorkers+l.fastWorkers > 0 }

// preferredSpeed returns the workers that a step prefers, from the time that its job has left.
// rankStep calls it. A long-running task occupies its worker for as long as it lasts; a slow one
// will do, unless it serves users.
func (m *Machine) preferredSpeed(r rankedStep, remaining time.Duration) speedPreference {
	s := r.step
	left := r.deadline - m.now.Mono
	switch {
	case !m.learning.hasDistinctWorkers() || s.def.BestEffortCPU || s.def.TailTarget > 0:
		return anySpeed
	case s.def.LongRunning || r.lateness == 2:
		return prefersSlow
	case s.job.def.Repeat > 0 || r.lateness == 1:
		return anySpeed
	case float64(left) < littleSlack*float64(remaining):
		return prefersFast
	case float64(left) >= muchSlack*float64(remaining):
		return prefersSlow
	default:
		return anySpeed
	}
}

// speedPenaltyOf rates the speed of a worker: positive if others are preferred, 0 for a worker
// of usual speed.
func speedPenaltyOf(w *worker, preference speedPreference) float64 {
	if w.slowness == 0 || preference == anySpeed {
		return 0
	}
	penalty := w.slowness + math.Copysign(speedPenalty, w.slowness)
	if preference == prefersSlow {
		return -penalty
	}
	return penalty
}

// alignGang sets the preference with which the members of a gang that fits on the permitted
// workers are placed now. A gang is as slow as its slowest member: it takes only slow workers,
// if it has the time for them, or none. Where it needs some of each, it takes the slow ones
// first, which leaves the others free. placeGang calls it.
func (m *Machine) alignGang(s *step, q *cell.Queue, permitted []*worker, need int) {
	if !m.learning.hasDistinctWorkers() || s.def.TailTarget > 0 {
		return
	}
	var slow, others []*worker
	for _, w := range permitted {
		if w.slowness > 0 {
			slow = append(slow, w)
		} else {
			others = append(others, w)
		}
	}
	switch {
	case s.speedPreference == prefersSlow && m.gangFits(s, q, slow, need):
	case m.gangFits(s, q, others, need):
		s.speedPreference = prefersFast
	default:
		s.speedPreference = prefersSlow
	}
}
