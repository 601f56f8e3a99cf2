// Package election decides which entry VM owns the cell. The owner's record is a
// chain of conditional appends to one topic: a claim or a beat is written only
// where the topic still ends where its writer believes, so that two VMs never
// both hold a term. A VM claims when the store answers and tells of no beat.
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

// recordKey is the only recordKey of the owner's topic.
const recordKey = "owner"

// Periods of the election.
const (
	// HeartbeatInterval is the period of beats.
	HeartbeatInterval = 250 * time.Millisecond
	// HeartbeatTimeout is how long the store must tell of no beat before a claim: two
	// beats may be missing. A needless takeover costs about 40 ms.
	HeartbeatTimeout = 600 * time.Millisecond
	// latencyFactor times the latency of the store is added to ClaimAfter: both
	// a beat and its reading take longer then.
	latencyFactor = 3
	// ownerCheckInterval is how often a VM looks whether the owner is well.
	ownerCheckInterval = 150 * time.Millisecond
	// appendTimeout bounds one append beside what a slow store takes: an owner's
	// beat must be repeated within ClaimAfter of the end of an outage in which
	// appends went unanswered.
	appendTimeout = 450 * time.Millisecond
	// retryInterval follows a call that failed.
	retryInterval = 100 * time.Millisecond
	// resignCooldown is how long a VM that resigned leaves claims to others.
	resignCooldown = 5 * time.Second
)

// OwnerRecord is the owner's record.
type OwnerRecord struct {
	Term int64  `json:"t"`
	Node string `json:"n"`
	Addr string `json:"a"`
	// Instance is new at each start of a process.
	Instance string `json:"i"`
	// Resigned is set by an owner that leaves.
	Resigned bool `json:"r,omitempty"`
}

// Options configure an Election.
type Options struct {
	Node     string
	Addr     string
	Instance string
	// ClaimDelay is added to ClaimAfter, so that better suited VMs claim first.
	ClaimDelay time.Duration
	// OwnerStatus tells of the owner as heard from it directly.
	OwnerStatus func() OwnerStatus
	// StoreLatency is the latest latency of the store.
	StoreLatency func() time.Duration
	// Now counts while the machine is suspended, too.
	Now func() time.Duration
	// OnRecord is called with each record of an owner.
	OnRecord func(OwnerRecord)
	// OnHeartbeat is called when the store accepted a beat.
	OnHeartbeat func()
	// Log is called with lines about the election.
	Log func(message string, details ...any)
}

// OwnerStatus is what the owner said of itself.
type OwnerStatus struct {
	// Healthy is true if the owner answered lately and the store accepts its beats.
	Healthy bool
	// HeartbeatOffset is where the topic ended after its last beat.
	HeartbeatOffset int64
	// Age is how long ago the owner answered that it is well.
	Age time.Duration
}

// Election follows the owner's record and claims when there is no owner.
type Election struct {
	opts       Options
	store      cell.Store
	nextOffset int64
	// heartbeatOffset is next after the last beat, for other goroutines.
	heartbeatOffset atomic.Int64
	lastRecord      OwnerRecord
	// suspects receives the instance of an owner whose process has ended.
	suspects chan string
	// cooldownUntil keeps a VM that resigned from claiming at once.
	cooldownUntil time.Duration
	// successorOf is the instance of an owner that resigned in favour of this VM.
	successorOf atomic.Pointer[string]
}

// New returns an election that has read nothing.
func New(store cell.Store, opts Options) *Election {
	return &Election{opts: opts, store: store, suspects: make(chan string, 1)}
}

// Suspect says that the process of an owner has ended, so that a claim need not
// wait for missing beats.
func (e *Election) Suspect(instance string) {
	select {
	case e.suspects <- instance:
	default:
	}
}

// TakeOver says that an owner has resigned in favour of this VM, which then claims
// without leaving time to others.
func (e *Election) TakeOver(instance string) {
	e.successorOf.Store(&instance)
	e.Suspect(instance)
}

// isSuccessor reports whether the last owner resigned in favour of this VM.
func (e *Election) isSuccessor() bool {
	instance := e.successorOf.Load()
	return instance != nil && e.lastRecord.Resigned && e.lastRecord.Instance == *instance
}

// HeartbeatOffset returns the offset at which the topic ended last.
func (e *Election) HeartbeatOffset() int64 { return e.heartbeatOffset.Load() }

// LastRecord returns the newest record that was read.
func (e *Election) LastRecord() OwnerRecord { return e.lastRecord }

