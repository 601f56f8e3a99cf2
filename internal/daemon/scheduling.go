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
	// schedulerTickInterval is the period of the scheduler's time-driven decisions.
	schedulerTickInterval = 100 * time.Millisecond
	// resendInterval is the time between two sends of a start or stop that a
	// worker has not confirmed.
	resendInterval = time.Second
	// unansweredStartTimeout is how long a non-idempotent attempt whose start was not
	// answered has to appear in a report before it is stopped. It covers three
	// renewals, since reports lag.
	unansweredStartTimeout = 10 * time.Second
	// activityTimeout is how long a worker counts as active after a start or end.
	activityTimeout = 3 * time.Second
	// activeRenewalInterval is the time between lease renewals of an active worker. At
	// 93 workers and 69 starts a second in 14 data centres, it adds about 60
	// renewals a second to an owner's 31.
	activeRenewalInterval = 300 * time.Millisecond
	// leaseExpiryMargin covers a lease request that was on its way for long. The
	// ownership machine pauses requests to a silent worker for longer.
	leaseExpiryMargin = 2 * time.Second
	// minRemainingLease is how long before the end of a worker's lease starts are
	// no longer sent.
	minRemainingLease = time.Second
)

// workerState is what a daemon knows about a worker of its data centre.
type workerState struct {
	vm         structs.VM
	isUnlisted bool
	// firstListedAt is when the worker was first listed.
	firstListedAt time.Duration

	leaseInFlight   bool
	lastLeaseSentAt time.Duration
	leaseExpiresAt  time.Duration
	leaseTerm       int64

	inventoryInFlight    bool
	inventory            *workerclient.Inventory
	inventoryRequestedAt time.Duration

	// lastActivityAt is when a start was sent or an end was reported last.
	lastActivityAt time.Duration
	// isUp is true while the scheduler uses the worker, incarnation is the one of
	// the inventory with which that began.
	isUp        bool
	incarnation string
	lastReport  workerclient.Report
}

// markUp notes that the scheduler uses the worker as its inventory shows it.
func (w *workerState) markUp() {
	w.isUp = true
	w.incarnation = w.inventory.Report.Incarnation
}

// hasTaskLeaseExpired reports whether no task can run on by a lease that this VM sent.
func (w *workerState) hasTaskLeaseExpired(now time.Duration) bool {
	return now > w.lastLeaseSentAt+ownership.DefaultTaskLeaseTTL+leaseExpiryMargin
}

// startState is an attempt between the scheduler's decision and the worker's
// confirmation.
type startState struct {
	placement scheduler.Placement
	// isLogged is set when the start record was read back.
	isLogged bool
	// sentWithoutRecord is set when the attempt was sent without a record on the log.
	sentWithoutRecord bool
	sentAt            time.Duration
	inFlight          bool
	hasBeenSent       bool
	// answerLostAt is when an answer was lost first, zero if none was.
	answerLostAt time.Duration
	// isConfirmed is set when the worker said that the attempt runs.
	isConfirmed bool
}

// stopState is an attempt that has to be stopped.
type stopState struct {
	needsCheckpoint bool
	sentAt          time.Duration
	inFlight        bool
	// confirmedAt is when the worker said that the attempt does not run, zero
	// before.
	confirmedAt time.Duration
}

// ownerState is the state that a VM holds while it owns its data centre.
type ownerState struct {
	workers map[string]*workerState
	// pendingStartOwning is set between StartOwning and the start of the scheduler.
	pendingStartOwning *ownership.StartOwning
	owningSince        time.Duration
	scheduler          *scheduler.Scheduler
	term               int64
	isLimited          bool
	// schedulerEpoch counts the schedulers of this process. Events about an attempt of
	// an earlier one are ignored.
	schedulerEpoch    int
	lastSchedulerTick time.Duration
	// unknownWorkersExpireAt is when attempts on unknown workers have ended, zero if that
	// was dealt with.
	unknownWorkersExpireAt time.Duration

	pendingStarts map[structs.Attempt]*startState
	pendingStops  map[structs.Attempt]*stopState
	pendingEnds   map[structs.Attempt]records.TaskResult
	checkpoints   map[structs.TaskID][]byte
	readyStarts   map[string][]structs.Attempt

	recordsSinceSnapshot int
	lastSnapshotAt       time.Duration
}

