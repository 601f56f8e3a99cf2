// Package slots leases the slots of the backend servers of one data centre to
// entry VMs. The broker divides the slots by demand and urgency, and the leases on
// a server never exceed its slots, also while leases expire, messages are lost or
// another VM takes over as the broker.
//
// The package does no I/O and reads no clock: the daemon sends its messages and
// passes the time. It does not decide which request uses a slot (package dispatch
// does) nor which VM is the broker (package ownership does).
//
// Broker is the type to read first. Holder is its counterpart on each entry VM,
// and SyncRequest and SyncResponse are the messages between the two.
package slots

import "time"

// Default settings.
const (
	// DefaultLeaseTTL is the duration of a slot lease. The holder counts it from
	// the time when it sent the request.
	DefaultLeaseTTL = 15 * time.Second
	// DefaultLeaseGrace is the time after its end at which the broker counts a
	// lease as expired. It covers the time that a message is in flight.
	DefaultLeaseGrace = time.Second
	// DefaultRemotePercent is the part of all slots, in percent, that entry VMs
	// of other data centres may hold together.
	DefaultRemotePercent = 25
	// DefaultMaxStatusAge is the age of a server's last status up to which its
	// slots are granted. It covers three probes at one a second.
	DefaultMaxStatusAge = 3 * time.Second
)

// orphanTimeout is the time after which a server with orphaned slots is drained, if
// other holders keep it so busy that its status doesn't show whether the requests of
// expired leases have ended. A drain revokes all leases on the server, so that its
// status shows what still runs there.
const orphanTimeout = 5 * time.Second

// drainTimeout bounds a drain, because the server is out of use meanwhile. It covers
// two syncs of every holder and one status.
const drainTimeout = 2 * time.Second

// minDrainInterval is the time between two drains of one server, so that a straggler
// doesn't take its server out of use again and again.
const minDrainInterval = 30 * time.Second

// Options configures a Broker. Zero selects the default.
type Options struct {
	// DataCentre is the data centre whose slots the broker leases.
	DataCentre string
	LeaseTTL   time.Duration
	LeaseGrace time.Duration
	// RemotePercent is 0 to 100. A negative value means that VMs of other data
	// centres get no slots.
	RemotePercent int
	MaxStatusAge  time.Duration
}

// withDefaults returns o with the default for each zero field.
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

// ServerState is the state of a backend server. New slots are granted on live
// servers only.
type ServerState int

// The states of a server.
const (
	// ServerLive means that slots may be granted.
	ServerLive ServerState = iota
	// ServerLeaving means that the server accepts no new requests.
	ServerLeaving
	// ServerFailing means that probes of the server fail.
	ServerFailing
)

// Server is a backend server of the data centre.
type Server struct {
	ID    string
	Slots int
	State ServerState
}

// ServerStatus is a server's answer to GET /status.
type ServerStatus struct {
	Server string
	// InUse is the number of requests that run on the server.
	InUse int
	// SentAt is when the GET request was sent.
	SentAt time.Duration
}

// ServerSlots is a number of slots on one server.
type ServerSlots struct {
	Server string
	Slots  int
}

// SyncRequest is the SyncSlots message of an entry VM. A holder sends its next
// request only after it has the response to the last one or has abandoned it; it
// never uses the response to an abandoned request.
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
	// Overdue lists the slots that are in use although their lease has expired.
	Overdue []ServerSlots
	// Term is the term of the owner that granted Held.
	Term int64
	// MinSlack is the time left until the most urgent queued request must start
	// to meet its targets.
	MinSlack time.Duration
}

// SyncResponse is the answer to a SyncRequest.
type SyncResponse struct {
	// OK is false if the broker has no authority or the request is out of date.
	// The holder's slots then stay valid until its lease ends.
	OK   bool
	Term int64
	Seq  uint64
	// Granted lists the slots of the new lease. The holder must use slots beyond
	// it for no new request; they count as leased until it no longer lists them
	// in Held.
	Granted []ServerSlots
	// TTL is the duration of the lease, from the time when the request was sent.
	TTL time.Duration
}
