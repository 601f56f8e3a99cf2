package election

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"gypsumwinch/internal/cell"
)

// maxFormerRecords is how many records before a claim are searched for one that says until
// when earlier owners may renew leases: 8 s of heartbeats. An owner's records say it once
// it has fenced the progress and read the topic.
const maxFormerRecords = 32

// formerOwner is the owner before a claim.
type formerOwner struct {
	// record is its newest record that was read, the zero value if there was no owner.
	record OwnerRecord
	// isUnreadable is true if the newest record could not be decoded.
	isUnreadable bool
	// lastOffset is the offset of its last record, which is the one before the claim.
	lastOffset int64
	// knownAt is a time, on the clock of Options.Now, at which that record was in the
	// store already.
	knownAt time.Duration
}

// formerOwners are the owners before this VM's last claim, from one whose records say until
// when those before it may renew leases to the last one, without a gap.
type formerOwners struct {
	// records are the last record of each term, the oldest first; empty if not known.
	records []OwnerRecord
	// readAt is when they were read, on the clock of Options.Now.
	readAt time.Duration
	// fencedAt is since when the store accepts no progress of these terms.
	fencedAt time.Duration
}

// isKnownToHaveEnded reports whether the ownership that wrote a record has certainly ended,
// so that it renews no lease any more: there is none, it has resigned, or another process
// answers at its address (ReportEnded). An owner that is silent, or refuses connections,
// may still renew leases, and so may one whose record cannot be decoded.
// waitForOtherClaims calls it with the newest record.
func (e *Election) isKnownToHaveEnded(r OwnerRecord) bool {
	if e.isNewestUnreadable {
		return false
	}
	_, isProved := e.ends.find(r)
	return r.Term == 0 || r.Resigned || e.hasEnded(r) || isProved
}

// FindFormerRenewalsEnd returns until when an owner of an earlier term may renew leases,
// on the clock of Options.Now, and reports it in this VM's further records. The store
// must accept no progress of earlier terms since fencedAt. An owner renews leases for
// authority after the store has last accepted a record of it. Package node calls it in
// a takeover, while SendHeartbeats may run.
//
// An owner before the last one may have been silent and still have its authority, so the
// result is earlier than fencedAt + authority only if all owners back to one that has
// recorded when those before it end are proved to have ended (earlierRenewalsEnd). What an
// ended process has sent can still be carried out late, but a late renewal names the end of
// the lease as a time on the worker's clock, which it fixed before the proof.
func (e *Election) FindFormerRenewalsEnd(ctx context.Context, fencedAt, authority time.Duration) time.Duration {
	end := fencedAt + authority
	e.formerOwners = formerOwners{fencedAt: fencedAt}
	last, ok := e.readFormerOwners(ctx)
	if ok && last.Leases != nil {
		bounds := last.Leases.bounds(e.former.knownAt)
		e.formerLeases.Store(&bounds)
	}
	end = min(end, e.earlierRenewalsEnd(end))
	e.formerRenewalsEnd.Store(max(1, int64(end)))
	return end
}

// FormerLeases returns the bounds that the former owner recorded. Package node calls it
// after FindFormerRenewalsEnd.
func (e *Election) FormerLeases() []LeaseBound {
	if bounds := e.formerLeases.Load(); bounds != nil {
		return *bounds
	}
	return nil
}

// FormerOwners returns the last records of the owners before this VM's last claim that may
// still renew leases. Package node calls it after a takeover, until it returns none.
func (e *Election) FormerOwners() []OwnerRecord {
	if len(e.formerOwners.records) == 0 && e.former.record.Term > 0 {
		if _, ok := e.endOfFormer(e.former.record, nil); !ok {
			return []OwnerRecord{e.former.record}
		}
	}
	var out []OwnerRecord
	for i, r := range e.formerOwners.records {
		if _, ok := e.endOfFormer(r, e.formerOwners.records[i+1:]); !ok {
			out = append(out, r)
		}
	}
	return out
}

// FormerOwnerEnded records that the ownership of a record that FormerOwners returned has
// ended by now, and returns until when an owner of an earlier term may renew leases. It
// must follow FindFormerRenewalsEnd in the same term.
func (e *Election) FormerOwnerEnded(ctx context.Context, r OwnerRecord) time.Duration {
	e.ends.add(endProof{addr: r.Addr, instance: r.Instance, term: r.Term, at: e.opts.Now()})
	if len(e.formerOwners.records) == 0 {
		e.readFormerOwners(ctx)
	}
	end := time.Duration(e.formerRenewalsEnd.Load())
	end = min(end, e.earlierRenewalsEnd(end))
	e.formerRenewalsEnd.Store(int64(end))
	return end
}

