package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/internal/cell/owner"
	"gypsumwinch/internal/structs"
)

// The advice service answers the questions of one VM in turn, so the owner
// spreads them over all VMs: each is a lane.

const (
	// longQuestion is the time from which a question counts as long. The longest
	// answers of a queue take 0.2 s where its objective is some seconds, and 0.7 s
	// and more where it is ten.
	longQuestion = 400 * time.Millisecond
	// laneAhead is the work that may wait in a lane when another question joins.
	laneAhead = 25 * time.Millisecond
	// laneSlack is added to a question's time before it is given up.
	laneSlack = 500 * time.Millisecond
	// laneRest keeps questions away from a lane after a failure.
	laneRest = 800 * time.Millisecond
	// laneLost is when a VM that has not said hello is no lane any more.
	laneLost = 4 * time.Second
	// askTries bounds how often one question is sent.
	askTries = 3
	// lanesPerReserved lanes have one that long questions leave free.
	lanesPerReserved = 3
	// lanesPerShort lanes have one that only short questions take.
	lanesPerShort = 6
)

// lane is a VM that asks the advice service.
type lane struct {
	addr string
	// ask asks through this lane.
	ask func(ctx context.Context, step string, workers []string) (cell.AdviceAnswer, error)
	// busyUntil is when the questions under way should be answered.
	busyUntil time.Duration
	under     int
	// longest is the time of the longest question under way.
	longest   time.Duration
	restUntil time.Duration
	heard     time.Duration
	// self is the owner's own lane, which needs no greeting.
	self bool
}

// question is a question that waits for a lane or is under way.
type question struct {
	ask   owner.QueryAdvice
	tries int
	// asked and sent are when the owner asked and when the call was made.
	asked time.Duration
	sent  time.Duration
}

// lanes spreads questions. It belongs to the control loop.
type lanes struct {
	all    []*lane
	byAddr map[string]*lane
	urgent []question
	normal []question
	// done receives answers.
	done func(answered)
}

// answered is the result of a question.
type answered struct {
	lane     *lane
	question question
	answer   cell.AdviceAnswer
	received time.Duration
	err      error
}

func newLanes(self func(ctx context.Context, step string, workers []string) (cell.AdviceAnswer, error), done func(answered)) *lanes {
	own := &lane{ask: self, self: true}
	return &lanes{all: []*lane{own}, byAddr: map[string]*lane{}, done: done}
}

// hello notes that a VM may be asked.
func (l *lanes) hello(addr string, client cellpb.Cell, now time.Duration) {
	ln, ok := l.byAddr[addr]
	if !ok {
		ln = &lane{addr: addr, ask: remoteAsk(addr, client)}
		l.byAddr[addr] = ln
		l.all = append(l.all, ln)
	}
	ln.heard = now
}

// remoteAsk asks through another VM.
func remoteAsk(addr string, client cellpb.Cell) func(ctx context.Context, step string, workers []string) (cell.AdviceAnswer, error) {
	return func(ctx context.Context, step string, workers []string) (cell.AdviceAnswer, error) {
		resp, err := client.Ask(ctx, &cellpb.AskRequest{Step: step, Workers: workers})
		if err != nil {
			return cell.AdviceAnswer{}, &structs.Error{Step: "ask through another VM", Peer: addr, Cause: err}
		}
		if resp.Busy {
			return cell.AdviceAnswer{}, &structs.Error{Step: "ask through another VM", Peer: addr, Cause: cell.ErrAdviceBusy}
		}
		out := cell.AdviceAnswer{Validity: time.Duration(resp.ValidityMs) * time.Millisecond}
		for _, t := range resp.Tickets {
			out.Eligible = append(out.Eligible, cell.Ticket{Worker: t.Worker, Ticket: t.Ticket})
		}
		return out, nil
	}
}

// add queues a question.
func (l *lanes) add(a owner.QueryAdvice, now time.Duration) {
	q := question{ask: a, asked: now}
	if a.Urgent {
		l.urgent = append(l.urgent, q)
		return
	}
	l.normal = append(l.normal, q)
}

// send sends queued questions to lanes that are free enough.
func (l *lanes) send(ctx context.Context, now time.Duration) {
	for len(l.urgent) > 0 {
		ln := l.pick(l.urgent[0], now)
		if ln == nil {
			break
		}
		l.start(ctx, ln, l.urgent[0], now)
		l.urgent = l.urgent[1:]
	}
	rest := l.normal[:0]
	for _, q := range l.normal {
		ln := l.pick(q, now)
		if ln == nil {
			rest = append(rest, q)
			continue
		}
		l.start(ctx, ln, q, now)
	}
	l.normal = rest
}

