package owner

import (
	"slices"
	"time"
)

// health tells workers that fail what they start from sound ones.
type health struct {
	// score counts recent failures; successes reduce it.
	score    float64
	failedAt time.Duration
}

const (
	// suspectScore is the score from which a worker gets tasks only if no other
	// can take them; single failures are usually the task's own.
	suspectScore = 1.5
	// successCredit is what a success takes off the score.
	successCredit = 0.5
	// healthHalfLife is how fast failures are forgotten.
	healthHalfLife = 3 * time.Second
)

func (h *health) failed(now time.Duration) {
	h.score = h.current(now) + 1
	h.failedAt = now
}

func (h *health) succeeded() {
	h.score = max(0, h.score-successCredit)
}

// current returns the score, which halves every healthHalfLife.
func (h *health) current(now time.Duration) float64 {
	score := h.score
	for age := now - h.failedAt; age > healthHalfLife && score > 0.01; age -= healthHalfLife {
		score /= 2
	}
	return score
}

func (h *health) suspect(now time.Duration) bool {
	return h.current(now) >= suspectScore
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
		w.health.failed(m.now.Mono)
		r.step.task[r.id.Index].avoid = w.info.ID
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
