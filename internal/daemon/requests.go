package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumwinch/internal/backend"
	"gypsumwinch/internal/dispatch"
	"gypsumwinch/internal/gracefulhttp"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

// activeRequest is a request between its arrival and its final answer.
type activeRequest struct {
	req structs.Request
	// digest identifies the payload. It detects an id that is reused with
	// another payload.
	digest     uint64
	receivedAt time.Duration
	// startedAt is when the first attempt was sent, zero before.
	startedAt time.Duration
	waiters   map[chan<- finalAnswer]struct{}
	// answer is the response of the last successful attempt, answerAttempt its
	// number.
	answer        []byte
	answerAttempt int
	abortAttempt  context.CancelFunc
	// startNumber is the number of the start record that may be on the log,
	// zero if there is none.
	startNumber int64
	// hasLostStart is set when another VM's start record of the same request
	// came first on the log, so that only that VM may send the request.
	hasLostStart bool
}

// finalAnswer is the result that a caller's goroutine waits for. wait is the
// time from arrival to the first attempt, or to the end if none was sent.
type finalAnswer struct {
	outcome structs.Outcome
	wait    time.Duration
}

// requestArrived is the event of a caller's request.
type requestArrived struct {
	req        structs.Request
	receivedAt time.Duration
	reply      chan<- finalAnswer
}

// callerDisconnected is the event that a caller has closed its connection or that
// its request is given up because this VM stops.
type callerDisconnected struct {
	id    string
	reply chan<- finalAnswer
}

// attemptEnded is the event that an attempt has ended.
type attemptEnded struct {
	id         string
	attempt    int
	server     string
	answer     backend.Answer
	err        error
	wasAborted bool
}

// Do runs a request to completion and returns its outcome and its wait to
// start. It implements callerapi.Service. It runs on the HTTP goroutine of a
// caller's request.
func (d *Daemon) Do(ctx context.Context, req structs.Request) (structs.Outcome, time.Duration) {
	reply := make(chan finalAnswer, 1)
	d.post(ctx, requestArrived{req: req, receivedAt: d.now(), reply: reply})
	select {
	case answer := <-reply:
		return answer.outcome, answer.wait
	case <-ctx.Done():
		d.post(context.WithoutCancel(ctx), callerDisconnected{id: req.ID, reply: reply})
		reason := "the caller closed its connection"
		if errors.Is(context.Cause(ctx), gracefulhttp.ErrShutdown) {
			reason = "this VM stopped before the outcome was known"
		}
		return structs.Outcome{Status: structs.StatusUnknown, Reason: reason}, 0
	}
}

// apply adds the caller to an active request with the same id, or refuses the
// request, or passes it to the dispatcher. It runs on the control loop for each
// request of a caller.
func (ev requestArrived) apply(c *control) {
	digest := xxhash.Sum64(ev.req.Payload)
	if active := c.activeRequests[ev.req.ID]; active != nil {
		c.joinRequest(active, ev, digest)
		return
	}
	if out := c.refuseRequest(ev.req); out != nil {
		ev.reply <- finalAnswer{outcome: *out}
		return
	}
	c.activeRequests[ev.req.ID] = &activeRequest{
		req:        ev.req,
		digest:     digest,
		receivedAt: ev.receivedAt,
		waiters:    map[chan<- finalAnswer]struct{}{ev.reply: {}},
	}
	c.applyDispatchEvent(dispatch.Enqueue{
		ID:            ev.req.ID,
		Class:         ev.req.Class,
		NonIdempotent: ev.req.NonIdempotent,
		At:            ev.receivedAt,
		MustLogStart:  ev.req.NonIdempotent,
	})
}

// joinRequest adds a caller to a request that is already active, or refuses it
// if its payload or class differs. requestArrived.apply calls it.
func (c *control) joinRequest(active *activeRequest, ev requestArrived, digest uint64) {
	if active.digest != digest || active.req.Class != ev.req.Class {
		ev.reply <- finalAnswer{outcome: structs.Outcome{
			Status: structs.StatusNotRun, Reason: "another request with this id is in progress",
		}}
		return
	}
	active.waiters[ev.reply] = struct{}{}
}

// refuseRequest returns the outcome of a request that is refused, or nil.
// requestArrived.apply calls it for a request that is not active yet.
func (c *control) refuseRequest(req structs.Request) *structs.Outcome {
	if len(c.activeRequests) >= c.d.settings.Limits.MaxRequests {
		return notRunOutcome("too many requests on this VM", busyRetryAfter)
	}
	if c.config.Current().Config == nil {
		return notRunOutcome("this VM has no configuration yet", noConfigRetryAfter)
	}
	if req.NonIdempotent {
		return c.refuseNonIdempotent(req.ID)
	}
	return nil
}