// usable reports whether a lane may be asked.
func (ln *lane) usable(now time.Duration) bool {
	return now >= ln.restUntil && (ln.self || now-ln.heard <= laneLost)
}

// takes reports whether a lane can take a question: a short one beside other
// short ones that are almost answered, others alone.
func (ln *lane) takes(cost, now time.Duration) bool {
	if ln.under == 0 {
		return true
	}
	return cost < owner.ShortQueryTime && ln.longest < owner.ShortQueryTime && ln.busyUntil <= now+laneAhead
}

// room says how many questions that are not short may be asked.
func (l *lanes) room(now time.Duration) owner.AdviceCapacity {
	usable, idle, busy, long := 0, 0, 0, 0
	for _, ln := range l.all {
		if !ln.usable(now) {
			continue
		}
		usable++
		if ln.under == 0 {
			idle++
		}
		if ln.longest >= owner.ShortQueryTime {
			busy++
		}
		if ln.longest >= longQuestion {
			long++
		}
	}
	free := min(idle, usable-usable/lanesPerShort-busy) - len(l.normal)
	return owner.AdviceCapacity{
		FreeProxies:        max(0, free),
		FreeForLongQueries: max(0, min(free, usable-usable/lanesPerReserved-long)),
		LongQueryTime:      longQuestion,
	}
}

// pick returns the lane with the least work for a question, or nil.
func (l *lanes) pick(q question, now time.Duration) *lane {
	var best *lane
	for _, ln := range l.all {
		if !ln.usable(now) || !ln.takes(q.ask.AnswerTime, now) {
			continue
		}
		if best == nil || ln.busyUntil < best.busyUntil {
			best = ln
		}
	}
	return best
}

// start sends a question through a lane.
func (l *lanes) start(ctx context.Context, ln *lane, q question, now time.Duration) {
	q.tries++
	q.sent = now
	ln.under++
	ln.longest = max(ln.longest, q.ask.AnswerTime)
	ln.busyUntil = max(ln.busyUntil, now) + q.ask.AnswerTime
	timeout := ln.busyUntil - now + laneSlack
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		answer, err := ln.ask(ctx, q.ask.Step.String(), q.ask.Workers)
		l.done(answered{lane: ln, question: q, answer: answer, received: boot(), err: err})
	}()
}

// answer frees the lane. It returns the event for the owner, unless the question
// is asked again through another lane.
func (l *lanes) answer(a answered, now time.Duration) (owner.AdviceResult, bool) {
	a.lane.under--
	if a.lane.under == 0 {
		a.lane.busyUntil = now
		a.lane.longest = 0
	}
	if a.err != nil && !errors.Is(a.err, context.Canceled) {
		a.lane.restUntil = now + laneRest
		if a.question.tries < askTries {
			l.requeue(a.question)
			return owner.AdviceResult{}, false
		}
	}
	return owner.AdviceResult{
		Step:         a.question.ask.Step,
		AskedWorkers: a.question.ask.Workers,
		Answer:       a.answer,
		Age:          now - a.received,
		Err:          a.err,
	}, true
}

func (l *lanes) requeue(q question) {
	if q.ask.Urgent {
		l.urgent = append([]question{q}, l.urgent...)
		return
	}
	l.normal = append([]question{q}, l.normal...)
}

// serveAsk asks the advice service on the owner's behalf.
func serveAsk(ctx context.Context, advisor cell.Advisor, req *cellpb.AskRequest) (*cellpb.AskResponse, error) {
	answer, err := advisor.Ask(ctx, req.Step, req.Workers)
	if errors.Is(err, cell.ErrAdviceBusy) {
		return &cellpb.AskResponse{Busy: true}, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "ask for advice")
	}
	resp := &cellpb.AskResponse{ValidityMs: answer.Validity.Milliseconds()}
	for _, t := range answer.Eligible {
		resp.Tickets = append(resp.Tickets, &cellpb.Ticket{Worker: t.Worker, Ticket: t.Ticket})
	}
	return resp, nil
}

// peerTransport is the HTTP transport between entry VMs.
func peerTransport() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialPeer,
		MaxIdleConnsPerHost: peerConns,
		MaxConnsPerHost:     peerConns,
		IdleConnTimeout:     peerIdle,
		DisableCompression:  true,
	}}
}
