// Package ownership decides which entry VM owns a data centre. It folds stream
// "owners", keeps leases on the workers of the data centre and says at any
// moment whether this instance may start tasks and grant slots. It is pure: it
// does no I/O and reads no clock.
package ownership

import (
	"time"

	"gypsumwinch/internal/records"
)

// Default timings. They are the numbers of section 5.1 of the design page.
const (
	// DefaultHeartbeatInterval is the time between two heartbeats of the owner.
	DefaultHeartbeatInterval = 2 * time.Second
	// DefaultHeartbeatTimeout is how long no heartbeat may be read, while the
	// log answers, before other VMs claim.
	DefaultHeartbeatTimeout = 6 * time.Second
	// DefaultAuthorityPeriod is how long a read to the end of the log, counted
	// from its sending, shows that there is no later claim.
	DefaultAuthorityPeriod = 4 * time.Second
	// DefaultMargin is the time that a message may be in flight. Authority and
	// leases end this much earlier for the sender.
	DefaultMargin = time.Second
	// DefaultLeaseTTL is the duration of a lease on a worker.
	DefaultLeaseTTL = 10 * time.Second
	// DefaultRenewInterval is the time between two renewals of such a lease.
	DefaultRenewInterval = 3 * time.Second
	// DefaultIsolationLimit is how long an owner may go on without the log.
	DefaultIsolationLimit = 2 * time.Hour
	// DefaultClaimJitter bounds the random delay before a claim.
	DefaultClaimJitter = 2 * time.Second
	// DefaultVacantClaimJitter bounds that delay when there is no owner to wait
	// for, since the data centre never had one or the owner released it.
	DefaultVacantClaimJitter = 300 * time.Millisecond
	// DefaultTaskLeaseTTL is how long tasks go on after the last renewal of their
	// worker's lease. It exceeds the time from the death of an owner to the
	// first renewal by its successor, so that a takeover ends no task.
	DefaultTaskLeaseTTL = 30 * time.Second
	// DefaultSlotLeaseTTL is the duration of a slot lease that an owner grants.
	// It exceeds the time from the death of an owner to the first grant of its
	// successor, so that holders keep their slots.
	DefaultSlotLeaseTTL = 15 * time.Second
	// DefaultRosterRetention is how long an earlier list of workers still counts
	// in the majority. It exceeds the lag of the VM list, so that two VMs with
	// different lists share at least one for which both need a majority.
	DefaultRosterRetention = time.Minute
)

