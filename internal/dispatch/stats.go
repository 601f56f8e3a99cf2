package dispatch

import "time"

// Counts are totals since the start.
type Counts struct {
	Sent      uint64
	Completed uint64
	NotRun    uint64
	Unknown   uint64
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
	// Classes is in the order of the configuration.
	Classes []ClassStats
}

// ClassStats describes one class.
type ClassStats struct {
	Class       string
	QueueLength int
	Running     int
	// RunTimeP50 and RunTimeP90 are the learned run times, zero if none yet.
	RunTimeP50 time.Duration
	RunTimeP90 time.Duration
	// ArrivalsPerSecond is the learned rate of arrivals.
	ArrivalsPerSecond float64
	// ExpectedSlots is the number of slots that the class can expect to use.
	ExpectedSlots float64
	// ReservedSlots is the number of slots that the class leaves to urgent classes.
	ReservedSlots int
}

// Stats returns the current figures. Its cost grows with the number of classes
// only.
func (d *Dispatcher) Stats(now time.Duration) Stats {
	s := Stats{
		Counts:      d.counts,
		QueueLength: d.queued,
		Running:     len(d.running),
	}
	for _, c := range d.classes {
		s.Classes = append(s.Classes, ClassStats{
			Class:             c.Name,
			QueueLength:       c.queued(),
			Running:           c.running,
			RunTimeP50:        c.p50,
			RunTimeP90:        c.p90,
			ArrivalsPerSecond: c.arrivals.PerSecond(now),
			ExpectedSlots:     c.load,
			ReservedSlots:     c.keepFree,
		})
	}
	return s
}
