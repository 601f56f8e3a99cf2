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

// key is the only key of the owner's topic.
const key = "owner"

// Periods of the election.
const (
	// BeatEvery is the period of beats.
	BeatEvery = 250 * time.Millisecond
	// ClaimAfter is how long the store must tell of no beat before a claim: two
	// beats may be missing. A needless takeover costs about 40 ms.
	ClaimAfter = 600 * time.Millisecond
	// latencyFactor times the latency of the store is added to ClaimAfter: both
	// a beat and its reading take longer then.
	latencyFactor = 3
	// watchEvery is how often a VM looks whether the owner is well.
	watchEvery = 150 * time.Millisecond
	// appendTimeout bounds one append beside what a slow store takes: an owner's
	// beat must be repeated within ClaimAfter of the end of an outage in which
	// appends went unanswered.
	appendTimeout = 450 * time.Millisecond
	// retryPause follows a call that failed.
	retryPause = 100 * time.Millisecond
	// yieldFor is how long a VM that resigned leaves claims to others.
	yieldFor = 5 * time.Second
)

// Record is the owner's record.
type Record struct {
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
	// Delay is added to ClaimAfter, so that better suited VMs claim first.
	Delay time.Duration
	// Alive tells of the owner as heard from it directly.
	Alive func() Heard
	// Latency is the latest latency of the store.
	Latency func() time.Duration
	// Now counts while the machine is suspended, too.
	Now func() time.Duration
	// Seen is called with each record of an owner.
	Seen func(Record)
	// Beaten is called when the store accepted a beat.
	Beaten func()
	// Log is called with lines about the election.
	Log func(message string, details ...any)
}

// Heard is what the owner said of itself.
type Heard struct {
	// Well is true if the owner answered lately and the store accepts its beats.
	Well bool
	// Offset is where the topic ended after its last beat.
	Offset int64
	// Age is how long ago the owner answered that it is well.
	Age time.Duration
}

// Election follows the owner's record and claims when there is no owner.
type Election struct {
	opts  Options
	store cell.Store
	next  int64
	// nextSeen is next after the last beat, for other goroutines.
	nextSeen atomic.Int64
	last     Record
	// suspect receives the instance of an owner whose process has ended.
	suspect chan string
	// yieldUntil keeps a VM that resigned from claiming at once.
	yieldUntil time.Duration
	// chosen is the instance of an owner that resigned in favour of this VM.
	chosen atomic.Pointer[string]
}

// New returns an election that has read nothing.
func New(store cell.Store, opts Options) *Election {
	return &Election{opts: opts, store: store, suspect: make(chan string, 1)}
}

// Suspect says that the process of an owner has ended, so that a claim need not
// wait for missing beats.
func (e *Election) Suspect(instance string) {
	select {
	case e.suspect <- instance:
	default:
	}
}

// Succeed says that an owner has resigned in favour of this VM, which then claims
// without leaving time to others.
func (e *Election) Succeed(instance string) {
	e.chosen.Store(&instance)
	e.Suspect(instance)
}

// isChosen reports whether the last owner resigned in favour of this VM.
func (e *Election) isChosen() bool {
	instance := e.chosen.Load()
	return instance != nil && e.last.Resigned && e.last.Instance == *instance
}

// Next returns the offset at which the topic ended last.
func (e *Election) Next() int64 { return e.nextSeen.Load() }

// Last returns the newest record that was read.
func (e *Election) Last() Record { return e.last }

// Campaign follows the record until this VM owns the cell, and returns the term.
func (e *Election) Campaign(ctx context.Context) (int64, error) {
	loaded := false
	for ctx.Err() == nil {
		if !loaded {
			if err := e.load(ctx); err != nil {
				e.pause(ctx, retryPause)
				continue
			}
			loaded = true
		}
		gone, err := e.follow(ctx)
		if err == nil && e.ownsLast() {
			// A claim without an answer was executed later.
			return e.last.Term, nil
		}
		switch {
		case errors.Is(err, cell.ErrExpired):
			loaded = false
			continue
		case err != nil:
			e.pause(ctx, retryPause)
			continue
		case !gone || e.opts.Now() < e.yieldUntil && !e.isChosen():
			continue
		}
		if free, err := e.letOthers(ctx); err != nil || !free {
			continue
		}
		term, won, err := e.claim(ctx)
		if err != nil {
			e.opts.Log("claim failed", "error", err.Error())
			e.pause(ctx, retryPause)
			continue
		}
		if won {
			return term, nil
		}
	}
	return 0, ctx.Err()
}

