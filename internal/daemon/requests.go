package daemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumwinch/internal/backend"
	"gypsumwinch/internal/dispatch"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

// liveRequest is a request between its arrival and its final answer.
type liveRequest struct {
	req structs.Request
	// digest tells a repeated id with another payload.
	digest   uint64
	received time.Duration
	// started is when the first attempt was sent, zero before.
	started time.Duration
	waiters map[chan<- finalAnswer]struct{}
	// answer is the answer of the last attempt that ended well.
	answer        []byte
	answerAttempt int
	abort         context.CancelFunc
	// startNumber is the number of the start record that may be on the log,
	// zero if there is none.
	startNumber int64
	// lostStart is set when another VM holds the right to send.
	lostStart bool
}

// finalAnswer is what a caller's goroutine waits for.
type finalAnswer struct {
	outcome structs.Outcome
	wait    time.Duration
}

// requestArrived is the event of a caller's request.
type requestArrived struct {
	req      structs.Request
	received time.Duration
	reply    chan<- finalAnswer
}

// callerGone is the event of a caller that closed its connection.
type callerGone struct {
	id    string
	reply chan<- finalAnswer
}

// attemptEnded is the event of an attempt that ended.
type attemptEnded struct {
	id      string
	attempt int
	server  string
	answer  backend.Answer
	err     error
	aborted bool
}

// Do runs a request to its end. It implements callerapi.Service.
func (d *Daemon) Do(ctx context.Context, req structs.Request) (structs.Outcome, time.Duration) {
	reply := make(chan finalAnswer, 1)
	d.post(ctx, requestArrived{req: req, received: d.now(), reply: reply})
	select {
	case answer := <-reply:
		return answer.outcome, answer.wait
	case <-ctx.Done():
		d.post(context.WithoutCancel(ctx), callerGone{id: req.ID, reply: reply})
		return structs.Outcome{Status: structs.StatusUnknown, Reason: "the caller closed its connection"}, 0
	}
}

func (ev requestArrived) apply(c *control) {
	digest := xxhash.Sum64(ev.req.Payload)
	if live := c.live[ev.req.ID]; live != nil {
		c.join(live, ev, digest)
		return
	}
	if out := c.refuse(ev.req); out != nil {
		ev.reply <- finalAnswer{outcome: *out}
		return
	}
	c.live[ev.req.ID] = &liveRequest{
		req:      ev.req,
		digest:   digest,
		received: ev.received,
		waiters:  map[chan<- finalAnswer]struct{}{ev.reply: {}},
	}
	c.dispatch(dispatch.Enqueue{
		ID:            ev.req.ID,
		Class:         ev.req.Class,
		NonIdempotent: ev.req.NonIdempotent,
		At:            ev.received,
		MustLogStart:  ev.req.NonIdempotent,
	})
}

// join adds a caller to a request that is live already.
func (c *control) join(live *liveRequest, ev requestArrived, digest uint64) {
	if live.digest != digest || live.req.Class != ev.req.Class {
		ev.reply <- finalAnswer{outcome: structs.Outcome{
			Status: structs.StatusNotRun, Reason: "another request with this id is in progress",
		}}
		return
	}
	live.waiters[ev.reply] = struct{}{}
}

// refuse returns the answer to a request that is not accepted, or nil.
func (c *control) refuse(req structs.Request) *structs.Outcome {
	if len(c.live) >= c.d.settings.Limits.MaxRequests {
		return notRun("too many requests on this VM", retryBusy)
	}
	if c.config.Current().Config == nil {
		return notRun("this VM has no configuration yet", retryNoConfig)
	}
	if req.NonIdempotent {
		return c.refuseNonIdempotent(req.ID)
	}
	return nil
}

// Times after which callers may retry.
const (
	retryBusy     = time.Second
	retryNoConfig = time.Second
	retryLogDown  = 5 * time.Second
)

func notRun(reason string, retryAfter time.Duration) *structs.Outcome {
	return &structs.Outcome{Status: structs.StatusNotRun, Reason: reason, RetryAfter: retryAfter}
}

func (ev callerGone) apply(c *control) {
	live := c.live[ev.id]
	if live == nil {
		return
	}
	delete(live.waiters, ev.reply)
	if len(live.waiters) == 0 {
		c.dispatch(dispatch.Cancel{ID: ev.id, Reason: "the caller closed its connection"})
	}
}

// dispatch feeds the dispatcher and carries out what it decides.
func (c *control) dispatch(ev dispatch.Event) {
	for _, action := range c.dispatcher.Apply(c.now(), ev) {
		c.dispatchAction(action)
	}
}

func (c *control) dispatchAction(action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Send:
		c.send(a)
	case dispatch.Complete:
		c.complete(a)
	case dispatch.Reject:
		c.finish(a.ID, structs.Outcome{Status: structs.StatusNotRun, Reason: a.Reason, RetryAfter: a.RetryAfter})
	case dispatch.ReportUnknown:
		c.finish(a.ID, structs.Outcome{Status: structs.StatusUnknown, Reason: a.Reason})
	case dispatch.Abort:
		if live := c.live[a.ID]; live != nil && live.abort != nil {
			live.abort()
		}
	case dispatch.LogStart:
		c.logStart(a.ID)
	case dispatch.SlotDemand:
		c.wantSlots(a)
	}
}

