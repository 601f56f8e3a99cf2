package daemon

import (
	"maps"
	"time"

	"gypsumwinch/internal/ownership"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/scheduler"
	"gypsumwinch/internal/structs"
	"gypsumwinch/internal/workerclient"
)

const (
	// schedulerTick is the period of the scheduler's time-driven decisions.
	schedulerTick = 100 * time.Millisecond
	// resendInterval is the time between two sends of a start or stop that a
	// worker has not confirmed.
	resendInterval = time.Second
	// doubtPatience is how long a non-idempotent attempt whose start was not
	// answered has to appear in a report before it is stopped. It covers three
	// renewals, since reports lag.
	doubtPatience = 10 * time.Second
	// activePeriod is how long a worker counts as active after a start or end.
	activePeriod = 3 * time.Second
	// activeRenewal is the time between lease renewals of an active worker. At
	// 93 workers and 69 starts a second in 14 data centres, it adds about 60
	// renewals a second to an owner's 31.
	activeRenewal = 300 * time.Millisecond
	// lapseMargin covers a lease request that was on its way for long. The
	// ownership machine pauses requests to a silent worker for longer.
	lapseMargin = 2 * time.Second
	// leaseSendMargin is how long before the end of a worker's lease starts are
	// no longer sent.
	leaseSendMargin = time.Second
)

// workerState is what a daemon knows about a worker of its data centre.
type workerState struct {
	vm       structs.VM
	unlisted bool
	// listedSince is when the worker was first listed.
	listedSince time.Duration

	leaseInFlight bool
	lastLeaseSent time.Duration
	leaseUntil    time.Duration
	leaseTerm     int64

	inventoryInFlight bool
	inventory         *workerclient.Inventory
	inventoryAsked    time.Duration

	// active is when a start was sent or an end was reported last.
	active time.Duration
	// up is true while the scheduler uses the worker, incarnation is the one of
	// the inventory with which that began.
	up          bool
	incarnation string
	report      workerclient.Report
}

// use notes that the scheduler uses the worker as its inventory shows it.
func (w *workerState) use() {
	w.up = true
	w.incarnation = w.inventory.Report.Incarnation
}

// lapsed reports whether no task can run on by a lease that this VM sent.
func (w *workerState) lapsed(now time.Duration) bool {
	return now > w.lastLeaseSent+ownership.DefaultTaskLeaseTTL+lapseMargin
}

// startState is an attempt between the scheduler's decision and the worker's
// confirmation.
type startState struct {
	placement scheduler.Placement
	// logged is set when the start record was read back.
	logged bool
	// unlogged is set when the attempt was sent without a record on the log.
	unlogged bool
	sent     time.Duration
	inFlight bool
	tried    bool
	// doubtful is when an answer was lost first, zero if none was.
	doubtful time.Duration
	// confirmed is set when the worker said that the attempt runs.
	confirmed bool
}

// stopState is an attempt that has to be stopped.
type stopState struct {
	checkpoint bool
	sent       time.Duration
	inFlight   bool
	// confirmed is when the worker said that the attempt does not run, zero
	// before.
	confirmed time.Duration
}

// jobsOwner is the state that a VM holds while it owns its data centre.
type jobsOwner struct {
	workers map[string]*workerState
	// pendingOwning is set between StartOwning and the start of the scheduler.
	pendingOwning *ownership.StartOwning
	owningSince   time.Duration
	sched         *scheduler.Scheduler
	term          int64
	limited       bool
	// epoch counts the schedulers of this process. Events about an attempt of
	// an earlier one are ignored.
	epoch       int
	schedTicked time.Duration
	// unlistedAt is when attempts on unknown workers have ended, zero if that
	// was dealt with.
	unlistedAt time.Duration

	starts      map[structs.Attempt]*startState
	stops       map[structs.Attempt]*stopState
	ends        map[structs.Attempt]records.TaskResult
	checkpoints map[structs.TaskID][]byte
	outbox      map[string][]structs.Attempt

	recordsSinceSnapshot int
	lastSnapshot         time.Duration
}

func newJobsOwner() jobsOwner {
	return jobsOwner{workers: map[string]*workerState{}}
}

