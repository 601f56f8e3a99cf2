package election

import (
	"context"
	"errors"

	"gypsumwinch/internal/cell"
)

// Resign records that this VM gives the cell up, so that others can claim at once.
// Package node calls it after SendHeartbeats has returned, unless that found another
// owner: if this VM stops, cannot take over, or gives the cell up for a reason such as a
// Resign action of package owner. This VM makes no claim for resignCooldown, unless a
// later owner resigns in its favour or another VM turns out to own the cell already: the
// others have then had the time to claim it.
func (e *Election) Resign(ctx context.Context) error {
	err := e.recordResignation(ctx)
	e.cooldownUntil = 0
	if !errors.Is(err, ErrDeposed) {
		e.cooldownUntil = e.opts.Now() + resignCooldown
	}
	return err
}

// recordResignation appends the resignation, unless another VM owns the cell. Resign
// calls it.
func (e *Election) recordResignation(ctx context.Context) error {
	if !e.ownsLastRecord() {
		return e.deposedError()
	}
	rec := OwnerRecord{Term: e.lastRecord.Term, Node: e.opts.Node, Addr: e.opts.Addr, Instance: e.opts.Instance, Resigned: true, FormerRenewalsMS: e.formerRenewalsMS()}
	rec.Leases, _ = e.leases()
	err := e.appendResignation(ctx, rec)
	var conflict *cell.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	// The topic also ends elsewhere after a heartbeat, or this resignation, whose answer
	// was lost.
	isNewest, err := e.confirmLastOwner(ctx, rec.Instance)
	switch {
	case err != nil:
		return err
	case !isNewest:
		return e.deposedError()
	case e.lastRecord.Resigned:
		return nil
	}
	return e.appendResignation(ctx, rec)
}

// appendResignation appends a resignation at the end of the topic that this VM knows.
// Resign calls it.
func (e *Election) appendResignation(ctx context.Context, rec OwnerRecord) error {
	end, err := e.appendRecord(ctx, rec)
	if err != nil {
		return err
	}
	e.nextOffset, e.lastRecord = end, rec
	return nil
}