// Campaign follows the record until this VM owns the cell, and returns the term.
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
		gone, err := e.checkOwner(ctx)
		if err == nil && e.ownsLastRecord() {
			// A claim without an answer was executed later.
			return e.lastRecord.Term, nil
		}
		switch {
		case errors.Is(err, cell.ErrExpired):
			loaded = false
			continue
		case err != nil:
			e.sleep(ctx, retryInterval)
			continue
		case !gone || e.opts.Now() < e.cooldownUntil && !e.isSuccessor():
			continue
		}
		if free, err := e.waitForOtherClaims(ctx); err != nil || !free {
			continue
		}
		term, won, err := e.claim(ctx)
		if err != nil {
			e.opts.Log("claim failed", "error", err.Error())
			e.sleep(ctx, retryInterval)
			continue
		}
		if won {
			return term, nil
		}
	}
	return 0, ctx.Err()
}

// waitForOtherClaims leaves the claim to VMs with less delay, and reports whether none of
// them has claimed.
func (e *Election) waitForOtherClaims(ctx context.Context) (free bool, err error) {
	instance := e.lastRecord.Instance
	if e.isSuccessor() {
		return true, nil
	}
	e.sleep(ctx, e.opts.ClaimDelay)
	return e.confirmLastOwner(ctx, instance)
}

// loadNewest reads the newest record.
func (e *Election) loadNewest(ctx context.Context) error {
	batch, err := e.store.Newest(ctx, cell.TopicOwner)
	if err != nil {
		return err
	}
	e.applyBatch(batch)
	e.nextOffset = max(batch.Next, 0)
	return nil
}

// checkOwner watches the owner once, and reports whether it must be gone: its
// process has ended, or the store tells of no beat.
func (e *Election) checkOwner(ctx context.Context) (gone bool, err error) {
	if e.lastRecord.Instance != "" && e.lastRecord.Addr == e.opts.Addr && e.lastRecord.Instance != e.opts.Instance {
		// The owner was a former process of this VM.
		return e.confirmLastOwner(ctx, e.lastRecord.Instance)
	}
	heard := e.opts.OwnerStatus()
	if heard.Healthy {
		e.nextOffset = max(e.nextOffset, heard.HeartbeatOffset)
		return e.waitForSuspicion(ctx, ownerCheckInterval)
	}
	silent := HeartbeatTimeout
	if heard.HeartbeatOffset > 0 && heard.HeartbeatOffset >= e.nextOffset {
		// No beat was seen since the owner answered last.
		e.nextOffset = heard.HeartbeatOffset
		silent = max(HeartbeatTimeout-heard.Age, HeartbeatInterval)
	}
	wait := silent + latencyFactor*e.opts.StoreLatency()
	if e.lastRecord.Resigned {
		wait = 0
	}
	return e.waitForHeartbeat(ctx, wait)
}

// waitForSuspicion waits for a suspicion.
func (e *Election) waitForSuspicion(ctx context.Context, d time.Duration) (gone bool, err error) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case instance := <-e.suspects:
		return e.confirmLastOwner(ctx, instance)
	case <-timer.C:
		return false, nil
	}
}

// waitForHeartbeat waits for a beat. A suspicion ends the wait.
func (e *Election) waitForHeartbeat(ctx context.Context, wait time.Duration) (gone bool, err error) {
	type result struct {
		batch cell.Batch
		err   error
	}
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan result, 1)
	from := e.nextOffset
	begin := e.opts.Now()
	go func() {
		batch, err := e.store.Read(readCtx, cell.TopicOwner, from, wait)
		done <- result{batch, err}
	}()
	var r result
	select {
	case r = <-done:
	case instance := <-e.suspects:
		cancel()
		<-done
		return e.confirmLastOwner(ctx, instance)
	}
	if r.err != nil {
		return false, r.err
	}
	if len(r.batch.Records) > 0 {
		e.applyBatch(r.batch)
		e.nextOffset = r.batch.Next
		return false, nil
	}
	// A store that answers early has not waited for a beat.
	if rest := wait - (e.opts.Now() - begin); rest > 0 {
		return e.waitForSuspicion(ctx, rest)
	}
	return true, nil
}

// confirmLastOwner reads to the end and reports whether the suspected process is still
// the last that owned the cell.
func (e *Election) confirmLastOwner(ctx context.Context, instance string) (gone bool, err error) {
	for {
		batch, err := e.store.Read(ctx, cell.TopicOwner, e.nextOffset, 0)
		if err != nil {
			return false, err
		}
		e.applyBatch(batch)
		e.nextOffset = batch.Next
		if batch.Next >= batch.End {
			return e.lastRecord.Instance == instance, nil
		}
	}
}

// applyBatch remembers the newest record of a batch.
func (e *Election) applyBatch(batch cell.Batch) {
	for _, r := range batch.Records {
		if r.Key != recordKey {
			continue
		}
		var rec OwnerRecord
		if err := json.Unmarshal(r.Value, &rec); err != nil {
			e.opts.Log("owner's record cannot be read", "error", err.Error())
			continue
		}
		e.lastRecord = rec
		e.opts.OnRecord(rec)
	}
}