// earlierRenewalsEnd returns until when owners of earlier terms may renew leases, or unknown
// if that is not proved. It goes back from the last owner, through owners that have
// ended, to the first one whose record says when those before it end; that one has fenced
// them. FindFormerRenewalsEnd and FormerOwnerEnded call it.
func (e *Election) earlierRenewalsEnd(unknown time.Duration) time.Duration {
	f := &e.formerOwners
	end := f.fencedAt
	if e.former.record.Term == 0 && !e.former.isUnreadable {
		return end
	}
	for i := len(f.records) - 1; i >= 0; i-- {
		endedAt, ok := e.endOfFormer(f.records[i], f.records[i+1:])
		if !ok {
			return unknown
		}
		end = max(end, endedAt)
		if ms := f.records[i].FormerRenewalsMS; ms > 0 {
			return max(end, f.readAt+time.Duration(ms)*time.Millisecond)
		}
	}
	return unknown
}

// endOfFormer returns by when the owner that wrote a record had certainly ended, or false if
// that is not proved. The record, or a later one of another process at its address, proves
// it as of the claim, which comes before the fence. earlierRenewalsEnd and FormerOwners
// call it.
func (e *Election) endOfFormer(r OwnerRecord, later []OwnerRecord) (at time.Duration, ok bool) {
	isSuccessor := func(l OwnerRecord) bool {
		return r.Addr == l.Addr && r.Instance != "" && l.Instance != "" && r.Instance != l.Instance
	}
	if r.Resigned || e.hasEnded(r) || slices.ContainsFunc(later, isSuccessor) {
		return e.formerOwners.fencedAt, true
	}
	return e.ends.find(r)
}

// readFormerOwners reads the last record of the former owner, the one before the claim, and
// the records before it if it does not say until when earlier owners may renew leases.
// FindFormerRenewalsEnd and FormerOwnerEnded call it.
func (e *Election) readFormerOwners(ctx context.Context) (last OwnerRecord, ok bool) {
	if e.former.record.Term == 0 {
		return last, false
	}
	owners := e.readOwners(ctx, e.former.lastOffset)
	if len(owners) == 0 || !e.isFormer(owners[0]) {
		return last, false
	}
	last = owners[0]
	if last.FormerRenewalsMS <= 0 {
		if o := e.readOwners(ctx, max(0, e.former.lastOffset-maxFormerRecords+1)); len(o) > 0 && e.isFormer(o[len(o)-1]) {
			owners = o
		}
	}
	first := len(owners) - 1
	for first > 0 && owners[first].FormerRenewalsMS <= 0 {
		first--
	}
	e.formerOwners.records, e.formerOwners.readAt = owners[first:], e.opts.Now()
	return last, true
}

// isFormer reports whether a record is of the ownership that this VM's claim has ended.
func (e *Election) isFormer(r OwnerRecord) bool {
	f := &e.former.record
	return r.Term == f.Term && r.Instance == f.Instance && r.Addr == f.Addr
}

// readOwners reads the records from an offset to the claim and returns the last one of each
// term after the last gap, the oldest first. A gap is a record that cannot be decoded. It
// returns nil if a record cannot be had. readFormerOwners calls it.
func (e *Election) readOwners(ctx context.Context, from int64) []OwnerRecord {
	var owners []OwnerRecord
	for from <= e.former.lastOffset {
		batch, err := e.store.Read(ctx, cell.TopicOwner, from, 0)
		if err != nil || len(batch.Records) == 0 || int64(len(batch.Records)) != batch.Next-from {
			return nil
		}
		for _, kv := range batch.Records[:min(int64(len(batch.Records)), e.former.lastOffset+1-from)] {
			var r OwnerRecord
			if kv.Key != recordKey || json.Unmarshal(kv.Value, &r) != nil || r.Term == 0 {
				owners = nil
				continue
			}
			if n := len(owners); n > 0 && owners[n-1].Term == r.Term {
				owners[n-1] = r
				continue
			}
			owners = append(owners, r)
		}
		from = batch.Next
	}
	return owners
}

// formerRenewalsMS returns the value of OwnerRecord.FormerRenewalsMS for a record that
// is sent now.
func (e *Election) formerRenewalsMS() int64 {
	end := time.Duration(e.formerRenewalsEnd.Load())
	if end == 0 {
		return 0
	}
	return max(0, (end-e.opts.Now()).Milliseconds()) + 1
}
