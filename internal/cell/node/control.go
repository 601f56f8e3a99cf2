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
)

// Periods and time-outs of the owner's control loop.
const (
	// flushEvery is the least time between two appends of progress: each call is
	// priced and a start waits for one.
	flushEvery = 12 * time.Millisecond
	// tickEvery is the period of ticks.
	tickEvery = 25 * time.Millisecond
	// placeEvery is the least time between two passes over waiting steps.
	placeEvery = 4 * time.Millisecond
	// eventQueue bounds the events that wait for the control loop.
	eventQueue = 4096
	// orderTimeout bounds an order to a worker; an answer takes 2 to 4 ms.
	orderTimeout = 350 * time.Millisecond
	// startTimeout is the same for an order to start, which is repeated as it is:
	// the tightest objective leaves 250 ms for all but the work.
	startTimeout = 120 * time.Millisecond
	// renewSlack is added to the wait of a renewal. An answer takes 2 to 4 ms; the
	// rest is for an owner that is short of processor time.
	renewSlack = 200 * time.Millisecond
	// appendTimeout bounds one append of progress. The slowest store seen
	// answers after 0.35 s.
	appendTimeout = 700 * time.Millisecond
	// progressTry bounds one try of an append of progress, both ways of the store
	// path included.
	progressTry = 900 * time.Millisecond
	// listEvery is how often the owner reads the workers' entries: a draining
	// worker gets no new work after 2 s.
	listEvery = 350 * time.Millisecond
	// loadEvery is how often the owner logs how full the cell is.
	loadEvery = time.Second
	// farReach is the share of other data centres' workers that an owner must
	// reach; a cut leaves none, failures of workers leave most.
	farReach = 0.2
	// reachPatience is how long an owner may reach fewer before it resigns.
	reachPatience = 500 * time.Millisecond
)

// greeting is a VM's hello to the owner.
type greeting struct {
	addr   string
	client cellpb.Cell
	at     time.Duration
	// follows is true for a VM that knows the states of all jobs.
	follows bool
	// age is how long its process has run.
	age time.Duration
}

// control is the control loop of one ownership. It owns the machine; calls run
// in their own goroutines and return as events.
type control struct {
	node    *Node
	log     hclog.Logger
	machine *owner.Machine
	term    int64
	lanes   *lanes
	events  chan owner.Event
	answers chan answered
	hellos  chan greeting
	stored  chan outcome
	// ended is closed when the loop has ended.
	ended chan struct{}
	// loaded are the actions that taking the state over led to.
	loaded []owner.Action

	writing   bool
	sequence  int64
	lastFlush time.Duration
	lastPlace time.Duration
	lastLoad  time.Duration
	poorSince time.Duration
	budgets   map[string]*budget
	// over are ended jobs whose submissions are to be dropped from the store.
	over     []cell.JobID
	dropping bool
	lastDrop time.Duration
	dropped  chan dropResult
	resign   string
	// standbys are the last greetings of VMs that could take over, by address.
	standbys map[string]greeting
	// successor is the VM that is to claim when this one stops.
	successor cellpb.Cell
}

// outcome is the result of writing a batch.
type outcome struct {
	batch  int
	fenced bool
}

// errResigned ends an ownership at its own wish.
var errResigned = errors.New("the owner resigned")

func newControl(n *Node, term int64) *control {
	c := &control{
		node:     n,
		log:      n.log,
		term:     term,
		events:   make(chan owner.Event, eventQueue),
		answers:  make(chan answered, eventQueue),
		hellos:   make(chan greeting, 64),
		stored:   make(chan outcome, 1),
		ended:    make(chan struct{}),
		dropped:  make(chan dropResult, 1),
		budgets:  map[string]*budget{},
		standbys: map[string]greeting{},
		machine: owner.New(owner.Options{
			Term:         term,
			LeaseLimit:   n.settings.LeaseLimit,
			GangTimeout:  n.settings.GangTimeout,
			RemoteFactor: n.settings.RemoteFactor,
			Seed:         uint64(boot()),
		}, now()),
	}
	return c
}

// post passes an event to the control loop.
func (c *control) post(ctx context.Context, ev owner.Event) {
	select {
	case c.events <- ev:
	case <-ctx.Done():
	}
}

