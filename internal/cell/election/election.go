// Package election elects the entry VM that owns the cell, and keeps its
// ownership. Claims and heartbeats are conditional appends to one topic of the
// store: each is accepted only if the topic still ends where its writer expects,
// so that no two VMs hold the same term. A VM claims the cell when the store
// answers and has no new heartbeat.
//
// The package does not decide what the owner does, and does not contact other
// VMs: the caller reports through Options.OwnerStatus what it received from the
// owner. Read Election first.
//
// A term is the number of one ownership period: the offset after its claim, so that a
// later claim has a higher one, also that of a VM which has not read all claims before.
// The same number is the owner's fencing token in requests to workers and the epoch of
// its appends of progress. An instance is one process of a VM; a VM that restarts
// has the same address and a new instance. The newest owner record in the topic says which
// instance owns the cell, in which term, and whether it has resigned; claims,
// heartbeats and resignations all append such a record.
package election

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
)

// recordKey is the only key in the owner's topic.
const recordKey = "owner"

// Intervals and timeouts of the election.
const (
	// HeartbeatInterval is the time between two heartbeats of the owner.
	HeartbeatInterval = 250 * time.Millisecond
	// HeartbeatTimeout is how long the store must return no heartbeat before a VM
	// claims the cell: two heartbeats may be missing. A needless takeover costs about
	// 40 ms.
	HeartbeatTimeout = 600 * time.Millisecond
	// latencyFactor times the latency of the store is added to HeartbeatTimeout,
	// since both the append of a heartbeat and its read take longer on a slow store.
	latencyFactor = 3
	// ownerCheckInterval is the time between two checks of a healthy owner's status.
	ownerCheckInterval = 150 * time.Millisecond
	// appendTimeout bounds one append, on top of latencyFactor times the latency of
	// the store. After an outage in which appends got no answer, the owner must
	// repeat its heartbeat within HeartbeatTimeout of the end of the outage.
	appendTimeout = 450 * time.Millisecond
	// retryInterval is the pause after a failed call.
	retryInterval = 100 * time.Millisecond
	// resignCooldown is how long a VM that resigned makes no claim, so that another
	// VM can.
	resignCooldown = 5 * time.Second
)

// OwnerRecord is the record that claims, heartbeats and resignations append to the
// owner's topic, as JSON. The newest one says who owns the cell.
type OwnerRecord struct {
	Term int64  `json:"t"`
	Node string `json:"n"`
	Addr string `json:"a"`
	// Instance identifies one process; a restarted process has a new one.
	Instance string `json:"i"`
	// Resigned is set by an owner that gives the cell up.
	Resigned bool `json:"r,omitempty"`
	// FormerRenewalsMS is for how many milliseconds after this record was sent an owner
	// of an earlier term may renew leases: 0 if that is not known, else at least 1.
	FormerRenewalsMS int64 `json:"f,omitempty"`
	// Leases bounds the leases of the workers that do not answer the owner; nil if that
	// is not known.
	Leases *Leases `json:"l,omitempty"`
}

// Options are the identity of this VM and the callbacks of an Election. The
// callbacks are called from the goroutine that runs a method of the Election.
type Options struct {
	Node     string
	Addr     string
	Instance string
	// ClaimDelay is added to HeartbeatTimeout, so that better suited VMs, which have
	// a shorter delay, claim first.
	ClaimDelay time.Duration
	// OwnerStatus returns what this VM last received from the owner directly.
	OwnerStatus func() OwnerStatus
	// StoreLatency returns the latency of the latest call of the store.
	StoreLatency func() time.Duration
	// Now returns a monotonic time that also advances while the machine is suspended.
	Now func() time.Duration
	// OnRecord is called with each owner record that was read, and with this VM's
	// own claim.
	OnRecord func(OwnerRecord)
	// OnHeartbeat is called when the store has accepted a heartbeat. sentAt, on the
	// clock of Now, is when the call was sent that shows it: the process may have been
	// paused since.
	OnHeartbeat func(sentAt time.Duration)
	// Leases returns what the next heartbeat records about leases and the version of
	// it, or nil to repeat what FindFormerRenewalsEnd has read. OnLeases is called with
	// the version when the store has accepted it. Both may be nil.
	Leases   func() (bounds []LeaseBound, version int64)
	OnLeases func(version int64)
	// Log writes a message with key-value pairs to the log.
	Log func(message string, details ...any)
}

