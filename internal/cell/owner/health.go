package owner

import (
	"slices"
	"time"

	"gypsumwinch/internal/cell"
)

// health tells workers that fail what they start from sound ones.
type health struct {
	// streak counts the jobs of which a run failed since the last success.
	streak int
	// lastJob is the last of them: a job that can never be done fails many runs.
	lastJob  cell.JobID
	failedAt time.Duration
}

const (
	// suspectStreak is the streak from which a worker gets no tasks for a while;
	// single failures are usually the task's own, which are 2 to 4 in a hundred.
	suspectStreak = 2
	// quarantineBase is the length of the first quarantine; each further failure
	// doubles it.
	quarantineBase = time.Second
	// quarantineMost bounds it: workers turn sound again within some seconds.
	quarantineMost = 16 * time.Second
	// quarantinedMost is the share of workers in quarantine from which none is
	// kept from work: then the cause is elsewhere.
	quarantinedMost = 0.3
	// avoidFor is how long a step avoids a worker on which a run of it failed.
	avoidFor = 6 * time.Second
)

func (h *health) failed(now time.Duration, job cell.JobID) {
	h.failedAt = now
	if h.streak > 0 && h.lastJob == job {
		return
	}
	h.streak++
	h.lastJob = job
}

func (h *health) succeeded() { h.streak = 0 }

// suspect reports whether a worker has failed several jobs in a row. After its
// quarantine it gets one task at a time until one succeeds.
func (h *health) suspect() bool { return h.streak >= suspectStreak }

// quarantined reports whether a worker gets no tasks for now.
func (h *health) quarantined(now time.Duration) bool {
	if !h.suspect() {
		return false
	}
	length := min(quarantineBase<<min(h.streak-suspectStreak, 10), quarantineMost)
	return now-h.failedAt < length
}

// countQuarantined decides whether quarantines are kept in this pass.
func (m *Machine) countQuarantined() {
	quarantined := 0
	for _, w := range m.order {
		if w.health.quarantined(m.now.Mono) {
			quarantined++
		}
	}
	m.trustAll = float64(quarantined) > quarantinedMost*float64(len(m.order))
}

// trusted returns how many tasks the health of a worker permits there beside its
// runs, of a number that fits.
func (m *Machine) trusted(w *worker, n int) int {
	switch {
	case m.trustAll || !w.health.suspect():
		return n
	case w.health.quarantined(m.now.Mono):
		return 0
	default:
		return min(n, 1-len(w.runs))
	}
}

// avoids reports whether a run of a step failed on a worker lately.
func (m *Machine) avoids(s *step, w *worker) bool {
	at, failed := s.avoid[w.info.ID]
	return failed && m.now.Mono-at < avoidFor
}

// failedOn notes that a run failed, or stood still, on its worker.
func (m *Machine) failedOn(r *run) {
	r.worker.health.failed(m.now.Mono, r.job.def.ID)
	if r.step == nil {
		return
	}
	if r.step.avoid == nil {
		r.step.avoid = map[string]time.Duration{}
	}
	r.step.avoid[r.worker.info.ID] = m.now.Mono
}

const (
	// stuckAfter is the least time without progress after which a run is stuck:
	// a run of the shortest tasks advances by a hundredth in 10 ms.
	stuckAfter = time.Second
	// stuckShare of a queue's run time must have passed, too. The slowest tasks
	// take seven times, on slow workers again five times as long, and advance by
	// a hundredth within it.
	stuckShare = 0.4
	// fullPercent is the progress of a run that is about to end.
	fullPercent = 100
)

// stopStuck stops runs that stand still, so that they start elsewhere.
func (m *Machine) stopStuck(w *worker) {
	for _, r := range slices.Clone(w.list) {
		if !m.stuck(r) {
			continue
		}
		m.decide(r.name, "run is stuck", "run", r.number, "worker", w.info.ID, "percent", r.percent,
			"still_ms", (m.now.Mono - r.percentAt).Milliseconds())
		m.failedOn(r)
		if r.step.def.Gang {
			m.stopGang(r.step, "a member is stuck")
			continue
		}
		m.stopRun(r)
	}
}

// stuck reports whether a run has not advanced for too long. Members of a gang
// advance only while all are present.
func (m *Machine) stuck(r *run) bool {
	if r.phase != phaseRunning || r.step == nil || r.step.def.LongRunning || r.percent >= fullPercent {
		return false
	}
	if r.step.def.Gang && !r.step.allRunning() {
		return false
	}
	limit := max(stuckAfter, time.Duration(stuckShare*float64(m.stats(r.job.def.Queue.Name).runTime)))
	return m.now.Mono-r.percentAt > limit
}

// allRunning reports whether every task of a step runs.
func (s *step) allRunning() bool {
	for i := range s.task {
		if r := s.task[i].run; r == nil || r.phase != phaseRunning {
			return false
		}
	}
	return true
}