// Delays that refusals give to callers, after which they may retry.
const (
	busyRetryAfter     = time.Second
	noConfigRetryAfter = time.Second
	logDownRetryAfter  = 5 * time.Second
)

func notRunOutcome(reason string, retryAfter time.Duration) *structs.Outcome {
	return &structs.Outcome{Status: structs.StatusNotRun, Reason: reason, RetryAfter: retryAfter}
}

// apply removes the caller from the request and cancels the request if no other
// caller waits for it. It runs on the control loop when a caller has closed its
// connection before the final answer.
func (ev callerDisconnected) apply(c *control) {
	active := c.activeRequests[ev.id]
	if active == nil {
		return
	}
	delete(active.waiters, ev.reply)
	if len(active.waiters) == 0 {
		c.applyDispatchEvent(dispatch.Cancel{ID: ev.id, Reason: "the caller closed its connection"})
	}
}

// applyDispatchEvent passes an event to the dispatcher and runs the actions
// that it returns. The control loop calls it for each tick, arrival,
// cancellation, finished attempt and won start record of a request, and for
// each change of the classes, the backend servers or the slots.
func (c *control) applyDispatchEvent(ev dispatch.Event) {
	for _, action := range c.dispatcher.Apply(c.now(), ev) {
		c.runDispatchAction(action)
	}
}

// runDispatchAction runs one action of the dispatcher. applyDispatchEvent calls
// it for each action.
func (c *control) runDispatchAction(action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Send:
		c.sendAttempt(a)
	case dispatch.Complete:
		c.completeRequest(a)
	case dispatch.Reject:
		c.finishRequest(a.ID, structs.Outcome{Status: structs.StatusNotRun, Reason: a.Reason, RetryAfter: a.RetryAfter})
	case dispatch.ReportUnknown:
		c.finishRequest(a.ID, structs.Outcome{Status: structs.StatusUnknown, Reason: a.Reason})
	case dispatch.Abort:
		if active := c.activeRequests[a.ID]; active != nil && active.abortAttempt != nil {
			active.abortAttempt()
		}
	case dispatch.LogStart:
		c.logRequestStart(a.ID)
	case dispatch.SlotDemand:
		c.setSlotDemand(a)
	}
}

// sendAttempt sends an attempt to a backend server on its own goroutine, which
// posts attemptEnded. runDispatchAction calls it for a Send action.
func (c *control) sendAttempt(a dispatch.Send) {
	active := c.activeRequests[a.ID]
	if active == nil {
		return
	}
	if active.startedAt == 0 {
		active.startedAt = c.now()
		c.d.metrics.recordWaitToStart(active.req.Class, c.isBesideLongWork(active.req.Class), active.startedAt-active.receivedAt)
	}
	c.attemptsInFlight[a.Server]++
	addr := c.serverAddrs[a.Server]
	ctx, cancel := context.WithCancel(c.ctx)
	active.abortAttempt = cancel
	req := active.req
	go func() {
		defer cancel()
		answer, err := c.d.servers.Run(ctx, addr, req.ID, a.Attempt, req.Class, req.Payload)
		c.d.post(c.ctx, attemptEnded{
			id: a.ID, attempt: a.Attempt, server: a.Server,
			answer: answer, err: err, wasAborted: ctx.Err() != nil,
		})
	}()
}

// longWorkFactor is how many times longer than a class another one must run to
// count as long work beside it.
const longWorkFactor = 4

// isBesideLongWork reports whether work of a class with a much longer learned
// run time runs on this VM. The metric of head-of-line delay uses it.
// sendAttempt calls it for the first attempt of a request.
func (c *control) isBesideLongWork(class string) bool {
	classes := c.d.view.Load().Requests.Classes
	var own time.Duration
	for _, s := range classes {
		if s.Class == class {
			own = s.RunTimeP50
		}
	}
	for _, s := range classes {
		if s.Running > 0 && own > 0 && s.RunTimeP50 > longWorkFactor*own {
			return true
		}
	}
	return false
}

// apply removes the attempt from those in flight to its server, stores a
// successful answer and reports the result to the dispatcher. It runs on the
// control loop at the end of each attempt, whether it succeeded, failed or was
// aborted.
func (ev attemptEnded) apply(c *control) {
	if c.attemptsInFlight[ev.server]--; c.attemptsInFlight[ev.server] <= 0 {
		delete(c.attemptsInFlight, ev.server)
	}
	active := c.activeRequests[ev.id]
	if active == nil {
		return
	}
	if ev.answer.Leaving || backend.KindOf(ev.err) == backend.KindLeaving {
		c.markServerLeaving(ev.server)
	}
	result := attemptResult(ev)
	if result == dispatch.ResultOK {
		active.answer = ev.answer.Body
		active.answerAttempt = ev.attempt
	} else {
		c.logger.Debug("attempt did not complete", "request", ev.id, "attempt", ev.attempt, "server", ev.server, "result", result, "error", ev.err)
	}
	c.applyDispatchEvent(dispatch.Finished{ID: ev.id, Attempt: ev.attempt, Result: result})
}

