package owner

import "time"

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
