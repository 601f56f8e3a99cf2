package node

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/internal/cell/owner"
	"gypsumwinch/internal/progress"
)

// Intervals and timeouts of the control loop.
const (
	// flushInterval is the minimum time between two appends of progress. Each
	// append costs money, and a start waits for the append that records it.
	flushInterval = 12 * time.Millisecond
	// tickInterval is the period of owner.Tick events.
	tickInterval = 25 * time.Millisecond
	// schedulingInterval is the minimum time between two scheduling cycles.
	schedulingInterval = 4 * time.Millisecond
	// minSchedulingPauseFactor is the multiple of the length of a scheduling cycle, or of the
	// part of it after which it has yielded, for which the loop does other work before it goes
	// on: without a pause, a backlog takes the processor from the renewals of the leases, and
	// more work is lost than is placed.
	minSchedulingPauseFactor = 3
	// maxQueuedEvents bounds the events and the advice results that wait for the
	// loop.
	maxQueuedEvents = 4096
	// workerRequestTimeout bounds a request to a worker; an answer takes 2 to 4
	// ms. The allowance of answerDelay is added to it and to the other timeouts of
	// requests to workers.
	workerRequestTimeout = 350 * time.Millisecond
	// startRequestTimeout bounds a start request, which is repeated unchanged. It
	// is short because the tightest objective leaves 250 ms for everything but
	// the work.
	startRequestTimeout = 120 * time.Millisecond
	// minRenewSlack and renewSlackPerWorker are added to the wait time of a lease
	// renewal. An answer takes 2 to 4 ms; the rest allows for an owner that is short
	// of CPU time. After a takeover the owner of 3,000 workers has a queue of answers
	// of 0.3 s; a renewal that times out costs it a new connection, which lengthens
	// the queue.
	minRenewSlack       = 200 * time.Millisecond
	renewSlackPerWorker = 100 * time.Microsecond
	// appendTimeout bounds one append by the owner. A slow store answers after
	// 0.35 s.
	appendTimeout = 700 * time.Millisecond
	// progressAttemptTimeout bounds the time in which no data of an attempt to append
	// progress moves, on either route to the store: directly and through a store proxy. A batch of 1 MB
	// takes 0.8 s on a link of 10 Mbit/s.
	progressAttemptTimeout = 900 * time.Millisecond
	// workerListInterval is the period at which the owner reads the workers'
	// entries. A draining worker must get no new work after 2 s.
	workerListInterval = 350 * time.Millisecond
	// occurrenceMemoryDivisor is the part of the memory limit that the open occurrences of
	// repeated jobs may take.
	occurrenceMemoryDivisor = 16
	// loadLogInterval is the period at which the owner logs the load of the cell.
	loadLogInterval = time.Second
	// minRemoteReachFraction is the fraction of the workers in other data centres
	// that an owner must reach. A network partition leaves none, failures of
	// workers leave most.
	minRemoteReachFraction = 0.2
	// isolationTimeout is how long an owner may reach fewer workers before it
	// resigns.
	isolationTimeout = 500 * time.Millisecond
)

// helloMessage is a hello message that the owner received from another VM.
type helloMessage struct {
	addr       string
	client     cellpb.Cell
	receivedAt time.Duration
	// canTakeOver is true for a follower that knows the states of all jobs and is
	// not draining.
	canTakeOver bool
	// processAge is how long the VM's process has run.
	processAge time.Duration
}

// controlLoop runs the owner's state machine for one term. Only the goroutine
// of run uses the machine; calls run in their own goroutines and report back
// through channels.
type controlLoop struct {
	node          *Node
	log           hclog.Logger
	machine       *owner.Machine
	term          int64
	advice        *adviceDispatcher
	events        chan owner.Event
	adviceResults chan adviceResult
	hellos        chan helloMessage
	flushResults  chan flushResult
	// done is closed when the ownership ends, also if run was never called.
	done chan struct{}
	// takeoverActions are the actions from loading the recorded state. run
	// performs them first.
	takeoverActions []owner.Action

	// isFlushing is true while a batch of progress records is in flight.
	isFlushing     bool
	nextSequence   int64
	lastFlush      time.Duration
	nextScheduling time.Duration
	lastLoadLog    time.Duration
	// isolatedSince is the boot time since which this VM has been isolated, or 0.
	isolatedSince time.Duration
	logLimiters   map[string]*logLimiter
	// jobServices are the services of the jobs that were taken over. The configuration may
	// name them no more.
	jobServices map[string]bool
	// finishedJobs are finished jobs whose submissions are still in the store.
	finishedJobs    []cell.JobID
	isDeleting      bool
	lastDeletion    time.Duration
	deletionResults chan deletionResult
	resignReason    string
	// followers holds the last hello messages of VMs that can take over, by
	// address.
	followers map[string]helloMessage
	// successor is the VM that is asked to claim the cell when this VM stops. It
	// is set when the context of run ends.
	successor cellpb.Cell
	// workerDelay is the delay of answers of workers, for the timeouts of requests.
	workerDelay answerDelay
}

