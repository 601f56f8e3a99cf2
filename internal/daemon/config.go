package daemon

import (
	"context"
	"hash/fnv"
	"slices"
	"time"

	"gypsumwinch/internal/audit"
	"gypsumwinch/internal/configstate"
	"gypsumwinch/internal/dispatch"
	"gypsumwinch/internal/operatorapi"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/scheduler"
)

const (
	// publishTimeout bounds the wait for a publication to be accepted or
	// refused.
	publishTimeout = 15 * time.Second
	// auditTakeoverDelay is how long a VM leaves an audit entry to the VM that
	// published, which appends it at once.
	auditTakeoverDelay = 5 * time.Second
	// maxAuditJitter spreads the appends of the other VMs after that delay, so
	// that usually only one of them appends the entry.
	maxAuditJitter = 20 * time.Second
	// configRewriteInterval is the minimum time between two rewrites of the
	// configuration by one VM. A rewrite is repeated in case the first was
	// lost.
	configRewriteInterval = time.Minute
)

// publishReplies holds the reply channels of operators that wait for the
// outcome of a publication.
type publishReplies []chan<- operatorapi.PublishResponse

// pendingAudit is an audit entry that this VM appends at dueAt unless another
// VM has appended it before.
type pendingAudit struct {
	record records.Record
	dueAt  time.Duration
	// inFlight is set while an append of the entry has no result.
	inFlight bool
}

// handleConfigEffect runs on the control loop after each record of stream
// "config" and after the adoption of a configuration from a peer. It answers
// the operators that wait for a decided publication, queues the audit entries,
// and passes a changed configuration to the dispatcher and the scheduler.
func (c *control) handleConfigEffect(effect configstate.Effect) {
	for _, d := range effect.Decisions {
		c.answerPublishers(d)
	}
	for _, r := range audit.Entries(effect) {
		c.pendingAudits[r.Audit.ID] = pendingAudit{record: r, dueAt: c.auditDueAt(r.Audit.ID)}
	}
	if effect.Conflict != "" {
		c.logger.Error("the log contradicts the configuration in force", "conflict", effect.Conflict)
	}
	if !effect.Changed {
		return
	}
	current := c.config.Current()
	if current.Config == nil {
		return
	}
	c.logger.Info("configuration in force", "version", current.Version, "who", current.Publish.Who)
	c.applyDispatchEvent(dispatch.ClassesChanged{Classes: current.Config.Classes})
	c.applySchedulerEvent(scheduler.ConfigChanged{Config: *current.Config})
}

// auditDueAt returns when this VM appends an audit entry: at once if the
// publication was made here, else after a delay that differs by VM.
// handleConfigEffect calls it for each new audit entry.
func (c *control) auditDueAt(id string) time.Duration {
	if c.publishWaiters[id] != nil {
		return c.now()
	}
	h := fnv.New64a()
	h.Write([]byte(c.d.instance + id))
	return c.now() + auditTakeoverDelay + time.Duration(h.Sum64()%uint64(maxAuditJitter))
}

// answerPublishers sends a decision about a publication to the operators of
// this VM that wait for it. handleConfigEffect calls it for each decision.
func (c *control) answerPublishers(d configstate.Decision) {
	for _, reply := range c.publishWaiters[d.Publish.ID] {
		reply <- operatorapi.PublishResponseOf(d)
	}
}

// tickConfig appends the audit entries that are due, and rewrites the
// configuration before the log drops it. It runs on the control loop at each
// slow tick.
func (c *control) tickConfig() {
	for id, p := range c.pendingAudits {
		switch {
		case c.auditTrail.Has(id, p.record.Audit.Accepted):
			delete(c.pendingAudits, id)
		case !p.inFlight && c.now() >= p.dueAt && c.streams[records.StreamAudit].hasReachedEnd:
			c.appendAudit(id, p)
		}
	}
	if c.now()-c.configRewrittenAt < configRewriteInterval || !c.config.NeedsRewrite(time.Now(), c.d.settings.retention()) {
		return
	}
	if record, ok := c.config.Rewrite(); ok && c.logReachable(records.StreamConfig) {
		c.configRewrittenAt = c.now()
		c.d.writers[records.StreamConfig].append(record, nil)
	}
}

