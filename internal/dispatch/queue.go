package dispatch

import (
	"math"
	"time"
)

// Reasons in Reject and ReportUnknown. Callers and operators see them.
const (
	reasonUnknownClass = "unknown class"
	reasonQueueFull    = "queue full"
	reasonCannotStart  = "cannot start in time"
	reasonExpired      = "waited too long to finish in time"
	reasonRetryBudget  = "retry budget exhausted"
	reasonFailed       = "attempt failed"
	reasonLost         = "connection to the backend server lost"
)

const (
	// minRetryAfter and maxRetryAfter bound Reject.RetryAfter before jitter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// noSlotsRetryAfter is the least RetryAfter before jitter while nothing runs
	// on this VM's slots. A broker that dies is replaced in 10 to 15 s.
	noSlotsRetryAfter = 5 * time.Second
	// maxSlotGrowthFactor is the factor by which the broker may raise this VM's
	// slots before a start target has passed.
	maxSlotGrowthFactor = 2
)

// enqueue queues a new request or rejects it.
func (d *Dispatcher) enqueue(now time.Duration, ev Enqueue) {
	if d.requests[ev.ID] != nil {
		d.emit(Duplicate{ev.ID})
		return
	}
	c := d.classesByName[ev.Class]
	if c == nil || !c.isConfigured {
		d.counts.NotRun++
		d.emit(Reject{ID: ev.ID, Reason: reasonUnknownClass})
		return
	}
	c.arrivalRate.Observe(now)
	if reason := d.rejectReason(now, c); reason != "" {
		d.counts.NotRun++
		d.emit(Reject{ID: ev.ID, Reason: reason, RetryAfter: d.retryAfter(c)})
		return
	}
	d.seq++
	r := &request{Enqueue: ev, class: c, seq: d.seq}
	d.requests[ev.ID] = r
	d.queuedCount++
	if !ev.MustLogStart {
		c.readyQueue.add(r)
		return
	}
	c.unloggedQueue.add(r)
	d.requestStartRecords(c)
}

// rejectReason returns why a new request of class c is not accepted, or "" if it
// is. An urgent request is rejected when it would start too late even if this VM
// held maxSlotGrowthFactor times its slots and all of them served only this class,
// at the 10 % quantile of its run time.
func (d *Dispatcher) rejectReason(now time.Duration, c *class) string {
	if d.queuedCount >= maxQueuedRequests {
		return reasonQueueFull
	}
	if !c.isUrgent() || c.p10 == 0 {
		return ""
	}
	slots := d.countSlots(now)
	maxSlots := maxSlotGrowthFactor * (slots.usableLocal + slots.freeRemote + slots.inUseRemote)
	if maxSlots == 0 {
		return ""
	}
	minWait := c.p10 * time.Duration(c.queuedCount()) / time.Duration(maxSlots)
	if minWait > c.StartTarget {
		return reasonCannotStart
	}
	return ""
}

// retryAfter is the expected time until the queue of the class is empty, plus a
// jitter of up to half of it, so that rejected callers do not return together.
func (d *Dispatcher) retryAfter(c *class) time.Duration {
	// While nothing runs, the callers wait for slots and not for the queue, for
	// example until another VM has taken over as the broker.
	seconds := min(maxRetryAfter, max(c.StartTarget, noSlotsRetryAfter)).Seconds()
	if rate := d.slotReleaseRate(); rate > 0 {
		seconds = min(maxRetryAfter.Seconds(), float64(c.queuedCount()+1)/rate)
	}
	seconds = max(seconds, minRetryAfter.Seconds())
	return time.Duration(seconds * (1 + d.random.Float64()/2) * float64(time.Second))
}

// slotReleaseRate estimates how many slots running attempts free per second.
func (d *Dispatcher) slotReleaseRate() float64 {
	rate := 0.0
	for _, c := range d.classes {
		if c.meanRunTime > 0 {
			rate += float64(c.runningCount) / c.meanRunTime.Seconds()
		}
	}
	return rate
}

// requestStartRecords emits LogStart for the first requests in unloggedQueue, up
// to maxLogAhead.
func (d *Dispatcher) requestStartRecords(c *class) {
	for c.loggedAheadCount < maxLogAhead && len(c.unloggedQueue) > 0 {
		r := c.unloggedQueue.first()
		r.dequeue()
		r.isLoggedAhead = true
		c.loggedAheadCount++
		c.startsInFlight++
		d.emit(LogStart{r.ID})
	}
}