func newOwnerState() ownerState {
	return ownerState{workers: map[string]*workerState{}}
}

// startOwning notes that this VM owns the data centre. The scheduler starts
// once the jobs stream was read up to now.
func (c *control) startOwning(a ownership.StartOwning) {
	if c.scheduler != nil {
		// The term changes without a stop when an owner that took over during an
		// outage of the log claims; what it knows stays valid.
		c.term = a.Term
		c.isLimited = a.Limited
		c.scheduleUnknownWorkerExpiry()
		c.applySchedulerEvent(scheduler.Withhold{Tasks: c.withheldTasks()})
		return
	}
	c.pendingStartOwning = &a
	c.owningSince = c.now()
	c.d.wakeReader(records.JobsStream(c.d.settings.DataCentre))
	c.logger.Info("owning the data centre", "term", a.Term, "limited", a.Limited)
}

func (c *control) stopOwning(a ownership.StopOwning) {
	c.logger.Info("no longer owning the data centre", "term", a.Term, "reason", a.Reason)
	c.stopBroker()
	c.pendingStartOwning = nil
	c.scheduler = nil
	c.pendingStarts, c.pendingStops, c.pendingEnds, c.checkpoints, c.readyStarts = nil, nil, nil, nil, nil
	for _, w := range c.workers {
		w.isUp = false
		w.inventory = nil
	}
}

// isJobsStreamCurrent reports whether the fold of the jobs stream holds all that
// was on the log when ownership began, as far as the log can be read.
func (c *control) isJobsStreamCurrent() bool {
	s := c.streams[records.JobsStream(c.d.settings.DataCentre)]
	if !s.hasReachedEnd || !c.jobs.Complete() {
		return false
	}
	return s.lastEndSentAt >= c.owningSince || !s.isReachable
}

// startScheduler builds the scheduler from the jobs stream and the inventories.
func (c *control) startScheduler() {
	a := c.pendingStartOwning
	config := c.config.Current().Config
	if a == nil || config == nil || !c.isJobsStreamCurrent() {
		return
	}
	c.pendingStartOwning = nil
	c.term = a.Term
	c.isLimited = a.Limited
	c.schedulerEpoch++
	c.scheduleUnknownWorkerExpiry()
	c.pendingStarts = map[structs.Attempt]*startState{}
	c.pendingStops = map[structs.Attempt]*stopState{}
	c.pendingEnds = map[structs.Attempt]records.TaskResult{}
	c.checkpoints = map[structs.TaskID][]byte{}
	c.readyStarts = map[string][]structs.Attempt{}
	sched, recovery := scheduler.Recover(c.now(), c.schedulerInventory(config))
	c.scheduler = sched
	for _, attempt := range recovery.Unrecorded {
		c.adoptAttempt(attempt)
	}
	c.runSchedulerActions(recovery.Actions)
	for _, attempt := range recovery.Lost {
		c.endMissingAttempt(attempt)
	}
	for _, w := range c.workers {
		if w.isUp && w.inventory != nil {
			c.handleReport(w, w.inventory.Report)
		}
	}
	c.logger.Info("scheduling jobs", "term", c.term, "limited", c.isLimited, "workers", len(c.workers))
}

// schedulerInventory collects what the scheduler needs to know at its start.
func (c *control) schedulerInventory(config *structs.ClusterConfig) scheduler.Inventory {
	inv := scheduler.Inventory{
		Config:    *config,
		Running:   map[string][]structs.Attempt{},
		Allocated: map[structs.Attempt]structs.Resources{},
	}
	for id, w := range c.workers {
		w.isUp = false
		if w.inventory == nil || c.now() >= w.leaseExpiresAt {
			continue
		}
		w.markUp()
		inv.Workers = append(inv.Workers, schedulerWorker(w))
		inv.Running[id] = runningAttempts(w.inventory)
		maps.Copy(inv.Allocated, allocatedResources(w.inventory))
	}
	inv.Jobs, inv.Cancelled = scheduler.Jobs(c.jobs, time.Now())
	inv.Withheld = c.withheldTasks()
	return inv
}