// startOwning notes that this VM owns the data centre. The scheduler starts
// once the jobs stream was read up to now.
func (c *control) startOwning(a ownership.StartOwning) {
	if c.sched != nil {
		// The term changes without a stop when an owner that took over during an
		// outage of the log claims; what it knows stays valid.
		c.term = a.Term
		c.limited = a.Limited
		c.expectUnlisted()
		c.schedule(scheduler.Withhold{Tasks: c.withheld()})
		return
	}
	c.pendingOwning = &a
	c.owningSince = c.now()
	c.d.kick(records.JobsStream(c.d.settings.DataCentre))
	c.logger.Info("owning the data centre", "term", a.Term, "limited", a.Limited)
}

func (c *control) stopOwning(a ownership.StopOwning) {
	c.logger.Info("no longer owning the data centre", "term", a.Term, "reason", a.Reason)
	c.stopSlots()
	c.pendingOwning = nil
	c.sched = nil
	c.starts, c.stops, c.ends, c.checkpoints, c.outbox = nil, nil, nil, nil, nil
	for _, w := range c.workers {
		w.up = false
		w.inventory = nil
	}
}

// jobsStreamCurrent reports whether the fold of the jobs stream holds all that
// was on the log when ownership began, as far as the log can be read.
func (c *control) jobsStreamCurrent() bool {
	s := c.streams[records.JobsStream(c.d.settings.DataCentre)]
	if !s.caughtUp || !c.jobs.Complete() {
		return false
	}
	return s.lastEnd >= c.owningSince || !s.reachable
}

// startScheduler builds the scheduler from the jobs stream and the inventories.
func (c *control) startScheduler() {
	a := c.pendingOwning
	config := c.config.Current().Config
	if a == nil || config == nil || !c.jobsStreamCurrent() {
		return
	}
	c.pendingOwning = nil
	c.term = a.Term
	c.limited = a.Limited
	c.epoch++
	c.expectUnlisted()
	c.starts = map[structs.Attempt]*startState{}
	c.stops = map[structs.Attempt]*stopState{}
	c.ends = map[structs.Attempt]records.TaskResult{}
	c.checkpoints = map[structs.TaskID][]byte{}
	c.outbox = map[string][]structs.Attempt{}
	sched, recovery := scheduler.Recover(c.now(), c.ownerInventory(config))
	c.sched = sched
	for _, attempt := range recovery.Unrecorded {
		c.adopt(attempt)
	}
	c.carryOut(recovery.Actions)
	for _, attempt := range recovery.Lost {
		c.endMissing(attempt)
	}
	for _, w := range c.workers {
		if w.up && w.inventory != nil {
			c.workerReported(w, w.inventory.Report)
		}
	}
	c.logger.Info("scheduling jobs", "term", c.term, "limited", c.limited, "workers", len(c.workers))
}

// ownerInventory collects what the scheduler needs to know at its start.
func (c *control) ownerInventory(config *structs.ClusterConfig) scheduler.Inventory {
	inv := scheduler.Inventory{
		Config:    *config,
		Running:   map[string][]structs.Attempt{},
		Allocated: map[structs.Attempt]structs.Resources{},
	}
	for id, w := range c.workers {
		w.up = false
		if w.inventory == nil || c.now() >= w.leaseUntil {
			continue
		}
		w.use()
		inv.Workers = append(inv.Workers, schedulerWorker(w))
		inv.Running[id] = runningAttempts(w.inventory)
		maps.Copy(inv.Allocated, allocated(w.inventory))
	}
	inv.Jobs, inv.Cancelled = scheduler.Jobs(c.jobs, time.Now())
	inv.Withheld = c.withheld()
	return inv
}

// withheld returns the tasks that a limited owner does not start: a former owner
// may be running them out of its reach.
func (c *control) withheld() map[structs.TaskID]bool {
	if !c.limited {
		return nil
	}
	tasks := map[structs.TaskID]bool{}
	for _, task := range c.jobs.PendingTasks() {
		tasks[task] = true
	}
	return tasks
}

func schedulerWorker(w *workerState) scheduler.Worker {
	return scheduler.Worker{
		ID: w.vm.ID, Rack: w.vm.Rack, Capacity: w.vm.Capacity,
		Leaving: w.vm.State == structs.VMLeaving,
	}
}

