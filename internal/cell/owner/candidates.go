package owner

import (
	"cmp"
	"math"
	"slices"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// candidateSet is the set of workers to query about.
type candidateSet struct {
	workerIDs    []string
	reservations []reservation
	// expectedTasks is how many tasks are expected to fit on the eligible ones
	// of the workers; possibleTasks is how many fit if all of them are eligible.
	expectedTasks float64
	possibleTasks int
}

// candidate is a worker that a query could name.
type candidate struct {
	worker *worker
	// expectedTasks is how many tasks are expected to fit, given the chance that
	// the worker is eligible; variance is the variance of that number.
	expectedTasks float64
	possibleTasks int
	variance      float64
	rank          float64
}

// selectCandidates selects the workers that queryAdvice queries about: it adds
// suitable workers with free capacity, those of the highest rank first, until
// the expected capacity of the eligible ones suffices for need tasks
// (querySurplusFactor, queryDeviations), but at most maxQueriedWorkers.
//
// The safety margin of queryDeviations does not apply to a step that is not a
// gang and whose queries need a free advice proxy (needsFreeProxy). The margin
// adds workers, and with them answer time and use of the proxies, and if too
// few workers are eligible, such a step starts the tasks that fit and queries
// again for the rest. A gang starts all its tasks or none, so it always has the
// margin.
//
// The result also has a reservation on each selected worker: the capacity of the
// tasks that are expected to fit there, scaled down so that all reservations
// together hold at most need tasks.
func (m *Machine) selectCandidates(s *step, q *cell.Queue, need int) candidateSet {
	all := m.rateCandidates(s, q, need)
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(b.rank, a.rank) })
	deviations := 0.0
	if s.def.Gang || !needsFreeProxy(q) {
		deviations = queryDeviations
	}
	wanted := float64(need)*(querySurplusFactor+roundSurplus*float64(min(s.advice.rounds, maxSurplusRounds))) + 1
	var out candidateSet
	picked := 0
	variance := 0.0
	for _, c := range all {
		if out.expectedTasks-deviations*math.Sqrt(variance) >= wanted || len(out.workerIDs) >= maxQueriedWorkers {
			break
		}
		picked++
		out.workerIDs = append(out.workerIDs, c.worker.info.ID)
		out.expectedTasks += c.expectedTasks
		out.possibleTasks += c.possibleTasks
		variance += c.variance
	}
	for _, c := range all[:picked] {
		out.reservations = append(out.reservations, reservation{c.worker, scaleResources(s.def.Charge(), c.expectedTasks*min(1, float64(need)/out.expectedTasks))})
	}
	return out
}

// rateCandidates rates the workers with free capacity that a step may query about, from
// a random one on, until there are maxRatedWorkers. For a gang it goes on until they
// are also expected to hold the gang, since a gang is not queried about otherwise.
// The result is valid until the next call. selectCandidates calls it.
func (m *Machine) rateCandidates(s *step, q *cell.Queue, need int) []candidate {
	if len(m.usableWorkers) == 0 {
		return nil
	}
	all := m.candidates[:0]
	defer func() { m.candidates = all }()
	expected := 0.0
	eligibleFraction := m.statsFor(s.job.def.Queue.Name).eligibleFraction
	start := m.rand.IntN(len(m.usableWorkers))
	for i := range m.usableWorkers {
		w := m.usableWorkers[(start+i)%len(m.usableWorkers)]
		if !m.isSuitable(w, s, q) || !s.advice.mayBeEligible(w.info.ID) {
			continue
		}
		tasks := min(m.unreservedTaskCapacity(w, s), need)
		if tasks == 0 {
			continue
		}
		c := m.rateCandidate(w, s, float64(tasks), eligibleFraction)
		all = append(all, c)
		expected += c.expectedTasks
		if len(all) >= maxRatedWorkers && (!s.def.Gang || expected >= ratedSurplusFactor*float64(need)) {
			break
		}
	}
	return all
}

// ratedSurplusFactor is the multiple of a gang's need that the rated workers must be
// expected to hold, so that the best of them suffice with the surplus of a query.
const ratedSurplusFactor = 2.0

// scaleResources multiplies an amount by x. selectCandidates uses it to
// compute reservations, rateCandidate to compute the need of several tasks.
func scaleResources(r structs.Resources, x float64) structs.Resources {
	return structs.Resources{
		MilliCPU:     int64(float64(r.MilliCPU) * x),
		MemoryMB:     int64(float64(r.MemoryMB) * x),
		Accelerators: int64(float64(r.Accelerators) * x),
	}
}

// rateCandidate computes the rank of a worker for selectCandidates; those
// with the highest rank are queried first. Workers known to be eligible rank
// high and suspect ones low. Queries of a gang take long, so they prefer the
// workers with the most free capacity. Other steps prefer the fullest
// workers, which leaves the emptier ones to gangs. Workers of the speed that the
// step prefers rank higher, where speeds are known to differ; a gang asks about fast ones,
// since tickets for some slow ones among others would slow down all its members.
func (m *Machine) rateCandidate(w *worker, s *step, tasks, eligibleFraction float64) candidate {
	c := candidate{worker: w, expectedTasks: tasks, possibleTasks: int(tasks), rank: tasks + m.rand.Float64()}
	if !s.def.Gang {
		c.rank = -m.freeCPUFractionAfter(w, scaleResources(s.def.Charge(), tasks)) - fullnessJitter*m.rand.Float64()
	}
	if s.def.Gang {
		c.rank -= gangSpeedRank * speedPenaltyOf(w, prefersFast)
	} else {
		c.rank -= speedPenaltyOf(w, s.speedPreference)
	}
	if s.advice.eligibleByWorker[w.info.ID] {
		c.rank += 1000
	} else {
		c.expectedTasks *= eligibleFraction
		c.variance = eligibleFraction * (1 - eligibleFraction) * tasks * tasks
	}
	if w.health.isSuspect() {
		c.rank -= 500
	}
	if m.failedRecentlyOn(s, w) {
		// Ranks below the workers that no query has named yet.
		c.rank -= 1500
	}
	return c
}

// unreservedTaskCapacity returns how many tasks of a step fit on a worker beside
// the reservations of steps earlier in the scheduling cycle.
func (m *Machine) unreservedTaskCapacity(w *worker, s *step) int {
	return m.taskCapacityWithin(m.availableCapacity(w, s).Sub(m.reservedOn(w)), w, s)
}