// run owns the cell until the context ends or the owner resigns.
func (c *control) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(c.ended)
	c.lanes = newLanes(c.node.advisor.Ask, func(a answered) {
		select {
		case c.answers <- a:
		case <-ctx.Done():
		}
	})
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	timer := time.NewTimer(tickEvery)
	defer timer.Stop()
	c.act(ctx, c.loaded)
	c.loaded = nil
	for {
		select {
		case <-ctx.Done():
			c.successor = chooseSuccessor(c.standbys, boot())
			return ctx.Err()
		case ev := <-c.events:
			c.apply(ctx, ev)
			c.drain(ctx)
		case a := <-c.answers:
			c.logAnswer(a)
			if ev, ok := c.lanes.answer(a, boot()); ok {
				c.apply(ctx, ev)
			}
		case o := <-c.stored:
			c.writing = false
			if o.fenced {
				c.resign = "a successor has fenced the progress"
				break
			}
			c.apply(ctx, owner.HeartbeatStored{})
			c.apply(ctx, owner.BatchStored{Batch: o.batch})
		case d := <-c.dropped:
			c.dropping = false
			c.over = append(c.over, d.again...)
		case g := <-c.hellos:
			c.lanes.hello(g.addr, g.client, boot())
			c.noteStandby(g)
		case <-ticker.C:
			c.apply(ctx, owner.Tick{})
			c.checkReach()
			c.dropOver(ctx)
			c.logLoad()
		case <-timer.C:
		}
		if c.resign != "" {
			return eris.Wrap(errResigned, c.resign)
		}
		c.advance(ctx, timer)
	}
}

// drain takes the events that wait already, so that they share a batch.
func (c *control) drain(ctx context.Context) {
	for range cap(c.events) {
		select {
		case ev := <-c.events:
			c.apply(ctx, ev)
		default:
			return
		}
	}
}

// advance places tasks, sends questions and writes progress when it is time.
func (c *control) advance(ctx context.Context, timer *time.Timer) {
	t := boot()
	next := tickEvery
	if wait := c.lastPlace + placeEvery - t; wait > 0 {
		next = min(next, wait)
	} else {
		c.lastPlace = t
		c.act(ctx, c.machine.Place(now(), c.lanes.room(t)))
	}
	c.lanes.send(ctx, t)
	if wait := c.lastFlush + flushEvery - t; wait > 0 {
		next = min(next, wait)
	} else {
		c.flush(ctx)
	}
	timer.Reset(next)
}

func (c *control) apply(ctx context.Context, ev owner.Event) {
	c.act(ctx, c.machine.Apply(now(), ev))
}

// act carries actions out.
func (c *control) act(ctx context.Context, actions []owner.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case owner.SendStart:
			c.node.metrics.starts.Inc()
			go c.sendStart(ctx, a.Start)
		case owner.SendStop:
			go c.sendStop(ctx, a.Stop)
		case owner.SendPace:
			go c.sendPace(ctx, a.Pace)
		case owner.Renew:
			go c.renew(ctx, a.Renewal)
		case owner.QueryAdvice:
			c.lanes.add(a, boot())
		case owner.Publish:
			c.node.mirror.publish(a.Job, a.State)
		case owner.JobFinished:
			c.over = append(c.over, a.Job)
		case owner.Resign:
			c.resign = a.Reason
		case owner.LogDecision:
			c.logDecision(a)
		}
	}
}

// logLoad writes how full the cell is, every loadEvery.
func (c *control) logLoad() {
	if boot()-c.lastLoad < loadEvery {
		return
	}
	c.lastLoad = boot()
	l := c.machine.Load()
	lanes := c.lanes.room(c.lastLoad)
	c.log.Info("load of the cell", "term", c.term, "usable_workers", l.UsableWorkers,
		"cpu", l.Capacity.MilliCPU, "cpu_used", l.Used.MilliCPU, "memory", l.Capacity.MemoryMB, "memory_used", l.Used.MemoryMB,
		"waiting_steps", l.WaitingSteps, "waiting_tasks", l.WaitingTasks, "free_lanes", lanes.FreeProxies, "free_lanes_long", lanes.FreeForLongQueries)
}

// logAnswer writes a line about an answer of the advice service.
func (c *control) logAnswer(a answered) {
	q := a.question
	c.logDecision(owner.LogDecision{Subject: q.ask.Step.String(), Message: "advice is answered", Details: []any{
		"through", a.lane.addr, "workers", len(q.ask.Workers), "eligible", len(a.answer.Eligible),
		"queued_ms", (q.sent - q.asked).Milliseconds(), "answered_ms", (a.received - q.sent).Milliseconds(),
		"expected_ms", q.ask.AnswerTime.Milliseconds(), "failed", a.err != nil,
	}})
}