// Options configures a Machine. A zero duration selects the default.
type Options struct {
	VM         string
	Instance   string
	DataCentre string
	// Addr is where peers reach this VM, as host:port.
	Addr string
	// Seed seeds the jitter. VMs use different seeds.
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
	// TaskLeaseTTL is how long tasks on a worker go on after the last renewal of
	// its lease.
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

// maxTaskLifetime is how long a lease request may keep tasks alive after its sending.
func (o Options) maxTaskLifetime() time.Duration {
	return max(o.TaskLeaseTTL, o.LeaseTTL) + 2*o.Margin
}

// successorWait is how long a successor waits after it has read its claim: the
// former owner's authority ends, then the lease of the last renewal that it
// sent, with a margin for that message.
func (o Options) successorWait() time.Duration {
	return o.AuthorityPeriod + o.TaskLeaseTTL + o.Margin
}

// formerSendPeriod is how long after a claim was read the former owner may send.
func (o Options) formerSendPeriod() time.Duration {
	return o.AuthorityPeriod + o.Margin
}

// Authority is what an instance may do at one moment.
type Authority struct {
	// MayStartTasks is true if the instance may start tasks now.
	MayStartTasks bool
	// MayGrantSlots is true if the instance may grant slots of backend servers now. A
	// successor may do so before it may start tasks.
	MayGrantSlots bool
	// Term is the term with which it acts, NoTerm if it owns nothing. It
	// orders leases and records of all owners; see MakeTerm.
	Term int64
	// ClaimOffset is the offset of the claim on stream "owners" that Term is
	// based on, records.NoTerm if there is none.
	ClaimOffset int64
	// Limited means that tasks accepted before the claim must not be started,
	// since a former owner may be running them on workers out of reach.
	Limited bool
	// OwnedSince is when the instance began to own the data centre with this term.
	OwnedSince time.Duration
	// ExpiresAt is when the authority ends unless it is extended before.
	ExpiresAt time.Duration
}

// Owner is the owner of a data centre as far as an instance knows.
type Owner struct {
	// Term is NoTerm if no owner is known.
	Term     int64
	Instance string
	// Addr is empty if it is not known.
	Addr string
}

// Event is an input of a Machine.
type Event interface{ isEvent() }

// LogRecord is a record of stream "owners". The records of all data centres are
// passed on, in the order of their offsets. The stream is read from offset 0,
// or from the first record kept.
type LogRecord struct {
	Offset int64
	// Time is the log's time of the record.
	Time   time.Time
	Record records.Record
}

// LogRead is the success of a read of stream "owners". It follows the records
// that the read returned.
type LogRead struct {
	// SentAt is when the read was sent. Reads wait for at most a second on the
	// log, since authority counts from this moment.
	SentAt time.Duration
	// AtEnd is true if the read reached the end of the stream.
	AtEnd bool
	// NextOffset is the offset after the last record.
	NextOffset int64
}

// LogUnreachable is the failure of a read of stream "owners".
type LogUnreachable struct{}

// AppendResult is the result of an append that an action asked for.
type AppendResult struct {
	// Failed means that the append returned an error. It may have taken effect.
	Failed bool
}

// LeaseResult is the answer of a worker to AcquireLease or RenewLease. An
// answer that is lost gives no event.
type LeaseResult struct {
	Worker  string
	Granted bool
	// RequestTerm is the term in the request that is answered.
	RequestTerm int64
	// HeldBy is the instance that holds the lease after the answer.
	HeldBy string
	// Term is the highest term that the worker has seen.
	Term int64
	// RemainingTTL is the rest of the lease of HeldBy.
	RemainingTTL time.Duration
	// SentAt is when the request was sent.
	SentAt time.Duration
}

// RosterChanged gives the workers of the data centre.
type RosterChanged struct{ Workers []string }

// WorkerInventory tells that the daemon knows what runs on a worker, after an
// AskInventory.
type WorkerInventory struct {
	Worker string
	// HeldBy, Term and Remaining are the lease on the worker at its answer.
	HeldBy       string
	Term         int64
	RemainingTTL time.Duration
	// SentAt is when the question was sent.
	SentAt time.Duration
}

// PeerOwner is what a peer of the same data centre says about the owner.
type PeerOwner struct {
	Term     int64
	Instance string
	Addr     string
}

// Shutdown gives up the ownership on shutdown. The instance never claims again.
type Shutdown struct{}

// Tick lets time pass. It is due about every 200 ms.
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

// Action is an output of a Machine.
type Action interface{ isAction() }

// AppendClaim appends a claim to stream "owners".
type AppendClaim struct{ Claim records.Claim }

// AppendHeartbeat appends a heartbeat to stream "owners".
type AppendHeartbeat struct{ Heartbeat records.Heartbeat }

// AppendRelease appends a release to stream "owners".
type AppendRelease struct{ Release records.Release }

// AcquireLease asks a worker for a lease that the instance doesn't hold.
type AcquireLease struct {
	Worker string
	Term   int64
	TTL    time.Duration
}

// RenewLease extends the lease of a worker.
type RenewLease struct {
	Worker string
	Term   int64
	TTL    time.Duration
}

// ReleaseLease ends the lease of a worker, so that a successor gets it at once.
// Tasks on the worker go on until the time at which the lease would have ended.
type ReleaseLease struct {
	Worker string
	Term   int64
}

// AskInventory asks a worker what runs there and who holds its lease. It needs no
// lease and extends none. The answer is WorkerInventory.
type AskInventory struct{ Worker string }

// StartSlots lets the instance grant slots. Until QuietUntil, leases of the
// former owner may last of which the instance doesn't know.
type StartSlots struct {
	Term       int64
	QuietUntil time.Duration
}

// StartOwning lets the instance start tasks. It is given again when a limit ends
// or when the term changes because a takeover without the log reached the log.
type StartOwning struct {
	Term    int64
	Limited bool
}

// StopOwning ends StartSlots and StartOwning.
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

// roundBits is the number of low bits of a term that count takeovers during an
// outage of the log.
const roundBits = 16

// MakeTerm returns the term of the given takeover without the log, counted from
// 1, after the claim at the given offset. Round 0 is the claim itself. Terms are
// above those of all earlier claims and rounds, and below those of any later
// claim.
func MakeTerm(claimOffset int64, round int64) int64 {
	if claimOffset < 0 {
		return NoTerm
	}
	return claimOffset<<roundBits | round
}

// ClaimOffset returns the offset of the claim that a term is based on.
func ClaimOffset(term int64) int64 {
	if term < 0 {
		return records.NoTerm
	}
	return term >> roundBits
}
