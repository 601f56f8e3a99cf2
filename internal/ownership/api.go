// Package ownership decides which entry VM owns a data centre. The owner is
// the only VM that may start tasks on the workers of the data centre and
// grant slots of its backend servers. The package processes the records of
// stream "owners", manages leases on the workers and reports at any moment
// what this instance may do.
//
// It does no I/O and reads no clock: the caller passes events and the time to
// Machine.Apply, carries out the returned actions, and calls
// Machine.Authority and Machine.MayLease before it sends anything. It places
// no tasks and grants no slots itself.
//
// Read Machine first, then the events and actions in this file.
package ownership

import (
	"time"

	"gypsumwinch/internal/records"
)

// Default timings. They are the numbers of section 5.1 of the design page.
const (
	// DefaultHeartbeatInterval is the time between two heartbeats of the owner.
	DefaultHeartbeatInterval = 2 * time.Second
	// DefaultHeartbeatTimeout is the time without a heartbeat on the log after
	// which other VMs claim the data centre, as long as they can read the log.
	DefaultHeartbeatTimeout = 6 * time.Second
	// DefaultAuthorityPeriod is how long a read to the end of the log proves
	// that there is no later claim, counted from the sending of the read.
	DefaultAuthorityPeriod = 4 * time.Second
	// DefaultMargin is the longest time that a message may be in flight.
	// Authority and leases end this much earlier for the sender.
	DefaultMargin = time.Second
	// DefaultLeaseTTL is the duration of a lease on a worker.
	DefaultLeaseTTL = 10 * time.Second
	// DefaultRenewInterval is the time between two renewals of such a lease.
	DefaultRenewInterval = 3 * time.Second
	// DefaultIsolationLimit is how long an owner may continue without reading
	// the log.
	DefaultIsolationLimit = 2 * time.Hour
	// DefaultClaimJitter bounds the random delay before a claim.
	DefaultClaimJitter = 2 * time.Second
	// DefaultVacantClaimJitter bounds that delay when the data centre never
	// had an owner or the owner released it, so that there is no owner to wait
	// for.
	DefaultVacantClaimJitter = 300 * time.Millisecond
	// DefaultTaskLeaseTTL is how long tasks keep running after the last
	// renewal of their worker's lease. It exceeds the time from the failure of
	// an owner to the first renewal by its successor, so that a takeover ends
	// no task.
	DefaultTaskLeaseTTL = 30 * time.Second
	// DefaultSlotLeaseTTL is the duration of a slot lease that an owner
	// grants. It exceeds the time from the failure of an owner to the first
	// grant by its successor, so that holders keep their slots.
	DefaultSlotLeaseTTL = 15 * time.Second
	// DefaultRosterRetention is how long an earlier list of workers still
	// counts for the majority. It exceeds the lag of the VM list, so that two
	// VMs with different lists have at least one list in common of which both
	// need a majority.
	DefaultRosterRetention = time.Minute
)

// Options configures a Machine. A zero duration selects the default; the
// Default constants describe the durations.
type Options struct {
	VM         string
	Instance   string
	DataCentre string
	// Addr is where peers reach this VM, as host:port.
	Addr string
	// Seed seeds the jitter. Each VM uses a different seed.
	Seed uint64

	HeartbeatInterval time.Duration
	HeartbeatTimeout  time.Duration
	AuthorityPeriod   time.Duration
	Margin            time.Duration
	LeaseTTL          time.Duration
	RenewInterval     time.Duration
	IsolationLimit    time.Duration
	ClaimJitter       time.Duration
	VacantClaimJitter time.Duration
	RosterRetention   time.Duration
	// TaskLeaseTTL is how long tasks on a worker keep running after the last
	// renewal of its lease.
	TaskLeaseTTL time.Duration
	SlotLeaseTTL time.Duration
}

