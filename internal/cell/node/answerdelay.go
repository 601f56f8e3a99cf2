package node

import (
	"sync/atomic"
	"time"
)

const (
	// answerDelayWeight is the weight of earlier answers in the mean of answerDelay.
	answerDelayWeight = 32
	// answerDelayFactor is the multiple of the mean that a request may take longer:
	// the delays of requests that are sent at the same moment vary.
	answerDelayFactor = 3
	// maxAnswerDelay bounds what one answer counts: this VM may have been paused while
	// it waited.
	maxAnswerDelay = 500 * time.Millisecond
	// maxAnswerAllowance leaves time for a second try of a renewal within a lease of 6 s.
	maxAnswerAllowance = time.Second
	// slowestWorkerClock is the rate of the slowest worker clock, which measures the wait
	// time of a renewal.
	slowestWorkerClock = 0.98
)

// answerDelay is the mean time that renewals take beyond the time for which the worker
// delays its answer. Most of it is the queue of this VM for its processor: an owner that
// is short of processor time reads answers late that have arrived in time. Giving such
// requests up costs more than waiting: each closes its connection and is sent again on a
// new one, which lengthens the queue. It is safe for concurrent use.
type answerDelay struct {
	mean atomic.Int64
}

// observe records an answer to a renewal that was sent with a wait time and took the
// given time. Answers before the end of the wait time say nothing. sendRenewal calls it.
func (d *answerDelay) observe(wait, took time.Duration) {
	if took < wait {
		return
	}
	delay := max(0, min(took-time.Duration(float64(wait)/slowestWorkerClock), maxAnswerDelay))
	for {
		old := d.mean.Load()
		if d.mean.CompareAndSwap(old, old+(int64(delay)-old)/answerDelayWeight) {
			return
		}
	}
}

// allowance is the time that a request to a worker may take in addition to its timeout.
func (d *answerDelay) allowance() time.Duration {
	return min(answerDelayFactor*time.Duration(d.mean.Load()), maxAnswerAllowance)
}