// flushResult is the result of appending a batch of progress records.
type flushResult struct {
	batch int
	// refused is why the store accepts no batch of this term, or "".
	refused string
	// sentAt is the boot time at which the accepted append was sent.
	sentAt time.Duration
}

// errResigned means that the owner ended its term by itself.
var errResigned = errors.New("the owner resigned")

// newControlLoop returns a control loop that does not run yet and whose state
// machine has no jobs. runOwnership calls it each time this VM has claimed the
// cell.
func newControlLoop(n *Node, term int64) *controlLoop {
	c := &controlLoop{
		node:            n,
		log:             n.log,
		term:            term,
		events:          make(chan owner.Event, maxQueuedEvents),
		adviceResults:   make(chan adviceResult, maxQueuedEvents),
		hellos:          make(chan helloMessage, 64),
		flushResults:    make(chan flushResult, 1),
		done:            make(chan struct{}),
		deletionResults: make(chan deletionResult, 1),
		logLimiters:     map[string]*logLimiter{},
		jobServices:     map[string]bool{},
		followers:       map[string]helloMessage{},
		machine: owner.New(owner.Options{
			Term:             term,
			LeaseLimit:       n.settings.LeaseLimit,
			GangTimeout:      n.settings.GangTimeout,
			RemoteFactor:     n.settings.RemoteFactor,
			QuotaOvershoot:   n.settings.QuotaOvershoot,
			LearnRunTimes:    n.settings.LearnRunTimes,
			CycleClock:       bootTime,
			OccurrenceMemory: n.settings.MemoryMB << 20 / occurrenceMemoryDivisor,
			OwnedAt:          n.election.OwnedAt(),
			Seed:             uint64(bootTime()),
		}, eventTime()),
	}
	return c
}

// post queues an event for the control loop and waits while the queue is full.
// Other goroutines call it: those of requests to workers, with the result, and
// pollWorkers.
func (c *controlLoop) post(ctx context.Context, ev owner.Event) {
	select {
	case c.events <- ev:
	case <-ctx.Done():
	}
}

// run processes events until ctx ends or the owner resigns, and returns the
// reason. runOwnership calls it once in each term, after the takeover; its
// goroutine is the control loop.
func (c *controlLoop) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if notify := c.node.settings.OnOwnership; notify != nil {
		notify(true)
		defer notify(false)
	}
	c.advice = newAdviceDispatcher(c.node.advisor.Ask, func(a adviceResult) {
		select {
		case c.adviceResults <- a:
		case <-ctx.Done():
		}
	})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	c.perform(ctx, c.takeoverActions)
	c.takeoverActions = nil
	for {
		select {
		case <-ctx.Done():
			c.successor = chooseSuccessor(c.followers, bootTime())
			return ctx.Err()
		case ev := <-c.events:
			c.apply(ctx, ev)
			c.applyQueued(ctx)
		case a := <-c.adviceResults:
			c.logAdviceResult(a)
			if ev, ok := c.advice.handleResult(a, bootTime()); ok {
				c.apply(ctx, ev)
			}
		case o := <-c.flushResults:
			c.isFlushing = false
			if o.refused != "" {
				c.resignReason = o.refused
				break
			}
			c.apply(ctx, owner.HeartbeatStored{SentAt: o.sentAt})
			c.apply(ctx, owner.BatchStored{Batch: o.batch})
		case d := <-c.deletionResults:
			c.isDeleting = false
			c.finishedJobs = append(c.finishedJobs, d.retryJobs...)
		case h := <-c.hellos:
			c.advice.addProxy(h.addr, h.client, bootTime())
			c.updateFollower(h)
		case <-ticker.C:
			c.apply(ctx, owner.Tick{})
			c.node.leaseStatement.Store(c.machine.LeaseStatement())
			c.checkIsolation()
			c.deleteFinishedSubmissions(ctx)
			c.logLoad()
		case <-timer.C:
		}
		if c.resignReason != "" {
			return eris.Wrap(errResigned, c.resignReason)
		}
		c.runDue(ctx, timer)
	}
}