// letOthers leaves the claim to VMs with less delay, and reports whether none of
// them has claimed.
func (e *Election) letOthers(ctx context.Context) (free bool, err error) {
	instance := e.last.Instance
	if e.isChosen() {
		return true, nil
	}
	e.pause(ctx, e.opts.Delay)
	return e.confirm(ctx, instance)
}

// load reads the newest record.
func (e *Election) load(ctx context.Context) error {
	batch, err := e.store.Newest(ctx, cell.TopicOwner)
	if err != nil {
		return err
	}
	e.take(batch)
	e.next = max(batch.Next, 0)
	return nil
}

// follow watches the owner once, and reports whether it must be gone: its
// process has ended, or the store tells of no beat.
func (e *Election) follow(ctx context.Context) (gone bool, err error) {
	if e.last.Instance != "" && e.last.Addr == e.opts.Addr && e.last.Instance != e.opts.Instance {
		// The owner was a former process of this VM.
		return e.confirm(ctx, e.last.Instance)
	}
	heard := e.opts.Alive()
	if heard.Well {
		e.next = max(e.next, heard.Offset)
		return e.rest(ctx, watchEvery)
	}
	silent := ClaimAfter
	if heard.Offset > 0 && heard.Offset >= e.next {
		// No beat was seen since the owner answered last.
		e.next = heard.Offset
		silent = max(ClaimAfter-heard.Age, BeatEvery)
	}
	wait := silent + latencyFactor*e.opts.Latency()
	if e.last.Resigned {
		wait = 0
	}
	return e.await(ctx, wait)
}

// rest waits for a suspicion.
func (e *Election) rest(ctx context.Context, d time.Duration) (gone bool, err error) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case instance := <-e.suspect:
		return e.confirm(ctx, instance)
	case <-timer.C:
		return false, nil
	}
}

// await waits for a beat. A suspicion ends the wait.
func (e *Election) await(ctx context.Context, wait time.Duration) (gone bool, err error) {
	type result struct {
		batch cell.Batch
		err   error
	}
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan result, 1)
	from := e.next
	begin := e.opts.Now()
	go func() {
		batch, err := e.store.Read(readCtx, cell.TopicOwner, from, wait)
		done <- result{batch, err}
	}()
	var r result
	select {
	case r = <-done:
	case instance := <-e.suspect:
		cancel()
		<-done
		return e.confirm(ctx, instance)
	}
	if r.err != nil {
		return false, r.err
	}
	if len(r.batch.Records) > 0 {
		e.take(r.batch)
		e.next = r.batch.Next
		return false, nil
	}
	// A store that answers early has not waited for a beat.
	if rest := wait - (e.opts.Now() - begin); rest > 0 {
		return e.rest(ctx, rest)
	}
	return true, nil
}

// confirm reads to the end and reports whether the suspected process is still
// the last that owned the cell.
func (e *Election) confirm(ctx context.Context, instance string) (gone bool, err error) {
	for {
		batch, err := e.store.Read(ctx, cell.TopicOwner, e.next, 0)
		if err != nil {
			return false, err
		}
		e.take(batch)
		e.next = batch.Next
		if batch.Next >= batch.End {
			return e.last.Instance == instance, nil
		}
	}
}

// take remembers the newest record of a batch.
func (e *Election) take(batch cell.Batch) {
	for _, r := range batch.Records {
		if r.Key != key {
			continue
		}
		var rec Record
		if err := json.Unmarshal(r.Value, &rec); err != nil {
			e.opts.Log("owner's record cannot be read", "error", err.Error())
			continue
		}
		e.last = rec
		e.opts.Seen(rec)
	}
}

// ownsLast reports whether the newest record is this process's.
func (e *Election) ownsLast() bool {
	return e.last.Instance == e.opts.Instance && !e.last.Resigned
}