func (o Options) withDefaults() Options {
	def := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	def(&o.HeartbeatInterval, DefaultHeartbeatInterval)
	def(&o.HeartbeatTimeout, DefaultHeartbeatTimeout)
	def(&o.AuthorityPeriod, DefaultAuthorityPeriod)
	def(&o.Margin, DefaultMargin)
	def(&o.LeaseTTL, DefaultLeaseTTL)
	def(&o.RenewInterval, DefaultRenewInterval)
	def(&o.IsolationLimit, DefaultIsolationLimit)
	def(&o.ClaimJitter, DefaultClaimJitter)
	def(&o.VacantClaimJitter, DefaultVacantClaimJitter)
	def(&o.RosterRetention, DefaultRosterRetention)
	def(&o.TaskLeaseTTL, DefaultTaskLeaseTTL)
	def(&o.SlotLeaseTTL, DefaultSlotLeaseTTL)
	return o
}

// maxTaskLifetime is how long after its sending a lease request can keep
// tasks running.
func (o Options) maxTaskLifetime() time.Duration {
	return max(o.TaskLeaseTTL, o.LeaseTTL) + 2*o.Margin
}

// successorWait is how long a successor waits after it has read its claim
// until tasks on workers that it does not reach have ended: the former
// owner's authority ends, then the lease of the last renewal that it sent,
// with a margin for that message.
func (o Options) successorWait() time.Duration {
	return o.AuthorityPeriod + o.TaskLeaseTTL + o.Margin
}

// formerSendPeriod is how long after a claim was read the former owner may
// still send messages.
func (o Options) formerSendPeriod() time.Duration {
	return o.AuthorityPeriod + o.Margin
}

// Authority is what an instance may do at one moment, returned by
// Machine.Authority.
type Authority struct {
	// MayStartTasks is true if the instance may start tasks now.
	MayStartTasks bool
	// MayGrantSlots is true if the instance may grant slots of backend servers
	// now. A successor may do so before it may start tasks.
	MayGrantSlots bool
	// Term is the fencing token with which the instance acts, NoTerm if it
	// owns nothing. It orders the leases and records of all owners; see
	// MakeTerm.
	Term int64
	// ClaimOffset is the offset of the claim on stream "owners" that Term is
	// based on, records.NoTerm if there is none.
	ClaimOffset int64
	// Limited means that tasks accepted before the claim must not be started,
	// since a former owner may be running them on workers that are
	// unreachable.
	Limited bool
	// OwnedSince is when the instance began to own the data centre with this
	// term.
	OwnedSince time.Duration
	// ExpiresAt is when the authority ends unless it is extended before.
	ExpiresAt time.Duration
}

// Owner is the owner of a data centre as far as an instance knows, returned
// by Machine.Owner.
type Owner struct {
	// Term is NoTerm if no owner is known.
	Term     int64
	Instance string
	// Addr is empty if it is not known.
	Addr string
}

// Event is an input of Machine.Apply.
type Event interface{ isEvent() }

// LogRecord is a record of stream "owners". The caller passes the records of
// all data centres in the order of their offsets, from offset 0 or from the
// first record that the log retains.
type LogRecord struct {
	Offset int64
	// Time is the log's timestamp of the record.
	Time   time.Time
	Record records.Record
}

// LogRead reports a successful read of stream "owners". It follows the
// records that the read returned.
type LogRead struct {
	// SentAt is when the read was sent. Authority counts from this moment, so
	// a read waits for new records for at most a second.
	SentAt time.Duration
	// AtEnd is true if the read reached the end of the stream.
	AtEnd bool
	// NextOffset is the offset after the last record.
	NextOffset int64
}

// LogUnreachable reports a failed read of stream "owners".
type LogUnreachable struct{}

// AppendResult is the result of an append that an action requested.
type AppendResult struct {
	// Failed means that the append returned an error. It may still have taken
	// effect.
	Failed bool
}

// LeaseResult is the response of a worker to AcquireLease or RenewLease. A
// lost response causes no event.
type LeaseResult struct {
	Worker  string
	Granted bool
	// RequestTerm is the term of the request.
	RequestTerm int64
	// HeldBy is the instance that holds the lease after the request.
	HeldBy string
	// Term is the highest term that the worker has received.
	Term int64
	// RemainingTTL is the time left of the lease of HeldBy.
	RemainingTTL time.Duration
	// SentAt is when the request was sent.
	SentAt time.Duration
}

// RosterChanged is the current list of the workers of the data centre.
type RosterChanged struct{ Workers []string }

