package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// retryTokensPerSuccess is what one success adds to the retry budget, so
	// that retries add at most 10 % to the load.
	retryTokensPerSuccess = 0.1
	// initialRetryTokens allows retries before the first successes.
	initialRetryTokens = 10
	// maxRetryTokens bounds the retries in a burst of failures.
	maxRetryTokens = 100
	// maxFailedAttempts bounds the attempts of a request that fails on every
	// server. Refused attempts don't count.
	maxFailedAttempts = 3
)

// finishAttempt completes the request of an attempt that has ended, or queues or
// fails it.
func (d *Dispatcher) finishAttempt(now time.Duration, ev Finished) {
	r := d.requests[ev.ID]
	if r == nil || !r.isRunning || r.attempt != ev.Attempt {
		return
	}
	d.releaseSlot(r)
	d.observeResult(now, r, ev.Result)
	if ev.Result == ResultOK {
		d.retryTokens = min(maxRetryTokens, d.retryTokens+retryTokensPerSuccess)
		d.counts.Completed++
		d.forget(r)
		d.emit(Complete{r.ID, r.attempt})
		return
	}
	if ev.Result != ResultRefused {
		r.mayHaveRun = true
	}
	if r.isCancelled {
		d.queuedCount++
		d.failQueued(r, r.cancelReason, 0)
		return
	}
	d.retryOrFail(r, ev.Result)
}

// releaseSlot marks the attempt of r as ended and frees its slot.
func (d *Dispatcher) releaseSlot(r *request) {
	delete(d.runningRequests, r)
	r.isRunning, r.isAborting = false, false
	r.server.inUse--
	r.server.dataCentre.inUse--
	r.class.runningCount--
}

// observeResult updates the run time estimate of the class and the fault count of
// the server. The age of an aborted straggler is a lower bound of its run time;
// leaving it out would make the class look faster than it is. The age of an
// attempt whose caller cancelled says nothing about run times.
func (d *Dispatcher) observeResult(now time.Duration, r *request, result Result) {
	switch result {
	case ResultOK:
		r.server.recordAnswer()
		r.class.runTimes.Observe(now, now-r.sentAt)
	case ResultAborted:
		if !r.isCancelled {
			r.class.runTimes.Observe(now, now-r.sentAt)
		}
	default:
		r.server.recordFault(now)
	}
}

// retryOrFail queues a request again, in the order of its arrival, or fails it. A
// refused request has certainly not run, and the cooldown of the server that
// refused it bounds the rate of such retries, so that they cost no retry token.
func (d *Dispatcher) retryOrFail(r *request, result Result) {
	d.queuedCount++
	switch result {
	case ResultRefused:
		r.class.readyQueue.add(r)
		return
	case ResultAborted:
		// abortStragglers has taken the retry token for this attempt.
		if !r.NonIdempotent {
			r.class.readyQueue.add(r)
			return
		}
	}
	reason := reasonFailed
	if result == ResultLost {
		reason = reasonLost
	}
	r.failedAttempts++
	if r.NonIdempotent || r.failedAttempts >= maxFailedAttempts {
		d.failQueued(r, reason, 0)
		return
	}
	if d.retryTokens < 1 {
		d.failQueued(r, reasonRetryBudget+" after: "+reason, 0)
		return
	}
	d.retryTokens--
	r.class.readyQueue.add(r)
}

// abort emits an Abort for the running attempt of r, at most once.
func (d *Dispatcher) abort(r *request) {
	if r.isAborting {
		return
	}
	r.isAborting = true
	d.emit(Abort{r.ID, r.server.id, r.attempt})
}

// abortStragglers counts the stragglers of each class and aborts the idempotent
// ones within the retry budget. Their requests are sent to another server once
// the attempts have ended. A request is restarted only once: if the second
// attempt is as slow, the request itself is slow.
func (d *Dispatcher) abortStragglers(now time.Duration) {
	for _, c := range d.classes {
		c.stragglerCount = 0
	}
	var stragglers []*request
	for r := range d.runningRequests {
		stragglerAge := r.class.stragglerAge
		if stragglerAge == 0 || now-r.sentAt < stragglerAge {
			continue
		}
		r.class.stragglerCount++
		if !r.NonIdempotent && !r.wasRestarted && !r.isAborting {
			stragglers = append(stragglers, r)
		}
	}
	slices.SortFunc(stragglers, func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
	for _, r := range stragglers {
		if d.retryTokens < 1 {
			return
		}
		d.retryTokens--
		d.counts.Aborted++
		r.wasRestarted = true
		d.abort(r)
	}
}
