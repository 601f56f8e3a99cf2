package election

import (
	"context"
	"encoding/json"
	"time"

	"gypsumwinch/internal/cell"
)

// checkOwner checks the owner once and reports whether it is down; Campaign calls it
// in a loop. An owner is down if it was an earlier process of this VM or an ended
// ownership of this process, if its suspected process wrote the newest record
// (Suspect), if it has resigned and no newer record follows, or if the store returned no
// heartbeat in time.
//
// The timeout is HeartbeatTimeout. If the newest heartbeat is known from a status that
// the owner sent, the age of that status is subtracted, but at least HeartbeatInterval
// remains. latencyFactor times the latency of the store is then added. After a
// resignation the timeout is 0.
//
// While the owner reports that it is healthy, no timeout applies. The check then ends
// after ownerCheckInterval, and only a suspicion can find the owner down.
func (e *Election) checkOwner(ctx context.Context) (ownerDown bool, err error) {
	if e.hasEnded(e.lastRecord) {
		return e.confirmLastOwner(ctx, e.lastRecord.Instance)
	}
	status := e.lastOwnerStatus()
	if status.Healthy {
		e.nextOffset = max(e.nextOffset, status.HeartbeatOffset)
		return e.waitForSuspicion(ctx, ownerCheckInterval)
	}
	timeout := HeartbeatTimeout
	if status.HeartbeatOffset > 0 && status.HeartbeatOffset >= e.nextOffset {
		// No heartbeat was read since the owner last answered, so that the timeout
		// started then.
		e.nextOffset = status.HeartbeatOffset
		timeout = max(HeartbeatTimeout-status.Age, HeartbeatInterval)
	}
	wait := timeout + latencyFactor*e.opts.StoreLatency()
	if e.lastRecord.Resigned {
		wait = 0
	}
	return e.waitForHeartbeat(ctx, wait)
}

// hasEnded reports whether a record is that of an ownership that has certainly ended: of
// an earlier process of this VM, or of a term that this process has already owned while
// Campaign runs. checkOwner and Campaign call it.
func (e *Election) hasEnded(r OwnerRecord) bool {
	if e.wrote(r) {
		return r.Term <= e.returnedTerm
	}
	return r.Instance != "" && r.Addr == e.opts.Addr
}

// lastOwnerStatus returns the status of the owner that wrote lastRecord, or the zero
// value if that of another owner is known. The offset of another owner would skip its
// records, so that a later claim takes its term again. checkOwner calls it.
func (e *Election) lastOwnerStatus() OwnerStatus {
	status := e.opts.OwnerStatus()
	if status.Term != e.lastRecord.Term || status.Instance != e.lastRecord.Instance {
		return OwnerStatus{}
	}
	return status
}

// waitForSuspicion waits until an owner is suspected or the time is up. It reports the
// owner down if the suspected process wrote the newest record. checkOwner calls it
// while the owner is healthy, waitForHeartbeat after a read that ended early.
func (e *Election) waitForSuspicion(ctx context.Context, d time.Duration) (ownerDown bool, err error) {
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

// waitForHeartbeat waits for the next record of the topic and reports whether the
// owner is down: none came in the given time. A suspicion ends the wait early.
// checkOwner calls it while the owner does not report that it is healthy.
func (e *Election) waitForHeartbeat(ctx context.Context, wait time.Duration) (ownerDown bool, err error) {
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
	// A store that answers early did not wait for a heartbeat the whole time.
	if remaining := wait - (e.opts.Now() - begin); remaining > 0 {
		return e.waitForSuspicion(ctx, remaining)
	}
	return true, nil
}

// confirmLastOwner reads to the end of the topic and reports whether the given
// instance still wrote the newest record. It runs after a suspicion, when the owner was
// an earlier process of this VM, and after the wait for other claims.
func (e *Election) confirmLastOwner(ctx context.Context, instance string) (ownerDown bool, err error) {
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

// applyBatch sets lastRecord to the newest record of a batch. It runs after each read
// of the topic.
func (e *Election) applyBatch(batch cell.Batch) {
	for _, r := range batch.Records {
		if r.Key != recordKey {
			continue
		}
		var rec OwnerRecord
		if err := json.Unmarshal(r.Value, &rec); err != nil {
			e.opts.Log("owner record cannot be decoded", "error", err.Error())
			e.lastRecord, e.isNewestUnreadable = OwnerRecord{}, true
			continue
		}
		e.lastRecord, e.isNewestUnreadable = rec, false
		e.opts.OnRecord(rec)
	}
}
