package node

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/internal/cell/owner"
	"gypsumwinch/internal/structs"
)

// The advice service answers the queries of one VM one after the other. The
// owner therefore spreads its queries over all entry VMs, each of which serves
// as an advice proxy.

const (
	// longQueryTime is the expected time from which a query counts as long. The
	// longest answers of a queue take 0.2 s if its objective is a few seconds,
	// and 0.7 s and more if the objective is ten seconds.
	longQueryTime = 400 * time.Millisecond
	// maxProxyBacklog is the most work that may be in flight at a proxy when
	// another query is sent to it.
	maxProxyBacklog = 25 * time.Millisecond
	// queryTimeoutSlack is added to the expected time of a query before it times
	// out.
	queryTimeoutSlack = 500 * time.Millisecond
	// proxyBackoff is how long a proxy gets no queries after a failure.
	proxyBackoff = 800 * time.Millisecond
	// adviceProxyTTL is how long a VM serves as an advice proxy after its last
	// hello message.
	adviceProxyTTL = 4 * time.Second
	// maxQueryAttempts bounds how often one query is sent.
	maxQueryAttempts = 3
	// proxiesPerReserved is the number of proxies for each one that long queries
	// leave free.
	proxiesPerReserved = 3
	// proxiesPerShortOnly is the number of proxies for each one that takes only
	// short queries.
	proxiesPerShortOnly = 6
)

// adviceProxy is a VM through which the owner queries the advice service.
type adviceProxy struct {
	addr string
	// query sends a query through this proxy and waits for the answer.
	query func(ctx context.Context, step string, workers []string) (cell.AdviceAnswer, error)
	// busyUntil is when the queries in flight should have been answered.
	busyUntil time.Duration
	inFlight  int
	// longestInFlight is the largest expected time of a query since the proxy was
	// last idle.
	longestInFlight time.Duration
	backoffUntil    time.Duration
	lastSeen        time.Duration
	// isLocal is true for the owner's own proxy, which sends no hello messages.
	isLocal bool
}

// adviceQuery is a query that is queued or in flight.
type adviceQuery struct {
	request  owner.QueryAdvice
	attempts int
	// queuedAt is when the state machine asked, sentAt when the last attempt was
	// sent.
	queuedAt time.Duration
	sentAt   time.Duration
}

// adviceDispatcher queues advice queries and spreads them over the proxies.
// Only the goroutine of the control loop uses it.
type adviceDispatcher struct {
	proxies []*adviceProxy
	byAddr  map[string]*adviceProxy
	urgent  []adviceQuery
	normal  []adviceQuery
	// onResult receives the results. It is called from other goroutines.
	onResult func(adviceResult)
}

// adviceResult is the result of one attempt of a query.
type adviceResult struct {
	proxy      *adviceProxy
	query      adviceQuery
	answer     cell.AdviceAnswer
	receivedAt time.Duration
	err        error
}

// newAdviceDispatcher returns a dispatcher whose only proxy is the owner
// itself. The control loop calls it once, when it starts.
func newAdviceDispatcher(localQuery func(ctx context.Context, step string, workers []string) (cell.AdviceAnswer, error), onResult func(adviceResult)) *adviceDispatcher {
	local := &adviceProxy{query: localQuery, isLocal: true}
	return &adviceDispatcher{proxies: []*adviceProxy{local}, byAddr: map[string]*adviceProxy{}, onResult: onResult}
}

// addProxy adds a VM as an advice proxy, or renews it. The control loop calls
// it for each hello message.
func (d *adviceDispatcher) addProxy(addr string, client cellpb.Cell, now time.Duration) {
	proxy, known := d.byAddr[addr]
	if !known {
		proxy = &adviceProxy{addr: addr, query: queryThroughPeer(addr, client)}
		d.byAddr[addr] = proxy
		d.proxies = append(d.proxies, proxy)
	}
	proxy.lastSeen = now
}

// queryThroughPeer returns a function that queries the advice service through
// another VM. addProxy calls it for a new proxy; the function runs on the
// goroutine of each query.
func queryThroughPeer(addr string, client cellpb.Cell) func(ctx context.Context, step string, workers []string) (cell.AdviceAnswer, error) {
	return func(ctx context.Context, step string, workers []string) (cell.AdviceAnswer, error) {
		resp, err := client.Ask(ctx, &cellpb.AskRequest{Step: step, Workers: workers})
		if err != nil {
			return cell.AdviceAnswer{}, &structs.Error{Step: "query advice through another VM", Peer: addr, Cause: err}
		}
		if resp.Busy {
			return cell.AdviceAnswer{}, &structs.Error{Step: "query advice through another VM", Peer: addr, Cause: cell.ErrAdviceBusy}
		}
		out := cell.AdviceAnswer{Validity: time.Duration(resp.ValidityMs) * time.Millisecond}
		for _, t := range resp.Tickets {
			out.Eligible = append(out.Eligible, cell.Ticket{Worker: t.Worker, Ticket: t.Ticket})
		}
		return out, nil
	}
}

// enqueue queues a query for dispatch. The control loop calls it for each
// QueryAdvice action.
func (d *adviceDispatcher) enqueue(request owner.QueryAdvice, now time.Duration) {
	q := adviceQuery{request: request, queuedAt: now}
	if request.Urgent {
		d.urgent = append(d.urgent, q)
		return
	}
	d.normal = append(d.normal, q)
}