// allocated returns what a worker has set apart for its attempts, which may be
// more than their declared sizes.
func allocated(inventory *workerclient.Inventory) map[structs.Attempt]structs.Resources {
	sizes := make(map[structs.Attempt]structs.Resources, len(inventory.Running))
	for _, r := range inventory.Running {
		sizes[r.Attempt] = r.Resources
	}
	return sizes
}

func runningAttempts(inventory *workerclient.Inventory) []structs.Attempt {
	attempts := make([]structs.Attempt, len(inventory.Running))
	for i, r := range inventory.Running {
		attempts[i] = r.Attempt
	}
	return attempts
}

// schedule feeds the scheduler and carries out what it decides.
func (c *control) schedule(ev scheduler.Event) {
	if c.sched == nil {
		return
	}
	c.carryOut(c.sched.Apply(c.now(), ev))
}

func (c *control) carryOut(actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Start:
			c.logStarts(a.Placements)
		case scheduler.Stop:
			c.stop(a.Attempt, false)
		case scheduler.Checkpoint:
			c.stop(a.Attempt, true)
		case scheduler.Throttle:
			c.throttle(a)
		}
	}
}

// mayAct reports whether this VM may send operations to a worker at this moment.
func (c *control) mayAct(w *workerState) bool {
	now := c.now()
	authority := c.machine.Authority(now)
	return authority.MayStartTasks && authority.Term == c.term && w != nil && now < w.leaseUntil-leaseSendMargin
}

// authorityOn returns what operations on a worker carry. The term is that of the
// lease, which is a later round than the owner's if another VM tried to take
// over and got a lease on the worker.
func (c *control) authorityOn(w *workerState) workerclient.Authority {
	return workerclient.Authority{Holder: c.d.instance, Term: w.leaseTerm}
}

// workerInventory reconciles what runs on a worker with the jobs stream.
func (c *control) workerInventory(w *workerState) {
	if c.sched == nil || w.up || c.now() >= w.leaseUntil {
		return
	}
	attempts := runningAttempts(w.inventory)
	running := map[structs.Attempt]bool{}
	for _, a := range attempts {
		running[a] = true
	}
	w.use()
	c.schedule(scheduler.WorkerInventory{Worker: w.vm.ID, Running: attempts, Allocated: allocated(w.inventory)})
	for _, a := range attempts {
		live, ok := c.jobs.LiveAttempt(a.Task)
		if recorded := ok && live == a; !recorded && c.stops[a] == nil && c.starts[a] == nil {
			c.adopt(a)
		}
	}
	missing := c.jobs.RunningOn(w.vm.ID)
	for a, s := range c.starts {
		if a.Worker == w.vm.ID && s.unlogged && !s.logged {
			missing = append(missing, a)
		}
	}
	for _, a := range missing {
		if !running[a] && !finishedOn(w.inventory, a) {
			// Its start may still be on the way, so the worker has to confirm
			// that it will not run.
			c.stop(a, false)
		}
	}
	c.schedule(scheduler.WorkerUp{Worker: schedulerWorker(w)})
	c.workerReported(w, w.inventory.Report)
}

// adopt writes the start record of an attempt that a former owner started
// during an outage of the log.
func (c *control) adopt(a structs.Attempt) {
	c.starts[a] = &startState{unlogged: true, tried: true, confirmed: true}
	c.logTaskStart(a)
}

// endMissing ends an attempt that its worker does not run, with the result that
// the worker reports, if any.
func (c *control) endMissing(a structs.Attempt) {
	w := c.workers[a.Worker]
	if w == nil || w.inventory == nil || !finishedOn(w.inventory, a) {
		c.end(a, records.TaskLost)
	}
}

func finishedOn(inventory *workerclient.Inventory, a structs.Attempt) bool {
	for _, f := range inventory.Report.Finished {
		if f.Attempt == a {
			return true
		}
	}
	return false
}

// workerRestarted handles a worker with a new incarnation. The attempts of the
// former one ended without a report, although the lease goes on.
func (c *control) workerRestarted(w *workerState) {
	c.logger.Warn("a worker restarted", "worker", w.vm.ID)
	c.workerDown(w)
	c.askInventory(w.vm.ID)
}

