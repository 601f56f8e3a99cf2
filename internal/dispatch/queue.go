package dispatch

import (
	"math"
	"time"
)

// Reasons that callers and operators see.
const (
	reasonUnknownClass = "unknown class"
	reasonQueueFull    = "queue full"
	reasonTooLate      = "cannot start in time"
	reasonExpired      = "waited too long to finish in time"
	reasonBudget       = "retry budget exhausted"
	reasonFailed       = "attempt failed"
	reasonLost         = "connection to the backend server lost"
)

const (
	// minRetryAfter and maxRetryAfter bound the advice to rejected callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// slotWait is the advice to callers of urgent classes while this VM has no
	// running work. A broker that dies is replaced in 10 to 15 s.
	slotWait = 5 * time.Second
	// slotGrowth is how far the broker may raise this VM's holdings before a
	// start target has passed.
	slotGrowth = 2
)

func (d *Dispatcher) enqueue(now time.Duration, ev Enqueue) {
	if d.requests[ev.ID] != nil {
		d.emit(Duplicate{ev.ID})
		return
	}
	c := d.byName[ev.Class]
	if c == nil || !c.configured {
		d.counts.NotRun++
		d.emit(Reject{ID: ev.ID, Reason: reasonUnknownClass})
		return
	}
	c.arrivals.Observe(now)
	if reason := d.refusal(now, c); reason != "" {
		d.counts.NotRun++
		d.emit(Reject{ID: ev.ID, Reason: reason, RetryAfter: d.retryAfter(c)})
		return
	}
	d.seq++
	r := &request{Enqueue: ev, class: c, seq: d.seq}
	d.requests[ev.ID] = r
	d.queued++
	if !ev.MustLogStart {
		c.ready.add(r)
		return
	}
	c.pending.add(r)
	d.askLog(c)
}

// refusal returns why a new request of class c is not accepted, "" if it is. An
// urgent request is refused when it would start too late even if this VM held
// slotGrowth times its slots and all served this class only, at the shortest
// usual run time.
func (d *Dispatcher) refusal(now time.Duration, c *class) string {
	if d.queued >= maxQueue {
		return reasonQueueFull
	}
	if !c.urgent() || c.p10 == 0 {
		return ""
	}
	slots := d.capacity(now)
	total := slotGrowth * (slots.usableHome + slots.freeAway + slots.inUseAway)
	if total == 0 {
		return ""
	}
	shortest := c.p10 * time.Duration(c.queued()) / time.Duration(total)
	if shortest > c.StartTarget {
		return reasonTooLate
	}
	return ""
}

// retryAfter is the time until the class's queue has drained, with jitter so
// that rejected callers do not return together.
func (d *Dispatcher) retryAfter(c *class) time.Duration {
	// Without running work, the wait is for slots, for example until another VM
	// has taken over their broker, and not for the queue.
	drain := min(maxRetryAfter, max(c.StartTarget, slotWait)).Seconds()
	if rate := d.releaseRate(); rate > 0 {
		drain = min(maxRetryAfter.Seconds(), float64(c.queued()+1)/rate)
	}
	drain = max(drain, minRetryAfter.Seconds())
	return time.Duration(drain * (1 + d.random.Float64()/2) * float64(time.Second))
}

// releaseRate estimates how many slots running work frees per second.
func (d *Dispatcher) releaseRate() float64 {
	rate := 0.0
	for _, c := range d.classes {
		if c.mean > 0 {
			rate += float64(c.running) / c.mean.Seconds()
		}
	}
	return rate
}

// askLog asks for the starts of the first held requests of the class.
func (d *Dispatcher) askLog(c *class) {
	for c.logging < logAhead && len(c.pending) > 0 {
		r := c.pending.first()
		r.unqueue()
		r.logAsked = true
		c.logging++
		c.logWait++
		d.emit(LogStart{r.ID})
	}
}