// claim tries to become the owner.
func (e *Election) claim(ctx context.Context) (term int64, won bool, err error) {
	rec := Record{Term: e.last.Term + 1, Node: e.opts.Node, Addr: e.opts.Addr, Instance: e.opts.Instance}
	end, err := e.append(ctx, rec)
	var conflict *cell.ConflictError
	switch {
	case err == nil:
		e.next = end
		e.nextSeen.Store(end)
		e.last = rec
		e.opts.Seen(rec)
		e.opts.Log("claimed the cell", "term", rec.Term, "offset", end)
		return rec.Term, true, nil
	case errors.As(err, &conflict):
		// Another VM was first, or an own claim whose answer was lost.
		return e.ownClaim(ctx, rec)
	default:
		return e.ownClaim(ctx, rec)
	}
}

// ownClaim looks whether a claim without a plain answer was executed.
func (e *Election) ownClaim(ctx context.Context, rec Record) (int64, bool, error) {
	batch, err := e.store.Read(ctx, cell.TopicOwner, e.next, 0)
	if err != nil {
		return 0, false, err
	}
	if len(batch.Records) == 0 {
		return 0, false, eris.New("the store has neither refused nor executed the claim")
	}
	e.take(batch)
	e.next = batch.Next
	won := e.last == rec
	if won {
		e.nextSeen.Store(e.next)
		e.opts.Log("claimed the cell", "term", rec.Term, "answer", "lost")
	}
	return rec.Term, won, nil
}

// append appends a record where this VM believes that the topic ends.
func (e *Election) append(ctx context.Context, rec Record) (int64, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, eris.Wrap(err, "encode owner's record")
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout+latencyFactor*e.opts.Latency())
	defer cancel()
	return e.store.Append(ctx, cell.Append{
		Topic:       cell.TopicOwner,
		Records:     []cell.KeyValue{{Key: key, Value: value}},
		ExpectedEnd: e.next,
	})
}

// ErrDeposed means that another VM owns the cell.
var ErrDeposed = errors.New("another VM owns the cell")

// Hold writes beats until the context ends or another VM has claimed. A beat that
// failed is repeated soon, so that the others see one before they may claim when
// an outage of the store is over.
func (e *Election) Hold(ctx context.Context) error {
	next := BeatEvery
	for ctx.Err() == nil {
		e.pause(ctx, next)
		next = BeatEvery
		if err := e.beat(ctx); err != nil {
			if errors.Is(err, ErrDeposed) {
				return err
			}
			e.opts.Log("beat failed", "error", err.Error())
			next = retryPause
		}
	}
	return ctx.Err()
}

// beat writes one beat. A conflict may be an own beat whose answer was lost.
func (e *Election) beat(ctx context.Context) error {
	rec := Record{Term: e.last.Term, Node: e.opts.Node, Addr: e.opts.Addr, Instance: e.opts.Instance}
	end, err := e.append(ctx, rec)
	if err == nil {
		e.next = end
		e.nextSeen.Store(end)
		e.opts.Beaten()
		return nil
	}
	var conflict *cell.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	batch, err := e.store.Read(ctx, cell.TopicOwner, e.next, 0)
	if errors.Is(err, cell.ErrExpired) {
		batch, err = e.store.Newest(ctx, cell.TopicOwner)
	}
	if err != nil {
		return err
	}
	e.take(batch)
	e.next = batch.Next
	if !e.ownsLast() {
		return eris.Wrapf(ErrDeposed, "%s holds term %d", e.last.Node, e.last.Term)
	}
	e.nextSeen.Store(e.next)
	e.opts.Beaten()
	return nil
}

// Resign tells the others that this VM leaves the cell, and yields to them.
func (e *Election) Resign(ctx context.Context) error {
	e.yieldUntil = e.opts.Now() + yieldFor
	rec := Record{Term: e.last.Term, Node: e.opts.Node, Addr: e.opts.Addr, Instance: e.opts.Instance, Resigned: true}
	end, err := e.append(ctx, rec)
	if err != nil {
		return err
	}
	e.next, e.last = end, rec
	return nil
}

// pause waits unless the context ends.
func (e *Election) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