// appendAudit appends an audit entry that is due. tickConfig calls it; a failed
// append posts auditNotLogged.
func (c *control) appendAudit(id string, p pendingAudit) {
	p.inFlight = true
	c.pendingAudits[id] = p
	c.d.writers[records.StreamAudit].append(p.record, func(err error) {
		if err != nil {
			c.d.post(c.ctx, auditNotLogged{id: id})
		}
	})
}

// auditNotLogged is the event that an audit entry is not known to be on the
// log.
type auditNotLogged struct{ id string }

// apply makes the audit entry due again after auditTakeoverDelay, unless it was
// read from the log in the meantime. It runs on the control loop when the
// append of the entry has failed.
func (ev auditNotLogged) apply(c *control) {
	p, ok := c.pendingAudits[ev.id]
	if !ok {
		return
	}
	p.inFlight = false
	p.dueAt = c.now() + auditTakeoverDelay
	c.pendingAudits[ev.id] = p
}

// publishRequested is the event of an operator's publication.
type publishRequested struct {
	req   operatorapi.PublishRequest
	reply chan<- operatorapi.PublishResponse
}

// apply appends the publication to stream "config", or answers at once if it is
// decided already or the log is unreachable. It runs on the control loop when
// PublishConfig posts the event.
func (ev publishRequested) apply(c *control) {
	if d, ok := c.config.Decision(ev.req.ID); ok {
		ev.reply <- operatorapi.PublishResponseOf(d)
		return
	}
	if !c.logReachable(records.StreamConfig) {
		ev.reply <- operatorapi.PublishResponse{
			ID: ev.req.ID, Status: operatorapi.PublishRefused, Version: c.config.Current().Version,
			Reason: "the log is unreachable; nothing was published",
		}
		return
	}
	c.publishWaiters[ev.req.ID] = append(c.publishWaiters[ev.req.ID], ev.reply)
	p := operatorapi.RecordOf(ev.req, c.config.Next()-1, time.Now().UTC())
	c.d.writers[records.StreamConfig].append(records.Record{ConfigPublish: &p}, nil)
}

// publishWaitEnded is the event that an operator has stopped waiting.
type publishWaitEnded struct {
	id    string
	reply chan<- operatorapi.PublishResponse
}

// apply removes the operator's reply channel. It runs on the control loop each
// time PublishConfig returns, with or without an outcome.
func (ev publishWaitEnded) apply(c *control) {
	isEnded := func(reply chan<- operatorapi.PublishResponse) bool { return reply == ev.reply }
	c.publishWaiters[ev.id] = slices.DeleteFunc(c.publishWaiters[ev.id], isEnded)
	if len(c.publishWaiters[ev.id]) == 0 {
		delete(c.publishWaiters, ev.id)
	}
}

// PublishConfig appends a publication to the log and waits for its outcome,
// which is unknown after publishTimeout. It implements operatorapi.Backend. It
// runs on the HTTP goroutine of an operator's publish request.
func (d *Daemon) PublishConfig(ctx context.Context, req operatorapi.PublishRequest) (operatorapi.PublishResponse, error) {
	// A publication that the writer appends again is decided more than once.
	reply := make(chan operatorapi.PublishResponse, 8)
	d.post(ctx, publishRequested{req: req, reply: reply})
	defer d.post(context.WithoutCancel(ctx), publishWaitEnded{id: req.ID, reply: reply})
	timer := time.NewTimer(publishTimeout)
	defer timer.Stop()
	select {
	case out := <-reply:
		return out, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return operatorapi.PublishResponse{
		ID: req.ID, Status: operatorapi.PublishUnknown, Version: d.view.Load().ConfigVersion,
		Reason: "the publication was not read back from the log in time",
	}, nil
}