// send starts an attempt on a traffic goroutine.
func (c *control) send(a dispatch.Send) {
	live := c.live[a.ID]
	if live == nil {
		return
	}
	if live.started == 0 {
		live.started = c.now()
		c.d.metrics.waitToStart(live.req.Class, c.besideLong(live.req.Class), live.started-live.received)
	}
	c.inUse[a.Server]++
	addr := c.serverAddr[a.Server]
	ctx, cancel := context.WithCancel(c.ctx)
	live.abort = cancel
	req := live.req
	go func() {
		defer cancel()
		answer, err := c.d.servers.Run(ctx, addr, req.ID, a.Attempt, req.Class, req.Payload)
		c.d.post(c.ctx, attemptEnded{
			id: a.ID, attempt: a.Attempt, server: a.Server,
			answer: answer, err: err, aborted: ctx.Err() != nil,
		})
	}()
}

// muchLonger is how many times longer a class must run to count as long work
// beside another one.
const muchLonger = 4

// besideLong reports whether work of a class with a much longer learned run time
// runs on this VM, for the measure of head-of-line delay.
func (c *control) besideLong(class string) bool {
	classes := c.d.view.Load().Requests.Classes
	var own time.Duration
	for _, s := range classes {
		if s.Class == class {
			own = s.RunTimeP50
		}
	}
	for _, s := range classes {
		if s.Running > 0 && own > 0 && s.RunTimeP50 > muchLonger*own {
			return true
		}
	}
	return false
}

func (ev attemptEnded) apply(c *control) {
	if c.inUse[ev.server]--; c.inUse[ev.server] <= 0 {
		delete(c.inUse, ev.server)
	}
	live := c.live[ev.id]
	if live == nil {
		return
	}
	if ev.answer.Leaving || backend.KindOf(ev.err) == backend.KindLeaving {
		c.serverLeaving(ev.server)
	}
	result := attemptResult(ev)
	if result == dispatch.ResultOK {
		live.answer = ev.answer.Body
		live.answerAttempt = ev.attempt
	} else {
		c.logger.Debug("attempt did not complete", "request", ev.id, "attempt", ev.attempt, "server", ev.server, "result", result, "error", ev.err)
	}
	c.dispatch(dispatch.Finished{ID: ev.id, Attempt: ev.attempt, Result: result})
}

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
	if ev.aborted {
		return dispatch.ResultAborted
	}
	return dispatch.ResultLost
}

func (c *control) complete(a dispatch.Complete) {
	live := c.live[a.ID]
	if live == nil {
		return
	}
	if live.answerAttempt != a.Attempt {
		c.finish(a.ID, structs.Outcome{Status: structs.StatusUnknown, Reason: "the answer was lost"})
		return
	}
	c.finish(a.ID, structs.Outcome{Status: structs.StatusCompleted, Body: live.answer})
}

// finish gives the final answer to every caller that waits for the request.
func (c *control) finish(id string, out structs.Outcome) {
	live := c.live[id]
	if live == nil {
		return
	}
	delete(c.live, id)
	wait := live.started - live.received
	if live.started == 0 {
		wait = c.now() - live.received
	}
	if live.lostStart {
		out = structs.Outcome{Status: structs.StatusUnknown, Reason: out.Reason}
	}
	for reply := range live.waiters {
		reply <- finalAnswer{outcome: out, wait: wait}
	}
	c.d.metrics.requestFinished(live.req.Class, out.Status, c.now()-live.received)
	if live.startNumber != 0 {
		c.logOutcome(id, live.startNumber, out.Status)
	}
}

// logStart writes the start of a non-idempotent request. The request is sent
// only after the record was read back.
func (c *control) logStart(id string) {
	live := c.live[id]
	if live == nil {
		return
	}
	c.startCount++
	number := c.startCount
	live.startNumber = number
	record := records.Record{RequestStart: &records.RequestStart{
		ID: id, Class: live.req.Class, Instance: c.d.instance, Number: number,
	}}
	c.d.writers[records.StreamRequests].append(record, func(err error) {
		if err != nil {
			c.d.post(c.ctx, startNotLogged{id: id, number: number})
		}
	})
}

// startNotLogged is the event of a start record that is not known to be on the
// log. The request is not sent.
type startNotLogged struct {
	id     string
	number int64
}

func (ev startNotLogged) apply(c *control) {
	if live := c.live[ev.id]; live == nil || live.startNumber != ev.number {
		return
	}
	c.dispatch(dispatch.Cancel{ID: ev.id, Reason: "the log is unreachable"})
}

func (c *control) logOutcome(id string, number int64, status structs.Status) {
	record := records.Record{RequestOutcome: &records.RequestOutcome{
		ID: id, Instance: c.d.instance, Number: number, Status: status,
	}}
	c.d.writers[records.StreamRequests].append(record, func(err error) {
		if err != nil {
			c.d.post(c.ctx, outcomeNotLogged{id: id, number: number, status: status})
		}
	})
}