// withheldTasks returns the tasks that a limited owner does not start: a former owner
// may be running them out of its reach.
func (c *control) withheldTasks() map[structs.TaskID]bool {
	if !c.isLimited {
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

// allocatedResources returns what a worker has set apart for its attempts, which may be
// more than their declared sizes.
func allocatedResources(inventory *workerclient.Inventory) map[structs.Attempt]structs.Resources {
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

// applySchedulerEvent feeds the scheduler and carries out what it decides.
func (c *control) applySchedulerEvent(ev scheduler.Event) {
	if c.scheduler == nil {
		return
	}
	c.runSchedulerActions(c.scheduler.Apply(c.now(), ev))
}

func (c *control) runSchedulerActions(actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Start:
			c.logStarts(a.Placements)
		case scheduler.Stop:
			c.stopAttempt(a.Attempt, false)
		case scheduler.Checkpoint:
			c.stopAttempt(a.Attempt, true)
		case scheduler.Throttle:
			c.sendThrottle(a)
		}
	}
}

// maySendTo reports whether this VM may send operations to a worker at this moment.
func (c *control) maySendTo(w *workerState) bool {
	now := c.now()
	authority := c.ownershipMachine.Authority(now)
	return authority.MayStartTasks && authority.Term == c.term && w != nil && now < w.leaseExpiresAt-minRemainingLease
}

// workerAuthority returns what operations on a worker carry. The term is that of the
// lease, which is a later round than the owner's if another VM tried to take
// over and got a lease on the worker.
func (c *control) workerAuthority(w *workerState) workerclient.Authority {
	return workerclient.Authority{Holder: c.d.instance, Term: w.leaseTerm}
}

// reconcileInventory reconciles what runs on a worker with the jobs stream.
func (c *control) reconcileInventory(w *workerState) {
	if c.scheduler == nil || w.isUp || c.now() >= w.leaseExpiresAt {
		return
	}
	attempts := runningAttempts(w.inventory)
	running := map[structs.Attempt]bool{}
	for _, a := range attempts {
		running[a] = true
	}
	w.markUp()
	c.applySchedulerEvent(scheduler.WorkerInventory{Worker: w.vm.ID, Running: attempts, Allocated: allocatedResources(w.inventory)})
	for _, a := range attempts {
		live, ok := c.jobs.LiveAttempt(a.Task)
		if recorded := ok && live == a; !recorded && c.pendingStops[a] == nil && c.pendingStarts[a] == nil {
			c.adoptAttempt(a)
		}
	}
	missing := c.jobs.RunningOn(w.vm.ID)
	for a, s := range c.pendingStarts {
		if a.Worker == w.vm.ID && s.sentWithoutRecord && !s.isLogged {
			missing = append(missing, a)
		}
	}
	for _, a := range missing {
		if !running[a] && !hasFinishedRun(w.inventory, a) {
			// Its start may still be on the way, so the worker has to confirm
			// that it will not run.
			c.stopAttempt(a, false)
		}
	}
	c.applySchedulerEvent(scheduler.WorkerUp{Worker: schedulerWorker(w)})
	c.handleReport(w, w.inventory.Report)
}

// adoptAttempt writes the start record of an attempt that a former owner started
// during an outage of the log.
func (c *control) adoptAttempt(a structs.Attempt) {
	c.pendingStarts[a] = &startState{sentWithoutRecord: true, hasBeenSent: true, isConfirmed: true}
	c.logTaskStart(a)
}

// endMissingAttempt ends an attempt that its worker does not run, with the result that
// the worker reports, if any.
func (c *control) endMissingAttempt(a structs.Attempt) {
	w := c.workers[a.Worker]
	if w == nil || w.inventory == nil || !hasFinishedRun(w.inventory, a) {
		c.endAttempt(a, records.TaskLost)
	}
}

func hasFinishedRun(inventory *workerclient.Inventory, a structs.Attempt) bool {
	for _, f := range inventory.Report.Finished {
		if f.Attempt == a {
			return true
		}
	}
	return false
}

// handleWorkerRestart handles a worker with a new incarnation. The attempts of the
// former one ended without a report, although the lease goes on.
func (c *control) handleWorkerRestart(w *workerState) {
	c.logger.Warn("a worker restarted", "worker", w.vm.ID)
	c.markWorkerDown(w)
	c.requestInventory(w.vm.ID)
}

// markWorkerDown takes a worker out of service until its inventory is known.
func (c *control) markWorkerDown(w *workerState) {
	w.isUp = false
	w.inventory = nil
	c.applySchedulerEvent(scheduler.WorkerDown{Worker: w.vm.ID})
}

func (c *control) handleWorkerChange(w *workerState) {
	if w.isUp {
		c.applySchedulerEvent(scheduler.WorkerChanged{Worker: schedulerWorker(w)})
	}
}

// handleReport handles a worker's report about ended and running attempts.
func (c *control) handleReport(w *workerState, report workerclient.Report) {
	w.lastReport = report
	if c.scheduler == nil || !w.isUp {
		return
	}
	if len(report.Finished) > 0 {
		w.lastActivityAt = c.now()
	}
	for _, f := range report.Finished {
		c.endAttempt(f.Attempt, taskResult(f.Result))
	}
	usage := scheduler.UsageReport{Worker: w.vm.ID}
	for _, u := range report.Usage {
		if s := c.pendingStarts[u.Attempt]; s != nil && s.answerLostAt != 0 && !s.isConfirmed {
			c.handleStartResult(workerclient.Started{Attempt: u.Attempt, Started: true})
		}
		usage.Tasks = append(usage.Tasks, scheduler.TaskUsage{Attempt: u.Attempt, Used: u.Used})
	}
	c.applySchedulerEvent(usage)
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

// acknowledgement returns the acknowledgement of the reported attempts whose end is on
// the log, so that no result is lost with this VM.
func (c *control) acknowledgement(w *workerState) workerclient.Ack {
	ack := workerclient.Ack{Incarnation: w.lastReport.Incarnation}
	if c.scheduler == nil || !w.isUp {
		return ack // the report was not dealt with
	}
	for _, f := range w.lastReport.Finished {
		if live, ok := c.jobs.LiveAttempt(f.Attempt.Task); ok && live == f.Attempt {
			break
		}
		if s := c.pendingStarts[f.Attempt]; s != nil && !s.isLogged {
			break
		}
		ack.Seq = f.Seq
	}
	return ack
}

// tickJobs does the time-driven part of owning.
func (c *control) tickJobs() {
	if c.pendingStartOwning != nil {
		c.startScheduler()
	}
	if c.scheduler == nil {
		return
	}
	c.checkWorkerLeases()
	c.endOnUnknownWorkers()
	c.renewActiveLeases()
	c.resendDue()
	if c.now()-c.lastSchedulerTick >= schedulerTickInterval || c.scheduler.HasReadyWork() {
		c.lastSchedulerTick = c.now()
		c.applySchedulerEvent(scheduler.Tick{})
	}
	c.writeJobsSnapshot()
}

// renewActiveLeases renews the leases of workers where tasks start and end more often,
// since the answers report the ends.
func (c *control) renewActiveLeases() {
	now := c.now()
	for id, w := range c.workers {
		if w.isUp && now-w.lastActivityAt < activityTimeout && now-w.lastLeaseSentAt >= activeRenewalInterval {
			c.requestLease(id, max(c.term, w.leaseTerm), ownership.DefaultLeaseTTL)
		}
	}
}

// checkWorkerLeases takes workers out of service whose lease has lapsed. Their
// attempts have ended, since nobody else renews.
func (c *control) checkWorkerLeases() {
	now := c.now()
	for id, w := range c.workers {
		if w.isUp && now > w.leaseExpiresAt {
			c.logger.Warn("a worker's lease ended", "worker", id)
			c.markWorkerDown(w)
		}
		if !w.isUp && w.inventory == nil && now < w.leaseExpiresAt && now-w.inventoryRequestedAt >= resendInterval {
			c.requestInventory(id)
		}
		if w.isUp || w.lastLeaseSentAt == 0 || !w.hasTaskLeaseExpired(now) {
			continue
		}
		// The former owner may renew a worker that a limited owner never reached.
		if c.isLimited && w.leaseTerm < c.term {
			continue
		}
		for _, a := range c.jobs.RunningOn(id) {
			c.endAttempt(a, records.TaskLost)
		}
		c.endUnloggedOn(id)
		if w.isUnlisted {
			delete(c.workers, id)
		}
	}
}