// applyQueued applies the queued events, so that their records share a batch.
// run calls it each time it has received an event.
func (c *controlLoop) applyQueued(ctx context.Context) {
	for range cap(c.events) {
		select {
		case ev := <-c.events:
			c.apply(ctx, ev)
		default:
			return
		}
	}
}

// runDue runs a scheduling cycle and flushes progress, each if its interval
// has passed, dispatches advice queries, and sets the timer for the next call.
// run calls it after each event, result, hello message, tick or end of that
// timer.
func (c *controlLoop) runDue(ctx context.Context, timer *time.Timer) {
	now := bootTime()
	next := tickInterval
	if wait := c.nextScheduling - now; wait > 0 {
		next = min(next, wait)
	} else {
		c.perform(ctx, c.machine.Place(eventTime(), c.advice.capacity(now)))
		end := bootTime()
		c.nextScheduling = max(now+schedulingInterval, end+minSchedulingPauseFactor*(end-now))
	}
	c.advice.dispatch(ctx, now)
	if wait := c.lastFlush + flushInterval - now; wait > 0 {
		next = min(next, wait)
	} else {
		c.flush(ctx)
	}
	timer.Reset(next)
}

// apply passes an event to the state machine and performs the resulting
// actions. Only the control loop calls it.
func (c *controlLoop) apply(ctx context.Context, ev owner.Event) {
	c.perform(ctx, c.machine.Apply(eventTime(), ev))
}

// perform executes actions of the state machine. The control loop calls it
// after each event and each scheduling cycle, and once at its start with the
// actions of the takeover. Requests to workers run on goroutines of their own.
func (c *controlLoop) perform(ctx context.Context, actions []owner.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case owner.SendStart:
			c.node.metrics.startRequests.Inc()
			timeout := startRequestTimeout + c.workerDelay.allowance()
			go c.sendStart(c.withPermit(ctx, timeout, true), a.Start, timeout)
		case owner.SendStop:
			timeout := workerRequestTimeout + c.workerDelay.allowance()
			go c.sendStop(c.withPermit(ctx, timeout, false), a.Stop, timeout)
		case owner.SendPace:
			timeout := workerRequestTimeout + c.workerDelay.allowance()
			go c.sendPace(c.withPermit(ctx, timeout, false), a.Pace, timeout)
		case owner.Renew:
			slack := minRenewSlack + time.Duration(c.machine.WorkerCount())*renewSlackPerWorker
			go c.sendRenewal(ctx, a.Renewal, slack+c.workerDelay.allowance())
		case owner.QueryAdvice:
			c.advice.enqueue(a, bootTime())
		case owner.Publish:
			c.node.replica.setState(a.Job, a.State)
		case owner.JobFinished:
			c.finishedJobs = append(c.finishedJobs, a.Job)
		case owner.Resign:
			c.resignReason = a.Reason
		case owner.LogDecision:
			c.logDecision(a)
		}
	}
}

// logLoad logs the load of the cell every loadLogInterval. The control loop
// calls it at each tick.
func (c *controlLoop) logLoad() {
	if bootTime()-c.lastLoadLog < loadLogInterval {
		return
	}
	c.lastLoadLog = bootTime()
	h := c.machine.Health()
	c.node.metrics.setHealth(h)
	l := c.machine.Load()
	c.node.metrics.setDistinctWorkers(l.SlowWorkers, l.FastWorkers)
	capacity := c.advice.capacity(c.lastLoadLog)
	c.log.Info("load of the cell", "term", c.term, "usable_workers", l.UsableWorkers,
		"cpu", l.Capacity.MilliCPU, "cpu_used", l.Used.MilliCPU, "memory", l.Capacity.MemoryMB, "memory_used", l.Used.MemoryMB,
		"waiting_steps", l.WaitingSteps, "waiting_tasks", l.WaitingTasks, "free_lanes", capacity.FreeProxies, "free_lanes_long", capacity.FreeForLongQueries,
		"holding_gangs", l.HoldingGangs, "cpu_held", l.HeldCPU,
		"suspect_workers", h.Suspect, "quarantined_workers", h.Quarantined, "slowed_runs", h.Slowed+h.AtFloor+h.Paused)
	c.logCustomers()
}

// logAdviceResult logs the result of one attempt of an advice query, answered
// or failed. The control loop calls it for each result before it handles it.
func (c *controlLoop) logAdviceResult(result adviceResult) {
	query := result.query
	c.logDecision(owner.LogDecision{Subject: query.request.Step.String(), Message: "advice query finished", Details: []any{
		"through", result.proxy.addr, "workers", len(query.request.Workers), "eligible", len(result.answer.Eligible),
		"queued_ms", (query.sentAt - query.queuedAt).Milliseconds(), "answered_ms", (result.receivedAt - query.sentAt).Milliseconds(),
		"expected_ms", query.request.AnswerTime.Milliseconds(), "failed", result.err != nil,
	}})
}

