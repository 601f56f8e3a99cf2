package election

import (
	"context"
	"encoding/json"
	"time"

	"gypsumwinch/internal/cell"
)

// formerOwner is the owner before a claim.
type formerOwner struct {
	// record is its newest record that was read, the zero value if there was no owner.
	record OwnerRecord
	// hasEnded is true if its ownership had certainly ended before the claim.
	hasEnded bool
	// lastOffset is the offset of its last record, which is the one before the claim.
	lastOffset int64
	// knownAt is a time, on the clock of Options.Now, at which that record was in the
	// store already.
	knownAt time.Duration
}

// isKnownToHaveEnded reports whether the ownership that wrote a record has certainly ended,
// so that it renews no lease any more: there is none, it has resigned, or another process
// answers at its address (ReportEnded). An owner that is silent, or refuses connections,
// may still renew leases, and so may one whose record cannot be decoded. claim and
// waitForOtherClaims call it with the newest record.
func (e *Election) isKnownToHaveEnded(r OwnerRecord) bool {
	if e.isNewestUnreadable {
		return false
	}
	ended := e.endedInstance.Load()
	return r.Term == 0 || r.Resigned || e.hasEnded(r) || ended != nil && *ended == r.Instance
}

// FindFormerRenewalsEnd returns until when an owner of an earlier term may renew leases,
// on the clock of Options.Now, and reports it in this VM's further records. The store
// must accept no progress of earlier terms since fencedAt. An owner renews leases for
// authority after the store has last accepted a record of it. Package node calls it in
// a takeover, while SendHeartbeats may run.
//
// An owner before the last one may have been silent and still have its authority, so the
// result is earlier than fencedAt + authority only if the last one has ended and its
// last record says when the others have.
func (e *Election) FindFormerRenewalsEnd(ctx context.Context, fencedAt, authority time.Duration) time.Duration {
	end := fencedAt + authority
	last, ok := e.readFormerRecord(ctx)
	if ok && last.Leases != nil {
		bounds := last.Leases.bounds(e.former.knownAt)
		e.formerLeases.Store(&bounds)
	}
	if e.former.hasEnded {
		end = min(end, e.earlierRenewalsEnd(last, ok, fencedAt, end))
	}
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

// FormerOwner returns the address and the instance of the owner before this VM's last
// claim if it may still renew leases, else "". Package node calls it after a takeover.
func (e *Election) FormerOwner() (addr, instance string) {
	if e.former.hasEnded {
		return "", ""
	}
	return e.former.record.Addr, e.former.record.Instance
}

// FormerOwnerEnded records that the owner before this VM's last claim has ended by now,
// and returns until when an owner of an earlier term may renew leases. It must follow
// FindFormerRenewalsEnd in the same term.
func (e *Election) FormerOwnerEnded(ctx context.Context) time.Duration {
	end := time.Duration(e.formerRenewalsEnd.Load())
	last, ok := e.readFormerRecord(ctx)
	end = min(end, e.earlierRenewalsEnd(last, ok, e.opts.Now(), end))
	e.formerRenewalsEnd.Store(int64(end))
	return end
}

// earlierRenewalsEnd returns until when owners before the former one may renew leases:
// at least endedAt, when that one had ended, or unknown if its last record does not say
// it or was not read. FindFormerRenewalsEnd and FormerOwnerEnded call it.
func (e *Election) earlierRenewalsEnd(last OwnerRecord, isRead bool, endedAt, unknown time.Duration) time.Duration {
	if e.former.record.Term == 0 {
		return endedAt
	}
	if !isRead || last.FormerRenewalsMS <= 0 {
		return unknown
	}
	return max(endedAt, e.opts.Now()+time.Duration(last.FormerRenewalsMS)*time.Millisecond)
}

// readFormerRecord reads the last record of the former owner, the one before the claim.
// FindFormerRenewalsEnd and FormerOwnerEnded call it.
func (e *Election) readFormerRecord(ctx context.Context) (last OwnerRecord, ok bool) {
	if e.former.record.Term == 0 {
		return last, false
	}
	batch, err := e.store.Read(ctx, cell.TopicOwner, e.former.lastOffset, 0)
	if err != nil || len(batch.Records) == 0 {
		return last, false
	}
	err = json.Unmarshal(batch.Records[0].Value, &last)
	return last, err == nil && last.Term == e.former.record.Term && last.Instance == e.former.record.Instance
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
