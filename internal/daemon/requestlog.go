package daemon

import (
	"time"

	"gypsumwinch/internal/dispatch"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/requestlog"
	"gypsumwinch/internal/structs"
)

// refuseNonIdempotent returns the answer to a non-idempotent request that may
// not be started here, or nil.
func (c *control) refuseNonIdempotent(id string) *structs.Outcome {
	if !c.requests.Ready() {
		return notRun("this VM has not read the log of started requests yet", retryBusy)
	}
	if !c.logReachable(records.StreamRequests) {
		return notRun("the log is unreachable", retryLogDown)
	}
	verdict, entry := c.requests.Check(id, time.Now())
	switch verdict {
	case requestlog.Fresh:
		return nil
	case requestlog.Started:
		return startedOutcome(entry)
	case requestlog.TooOld:
		return &structs.Outcome{Status: structs.StatusUnknown, Reason: "the id is older than what is remembered"}
	}
	return notRun("the id is not a ULID of the present time", 0)
}

// startedOutcome answers a request whose id was started before. Its answer is
// not kept, so even a completed one is unknown to this caller.
func startedOutcome(entry requestlog.Entry) *structs.Outcome {
	reason := "a request with this id was started before"
	if entry.Status != "" {
		reason += "; its outcome was " + string(entry.Status)
	}
	return &structs.Outcome{Status: structs.StatusUnknown, Reason: reason}
}

// requestRecord folds a record of stream "requests".
func (c *control) requestRecord(e logEntry) {
	if e.record.JobAssignment != nil {
		c.applyAssignmentRecord(e)
		return
	}
	effect := c.requests.Apply(e.offset, e.at, e.record)
	start := e.record.RequestStart
	if start == nil {
		return
	}
	live := c.live[start.ID]
	if live == nil || live.startNumber == 0 {
		return
	}
	own := start.Instance == c.d.instance && start.Number == live.startNumber
	switch {
	case own && effect.Won:
		c.dispatch(dispatch.StartLogged{ID: start.ID})
	case own && !c.holdsStart(live):
		c.lostStart(start.ID)
	}
}

// holdsStart reports whether the start of a live request is the one that counts.
// A copy of its record does not win again.
func (c *control) holdsStart(live *liveRequest) bool {
	entry, known := c.requests.Known(live.req.ID)
	return known && entry.Instance == c.d.instance && entry.Number == live.startNumber
}

// lostStart answers a request that another VM started first.
func (c *control) lostStart(id string) {
	live := c.live[id]
	live.startNumber = 0
	live.lostStart = true
	c.dispatch(dispatch.Cancel{ID: id, Reason: "another VM started a request with this id"})
}

// requestsRead notes that the stream was read.
func (c *control) requestsRead(ev logBatch) {
	if ev.end {
		c.requests.ReadEnd()
	}
}

// outcomeNotLogged is the event of an outcome record that is not known to be on
// the log.
type outcomeNotLogged struct {
	id     string
	number int64
	status structs.Status
}

func (ev outcomeNotLogged) apply(c *control) {
	c.unsettled = append(c.unsettled, ev)
}

// settle writes the outcomes again that could not be written, so that the id
// of a request that was not run can be used again.
func (c *control) settle() {
	if len(c.unsettled) == 0 || !c.logReachable(records.StreamRequests) {
		return
	}
	unsettled := c.unsettled
	c.unsettled = nil
	for _, o := range unsettled {
		c.logOutcome(o.id, o.number, o.status)
	}
}
