package daemon

import (
	"context"
	"fmt"
	"time"

	"gypsumwinch/internal/ownership"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/workerclient"
)

// applyOwnerRecord applies a record of stream "owners". The ownership machine
// tracks this data centre only; the owners of other data centres are recorded
// as the targets of slot requests. The control loop calls it for each record
// that it reads from that stream.
func (c *control) applyOwnerRecord(e logEntry) {
	c.applyOwnershipEvent(ownership.LogRecord{Offset: e.offset, Time: e.storedAt, Record: e.record})
	claim := e.record.Claim
	if claim == nil || claim.DataCentre == c.d.settings.DataCentre {
		return
	}
	known := records.NoTerm
	if owner, ok := c.owners[claim.DataCentre]; ok {
		known = ownership.ClaimOffset(owner.term)
	}
	if claim.Base == known || known == records.NoTerm {
		c.recordOwner(claim.DataCentre, ownerInfo{
			term: ownership.MakeTerm(e.offset, 0), vm: claim.VM, instance: claim.Instance, addr: claim.Addr,
		})
	}
}

// applyOwnershipEvent passes an event to the ownership machine and runs the
// actions that it returns. The control loop calls it for each record, read and
// append of stream "owners", each heartbeat of this data centre that reports an
// owner, each response of a worker about its lease or inventory, each read of
// the VM list, each slow tick, and once at the end of a drain.
func (c *control) applyOwnershipEvent(ev ownership.Event) {
	for _, action := range c.ownershipMachine.Apply(c.now(), ev) {
		if c.logger.IsTrace() {
			c.logger.Trace("ownership", "action", fmt.Sprintf("%T%+v", action, action))
		}
		c.runOwnershipAction(action)
	}
	if owner := c.ownershipMachine.Owner(); owner.Term != ownership.NoTerm {
		c.recordOwner(c.d.settings.DataCentre, ownerInfo{term: owner.Term, instance: owner.Instance, addr: owner.Addr})
	}
}

// runOwnershipAction runs one action of the ownership machine.
// applyOwnershipEvent calls it for each action.
func (c *control) runOwnershipAction(action ownership.Action) {
	switch a := action.(type) {
	case ownership.AppendClaim:
		c.appendOwnerRecord(records.Record{Claim: &a.Claim})
	case ownership.AppendHeartbeat:
		c.appendOwnerRecord(records.Record{Heartbeat: &a.Heartbeat})
	case ownership.AppendRelease:
		c.appendOwnerRecord(records.Record{Release: &a.Release})
	case ownership.AcquireLease:
		c.requestLease(a.Worker, a.Term, a.TTL)
	case ownership.RenewLease:
		c.requestLease(a.Worker, a.Term, a.TTL)
	case ownership.ReleaseLease:
		c.releaseLease(a)
	case ownership.AskInventory:
		c.requestInventory(a.Worker)
	case ownership.StartSlots:
		c.startBroker(a)
	case ownership.StartOwning:
		c.startOwning(a)
	case ownership.StopOwning:
		c.stopOwning(a)
	}
}

// ownerAppended is the event that an append to stream "owners" has finished.
type ownerAppended struct{ err error }

// apply reports the result of the append to the ownership machine. It runs on
// the control loop after each append to stream "owners", successful or not.
func (ev ownerAppended) apply(c *control) {
	c.ownerAppendsInFlight--
	c.applyOwnershipEvent(ownership.AppendResult{Failed: ev.err != nil})
}

// appendOwnerRecord appends a claim, heartbeat or release to stream "owners".
// runOwnershipAction calls it; the result arrives as ownerAppended.
func (c *control) appendOwnerRecord(r records.Record) {
	c.ownerAppendsInFlight++
	c.d.writers[records.StreamOwners].append(r, func(err error) {
		c.d.post(c.ctx, ownerAppended{err: err})
	})
}

// requestLease asks a worker to grant or renew its lease. The call runs on its
// own goroutine and posts leaseAnswered. The control loop calls it when the
// ownership machine acquires or renews a lease, and at slow ticks for active
// workers.
func (c *control) requestLease(worker string, term int64, ttl time.Duration) {
	w := c.workers[worker]
	if w == nil || w.leaseInFlight || !c.ownershipMachine.MayLease(c.now(), term) {
		return
	}
	w.leaseInFlight = true
	c.d.metrics.countMessage("worker lease")
	ack := c.acknowledgement(w)
	sent := c.now()
	w.lastLeaseSentAt = sent
	addr := w.vm.Addr
	// The timeout starts at the check of MayLease, so that a pause of the
	// process before sending cancels the request.
	ctx, cancel := context.WithTimeout(c.ctx, leaseTimeout)
	go func() {
		defer cancel()
		answer, err := c.d.workers.Lease(ctx, addr, c.d.instance, term, ttl, ownership.DefaultTaskLeaseTTL, ack)
		c.d.post(c.ctx, leaseAnswered{worker: worker, term: term, ttl: ttl, sentAt: sent, answer: answer, err: err})
	}()
}