// OwnerStatus is what the owner reported about itself; the zero value if nothing
// is known.
type OwnerStatus struct {
	// Term and Instance identify the owner that sent the status.
	Term     int64
	Instance string
	// Healthy is true if the owner answered lately and the store accepts its
	// heartbeats.
	Healthy bool
	// HeartbeatOffset is the end of the owner's topic after its last heartbeat.
	HeartbeatOffset int64
	// Age is how long ago the owner sent this status.
	Age time.Duration
}

// Election reads the owner's records and claims the cell when there is no owner.
// Campaign, SendHeartbeats, Resign, OwnedAt and LastRecord must not run concurrently; the
// other methods may be called at any time.
type Election struct {
	opts  Options
	store cell.Store
	// nextOffset is where the next record of the topic is expected.
	nextOffset int64
	// heartbeatOffset is nextOffset after this VM's last claim or heartbeat, for
	// other goroutines.
	heartbeatOffset atomic.Int64
	lastRecord      OwnerRecord
	// isNewestUnreadable is true if the newest record could not be decoded, as one of another
	// build. lastRecord is then the zero value, although the cell has an owner.
	isNewestUnreadable bool
	// ownedAt is when the call was sent that last showed that this VM owns the cell.
	ownedAt time.Duration
	// returnedTerm is the last term that Campaign has returned. No term is returned
	// twice: its number is the fencing token of one ownership, whose batches of progress
	// are numbered from 0.
	returnedTerm int64
	// ends are the proofs that ownerships have ended.
	ends endProofs
	// former is the owner before this VM's last claim.
	former formerOwner
	// formerOwners are the owners before this VM's last claim. FindFormerRenewalsEnd reads them.
	formerOwners formerOwners
	// formerRenewalsEnd is until when an owner of an earlier term may renew leases, on
	// the clock of Options.Now; 0 if that is not known.
	formerRenewalsEnd atomic.Int64
	// formerLeases are the bounds that the former owner recorded, nil if not known.
	formerLeases atomic.Pointer[[]LeaseBound]
	// suspects receives the instance of an owner whose process is reported to have
	// ended.
	suspects chan string
	// cooldownUntil is until when this VM makes no claim after it resigned, unless
	// another owner resigns in its favour.
	cooldownUntil time.Duration
	// successorOf is the instance of an owner that resigned in favour of this VM. It
	// is set by TakeOver and nil before the first call.
	successorOf atomic.Pointer[string]
}

// New returns an election that has not read any record yet.
func New(store cell.Store, opts Options) *Election {
	return &Election{opts: opts, store: store, suspects: make(chan string, 1)}
}

// Suspect reports that the process of an owner has ended, so that a claim need not
// wait for HeartbeatTimeout. Package node calls it with the owner's instance when the
// connection to the owner is refused or another instance answers at its address.
// Campaign first checks that this instance is still the owner. A report is dropped
// while an earlier one waits.
func (e *Election) Suspect(instance string) {
	select {
	case e.suspects <- instance:
	default:
	}
}

// ReportEnded is Suspect for a process that has certainly ended, since another one answers
// at its address. A refused connection is no proof: a network that is cut may refuse it.
func (e *Election) ReportEnded(addr, instance string) {
	e.ends.add(endProof{addr: addr, instance: instance, term: allTerms, at: e.opts.Now()})
	e.Suspect(instance)
}

// TakeOver reports that an owner has resigned in favour of this VM, which then
// claims the cell without ClaimDelay. Package node calls it when an owner that is
// about to stop asks this VM to succeed it; instance is the instance of that owner,
// not of this VM.
func (e *Election) TakeOver(instance string) {
	e.successorOf.Store(&instance)
	e.Suspect(instance)
}

