package requests

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
)

// classResults holds the results of one class in one replay.
type classResults struct {
	wait                *hdrhistogram.Histogram // microseconds
	arrived             int
	startedInTime       int
	arrivedInPeak       int
	startedInTimeInPeak int
	completed           int
	notRun              int
	unknown             int
}

// results holds the results of one replay.
type results struct {
	trace           Trace
	classes         []*classResults
	runningAttempts []int
	starts          []int
	answered        []bool
	repeatedStarts  int
	// decisions holds the real time of each decision in nanoseconds.
	decisions *hdrhistogram.Histogram
	// decisionTime is the sum over decisions about single requests, controlTime
	// over ticks and slot changes.
	decisionTime, controlTime time.Duration
	sends                     int
	// duration is the virtual time until the last answer.
	duration time.Duration
}

// newResults returns empty results with the arrivals of the trace counted.
func newResults(trace Trace) *results {
	r := &results{
		trace:           trace,
		runningAttempts: make([]int, len(trace.Requests)),
		starts:          make([]int, len(trace.Requests)),
		answered:        make([]bool, len(trace.Requests)),
		decisions:       hdrhistogram.New(1, int64(time.Minute), 3),
	}
	for range trace.Work {
		r.classes = append(r.classes, &classResults{
			wait: hdrhistogram.New(1, time.Hour.Microseconds(), 3),
		})
	}
	for _, q := range trace.Requests {
		c := r.classes[q.Class]
		c.arrived++
		if inPeak(q.At) {
			c.arrivedInPeak++
		}
	}
	return r
}

// recordStart records the start of a run, and the wait if it is the first one. It
// returns an error if the request already runs, or if a non-idempotent request
// starts again.
func (r *results) recordStart(now time.Duration, run *run) error {
	i := run.request
	q := r.trace.Requests[i]
	r.starts[i]++
	if r.starts[i] > 1 {
		r.repeatedStarts++
		if r.trace.Work[q.Class].Class.NonIdempotent {
			return eris.Errorf("non-idempotent request %d runs twice", i)
		}
	}
	r.runningAttempts[i]++
	if r.runningAttempts[i] > 1 {
		return eris.Errorf("request %d runs in two places", i)
	}
	if r.starts[i] > 1 {
		return nil
	}
	c := r.classes[q.Class]
	wait := now - q.At
	if err := c.wait.RecordValue(max(1, wait.Microseconds())); err != nil {
		return eris.Wrap(err, "record wait")
	}
	if wait <= r.trace.Work[q.Class].Class.StartTarget {
		c.startedInTime++
		if inPeak(q.At) {
			c.startedInTimeInPeak++
		}
	}
	return nil
}

func (r *results) recordEnd(request int) { r.runningAttempts[request]-- }

func (r *results) classOfRequest(request int) *classResults {
	return r.classes[r.trace.Requests[request].Class]
}

// recordDecision records the real time of one decision about a request.
func (r *results) recordDecision(d time.Duration) {
	r.decisionTime += d
	r.recordTime(d)
}

// recordControl records the real time of a tick or of a change of slots.
func (r *results) recordControl(d time.Duration) {
	r.controlTime += d
	r.recordTime(d)
}

func (r *results) recordTime(d time.Duration) {
	// The histogram's range exceeds any decision that a run survives.
	_ = r.decisions.RecordValue(max(1, d.Nanoseconds()))
}