// releaseLease releases a worker's lease. If the request is lost, the lease
// expires by itself. The control loop calls it for a ReleaseLease action of the
// ownership machine.
func (c *control) releaseLease(a ownership.ReleaseLease) {
	w := c.workers[a.Worker]
	if w == nil {
		return
	}
	w.leaseExpiresAt = 0
	addr := w.vm.Addr
	c.d.metrics.countMessage("worker release")
	go func() {
		if err := c.d.workers.Release(c.ctx, addr, c.d.instance, a.Term); err != nil {
			c.logger.Debug("failed to release the lease of a worker", "worker", a.Worker, "error", err)
		}
	}()
}

// leaseAnswered is the event of a worker's response to a lease request.
type leaseAnswered struct {
	worker string
	term   int64
	ttl    time.Duration
	sentAt time.Duration
	answer workerclient.LeaseAnswer
	err    error
}

// apply passes the result to the ownership machine. If the lease was granted,
// it also handles the report in the response, and takes the worker down if it
// has restarted. It runs on the control loop after each lease request,
// successful or not.
func (ev leaseAnswered) apply(c *control) {
	w := c.workers[ev.worker]
	if w == nil {
		return
	}
	w.leaseInFlight = false
	if ev.err != nil {
		c.logger.Debug("lease request to a worker failed", "worker", ev.worker, "error", ev.err)
		return
	}
	c.applyOwnershipEvent(ownership.LeaseResult{
		Worker: ev.worker, Granted: ev.answer.Granted, RequestTerm: ev.term, HeldBy: ev.answer.Holder,
		Term: ev.answer.Term, RemainingTTL: time.Duration(ev.answer.RemainingMS) * time.Millisecond, SentAt: ev.sentAt,
	})
	if ev.answer.Granted {
		w.leaseExpiresAt = ev.sentAt + ev.ttl
		w.leaseTerm = ev.term
		if w.isUp && ev.answer.Report.Incarnation != w.incarnation {
			c.handleWorkerRestart(w)
		}
		c.handleReport(w, ev.answer.Report)
		if c.scheduler != nil {
			c.endStoppedAttempts(ev.worker, ev.sentAt)
		}
	}
}

// leaseTimeout bounds a lease request, from the decision to the response.
const leaseTimeout = 2 * time.Second

// inventoryTimeout bounds a request for the tasks that run on a worker.
const inventoryTimeout = 2 * time.Second

// requestInventory asks a worker which attempts run on it. The control loop
// calls it when the ownership machine needs the inventory, when a worker has
// restarted, and at slow ticks for a leased worker without an inventory. The
// call runs on its own goroutine and posts inventoryAnswered.
func (c *control) requestInventory(worker string) {
	w := c.workers[worker]
	if w == nil || w.inventoryInFlight {
		return
	}
	w.inventoryInFlight = true
	c.d.metrics.countMessage("worker inventory")
	w.inventoryRequestedAt = c.now()
	addr := w.vm.Addr
	sent := c.now()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, inventoryTimeout)
		defer cancel()
		inventory, err := c.d.workers.Tasks(ctx, addr)
		c.d.post(c.ctx, inventoryAnswered{worker: worker, sentAt: sent, inventory: inventory, err: err})
	}()
}

// inventoryAnswered is the event of a worker's response to an inventory
// request.
type inventoryAnswered struct {
	worker    string
	sentAt    time.Duration
	inventory workerclient.Inventory
	err       error
}

// apply passes the inventory to the ownership machine, stores it and compares
// it with the job state. One that was requested in a former ownership is not stored,
// since other owners may have used the worker since. It runs on the control loop after each inventory
// request, successful or not.
func (ev inventoryAnswered) apply(c *control) {
	w := c.workers[ev.worker]
	if w == nil {
		return
	}
	w.inventoryInFlight = false
	if ev.err != nil {
		c.logger.Debug("inventory request to a worker failed", "worker", ev.worker, "error", ev.err)
		return
	}
	c.applyOwnershipEvent(ownership.WorkerInventory{
		Worker: ev.worker, HeldBy: ev.inventory.Holder, Term: ev.inventory.Term,
		RemainingTTL: time.Duration(ev.inventory.RemainingMS) * time.Millisecond, SentAt: ev.sentAt,
	})
	if ev.sentAt > c.ownershipEndedAt {
		w.inventory = &ev.inventory
		c.reconcileInventory(w)
	}
}
