package dispatch

import "time"

// Action is one output of the dispatcher. Complete, Reject and ReportUnknown are
// final: every accepted Enqueue gets exactly one of them.
type Action interface{ action() }

// Send asks the daemon to send a request to a server over one held slot.
type Send struct {
	ID     string
	Server string
	// Attempt counts the sends of the request from 1.
	Attempt int
}

// Complete asks the daemon to pass the answer of the given attempt to the
// caller.
type Complete struct {
	ID      string
	Attempt int
}

// Reject tells the caller that its request was not run.
type Reject struct {
	ID     string
	Reason string
	// RetryAfter is zero if a retry would not help.
	RetryAfter time.Duration
}

// ReportUnknown tells the caller that its request may or may not have run.
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

// LogStart asks the daemon to write the start of a held request to the log. It
// is emitted when the request is among the first logAhead of its class, so that
// the log's latency overlaps with the time in the queue, while a VM that dies
// leaves few starts on the log that never ran. A Reject may still follow; the
// daemon then logs that the request was not run.
type LogStart struct{ ID string }

// Duplicate tells that an Enqueue was ignored because its id is in use.
type Duplicate struct{ ID string }

// SlotDemand tells the broker of a data centre how many slots this VM could use
// in total, over all of the data centre's servers. It is emitted when the number
// has changed, at most once per wantsInterval, or TickInterval while urgent work
// waits for a slot. Holdings tells what is held.
type SlotDemand struct {
	DataCentre string
	Slots      int
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
