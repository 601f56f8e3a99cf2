// Package slots is the broker of the backend server slots of one data centre.
// It leases slots to entry VMs and moves them by demand and urgency, so that the
// leases on a server never exceed its slots. It is pure: it does no I/O and
// reads no clock.
package slots

import "time"

// Default settings.
const (
	// DefaultLeaseTTL is the duration of a slot lease, counted by the holder
	// from the sending of its request.
	DefaultLeaseTTL = 15 * time.Second
	// DefaultLeaseGrace is the time that a message may be in flight. The broker
	// counts a lease as lapsed only this much after its end.
	DefaultLeaseGrace = time.Second
	// DefaultRemotePercent is the part of all slots that callers in other data
	// centres may hold together, in percent.
	DefaultRemotePercent = 25
	// DefaultMaxStatusAge is how old the last status of a server may be for
	// new grants on it. It covers three probes at one a second.
	DefaultMaxStatusAge = 3 * time.Second
)

// drainAfter is how long slots of lapsed leases may stay unproven on a busy
// server before its leases are revoked to see what still runs there.
const drainAfter = 5 * time.Second

// drainFor bounds such a revocation. It covers two syncs of every holder and one
// status, while a server is out of use.
const drainFor = 2 * time.Second

// drainPause is the time between two such revocations on one server, so that a
// straggler doesn't take its server out of use again and again.
const drainPause = 30 * time.Second

// Options configures a Broker. Zero selects the default.
type Options struct {
	DataCentre string
	LeaseTTL   time.Duration
	LeaseGrace time.Duration
	// RemotePercent is in percent. A negative value means none.
	RemotePercent int
	MaxStatusAge  time.Duration
}

func (o Options) withDefaults() Options {
	if o.LeaseTTL == 0 {
		o.LeaseTTL = DefaultLeaseTTL
	}
	if o.LeaseGrace == 0 {
		o.LeaseGrace = DefaultLeaseGrace
	}
	if o.RemotePercent == 0 {
		o.RemotePercent = DefaultRemotePercent
	}
	if o.MaxStatusAge == 0 {
		o.MaxStatusAge = DefaultMaxStatusAge
	}
	o.RemotePercent = max(o.RemotePercent, 0)
	return o
}

// ServerState tells whether a server may receive work.
type ServerState int

// The states of a server.
const (
	// ServerLive means that slots may be granted.
	ServerLive ServerState = iota
	// ServerLeaving means that the server takes no new work.
	ServerLeaving
	// ServerFailing means that the server doesn't answer as it should.
	ServerFailing
)

// Server is a backend server of the data centre.
type Server struct {
	ID    string
	Slots int
	State ServerState
}

// ServerStatus is an answer of a server to GET /status.
type ServerStatus struct {
	Server string
	// InUse is the number of requests that run on the server.
	InUse int
	// SentAt is when the question was sent.
	SentAt time.Duration
}

// ServerSlots is a number of slots on one server.
type ServerSlots struct {
	Server string
	Slots  int
}

// SyncRequest is the message SyncSlots of an entry VM. A holder sends its next
// request only after it has the answer to the last one or has given it up; it
// never uses an answer that it has given up.
type SyncRequest struct {
	VM         string
	Instance   string
	DataCentre string
	// Seq counts the requests of the instance from 1. A request that arrives
	// after a later one is refused.
	Seq uint64
	// Held lists the slots under an unexpired lease, and those in use.
	Held []ServerSlots
	// Demand is the number of slots that the holder could use in total.
	Demand int
	// Overdue lists slots in use whose lease has lapsed.
	Overdue []ServerSlots
	// Term is the term of the owner that granted Held.
	Term int64
	// MinSlack is the time left for the most urgent queued work.
	MinSlack time.Duration
}

// SyncResponse is the answer to a SyncRequest.
type SyncResponse struct {
	// OK is false if the broker has no authority or the request is out of date.
	// The holder then keeps what it has until its lease ends.
	OK   bool
	Term int64
	Seq  uint64
	// Granted is the new holding. Slots above it take no new work and count as
	// held until the holder no longer lists them.
	Granted []ServerSlots
	// TTL counts from the sending of the request.
	TTL time.Duration
}