// logDecision writes a line within the budget of its kind.
func (c *control) logDecision(d owner.LogDecision) {
	b, ok := c.budgets[d.Message]
	if !ok {
		b = &budget{}
		c.budgets[d.Message] = b
	}
	write, dropped := b.spend(time.Now())
	if !write {
		return
	}
	details := append([]any{"id", d.Subject, "term", c.term}, d.Details...)
	if dropped > 0 {
		details = append(details, "dropped_before", dropped)
	}
	c.log.Info(d.Message, details...)
}

func (c *control) sendStart(ctx context.Context, s cell.Start) {
	callCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	clock, refused, err := c.node.workers.Start(callCtx, s)
	c.post(ctx, owner.StartResult{Task: s.Task, Run: s.Run, Worker: s.Worker, Clock: clock, Refusal: refused, Err: err})
}

func (c *control) sendStop(ctx context.Context, s cell.Stop) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	refused, err := c.node.workers.Stop(callCtx, s)
	c.post(ctx, owner.StopResult{Task: s.Task, Run: s.Run, Worker: s.Worker, Refusal: refused, Err: err})
}

func (c *control) sendPace(ctx context.Context, p cell.Pace) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	refused, err := c.node.workers.Pace(callCtx, p)
	c.post(ctx, owner.PaceResult{Pace: p, Refusal: refused, Err: err})
}

func (c *control) renew(ctx context.Context, r cell.Renewal) {
	sent := boot()
	callCtx, cancel := context.WithTimeout(ctx, r.Wait+renewSlack)
	defer cancel()
	inv, refused, err := c.node.workers.Renew(callCtx, r)
	c.post(ctx, owner.RenewResult{Worker: r.Worker, SentAt: sent, Inventory: inv, Refusal: refused, Err: err})
}

// flush appends the progress that changed, one batch at a time.
func (c *control) flush(ctx context.Context) {
	if c.writing {
		return
	}
	records, number, err := c.machine.TakeBatch()
	if err != nil {
		c.resign = err.Error()
		return
	}
	if len(records) == 0 {
		return
	}
	c.writing = true
	c.lastFlush = boot()
	sequence := c.sequence
	c.sequence++
	go c.write(ctx, records, number, sequence)
}

// write appends a batch until the store has taken it. The sequence makes a
// repetition harmless.
func (c *control) write(ctx context.Context, records []cell.KeyValue, number int, sequence int64) {
	for try := 0; ctx.Err() == nil; try++ {
		err := c.appendOnce(ctx, records, sequence, progressTry)
		if err == nil {
			c.stored <- outcome{batch: number}
			return
		}
		if errors.Is(err, cell.ErrFenced) {
			c.stored <- outcome{fenced: true}
			return
		}
		if try > 0 {
			c.log.Warn("progress is not recorded yet", "batch", number, "try", try, "error", err.Error())
		}
		pause(ctx, tryPause)
	}
}

func (c *control) appendOnce(ctx context.Context, records []cell.KeyValue, sequence int64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.node.metrics.appends.Inc()
	_, err := c.node.store.Append(ctx, cell.Append{
		Topic:       cell.TopicProgress,
		Records:     records,
		ExpectedEnd: -1,
		Epoch:       c.term,
		Sequence:    sequence,
	})
	return err
}

// checkReach resigns when this VM has for a while reached no worker, or workers
// of its own data centre only, so that a better connected VM takes over.
func (c *control) checkReach() {
	own, others := c.machine.WorkerReach(c.node.settings.DataCentre)
	t := boot()
	if !isolated(own, others) {
		c.poorSince = 0
		return
	}
	if c.poorSince == 0 {
		c.poorSince = t
		return
	}
	if t-c.poorSince > reachPatience {
		c.resign = "no worker of another data centre answers"
	}
}

// isolated reports whether what answers looks like a cut of this VM or of its
// data centre, rather than like failed workers.
func isolated(own, others owner.WorkerReach) bool {
	if others.ListedWorkers == 0 {
		return false
	}
	return others.AnsweringFraction() < farReach && own.ListedWorkers < others.ListedWorkers
}
