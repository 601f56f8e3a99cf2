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
	// publishTimeout bounds the wait for a publication to be decided.
	publishTimeout = 15 * time.Second
	// auditDelay is how long a VM leaves the writing of an audit entry to the
	// VM that published, which writes it at once.
	auditDelay = 5 * time.Second
	// auditSpread spreads the VMs that write it after that, so that one does.
	auditSpread = 20 * time.Second
	// rewriteInterval is the time between two rewrites of the configuration by
	// one VM, in case the first was lost.
	rewriteInterval = time.Minute
)

// publishWait holds the operators that wait for a publication to be decided.
type publishWait []chan<- operatorapi.PublishResponse

// pendingAudit is an audit entry that this VM writes unless another does first.
type pendingAudit struct {
	record records.Record
	due    time.Duration
	// sent is set while an append is on its way.
	sent bool
}

// configEffect handles a change of the configuration state.
func (c *control) configEffect(effect configstate.Effect) {
	for _, d := range effect.Decisions {
		c.configDecided(d)
	}
	for _, r := range audit.Entries(effect) {
		c.missingAudit[r.Audit.ID] = pendingAudit{record: r, due: c.auditDue(r.Audit.ID)}
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
	c.dispatch(dispatch.ClassesChanged{Classes: current.Config.Classes})
	c.applySchedulerEvent(scheduler.ConfigChanged{Config: *current.Config})
}

// auditDue spreads the writing of an entry over the VMs.
func (c *control) auditDue(id string) time.Duration {
	if c.publishes[id] != nil {
		return c.now()
	}
	h := fnv.New64a()
	h.Write([]byte(c.d.instance + id))
	return c.now() + auditDelay + time.Duration(h.Sum64()%uint64(auditSpread))
}

func (c *control) configDecided(d configstate.Decision) {
	for _, reply := range c.publishes[d.Publish.ID] {
		reply <- operatorapi.PublishResponseOf(d)
	}
}

// tickConfig writes audit entries that are due and repeats the configuration
// before the log drops it.
func (c *control) tickConfig() {
	for id, p := range c.missingAudit {
		switch {
		case c.trail.Has(id, p.record.Audit.Accepted):
			delete(c.missingAudit, id)
		case !p.sent && c.now() >= p.due && c.streams[records.StreamAudit].caughtUp:
			c.logAudit(id, p)
		}
	}
	if c.now()-c.rewrote < rewriteInterval || !c.config.NeedsRewrite(time.Now(), c.d.settings.retention()) {
		return
	}
	if record, ok := c.config.Rewrite(); ok && c.logReachable(records.StreamConfig) {
		c.rewrote = c.now()
		c.d.writers[records.StreamConfig].append(record, nil)
	}
}

func (c *control) logAudit(id string, p pendingAudit) {
	p.sent = true
	c.missingAudit[id] = p
	c.d.writers[records.StreamAudit].append(p.record, func(err error) {
		if err != nil {
			c.d.post(c.ctx, auditNotLogged{id: id})
		}
	})
}

// auditNotLogged is the event of an audit entry that is not known to be on the
// log.
type auditNotLogged struct{ id string }

func (ev auditNotLogged) apply(c *control) {
	p, ok := c.missingAudit[ev.id]
	if !ok {
		return
	}
	p.sent = false
	p.due = c.now() + auditDelay
	c.missingAudit[ev.id] = p
}

// publishRequested is the event of an operator's publication.
type publishRequested struct {
	req   operatorapi.PublishRequest
	reply chan<- operatorapi.PublishResponse
}

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
	c.publishes[ev.req.ID] = append(c.publishes[ev.req.ID], ev.reply)
	p := operatorapi.RecordOf(ev.req, c.config.Next()-1, time.Now().UTC())
	c.d.writers[records.StreamConfig].append(records.Record{ConfigPublish: &p}, nil)
}

// publishEnded is the event of an operator that waits no longer.
type publishEnded struct {
	id    string
	reply chan<- operatorapi.PublishResponse
}

func (ev publishEnded) apply(c *control) {
	isEnded := func(reply chan<- operatorapi.PublishResponse) bool { return reply == ev.reply }
	c.publishes[ev.id] = slices.DeleteFunc(c.publishes[ev.id], isEnded)
	if len(c.publishes[ev.id]) == 0 {
		delete(c.publishes, ev.id)
	}
}

// PublishConfig implements operatorapi.Backend.
func (d *Daemon) PublishConfig(ctx context.Context, req operatorapi.PublishRequest) (operatorapi.PublishResponse, error) {
	// A record that is repeated by the writer may be decided more than once.
	reply := make(chan operatorapi.PublishResponse, 8)
	d.post(ctx, publishRequested{req: req, reply: reply})
	defer d.post(context.WithoutCancel(ctx), publishEnded{id: req.ID, reply: reply})
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