// logDecision logs a decision, subject to the rate limit of its message. The
// control loop calls it for each LogDecision action and for results of advice
// queries.
func (c *controlLoop) logDecision(d owner.LogDecision) {
	limiter, ok := c.logLimiters[d.Message]
	if !ok {
		limiter = &logLimiter{}
		c.logLimiters[d.Message] = limiter
	}
	allowed, dropped := limiter.allow(time.Now())
	if !allowed {
		return
	}
	details := append([]any{"id", d.Subject, "term", c.term}, d.Details...)
	if dropped > 0 {
		details = append(details, "dropped_before", dropped)
	}
	c.log.Info(d.Message, details...)
}

// flush appends the progress records that changed, unless a batch is in
// flight. The control loop calls it from runDue when flushInterval has passed
// since the last batch; the append runs on its own goroutine.
func (c *controlLoop) flush(ctx context.Context) {
	if c.isFlushing {
		return
	}
	records, number, err := c.machine.TakeBatch()
	if err != nil {
		c.resignReason = err.Error()
		return
	}
	if len(records) == 0 {
		return
	}
	c.isFlushing = true
	c.lastFlush = bootTime()
	sequence := c.nextSequence
	c.nextSequence++
	go c.writeBatch(ctx, records, number, sequence)
}

// writeBatch appends a batch and retries until the store has accepted it, the
// store accepts no batch of this term or ctx ends. The sequence number makes a
// repeated append harmless. flush starts it on its own goroutine, one batch at
// a time.
func (c *controlLoop) writeBatch(ctx context.Context, records []cell.KeyValue, number int, sequence int64) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		sentAt := bootTime()
		err := c.appendProgress(ctx, records, sequence, progressAttemptTimeout)
		if err == nil {
			c.flushResults <- flushResult{batch: number, sentAt: sentAt}
			return
		}
		if reason := refusalOfTerm(err); reason != "" {
			c.flushResults <- flushResult{refused: reason}
			return
		}
		if attempt > 0 {
			c.log.Warn("cannot append progress; retrying", "batch", number, "try", attempt, "error", err.Error())
		}
		sleep(ctx, retryInterval)
	}
}

// refusalOfTerm returns why an error of an append means that the store accepts no
// batch of this term any more, or "". writeBatch calls it after each failed attempt.
func refusalOfTerm(err error) string {
	var sequence *cell.SequenceError
	switch {
	case errors.Is(err, cell.ErrFenced):
		return "another VM has fenced topic progress"
	case errors.As(err, &sequence):
		return sequence.Error()
	default:
		return ""
	}
}

// appendProgress makes one attempt to append a batch of progress records, which ends when no data
// moves for the timeout. writeBatch calls it for each attempt.
func (c *controlLoop) appendProgress(ctx context.Context, records []cell.KeyValue, sequence int64, timeout time.Duration) error {
	ctx, cancel := progress.WithStallTimeout(ctx, timeout, timeout)
	defer cancel()
	c.node.metrics.progressAppends.Inc()
	_, err := c.node.store.Append(ctx, cell.Append{
		Topic:       cell.TopicProgress,
		Records:     records,
		ExpectedEnd: -1,
		Epoch:       c.term,
		Sequence:    sequence,
	})
	return progress.Cause(ctx, err)
}

// checkIsolation sets resignReason when this VM has reached too few workers of
// other data centres for isolationTimeout, so that a better connected VM takes
// over. The control loop calls it at each tick, and resigns once resignReason
// is set.
func (c *controlLoop) checkIsolation() {
	local, remote := c.machine.WorkerReach(c.node.settings.DataCentre)
	now := bootTime()
	if !isIsolated(local, remote) {
		c.isolatedSince = 0
		return
	}
	if c.isolatedSince == 0 {
		c.isolatedSince = now
		return
	}
	if now-c.isolatedSince > isolationTimeout {
		c.resignReason = "too few workers of other data centres answer"
	}
}

// isIsolated reports whether the unreachable workers suggest a network
// partition around this VM or its data centre, rather than failed workers.
// checkIsolation calls it at each tick of the control loop.
func isIsolated(local, remote owner.WorkerReach) bool {
	if remote.ListedWorkers == 0 {
		return false
	}
	return remote.AnsweringFraction() < minRemoteReachFraction && local.ListedWorkers < remote.ListedWorkers
}
