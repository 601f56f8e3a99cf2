package dispatch

import "time"

// Action is one output of the dispatcher. Complete, Reject and ReportUnknown are
// final: every accepted Enqueue leads to exactly one of them.
type Action interface{ action() }

// Send asks the daemon to send a request to a backend server, using one of the
// slots held there.
type Send struct {
	ID     string
	Server string
	// Attempt counts the sends of the request, starting at 1.
	Attempt int
}

// Complete asks the daemon to pass the answer of the given attempt to the
// caller.
type Complete struct {
	ID      string
	Attempt int
}

// Reject reports to the caller that its request was not run.
type Reject struct {
	ID     string
	Reason string
	// RetryAfter is zero if a retry would not help.
	RetryAfter time.Duration
}

// ReportUnknown reports to the caller that its request may or may not have run.
type ReportUnknown struct {
	ID     string
	Reason string
}

// Abort asks the daemon to stop a running attempt. The attempt stays live, and
// keeps its slot, until a Finished event for it arrives. If the answer arrives
// first, the daemon reports ResultOK as usual.
type Abort struct {
	ID      string
	Server  string
	Attempt int
}

// LogStart asks the daemon to write the start record of a request with
// MustLogStart to the log. It is emitted for the first maxLogAhead requests of a
// class, so that the latency of the log overlaps with the time in the queue. The
// limit keeps the number of start records small whose request never runs because
// the VM dies. A Reject may still follow; the daemon then logs that the request
// was not run.
type LogStart struct{ ID string }

// Duplicate reports that an Enqueue was ignored because its ID is in use.
type Duplicate struct{ ID string }

// SlotDemand reports to the broker of a data centre how many slots this VM could
// use. It is emitted when the number has changed, at most once per
// demandInterval, or once per TickInterval while an urgent request waits for a
// slot. Holdings returns the slots that are held.
type SlotDemand struct {
	DataCentre string
	// Slots is the total over all servers of the data centre, including the
	// slots already in use.
	Slots int
	// MinSlack is the smallest time left until a queued request must start to
	// meet its targets. It is negative when a target is already missed.
	MinSlack time.Duration
}

func (Send) action()          {}
func (Complete) action()      {}
func (Reject) action()        {}
func (ReportUnknown) action() {}
func (Abort) action()         {}
func (LogStart) action()      {}
func (Duplicate) action()     {}
func (SlotDemand) action()    {}
