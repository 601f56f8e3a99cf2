package dispatch

import (
	"math"
	"time"

	"gypsumwinch/internal/estimate"
	"gypsumwinch/internal/structs"
)

const (
	// maxUrgentStartTarget is the longest start target of an urgent class.
	// Requests of urgent classes are rejected early when a target cannot be met;
	// requests with a longer start target wait.
	maxUrgentStartTarget = 8 * time.Second
	// maxLogAhead is the number of requests per class that have a start record
	// in the log, or on its way there, and are not sent yet. With 100 ms per
	// append it allows 320 sends per second.
	maxLogAhead = 32
	// runTimeHalfLife is the half-life of observed run times.
	runTimeHalfLife = 2 * time.Minute
	// rateWindow is short against the 2 s within which the arrival rate may
	// triple.
	rateWindow = 500 * time.Millisecond
	// peakHalfLife is the half-life of an arrival rate's peak. It keeps slots
	// free between bursts.
	peakHalfLife = 5 * time.Minute
	// reserveStdDevs puts the reserve at the 99.9 % quantile of the slots needed,
	// which is the target for starts. Under uneven load, 2 standard deviations
	// give only 99.0 %, and a head-of-line ratio of 1.97.
	reserveStdDevs = 3.1
	// minStragglerSamples is the weight of observed run times required before
	// an attempt counts as a straggler. A class with 4 requests per minute at a
	// VM reaches it.
	minStragglerSamples = 10
	// stragglerFactor times the 95 % quantile of the run time is the age at
	// which an attempt counts as a straggler.
	stragglerFactor = 4
	// minStragglerAge exempts attempts that are too short for a restart to gain
	// anything.
	minStragglerAge = 50 * time.Millisecond
)

// class is the queue of one class of requests, with its estimates.
type class struct {
	structs.Class
	isConfigured bool
	// readyQueue holds the requests that may be sent, unloggedQueue those that
	// need a start record and have no LogStart action yet.
	readyQueue    requestHeap
	unloggedQueue requestHeap
	// loggedAheadCount counts the requests with isLoggedAhead set,
	// startsInFlight those among them that wait for StartLogged.
	loggedAheadCount int
	startsInFlight   int
	runningCount     int
	// lastSentArrival is the arrival time of the last request that was sent for
	// the first time.
	lastSentArrival time.Duration
	// stragglerCount is the number of running attempts that are stragglers.
	stragglerCount int

	runTimes    *estimate.RunTimes
	arrivalRate *estimate.Rate
	// The following fields are derived from runTimes and arrivalRate by
	// updateEstimates. p10, p50 and p90 are quantiles of the run time.
	p10, p50, p90 time.Duration
	meanRunTime   time.Duration
	// stragglerAge is the age at which an attempt is a straggler, 0 if unknown.
	stragglerAge time.Duration
	// expectedSlots is the number of slots that the class is expected to use at
	// the recent peak of its arrival rate.
	expectedSlots float64
	// reservesFor lists the urgent classes for which this class leaves slots
	// free. reservedSlots is the number of these slots, including those that
	// the urgent classes already use.
	reservesFor   []*class
	reservedSlots int
}

func newClass(c structs.Class) *class {
	return &class{
		Class:        c,
		isConfigured: true,
		runTimes:     estimate.NewRunTimes(runTimeHalfLife),
		arrivalRate:  estimate.NewRate(rateWindow, peakHalfLife),
	}
}

func (c *class) isUrgent() bool { return c.StartTarget <= maxUrgentStartTarget }

// queuedCount is the number of requests that wait, for a slot or for the log.
func (c *class) queuedCount() int { return len(c.readyQueue) + len(c.unloggedQueue) + c.startsInFlight }

// updateEstimates recomputes the fields derived from runTimes and arrivalRate.
func (c *class) updateEstimates(now time.Duration) {
	c.p10 = c.runTimes.Quantile(0.1)
	c.p50 = c.runTimes.Quantile(0.5)
	c.p90 = c.runTimes.Quantile(0.9)
	c.meanRunTime = c.runTimes.Mean()
	c.stragglerAge = 0
	if c.runTimes.Weight(now) >= minStragglerSamples {
		c.stragglerAge = max(minStragglerAge, stragglerFactor*c.runTimes.Quantile(0.95))
	}
	c.expectedSlots = c.arrivalRate.Peak(now) * c.meanRunTime.Seconds()
}

// reserveSize returns the 99.9 % quantile of the slots in use when expectedSlots
// are in use on average, with Poisson arrivals. It is at least 1, for a class
// without requests so far.
func reserveSize(expectedSlots float64) int {
	return int(math.Ceil(expectedSlots + reserveStdDevs*math.Sqrt(expectedSlots) + 1))
}

// mustReserveFor reports whether c must leave slots free for o: o is urgent, with
// a shorter start target, and attempts of c run so long that o could not wait
// until one ends. The estimated run time of c is not trusted while more than a
// quarter of its attempts are stragglers.
func (c *class) mustReserveFor(o *class) bool {
	if !o.isUrgent() || o.StartTarget >= c.StartTarget {
		return false
	}
	return c.p90 == 0 || c.p90 > o.StartTarget/2 || 4*c.stragglerCount > c.runningCount
}

// slack returns the time left until the first request in readyQueue must start to
// meet its targets. If an earlier attempt of that request has ended, its start
// target is met already, and it is older than the requests behind it, so that its
// age says nothing about them. The arrival time of the request sent last is used
// in its place.
func (c *class) slack(now time.Duration) time.Duration {
	r := c.readyQueue.first()
	at := r.At
	if r.mayHaveRun {
		at = max(at, c.lastSentArrival)
	}
	start := c.StartTarget
	if c.FinishTarget > 0 {
		start = min(start, c.FinishTarget-c.p50)
	}
	return at + start - now
}

// effectiveSlack is the key by which classes are ordered; the smallest goes
// first. A request that has missed its target does not precede one whose target
// can still be met, because under overload every target would then be missed in
// turn. The key of an overdue request halves with each further start target that
// it waits, so that it is not starved.
func (c *class) effectiveSlack(now time.Duration) time.Duration {
	slack := c.slack(now)
	if slack >= 0 {
		return slack
	}
	target := max(c.StartTarget, time.Millisecond)
	return time.Duration(float64(target) * math.Exp2(float64(slack)/float64(target)))
}

// isExpired reports whether r, a request of an urgent class, can no longer finish
// in time.
func (c *class) isExpired(now time.Duration, r *request) bool {
	if !c.isUrgent() {
		return false
	}
	return now > r.At+max(c.StartTarget, c.FinishTarget-c.p10)
}