// isSuccessor reports whether the last owner resigned in favour of this VM: the newest
// record is a resignation of the instance that TakeOver has stored in successorOf.
// Campaign calls it before a claim, to skip the cooldown and ClaimDelay.
func (e *Election) isSuccessor() bool {
	instance := e.successorOf.Load()
	return instance != nil && e.lastRecord.Resigned && e.lastRecord.Instance == *instance
}

// HeartbeatOffset returns the end of the topic after this VM's last claim or
// heartbeat.
func (e *Election) HeartbeatOffset() int64 { return e.heartbeatOffset.Load() }

// OwnedAt returns when the call was sent, on the clock of Options.Now, that last showed
// that this VM owns the cell. Package node reads it after Campaign has returned a term,
// since the process may have been paused after the call.
func (e *Election) OwnedAt() time.Duration { return e.ownedAt }

// LastRecord returns the newest record that was read or written.
func (e *Election) LastRecord() OwnerRecord { return e.lastRecord }

// Campaign watches the owner and claims the cell when there is none. It returns the
// term once this VM owns the cell, or the context's error. Package node calls it
// whenever this VM does not own the cell: at its start and after each ownership.
func (e *Election) Campaign(ctx context.Context) (int64, error) {
	loaded := false
	for ctx.Err() == nil {
		if !loaded {
			if err := e.loadNewest(ctx); err != nil {
				e.sleep(ctx, retryInterval)
				continue
			}
			loaded = true
		}
		checkedAt := e.opts.Now()
		ownerDown, err := e.checkOwner(ctx)
		if err == nil && e.ownsLastRecord() && !e.hasEnded(e.lastRecord) {
			// An earlier claim whose answer was lost was executed after all.
			e.ownedAt = checkedAt
			e.returnedTerm = e.lastRecord.Term
			return e.returnedTerm, nil
		}
		switch {
		case errors.Is(err, cell.ErrExpired):
			loaded = false
			continue
		case err != nil:
			e.sleep(ctx, retryInterval)
			continue
		case !ownerDown || e.opts.Now() < e.cooldownUntil && !e.isSuccessor():
			// A VM that resigned lets the others claim until cooldownUntil, unless the
			// next owner resigns in its favour.
			if ownerDown {
				e.sleep(ctx, retryInterval)
			}
			continue
		}
		if unclaimed, err := e.waitForOtherClaims(ctx); err != nil || !unclaimed {
			continue
		}
		term, won, err := e.claim(ctx)
		if err != nil {
			e.opts.Log("claim failed", "error", err.Error())
			e.sleep(ctx, retryInterval)
			continue
		}
		if won {
			e.returnedTerm = term
			return term, nil
		}
	}
	return 0, ctx.Err()
}

// waitForOtherClaims waits for ClaimDelay, so that VMs with a shorter delay can
// claim, and reports whether none of them did and the owner has not sent another
// heartbeat. The successor that the owner named does not wait. Campaign calls it before
// each claim.
func (e *Election) waitForOtherClaims(ctx context.Context) (unclaimed bool, err error) {
	instance, offset := e.lastRecord.Instance, e.nextOffset
	if e.isSuccessor() {
		return true, nil
	}
	e.sleep(ctx, e.opts.ClaimDelay)
	isLast, err := e.confirmLastOwner(ctx, instance)
	ownerIsBack := e.nextOffset > offset && !e.isKnownToHaveEnded(e.lastRecord)
	return isLast && !ownerIsBack, err
}

// loadNewest reads the newest record and the offset after it. Campaign calls it first,
// and again when the store has dropped the records at nextOffset.
func (e *Election) loadNewest(ctx context.Context) error {
	batch, err := e.store.Newest(ctx, cell.TopicOwner)
	if err != nil {
		return err
	}
	e.applyBatch(batch)
	e.nextOffset = max(batch.Next, 0)
	return nil
}

