package owner

import (
	"time"

	"gypsumwinch/internal/cell"
)

// maxIdleTime is how long a job that could run may have nothing running while under half of its
// service is in use.
const maxIdleTime = 3 * time.Second

const (
	// idleMargin is the part of maxIdleTime that is left for what is not measured: the answer
	// that lists the end of a run, the start request and one repetition of it.
	idleMargin = 400 * time.Millisecond
	// maxExpectedDelay bounds each measured delay: an outage that has ended does not count in full.
	maxExpectedDelay = time.Second
	// pauseMemory is how long a pause of the owner counts at least.
	pauseMemory = 5 * time.Second
	// minPause is the time without a Tick from which it counts as a pause of the owner. Ticks follow
	// each other after 25 ms.
	minPause = 100 * time.Millisecond
	// recordDelayWeight is the weight of a new sample in the delay of records.
	recordDelayWeight = 0.3
)

// startDelay is what the owner knows about the time between an event and the start that follows
// from it. On a slow VM it exceeds by far what the steps of a start take by themselves.
type startDelay struct {
	lastTickAt time.Duration
	// longestPause and formerPause are the longest times between two Ticks since pausesSince and
	// in the pauseMemory before.
	longestPause, formerPause time.Duration
	pausesSince               time.Duration
	// paused is the sum of all pauses; each counts up to maxExpectedDelay.
	paused time.Duration
	// recording is the moving average of the time from the plan of a run to its record.
	recording time.Duration
}

// observeTick measures the time since the last Tick.
func (d *startDelay) observeTick(now time.Duration) {
	if now-d.pausesSince >= pauseMemory {
		d.formerPause, d.longestPause, d.pausesSince = d.longestPause, 0, now
	}
	if d.lastTickAt > 0 {
		d.longestPause = max(d.longestPause, now-d.lastTickAt)
	}
	d.paused = d.pausedUntil(now)
	d.lastTickAt = now
}

// pausedUntil returns the sum of all pauses up to now.
func (d *startDelay) pausedUntil(now time.Duration) time.Duration {
	if pause := now - d.lastTickAt; d.lastTickAt > 0 && pause >= minPause {
		return d.paused + min(pause, maxExpectedDelay)
	}
	return d.paused
}

// observeRecord adds the time that the record of a batch of planned runs has taken.
func (d *startDelay) observeRecord(took time.Duration) {
	d.recording += time.Duration(recordDelayWeight * float64(took-d.recording))
}

// expected returns the time to expect from an event to the start request that follows from it. The
// owner may pause before it handles the event and again before it handles the answer to the record.
func (d *startDelay) expected() time.Duration {
	pause := min(max(d.longestPause, d.formerPause), maxExpectedDelay)
	return pause + max(pause, min(d.recording, maxExpectedDelay))
}

// idleAvoidTime returns how long a step without a run goes on avoiding workers: up to
// idleAvoidLimit, but no longer than what the start takes afterwards leaves of maxIdleTime.
func (m *Machine) idleAvoidTime(q *cell.Queue) time.Duration {
	left := maxIdleTime - idleMargin - m.startDelay.expected()
	if q.Advice != nil {
		left -= q.Advice.AnswerTime(queryWorkers)
	}
	return max(0, min(idleAvoidLimit, left))
}