// attemptResult converts the error of an attempt to the result that the
// dispatcher uses. attemptEnded.apply calls it.
func attemptResult(ev attemptEnded) dispatch.Result {
	if ev.err == nil {
		return dispatch.ResultOK
	}
	switch backend.KindOf(ev.err) {
	case backend.KindNotSent, backend.KindRefused, backend.KindLeaving:
		return dispatch.ResultRefused
	case backend.KindFailed:
		return dispatch.ResultFailed
	}
	if ev.wasAborted {
		return dispatch.ResultAborted
	}
	return dispatch.ResultLost
}

// completeRequest finishes a request with the answer of the given attempt; if
// the stored answer is not of that attempt, the outcome is unknown.
// runDispatchAction calls it for a Complete action.
func (c *control) completeRequest(a dispatch.Complete) {
	active := c.activeRequests[a.ID]
	if active == nil {
		return
	}
	if active.answerAttempt != a.Attempt {
		c.finishRequest(a.ID, structs.Outcome{Status: structs.StatusUnknown, Reason: "the answer was lost"})
		return
	}
	c.finishRequest(a.ID, structs.Outcome{Status: structs.StatusCompleted, Body: active.answer})
}

// finishRequest sends the final answer to every caller that waits for the
// request. It also removes the request and, for a request with a start record,
// appends the outcome record. If the start was lost to another VM
// (hasLostStart), the status is unknown: that VM may send the request, and this
// one does not learn the result. runDispatchAction and completeRequest call it
// when the dispatcher has decided the outcome.
func (c *control) finishRequest(id string, out structs.Outcome) {
	active := c.activeRequests[id]
	if active == nil {
		return
	}
	delete(c.activeRequests, id)
	wait := active.startedAt - active.receivedAt
	if active.startedAt == 0 {
		wait = c.now() - active.receivedAt
	}
	if active.hasLostStart {
		out = structs.Outcome{Status: structs.StatusUnknown, Reason: out.Reason}
	}
	for reply := range active.waiters {
		reply <- finalAnswer{outcome: out, wait: wait}
	}
	c.d.metrics.recordRequestFinished(active.req.Class, out.Status, c.now()-active.receivedAt)
	if active.startNumber != 0 {
		c.logRequestOutcome(id, active.startNumber, out.Status)
	}
}

// logRequestStart appends the start record of a non-idempotent request. The
// request is sent only after the record has been read back. runDispatchAction
// calls it for a LogStart action.
func (c *control) logRequestStart(id string) {
	active := c.activeRequests[id]
	if active == nil {
		return
	}
	c.lastStartNumber++
	number := c.lastStartNumber
	active.startNumber = number
	record := records.Record{RequestStart: &records.RequestStart{
		ID: id, Class: active.req.Class, Instance: c.d.instance, Number: number,
	}}
	c.d.writers[records.StreamRequests].append(record, func(err error) {
		if err != nil {
			c.d.post(c.ctx, requestStartNotLogged{id: id, number: number})
		}
	})
}

// requestStartNotLogged is the event that the start record of a request is not
// known to be on the log. The request is not sent.
type requestStartNotLogged struct {
	id     string
	number int64
}

// apply cancels the request if it is still active with that start record. It
// runs on the control loop when the append of the start record has failed.
func (ev requestStartNotLogged) apply(c *control) {
	if active := c.activeRequests[ev.id]; active == nil || active.startNumber != ev.number {
		return
	}
	c.applyDispatchEvent(dispatch.Cancel{ID: ev.id, Reason: "the log is unreachable"})
}

// logRequestOutcome appends the outcome record of a non-idempotent request.
// finishRequest calls it, and retryOutcomes at slow ticks after a failed
// append.
func (c *control) logRequestOutcome(id string, number int64, status structs.Status) {
	record := records.Record{RequestOutcome: &records.RequestOutcome{
		ID: id, Instance: c.d.instance, Number: number, Status: status,
	}}
	c.d.writers[records.StreamRequests].append(record, func(err error) {
		if err != nil {
			c.d.post(c.ctx, requestOutcomeNotLogged{id: id, number: number, status: status})
		}
	})
}
