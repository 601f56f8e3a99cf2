package election

import (
	"context"
	"errors"

	"gypsumwinch/internal/cell"
)

// Resign records that this VM gives the cell up, so that others can claim at once.
// Package node calls it after SendHeartbeats has returned, if this VM stops or gives
// the cell up for a reason such as a Resign action of package owner. This VM makes no
// claim for resignCooldown, unless a later owner resigns in its favour.
func (e *Election) Resign(ctx context.Context) error {
	e.cooldownUntil = e.opts.Now() + resignCooldown
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