// WorkerInventory reports that the caller has received the list of tasks that
// run on a worker, after an AskInventory.
type WorkerInventory struct {
	Worker string
	// HeldBy, Term and RemainingTTL are the lease on the worker when it
	// responded.
	HeldBy       string
	Term         int64
	RemainingTTL time.Duration
	// SentAt is when the request was sent.
	SentAt time.Duration
}

// PeerOwner is the owner that a peer of the same data centre reports.
type PeerOwner struct {
	Term     int64
	Instance string
	Addr     string
}

// Shutdown gives up the ownership because the instance stops. The instance
// never claims again.
type Shutdown struct{}

// Tick advances time. The caller sends it about every 200 ms.
type Tick struct{}

func (LogRecord) isEvent()       {}
func (LogRead) isEvent()         {}
func (LogUnreachable) isEvent()  {}
func (AppendResult) isEvent()    {}
func (LeaseResult) isEvent()     {}
func (RosterChanged) isEvent()   {}
func (WorkerInventory) isEvent() {}
func (PeerOwner) isEvent()       {}
func (Shutdown) isEvent()        {}
func (Tick) isEvent()            {}

// Action is an output of Machine.Apply, for the caller to carry out. Trace
// logs of the caller contain the names of action types and of their fields.
type Action interface{ isAction() }

// AppendClaim appends a claim to stream "owners".
type AppendClaim struct{ Claim records.Claim }

// AppendHeartbeat appends a heartbeat to stream "owners".
type AppendHeartbeat struct{ Heartbeat records.Heartbeat }

// AppendRelease appends a release to stream "owners".
type AppendRelease struct{ Release records.Release }

// AcquireLease requests a lease on a worker that the instance does not hold.
type AcquireLease struct {
	Worker string
	Term   int64
	TTL    time.Duration
}

// RenewLease extends the lease on a worker that the instance holds.
type RenewLease struct {
	Worker string
	Term   int64
	TTL    time.Duration
}

// ReleaseLease ends the lease on a worker, so that a successor can acquire it
// at once. Tasks on the worker keep running until the time at which the lease
// would have ended.
type ReleaseLease struct {
	Worker string
	Term   int64
}

// AskInventory asks a worker what runs on it and who holds its lease. It
// needs no lease and extends none. The response is WorkerInventory.
type AskInventory struct{ Worker string }

// StartSlots allows the instance to grant slots. Until QuietUntil, slot
// leases of the former owner may exist that the instance does not know.
type StartSlots struct {
	Term       int64
	QuietUntil time.Duration
}

// StartOwning allows the instance to start tasks. It is returned again when
// Limited ends, and when the term changes because the claim of an interim
// owner reached the log.
type StartOwning struct {
	Term    int64
	Limited bool
}

// StopOwning revokes StartSlots and StartOwning. Reason is text for the log.
type StopOwning struct {
	Term   int64
	Reason string
}

func (AppendClaim) isAction()     {}
func (AppendHeartbeat) isAction() {}
func (AppendRelease) isAction()   {}
func (AcquireLease) isAction()    {}
func (RenewLease) isAction()      {}
func (ReleaseLease) isAction()    {}
func (AskInventory) isAction()    {}
func (StartSlots) isAction()      {}
func (StartOwning) isAction()     {}
func (StopOwning) isAction()      {}

// NoTerm is the term when no owner is known.
const NoTerm int64 = -1

// roundBits is the number of low bits of a term that count takeovers without
// the log. The bits above are the offset of the claim.
const roundBits = 16

// MakeTerm returns the term of a takeover without the log after the claim at
// the given offset. round counts these takeovers from 1; round 0 is the claim
// itself. The term is above those of all earlier claims and rounds, and below
// those of any later claim.
func MakeTerm(claimOffset int64, round int64) int64 {
	if claimOffset < 0 {
		return NoTerm
	}
	return claimOffset<<roundBits | round
}

// ClaimOffset returns the offset of the claim that a term is based on,
// records.NoTerm if there is none.
func ClaimOffset(term int64) int64 {
	if term < 0 {
		return records.NoTerm
	}
	return term >> roundBits
}