// ownsLastRecord reports whether this process wrote the newest record and has not
// resigned.
func (e *Election) ownsLastRecord() bool {
	return e.wrote(e.lastRecord) && !e.lastRecord.Resigned
}

// wrote reports whether this process wrote a record. The address is compared too, so that
// a VM never takes over the term of another one, whatever instances they have.
func (e *Election) wrote(r OwnerRecord) bool {
	return r.Instance == e.opts.Instance && r.Addr == e.opts.Addr
}

// claim appends a claim of a new term and reports whether this VM won it. Campaign
// calls it once the owner is down and no other VM has claimed the cell.
func (e *Election) claim(ctx context.Context) (term int64, won bool, err error) {
	rec := OwnerRecord{Term: max(e.lastRecord.Term, e.nextOffset) + 1, Node: e.opts.Node, Addr: e.opts.Addr, Instance: e.opts.Instance}
	e.former = formerOwner{record: e.lastRecord, isUnreadable: e.isNewestUnreadable, lastOffset: e.nextOffset - 1, knownAt: e.lastRecordKnownAt()}
	e.formerRenewalsEnd.Store(0)
	e.formerLeases.Store(nil)
	e.formerOwners = formerOwners{}
	sentAt := e.opts.Now()
	end, err := e.appendRecord(ctx, rec)
	var conflict *cell.ConflictError
	switch {
	case err == nil:
		e.ownedAt = sentAt
		e.nextOffset = end
		e.heartbeatOffset.Store(end)
		e.lastRecord, e.isNewestUnreadable = rec, false
		e.opts.OnRecord(rec)
		e.opts.Log("claimed the cell", "term", rec.Term, "offset", end)
		return rec.Term, true, nil
	case errors.As(err, &conflict):
		// Another VM claimed first, or an earlier claim of this VM whose answer was
		// lost was executed.
		return e.confirmClaim(ctx, rec)
	default:
		return e.confirmClaim(ctx, rec)
	}
}

// confirmClaim finds out whether the store executed a claim whose answer was lost, by
// reading the records at the offset of the claim. claim calls it after any error.
func (e *Election) confirmClaim(ctx context.Context, rec OwnerRecord) (int64, bool, error) {
	sentAt := e.opts.Now()
	batch, err := e.store.Read(ctx, cell.TopicOwner, e.nextOffset, 0)
	if err != nil {
		return 0, false, err
	}
	if len(batch.Records) == 0 {
		return 0, false, eris.New("the store neither refused nor executed the claim")
	}
	e.applyBatch(batch)
	e.nextOffset = batch.Next
	won := e.lastRecord == rec
	if won {
		e.ownedAt = sentAt
		e.heartbeatOffset.Store(e.nextOffset)
		e.opts.Log("claimed the cell", "term", rec.Term, "answer", "lost")
	}
	return rec.Term, won, nil
}

// appendRecord appends a record on condition that the topic ends at nextOffset. All
// claims, heartbeats and resignations use it.
func (e *Election) appendRecord(ctx context.Context, rec OwnerRecord) (int64, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, eris.Wrap(err, "encode owner record")
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout+latencyFactor*e.opts.StoreLatency())
	defer cancel()
	return e.store.Append(ctx, cell.Append{
		Topic:       cell.TopicOwner,
		Records:     []cell.KeyValue{{Key: recordKey, Value: value}},
		ExpectedEnd: e.nextOffset,
	})
}

// ErrDeposed is returned by SendHeartbeats and Resign when another VM owns the cell.
var ErrDeposed = errors.New("another VM owns the cell")

// deposedError returns an error that wraps ErrDeposed and names the owner of the newest
// record.
func (e *Election) deposedError() error {
	return eris.Wrapf(ErrDeposed, "%s holds term %d", e.lastRecord.Node, e.lastRecord.Term)
}

// sleep waits for a duration or until the context ends. It separates heartbeats and
// retries, and waits for ClaimDelay.
func (e *Election) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
