package daemon

import (
	"time"

	"gypsumwinch/internal/dispatch"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/requestlog"
	"gypsumwinch/internal/structs"
)

// refuseNonIdempotent returns the outcome of a non-idempotent request that must
// not be started here, or nil. refuseRequest calls it on the control loop when
// the request arrives.
func (c *control) refuseNonIdempotent(id string) *structs.Outcome {
	if !c.requestLog.Ready() {
		return notRunOutcome("this VM has not read the log of started requests yet", busyRetryAfter)
	}
	if !c.logReachable(records.StreamRequests) {
		return notRunOutcome("the log is unreachable", logDownRetryAfter)
	}
	verdict, entry := c.requestLog.Check(id, time.Now())
	switch verdict {
	case requestlog.Fresh:
		return nil
	case requestlog.Started:
		return startedOutcome(entry)
	case requestlog.TooOld:
		return &structs.Outcome{Status: structs.StatusUnknown, Reason: "the id is older than what is remembered"}
	}
	return notRunOutcome("the id is not a ULID of the present time", 0)
}

// startedOutcome returns the outcome of a request whose id was started before.
// The earlier answer is not stored, so even a completed request is unknown to
// this caller. refuseNonIdempotent calls it.
func startedOutcome(entry requestlog.Entry) *structs.Outcome {
	reason := "a request with this id was started before"
	if entry.Status != "" {
		reason += "; its outcome was " + string(entry.Status)
	}
	return &structs.Outcome{Status: structs.StatusUnknown, Reason: reason}
}

// applyRequestRecord applies a record of stream "requests". The control loop
// calls it for each record that it reads from that stream, also for those of
// other VMs.
func (c *control) applyRequestRecord(e logEntry) {
	if e.record.JobAssignment != nil {
		c.applyAssignmentRecord(e)
		return
	}
	effect := c.requestLog.Apply(e.offset, e.storedAt, e.record)
	start := e.record.RequestStart
	if start == nil {
		return
	}
	isFromHere := start.Instance == c.d.instance
	active := c.activeRequests[start.ID]
	if isFromHere && effect.Won && (active == nil || active.startNumber != start.Number) {
		// The request was answered before its start was on the log, and its outcome may
		// have come first, where it counts for nothing. It is never sent, since the start
		// gave the right to send only now.
		c.logRequestOutcome(start.ID, start.Number, structs.StatusNotRun)
	}
	if active == nil || active.startNumber == 0 {
		return
	}
	own := isFromHere && start.Number == active.startNumber
	switch {
	case own && effect.Won:
		c.applyDispatchEvent(dispatch.StartLogged{ID: start.ID})
	case own && !c.ownsStart(active):
		c.cancelLostStart(start.ID)
	}
}

// ownsStart reports whether the start record of an active request is the one
// that counts. A second copy of the record has no effect of its own.
// applyRequestRecord calls it when it reads a start record of this VM that did
// not win.
func (c *control) ownsStart(active *activeRequest) bool {
	entry, known := c.requestLog.Known(active.req.ID)
	return known && entry.Instance == c.d.instance && entry.Number == active.startNumber
}

// cancelLostStart ends a request that another VM started first.
// applyRequestRecord calls it when this VM's start record is read after another
// one with the same id.
func (c *control) cancelLostStart(id string) {
	active := c.activeRequests[id]
	active.startNumber = 0
	active.hasLostStart = true
	c.applyDispatchEvent(dispatch.Cancel{ID: id, Reason: "another VM started a request with this id"})
}

// handleRequestsRead marks the stream as read to its end. handleBatchRead calls
// it after each read of stream "requests".
func (c *control) handleRequestsRead(ev logBatch) {
	if ev.atEnd {
		c.requestLog.ReadEnd()
	}
}

// requestOutcomeNotLogged is the event that the outcome record of a request is
// not known to be on the log.
type requestOutcomeNotLogged struct {
	id     string
	number int64
	status structs.Status
}

func (ev requestOutcomeNotLogged) apply(c *control) {
	c.unloggedOutcomes = append(c.unloggedOutcomes, ev)
}

// retryOutcomes appends the outcomes again that could not be appended, so that
// the id of a request that did not run can be used again. It runs on the
// control loop at each slow tick.
func (c *control) retryOutcomes() {
	if len(c.unloggedOutcomes) == 0 || !c.logReachable(records.StreamRequests) {
		return
	}
	unsettled := c.unloggedOutcomes
	c.unloggedOutcomes = nil
	for _, o := range unsettled {
		c.logRequestOutcome(o.id, o.number, o.status)
	}
}
