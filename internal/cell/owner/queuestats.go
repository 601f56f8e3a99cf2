package owner

import (
	"time"
)

// queueStats are moving averages over the finished runs and advice answers of a
// queue.
type queueStats struct {
	// eligibleFraction is the fraction of queried workers that may run a step;
	// eligibleSamples is the number of workers that it is derived from, up to
	// maxEligibleSamples.
	eligibleFraction float64
	eligibleSamples  float64
	// meanRunTime is the run time of a task; 0 before the first one is done.
	meanRunTime time.Duration
}

const (
	// initialEligibleFraction is assumed before the first answer and counts as much
	// as an answer about initialEligibleSamples workers.
	initialEligibleFraction = 0.5
	initialEligibleSamples  = 10
	// maxEligibleSamples bounds the memory of the fraction, so that an answer about
	// 30 workers changes it by a tenth of the difference.
	maxEligibleSamples = 270
	// newSampleWeight is the weight of a new value in the mean run time.
	newSampleWeight = 0.1
)

// statsFor returns the moving averages of a queue, and creates them when the
// queue is first used.
func (m *Machine) statsFor(queue string) *queueStats {
	q, ok := m.statsByQueue[queue]
	if !ok {
		q = &queueStats{eligibleFraction: initialEligibleFraction, eligibleSamples: initialEligibleSamples}
		m.statsByQueue[queue] = q
	}
	return q
}

// addEligibleSamples adds an answer about workers that no earlier answer about the
// step named. Each worker counts the same, however many of them an answer is about.
func (q *queueStats) addEligibleSamples(eligible, queried int) {
	q.eligibleFraction += (float64(eligible) - float64(queried)*q.eligibleFraction) / (q.eligibleSamples + float64(queried))
	q.eligibleSamples = min(q.eligibleSamples+float64(queried), maxEligibleSamples)
}