// dispatch sends queued queries to proxies that accept them. The control loop
// calls it in each round, after the scheduling cycle if one was due.
func (d *adviceDispatcher) dispatch(ctx context.Context, now time.Duration) {
	for len(d.urgent) > 0 {
		proxy := d.leastBusy(d.urgent[0], now)
		if proxy == nil {
			break
		}
		d.send(ctx, proxy, d.urgent[0], now)
		d.urgent = d.urgent[1:]
	}
	deferred := d.normal[:0]
	for _, q := range d.normal {
		proxy := d.leastBusy(q, now)
		if proxy == nil {
			deferred = append(deferred, q)
			continue
		}
		d.send(ctx, proxy, q, now)
	}
	d.normal = deferred
}

// isUsable reports whether queries may be sent to the proxy. It is checked
// when a query is dispatched and when the capacity is computed.
func (p *adviceProxy) isUsable(now time.Duration) bool {
	return now >= p.backoffUntil && (p.isLocal || now-p.lastSeen <= adviceProxyTTL)
}

// accepts reports whether the proxy can take a query with the given answer
// time. A short query may join other short ones that are almost answered; any
// other query needs an idle proxy. The control loop checks it for each usable
// proxy when it dispatches a query.
func (p *adviceProxy) accepts(answerTime, now time.Duration) bool {
	if p.inFlight == 0 {
		return true
	}
	return answerTime < owner.ShortQueryTime && p.longestInFlight < owner.ShortQueryTime && p.busyUntil <= now+maxProxyBacklog
}

// capacity returns how many more queries that are not short can be dispatched.
// The control loop calls it before each scheduling cycle and when it logs the
// load.
func (d *adviceDispatcher) capacity(now time.Duration) owner.AdviceCapacity {
	usable, idle, busy, long := 0, 0, 0, 0
	for _, proxy := range d.proxies {
		if !proxy.isUsable(now) {
			continue
		}
		usable++
		if proxy.inFlight == 0 {
			idle++
		}
		if proxy.longestInFlight >= owner.ShortQueryTime {
			busy++
		}
		if proxy.longestInFlight >= longQueryTime {
			long++
		}
	}
	free := min(idle, usable-usable/proxiesPerShortOnly-busy) - len(d.normal)
	return owner.AdviceCapacity{
		FreeProxies:        max(0, free),
		FreeForLongQueries: max(0, min(free, usable-usable/proxiesPerReserved-long)),
		LongQueryTime:      longQueryTime,
	}
}

// leastBusy returns the proxy with the least work that accepts the query, or
// nil. dispatch calls it for each queued query.
func (d *adviceDispatcher) leastBusy(q adviceQuery, now time.Duration) *adviceProxy {
	var best *adviceProxy
	for _, proxy := range d.proxies {
		if !proxy.isUsable(now) || !proxy.accepts(q.request.AnswerTime, now) {
			continue
		}
		if best == nil || proxy.busyUntil < best.busyUntil {
			best = proxy
		}
	}
	return best
}

// send sends a query through a proxy in its own goroutine. dispatch calls it
// for each query that a proxy accepts; the result goes to onResult.
func (d *adviceDispatcher) send(ctx context.Context, proxy *adviceProxy, q adviceQuery, now time.Duration) {
	q.attempts++
	q.sentAt = now
	proxy.inFlight++
	proxy.longestInFlight = max(proxy.longestInFlight, q.request.AnswerTime)
	proxy.busyUntil = max(proxy.busyUntil, now) + q.request.AnswerTime
	timeout := proxy.busyUntil - now + queryTimeoutSlack
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		answer, err := proxy.query(ctx, q.request.Step.String(), q.request.Workers)
		d.onResult(adviceResult{proxy: proxy, query: q, answer: answer, receivedAt: bootTime(), err: err})
	}()
}

// handleResult updates the proxy after an attempt. It returns the event for
// the state machine, or false if the query is queued for another attempt. The
// control loop calls it for each result.
func (d *adviceDispatcher) handleResult(result adviceResult, now time.Duration) (owner.AdviceResult, bool) {
	result.proxy.inFlight--
	if result.proxy.inFlight == 0 {
		result.proxy.busyUntil = now
		result.proxy.longestInFlight = 0
	}
	if result.err != nil && !errors.Is(result.err, context.Canceled) {
		result.proxy.backoffUntil = now + proxyBackoff
		if result.query.attempts < maxQueryAttempts {
			d.requeue(result.query)
			return owner.AdviceResult{}, false
		}
	}
	return owner.AdviceResult{
		Step:         result.query.request.Step,
		AskedWorkers: result.query.request.Workers,
		Answer:       result.answer,
		Age:          now - result.receivedAt,
		Err:          result.err,
	}, true
}

// requeue puts a query back at the head of its queue. handleResult calls it
// after a failed attempt that was not the last one.
func (d *adviceDispatcher) requeue(q adviceQuery) {
	if q.request.Urgent {
		d.urgent = append([]adviceQuery{q}, d.urgent...)
		return
	}
	d.normal = append([]adviceQuery{q}, d.normal...)
}

// serveAdvice queries the advice service on behalf of the owner. It runs in
// the owner's Ask RPC to this VM.
func serveAdvice(ctx context.Context, advisor cell.Advisor, req *cellpb.AskRequest) (*cellpb.AskResponse, error) {
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