// ownsLastRecord reports whether the newest record is this process's.
func (e *Election) ownsLastRecord() bool {
	return e.lastRecord.Instance == e.opts.Instance && !e.lastRecord.Resigned
}

// claim tries to become the owner.
func (e *Election) claim(ctx context.Context) (term int64, won bool, err error) {
	rec := OwnerRecord{Term: e.lastRecord.Term + 1, Node: e.opts.Node, Addr: e.opts.Addr, Instance: e.opts.Instance}
	end, err := e.appendRecord(ctx, rec)
	var conflict *cell.ConflictError
	switch {
	case err == nil:
		e.nextOffset = end
		e.heartbeatOffset.Store(end)
		e.lastRecord = rec
		e.opts.OnRecord(rec)
		e.opts.Log("claimed the cell", "term", rec.Term, "offset", end)
		return rec.Term, true, nil
	case errors.As(err, &conflict):
		// Another VM was first, or an own claim whose answer was lost.
		return e.confirmClaim(ctx, rec)
	default:
		return e.confirmClaim(ctx, rec)
	}
}

// confirmClaim looks whether a claim without a plain answer was executed.
func (e *Election) confirmClaim(ctx context.Context, rec OwnerRecord) (int64, bool, error) {
	batch, err := e.store.Read(ctx, cell.TopicOwner, e.nextOffset, 0)
	if err != nil {
		return 0, false, err
	}
	if len(batch.Records) == 0 {
		return 0, false, eris.New("the store has neither refused nor executed the claim")
	}
	e.applyBatch(batch)
	e.nextOffset = batch.Next
	won := e.lastRecord == rec
	if won {
		e.heartbeatOffset.Store(e.nextOffset)
		e.opts.Log("claimed the cell", "term", rec.Term, "answer", "lost")
	}
	return rec.Term, won, nil
}

// appendRecord appends a record where this VM believes that the topic ends.
func (e *Election) appendRecord(ctx context.Context, rec OwnerRecord) (int64, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, eris.Wrap(err, "encode owner's record")
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout+latencyFactor*e.opts.StoreLatency())
	defer cancel()
	return e.store.Append(ctx, cell.Append{
		Topic:       cell.TopicOwner,
		Records:     []cell.KeyValue{{Key: recordKey, Value: value}},
		ExpectedEnd: e.nextOffset,
	})
}

// ErrDeposed means that another VM owns the cell.
var ErrDeposed = errors.New("another VM owns the cell")

// SendHeartbeats writes beats until the context ends or another VM has claimed. A beat that
// failed is repeated soon, so that the others see one before they may claim when
// an outage of the store is over.
func (e *Election) SendHeartbeats(ctx context.Context) error {
	next := HeartbeatInterval
	for ctx.Err() == nil {
		e.sleep(ctx, next)
		next = HeartbeatInterval
		if err := e.writeHeartbeat(ctx); err != nil {
			if errors.Is(err, ErrDeposed) {
				return err
			}
			e.opts.Log("beat failed", "error", err.Error())
			next = retryInterval
		}
	}
	return ctx.Err()
}

// writeHeartbeat writes one writeHeartbeat. A conflict may be an own writeHeartbeat whose answer was lost.
func (e *Election) writeHeartbeat(ctx context.Context) error {
	rec := OwnerRecord{Term: e.lastRecord.Term, Node: e.opts.Node, Addr: e.opts.Addr, Instance: e.opts.Instance}
	end, err := e.appendRecord(ctx, rec)
	if err == nil {
		e.nextOffset = end
		e.heartbeatOffset.Store(end)
		e.opts.OnHeartbeat()
		return nil
	}
	var conflict *cell.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	batch, err := e.store.Read(ctx, cell.TopicOwner, e.nextOffset, 0)
	if errors.Is(err, cell.ErrExpired) {
		batch, err = e.store.Newest(ctx, cell.TopicOwner)
	}
	if err != nil {
		return err
	}
	e.applyBatch(batch)
	e.nextOffset = batch.Next
	if !e.ownsLastRecord() {
		return eris.Wrapf(ErrDeposed, "%s holds term %d", e.lastRecord.Node, e.lastRecord.Term)
	}
	e.heartbeatOffset.Store(e.nextOffset)
	e.opts.OnHeartbeat()
	return nil
}

// Resign tells the others that this VM leaves the cell, and yields to them.
func (e *Election) Resign(ctx context.Context) error {
	e.cooldownUntil = e.opts.Now() + resignCooldown
	rec := OwnerRecord{Term: e.lastRecord.Term, Node: e.opts.Node, Addr: e.opts.Addr, Instance: e.opts.Instance, Resigned: true}
	end, err := e.appendRecord(ctx, rec)
	if err != nil {
		return err
	}
	e.nextOffset, e.lastRecord = end, rec
	return nil
}

// sleep waits unless the context ends.
func (e *Election) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