// workerDown takes a worker out of service until its inventory is known.
func (c *control) workerDown(w *workerState) {
	w.up = false
	w.inventory = nil
	c.schedule(scheduler.WorkerDown{Worker: w.vm.ID})
}

func (c *control) workerChanged(w *workerState) {
	if w.up {
		c.schedule(scheduler.WorkerChanged{Worker: schedulerWorker(w)})
	}
}

// workerReported handles a worker's report about ended and running attempts.
func (c *control) workerReported(w *workerState, report workerclient.Report) {
	w.report = report
	if c.sched == nil || !w.up {
		return
	}
	if len(report.Finished) > 0 {
		w.active = c.now()
	}
	for _, f := range report.Finished {
		c.end(f.Attempt, taskResult(f.Result))
	}
	usage := scheduler.UsageReport{Worker: w.vm.ID}
	for _, u := range report.Usage {
		if s := c.starts[u.Attempt]; s != nil && s.doubtful != 0 && !s.confirmed {
			c.startAnswered(workerclient.Started{Attempt: u.Attempt, Started: true})
		}
		usage.Tasks = append(usage.Tasks, scheduler.TaskUsage{Attempt: u.Attempt, Used: u.Used})
	}
	c.schedule(usage)
}

func taskResult(r workerclient.Result) records.TaskResult {
	switch r {
	case workerclient.ResultSucceeded:
		return records.TaskSucceeded
	case workerclient.ResultFailed:
		return records.TaskFailed
	case workerclient.ResultStopped:
		return records.TaskStopped
	}
	return records.TaskLost
}

// ackFor returns the acknowledgement of the reported attempts whose end is on
// the log, so that no result is lost with this VM.
func (c *control) ackFor(w *workerState) workerclient.Ack {
	ack := workerclient.Ack{Incarnation: w.report.Incarnation}
	if c.sched == nil || !w.up {
		return ack // the report was not dealt with
	}
	for _, f := range w.report.Finished {
		if live, ok := c.jobs.LiveAttempt(f.Attempt.Task); ok && live == f.Attempt {
			break
		}
		if s := c.starts[f.Attempt]; s != nil && !s.logged {
			break
		}
		ack.Seq = f.Seq
	}
	return ack
}

// tickJobs does the time-driven part of owning.
func (c *control) tickJobs() {
	if c.pendingOwning != nil {
		c.startScheduler()
	}
	if c.sched == nil {
		return
	}
	c.checkWorkers()
	c.endUnlisted()
	c.pollActive()
	c.resend()
	if c.now()-c.schedTicked >= schedulerTick || c.sched.HasReadyWork() {
		c.schedTicked = c.now()
		c.schedule(scheduler.Tick{})
	}
	c.snapshotJobs()
}

// pollActive renews the leases of workers where tasks start and end more often,
// since the answers report the ends.
func (c *control) pollActive() {
	now := c.now()
	for id, w := range c.workers {
		if w.up && now-w.active < activePeriod && now-w.lastLeaseSent >= activeRenewal {
			c.lease(id, max(c.term, w.leaseTerm), ownership.DefaultLeaseTTL)
		}
	}
}

// checkWorkers takes workers out of service whose lease has lapsed. Their
// attempts have ended, since nobody else renews.
func (c *control) checkWorkers() {
	now := c.now()
	for id, w := range c.workers {
		if w.up && now > w.leaseUntil {
			c.logger.Warn("a worker's lease ended", "worker", id)
			c.workerDown(w)
		}
		if !w.up && w.inventory == nil && now < w.leaseUntil && now-w.inventoryAsked >= resendInterval {
			c.askInventory(id)
		}
		if w.up || w.lastLeaseSent == 0 || !w.lapsed(now) {
			continue
		}
		// The former owner may renew a worker that a limited owner never reached.
		if c.limited && w.leaseTerm < c.term {
			continue
		}
		for _, a := range c.jobs.RunningOn(id) {
			c.end(a, records.TaskLost)
		}
		c.dropUnlogged(id)
		if w.unlisted {
			delete(c.workers, id)
		}
	}
}