func (d *Dispatcher) startLogged(ev StartLogged) {
	r := d.requests[ev.ID]
	if r == nil || !r.logAsked || r.logged {
		return
	}
	r.logged = true
	r.class.logWait--
	r.class.ready.add(r)
}

// unlog takes r out of the requests whose start is being logged.
func (d *Dispatcher) unlog(r *request) {
	if !r.logAsked {
		return
	}
	r.logAsked = false
	r.class.logging--
	if !r.logged {
		r.class.logWait--
	}
	d.askLog(r.class)
}

func (d *Dispatcher) cancel(ev Cancel) {
	r := d.requests[ev.ID]
	if r == nil || r.cancelled {
		return
	}
	if !r.running {
		d.giveUp(r, ev.Reason, 0)
		return
	}
	r.cancelled, r.reason = true, ev.Reason
	if !r.NonIdempotent {
		d.abort(r)
	}
}

// giveUp ends a queued request: as not run if that is certain, else as unknown.
func (d *Dispatcher) giveUp(r *request, reason string, retryAfter time.Duration) {
	r.unqueue()
	d.queued--
	d.end(r)
	if r.mayHaveRun {
		d.counts.Unknown++
		d.emit(ReportUnknown{r.ID, reason})
		return
	}
	d.counts.NotRun++
	d.emit(Reject{ID: r.ID, Reason: reason, RetryAfter: retryAfter})
}

// end forgets a request that is neither queued nor running.
func (d *Dispatcher) end(r *request) {
	delete(d.requests, r.ID)
	d.unlog(r)
}

// dropHopeless ends urgent requests at the head of the queue that can certainly
// not finish in time any more. One that may have run is sent again all the same:
// its caller could only be told that the outcome is unknown.
func (d *Dispatcher) dropHopeless(now time.Duration, c *class) {
	for {
		r := c.ready.first()
		if r == nil || r.mayHaveRun || !c.hopeless(now, r) {
			return
		}
		d.giveUp(r, reasonExpired, d.retryAfter(c))
	}
}

// dispatch sends what may be sent, the class with the least slack first.
func (d *Dispatcher) dispatch(now time.Duration) {
	waiting := false
	for _, c := range d.classes {
		d.dropHopeless(now, c)
		waiting = waiting || len(c.ready) > 0
	}
	if !waiting {
		return
	}
	slots := d.capacity(now)
	for slots.freeHome+slots.freeAway > 0 {
		c, home := d.next(now, slots)
		if c == nil {
			return
		}
		r := c.ready.first()
		s := d.pick(now, home, r.server)
		d.send(now, r, s)
		if home {
			slots.freeHome--
		} else {
			slots.freeAway--
			slots.inUseAway++
		}
	}
}

// next returns the class to send from, and whether to a server of the own data
// centre. It returns nil if no class may send.
func (d *Dispatcher) next(now time.Duration, slots capacity) (*class, bool) {
	var best *class
	var bestHome bool
	least := time.Duration(math.MaxInt64)
	for _, c := range d.classes {
		if len(c.ready) == 0 {
			continue
		}
		slack := c.effectiveSlack(now)
		if slack >= least {
			continue
		}
		home := d.mayUseHome(now, c, slots)
		if !home && !d.mayUseAway(now, c, slots) {
			continue
		}
		best, bestHome, least = c, home, slack
	}
	return best, bestHome
}

func (d *Dispatcher) send(now time.Duration, r *request, s *server) {
	r.unqueue()
	d.queued--
	r.attempt++
	r.running, r.server, r.sentAt = true, s, now
	d.running[r] = struct{}{}
	s.inUse++
	s.centre.inUse++
	r.class.running++
	d.counts.Sent++
	if r.attempt > 1 {
		d.counts.Retried++
	} else {
		r.class.sentUpTo = r.At
	}
	d.unlog(r)
	d.emit(Send{r.ID, s.id, r.attempt})
}
