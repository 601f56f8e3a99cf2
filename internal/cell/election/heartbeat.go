package election

import (
	"context"
	"errors"

	"gypsumwinch/internal/cell"
)

// SendHeartbeats appends heartbeats until the context ends or another VM owns the
// cell. Package node runs it after Campaign has returned a term, for as long as this
// VM owns the cell. It returns ErrDeposed only if another VM owns the cell, else the
// context's error. A failed heartbeat is repeated after retryInterval, so that after
// an outage of the store the other VMs read one before they may claim.
func (e *Election) SendHeartbeats(ctx context.Context) error {
	pause := HeartbeatInterval
	for ctx.Err() == nil {
		e.sleep(ctx, pause)
		pause = HeartbeatInterval
		if err := e.writeHeartbeat(ctx); err != nil {
			if errors.Is(err, ErrDeposed) {
				return err
			}
			e.opts.Log("heartbeat failed", "error", err.Error())
			pause = retryInterval
		}
	}
	return ctx.Err()
}

// writeHeartbeat appends one heartbeat for SendHeartbeats. A conflict may come from an
// earlier heartbeat of this VM whose answer was lost; that one then counts as accepted.
func (e *Election) writeHeartbeat(ctx context.Context) error {
	rec := OwnerRecord{Term: e.lastRecord.Term, Node: e.opts.Node, Addr: e.opts.Addr, Instance: e.opts.Instance, FormerRenewalsMS: e.formerRenewalsMS()}
	var leasesVersion int64
	rec.Leases, leasesVersion = e.leases()
	sentAt := e.opts.Now()
	end, err := e.appendRecord(ctx, rec)
	if err == nil {
		e.nextOffset = end
		e.heartbeatOffset.Store(end)
		e.opts.OnHeartbeat(sentAt)
		if e.opts.OnLeases != nil && leasesVersion > 0 {
			e.opts.OnLeases(leasesVersion)
		}
		return nil
	}
	var conflict *cell.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	sentAt = e.opts.Now()
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
		return e.deposedError()
	}
	e.heartbeatOffset.Store(e.nextOffset)
	e.opts.OnHeartbeat(sentAt)
	return nil
}