// markStartLogged moves a request whose start record is in the log to the ready
// queue.
func (d *Dispatcher) markStartLogged(ev StartLogged) {
	r := d.requests[ev.ID]
	if r == nil || !r.isLoggedAhead || r.isStartLogged {
		return
	}
	r.isStartLogged = true
	r.class.startsInFlight--
	r.class.readyQueue.add(r)
}

// leaveLogAhead removes r from the requests that are logged ahead, and emits
// LogStart for the next one.
func (d *Dispatcher) leaveLogAhead(r *request) {
	if !r.isLoggedAhead {
		return
	}
	r.isLoggedAhead = false
	r.class.loggedAheadCount--
	if !r.isStartLogged {
		r.class.startsInFlight--
	}
	d.requestStartRecords(r.class)
}

// cancel fails a queued request and aborts a running one if it is idempotent.
func (d *Dispatcher) cancel(ev Cancel) {
	r := d.requests[ev.ID]
	if r == nil || r.isCancelled {
		return
	}
	if !r.isRunning {
		d.failQueued(r, ev.Reason, 0)
		return
	}
	r.isCancelled, r.cancelReason = true, ev.Reason
	if !r.NonIdempotent {
		d.abort(r)
	}
}

// failQueued gives a queued request its final answer: not run if that is certain,
// else unknown.
func (d *Dispatcher) failQueued(r *request, reason string, retryAfter time.Duration) {
	r.dequeue()
	d.queuedCount--
	d.forget(r)
	if r.mayHaveRun {
		d.counts.Unknown++
		d.emit(ReportUnknown{r.ID, reason})
		return
	}
	d.counts.NotRun++
	d.emit(Reject{ID: r.ID, Reason: reason, RetryAfter: retryAfter})
}

// forget drops the state of a request that is neither queued nor running.
func (d *Dispatcher) forget(r *request) {
	delete(d.requests, r.ID)
	d.leaveLogAhead(r)
}

// rejectExpired rejects the urgent requests at the head of the queue that can no
// longer finish in time. A request that may have run is retained and sent again,
// because it could only be answered with an unknown outcome.
func (d *Dispatcher) rejectExpired(now time.Duration, c *class) {
	for {
		r := c.readyQueue.first()
		if r == nil || r.mayHaveRun || !c.isExpired(now, r) {
			return
		}
		d.failQueued(r, reasonExpired, d.retryAfter(c))
	}
}

// sendReady sends the requests that may be sent, from the class with the least
// effective slack first.
func (d *Dispatcher) sendReady(now time.Duration) {
	isAnyReady := false
	for _, c := range d.classes {
		d.rejectExpired(now, c)
		isAnyReady = isAnyReady || len(c.readyQueue) > 0
	}
	if !isAnyReady {
		return
	}
	slots := d.countSlots(now)
	for slots.freeLocal+slots.freeRemote > 0 {
		c, local := d.nextClass(now, slots)
		if c == nil {
			return
		}
		r := c.readyQueue.first()
		s := d.pickServer(now, local, r.server)
		d.send(now, r, s)
		if local {
			slots.freeLocal--
		} else {
			slots.freeRemote--
			slots.inUseRemote++
		}
	}
}

// nextClass returns the class to send from next, and whether to a local server.
// It returns nil if no class may send.
func (d *Dispatcher) nextClass(now time.Duration, slots slotCounts) (*class, bool) {
	var best *class
	var isBestLocal bool
	least := time.Duration(math.MaxInt64)
	for _, c := range d.classes {
		if len(c.readyQueue) == 0 {
			continue
		}
		slack := c.effectiveSlack(now)
		if slack >= least {
			continue
		}
		local := d.mayUseLocal(now, c, slots)
		if !local && !d.mayUseRemote(now, c, slots) {
			continue
		}
		best, isBestLocal, least = c, local, slack
	}
	return best, isBestLocal
}

// send starts the next attempt of r on s.
func (d *Dispatcher) send(now time.Duration, r *request, s *server) {
	r.dequeue()
	d.queuedCount--
	r.attempt++
	r.isRunning, r.server, r.sentAt = true, s, now
	d.runningRequests[r] = struct{}{}
	s.inUse++
	s.dataCentre.inUse++
	r.class.runningCount++
	d.counts.Sent++
	if r.attempt > 1 {
		d.counts.Retried++
	} else {
		r.class.lastSentArrival = r.At
	}
	d.leaveLogAhead(r)
	d.emit(Send{r.ID, s.id, r.attempt})
}
