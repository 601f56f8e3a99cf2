package dispatch

import "time"

// Counts are totals since the start.
type Counts struct {
	Sent      uint64
	Completed uint64
	// NotRun counts Reject actions, Unknown counts ReportUnknown actions.
	NotRun  uint64
	Unknown uint64
	// Retried counts sends beyond the first of a request.
	Retried uint64
	// Aborted counts attempts stopped as stragglers.
	Aborted uint64
}

// Stats describes the dispatcher for metrics and status pages.
type Stats struct {
	Counts
	QueueLength int
	Running     int
	// Classes is in the order in which the classes were first configured.
	Classes []ClassStats
}

// ClassStats describes one class.
type ClassStats struct {
	Class       string
	QueueLength int
	Running     int
	// RunTimeP50 and RunTimeP90 are estimated quantiles of the run time, zero
	// before the first answer.
	RunTimeP50 time.Duration
	RunTimeP90 time.Duration
	// ArrivalsPerSecond is the estimated arrival rate.
	ArrivalsPerSecond float64
	// ExpectedSlots is the number of slots that the class is expected to use at
	// the recent peak of its arrival rate.
	ExpectedSlots float64
	// ReservedSlots is the number of slots that the class leaves to urgent
	// classes.
	ReservedSlots int
}

// Stats returns the current counts and estimates. Its cost depends only on the
// number of classes.
func (d *Dispatcher) Stats(now time.Duration) Stats {
	s := Stats{
		Counts:      d.counts,
		QueueLength: d.queuedCount,
		Running:     len(d.runningRequests),
	}
	for _, c := range d.classes {
		s.Classes = append(s.Classes, ClassStats{
			Class:             c.Name,
			QueueLength:       c.queuedCount(),
			Running:           c.runningCount,
			RunTimeP50:        c.p50,
			RunTimeP90:        c.p90,
			ArrivalsPerSecond: c.arrivalRate.PerSecond(now),
			ExpectedSlots:     c.expectedSlots,
			ReservedSlots:     c.reservedSlots,
		})
	}
	return s
}
