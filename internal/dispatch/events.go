package dispatch

import (
	"time"

	"gypsumwinch/internal/structs"
)

// Event is one input of the dispatcher.
type Event interface{ event() }

// Enqueue adds a caller's request to the queue. An ID that is queued or running
// must not be enqueued again; such an event is ignored and Apply returns a
// Duplicate action.
type Enqueue struct {
	ID            string
	Class         string
	NonIdempotent bool
	// At is the time when the request was received, on the same clock as now.
	At time.Duration
	// MustLogStart means that the request must not be sent before a StartLogged
	// event. The dispatcher asks for its start record with a LogStart action.
	MustLogStart bool
}

// StartLogged reports that the start record of a request with MustLogStart was
// written to the log and read back, and that this VM's record takes precedence
// over those of other VMs.
type StartLogged struct{ ID string }

// Cancel withdraws a request, because its caller disconnected or because the
// daemon refuses it, for example when its start could not be logged. A queued
// request is answered with a Reject that carries Reason. A running request is
// aborted if it is idempotent, else its attempt is left to finish.
type Cancel struct {
	ID     string
	Reason string
}

// SlotsChanged sets the number of slots that this VM holds on a server. It
// replaces the previous number and expiry.
type SlotsChanged struct {
	Server     string
	DataCentre string
	// Count is the total held, including slots in use.
	Count int
	// Expires is when the lease ends on the monotonic clock. Nothing is sent
	// in the last ExpiryMargin before it.
	Expires time.Duration
}

// Health is the state of a backend server as this VM sees it.
type Health string

// The states of a backend server.
const (
	HealthLive    Health = "live"
	HealthLeaving Health = "leaving"
	HealthFailing Health = "failing"
	// HealthRemoved is a server that no longer exists. The dispatcher forgets it
	// when the attempts on it have ended.
	HealthRemoved Health = "gone"
)

// ServerChanged reports that a server's health or number of slots changed. A
// server without such an event is live. New attempts are sent to live servers
// only.
type ServerChanged struct {
	Server     string
	DataCentre string
	Health     Health
	// Slots is the server's number of slots, for all VMs together. Zero means
	// unknown and leaves a number received before in place.
	Slots int
}

// Result is the way in which an attempt ended.
type Result string

// The results of an attempt.
const (
	// ResultOK means that the whole answer is present and verified.
	ResultOK Result = "ok"
	// ResultRefused means that certainly nothing ran: the server refused the
	// request before it began, or the daemon could not connect.
	ResultRefused Result = "refused"
	// ResultFailed means that the attempt ran and has ended without an answer
	// that can be passed on.
	ResultFailed Result = "failed"
	// ResultLost means that the connection ended after the request was sent,
	// so that the attempt may have run, in part or whole. The daemon reports it
	// only when the server has ended the attempt or ends it with the connection.
	ResultLost Result = "lost"
	// ResultAborted means that the attempt was stopped after an Abort action.
	ResultAborted Result = "aborted"
)

// Finished reports that an attempt ended. It is ignored unless the attempt is the
// live one of the request.
type Finished struct {
	ID      string
	Attempt int
	Result  Result
}

// Tick triggers the decisions that depend on time: rejections, aborts of
// stragglers, SlotDemand actions. The daemon sends one every TickInterval.
type Tick struct{}

// ClassesChanged replaces the classes. Queued requests of a class that is removed
// keep its targets; new requests of that class are rejected.
type ClassesChanged struct{ Classes []structs.Class }

func (Enqueue) event()        {}
func (StartLogged) event()    {}
func (Cancel) event()         {}
func (SlotsChanged) event()   {}
func (ServerChanged) event()  {}
func (Finished) event()       {}
func (Tick) event()           {}
func (ClassesChanged) event() {}
