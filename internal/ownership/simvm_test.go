package ownership

import (
	"cmp"
	"fmt"
	"maps"
	"time"

	"gypsumwinch/internal/records"
)

// simVM simulates an entry VM: a Machine and the parts of the daemon that
// carry out its actions.
type simVM struct {
	sim         *sim
	id          int
	incarnation int
	instance    string
	machine     *Machine
	// clockOffset is the difference between its monotonic clock and the true
	// time.
	clockOffset time.Duration

	// Each is when the fault of this kind ends, in true time.
	pauseEnd, logCutEnd, appendCutEnd, lostResponseEnd, slowReadEnd time.Duration
	peerOutEnd, peerInEnd, slowResponseEnd                          time.Duration
	requestCutEnd, responseCutEnd, inventoryCutEnd                  [simWorkers]time.Duration

	// pauseAtStart is the length of a pause that begins just before the next
	// start request is sent.
	pauseAtStart time.Duration
	hasNoWorkers bool
	// waivedTerm is the last term whose waiting time defects.noSuccessorWait
	// removed.
	waivedTerm int64

	nextOffset      int64
	inventories     [simWorkers]map[int]bool
	inventorySentAt [simWorkers]time.Duration
	// taskWorkers maps a task to the worker on which the owner believes it to
	// run.
	taskWorkers   map[int]int
	taskStartedAt map[int]time.Duration
	leaseSentAt   [simWorkers]time.Duration
}

func workerName(i int) string { return fmt.Sprintf("w%d", i) }

func workerIndex(name string) int { return int(name[1] - '0') }

func (v *simVM) now() time.Duration { return v.sim.trueTime + v.clockOffset }

// runOnInstance runs do at a time, after the end of a pause if there is one,
// and not at all if the process has ended by then.
func (v *simVM) runOnInstance(at time.Duration, do func()) {
	incarnation := v.incarnation
	v.sim.runAt(at, func() {
		switch {
		case v.incarnation != incarnation:
		case v.sim.trueTime < v.pauseEnd:
			v.runOnInstance(v.pauseEnd, do)
		default:
			do()
		}
	})
}

func (v *simVM) boot() {
	if v.machine != nil {
		return
	}
	v.incarnation++
	v.instance = fmt.Sprintf("vm%d-%d", v.id, v.incarnation)
	opt := Options{
		VM:              fmt.Sprintf("vm%d", v.id),
		Instance:        v.instance,
		DataCentre:      "krk-a",
		Addr:            v.instance,
		Seed:            v.sim.rng.Uint64(),
		IsolationLimit:  cmp.Or(v.sim.plan.Isolation, 45*time.Second),
		RosterRetention: 5 * time.Second,
	}
	if v.sim.defects.shortTaskLease {
		opt.TaskLeaseTTL = DefaultLeaseTTL
	}
	v.machine = New(opt)
	v.nextOffset = 0
	v.waivedTerm = NoTerm
	v.taskWorkers = map[int]int{}
	v.taskStartedAt = map[int]time.Duration{}
	v.inventories = [simWorkers]map[int]bool{}
	var roster []string
	for i := range simWorkers {
		if !v.hasNoWorkers && (!v.sim.defects.noMajority || i%simVMs == v.id) {
			roster = append(roster, workerName(i))
		}
	}
	v.apply(RosterChanged{Workers: roster})
	v.tick()
	v.readLog()
	v.gossip()
	v.pollInventories()
}

// pollInventories updates what runs on leased workers that are reachable, so
// that a lost start request is detected.
func (v *simVM) pollInventories() {
	for i, w := range v.sim.workers {
		if v.holdsLease(i) && v.sim.trueTime >= max(v.requestCutEnd[i], v.responseCutEnd[i]) {
			w.expireTasks(v.sim.trueTime)
			v.applyInventory(i, maps.Clone(w.tasks), v.now())
		}
	}
	v.runOnInstance(v.sim.trueTime+5*time.Second, v.pollInventories)
}

func (v *simVM) tick() {
	if v.sim.defects.noRequestPause {
		for _, w := range v.machine.leases.workers {
			w.unansweredSince = minTime
			w.lastRequestAt = minTime
		}
	}
	if v.sim.defects.isolationFromLastRead {
		v.machine.logView.claimTime = v.machine.logTime
	}
	v.apply(Tick{})
	v.startTasks()
	v.runOnInstance(v.sim.trueTime+200*time.Millisecond, v.tick)
}

func (v *simVM) apply(e Event) {
	if v.machine == nil {
		return
	}
	actions := v.machine.Apply(v.now(), e)
	if v.sim.defects.noSuccessorWait && v.waivedTerm != v.machine.term && (v.machine.role == logOwner || v.machine.role == interimOwner) {
		// The ownership is made to look a minute older.
		v.waivedTerm = v.machine.term
		v.machine.ownedSince -= time.Minute
		v.machine.minInventoryTime -= time.Minute
		v.machine.unreachedTasksUntil -= time.Minute
	}
	if v.sim.defects.noSuccessorWait && v.machine.majoritySince != minTime {
		v.machine.majoritySince = min(v.machine.majoritySince, v.machine.ownedSince)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case StartOwning:
			v.applyStartOwning(a)
		case StopOwning:
			v.taskWorkers = map[int]int{}
		default:
			v.runOnInstance(v.sim.trueTime+v.sim.randomDelay(5*time.Millisecond), func() { v.execute(a) })
		}
	}
}

// execute carries out an action. Lease requests are checked at the moment of
// sending.
func (v *simVM) execute(a Action) {
	switch a := a.(type) {
	case AppendClaim:
		v.appendRecord(records.Record{Claim: &a.Claim})
	case AppendHeartbeat:
		a.Heartbeat.Majority = a.Heartbeat.Majority || v.sim.defects.alwaysReportsMajority
		v.appendRecord(records.Record{Heartbeat: &a.Heartbeat})
	case AppendRelease:
		v.appendRecord(records.Record{Release: &a.Release})
	case AcquireLease:
		v.requestLease(workerIndex(a.Worker), a.Term, a.TTL)
	case RenewLease:
		v.requestLease(workerIndex(a.Worker), a.Term, a.TTL)
	case ReleaseLease:
		instance := v.instance
		v.sendRequest(workerIndex(a.Worker), func(w *simWorker) {
			if w.holder == instance {
				w.holder = ""
			}
		})
	case AskInventory:
		sent := v.now()
		i := workerIndex(a.Worker)
		probe := v.machine.role == follower && v.sim.defects.probesTakeLeases
		v.sendRequest(i, func(w *simWorker) {
			if probe && v.sim.trueTime >= w.leaseEnd {
				w.holder = v.instance
				w.leaseEnd = v.sim.trueTime + DefaultLeaseTTL
				w.tasksEnd = v.sim.trueTime + DefaultTaskLeaseTTL
			}
			tasks := maps.Clone(w.tasks)
			e := WorkerInventory{
				Worker: a.Worker, SentAt: sent, HeldBy: w.holder, Term: w.term, RemainingTTL: max(0, w.leaseEnd-v.sim.trueTime),
			}
			if v.sim.trueTime < v.inventoryCutEnd[i] {
				return
			}
			v.sendResponse(i, func() {
				v.applyInventory(i, tasks, sent)
				v.apply(e)
			})
		})
	}
}

// appendRecord appends a record to the log late, or not at all, or without a
// response.
func (v *simVM) appendRecord(r records.Record) {
	s := v.sim
	limit := 100 * time.Millisecond
	if s.trueTime < s.slowLogEnd {
		limit = 5 * time.Second
	}
	s.runAt(s.trueTime+s.randomDelay(limit), func() {
		if s.trueTime < s.logDownEnd || s.trueTime < v.logCutEnd || s.trueTime < v.appendCutEnd {
			return
		}
		s.appendRecord(r)
		isLost := s.trueTime < v.lostResponseEnd
		v.runOnInstance(s.trueTime+s.randomDelay(limit), func() { v.apply(AppendResult{Failed: isLost}) })
	})
}

// readLog reads the log in a loop.
func (v *simVM) readLog() {
	s := v.sim
	sent := v.now()
	readAgain := func() { v.runOnInstance(s.trueTime+200*time.Millisecond, v.readLog) }
	limit := 100 * time.Millisecond
	if s.trueTime < s.slowLogEnd {
		limit = 4 * time.Second
	}
	s.runAt(s.trueTime+s.randomDelay(limit), func() {
		if s.trueTime < s.logDownEnd || s.trueTime < v.logCutEnd {
			v.runOnInstance(s.trueTime+time.Second, func() { v.apply(LogUnreachable{}); readAgain() })
			return
		}
		from := min(v.nextOffset, int64(len(s.log)))
		batch := s.log[from:]
		atEnd := len(batch) < 2 || s.rng.IntN(4) > 0
		if !atEnd {
			batch = batch[:len(batch)/2]
		}
		wait := s.randomDelay(limit)
		if s.trueTime < v.slowReadEnd {
			// With the time between two reads, this is just below the time after
			// which the log counts as unreachable.
			wait = DefaultHeartbeatTimeout - 500*time.Millisecond
		}
		v.runOnInstance(s.trueTime+wait, func() {
			for _, r := range batch {
				v.apply(r)
				v.nextOffset = r.Offset + 1
			}
			if s.defects.authorityFromReadResponse {
				sent = v.now()
			}
			v.apply(LogRead{SentAt: sent, AtEnd: atEnd, NextOffset: v.nextOffset})
			readAgain()
		})
	})
}

// gossip sends the known owner to the other VMs in a loop.
func (v *simVM) gossip() {
	owner := v.machine.Owner()
	for _, peer := range v.sim.vms {
		if peer == v || owner.Term == NoTerm || v.sim.trueTime < v.peerOutEnd {
			continue
		}
		v.sim.runAt(v.sim.trueTime+v.sim.randomDelay(maxMessageDelay), func() {
			if v.sim.trueTime >= peer.peerInEnd {
				peer.runOnInstance(v.sim.trueTime, func() { peer.apply(PeerOwner(owner)) })
			}
		})
	}
	v.runOnInstance(v.sim.trueTime+500*time.Millisecond, v.gossip)
}

// sendRequest delivers a request to a worker, or loses it.
func (v *simVM) sendRequest(i int, do func(*simWorker)) {
	v.sim.runAt(v.sim.trueTime+v.sim.randomDelay(maxMessageDelay), func() {
		if v.sim.trueTime < v.requestCutEnd[i] {
			return
		}
		w := v.sim.workers[i]
		w.expireTasks(v.sim.trueTime)
		do(w)
	})
}

// sendResponse delivers the response of a worker on time, late or twice, or
// loses it.
func (v *simVM) sendResponse(i int, do func()) {
	if v.sim.trueTime < v.responseCutEnd[i] {
		return
	}
	if v.sim.trueTime < v.slowResponseEnd {
		v.runOnInstance(v.sim.trueTime+time.Duration(v.sim.rng.Int64N(int64(30*time.Second))), do)
		return
	}
	v.runOnInstance(v.sim.trueTime+v.sim.randomDelay(maxMessageDelay), do)
	if v.sim.rng.IntN(10) == 0 {
		v.runOnInstance(v.sim.trueTime+v.sim.randomDelay(10*time.Second), do)
	}
}

func (v *simVM) requestLease(i int, term int64, ttl time.Duration) {
	if !v.sim.defects.noSendCheck && !v.machine.MayLease(v.now(), term) {
		return
	}
	sent := v.now()
	instance := v.instance
	v.leaseSentAt[i] = sent
	v.sendRequest(i, func(w *simWorker) {
		t := v.sim.trueTime
		isGranted := term >= w.term && (w.holder == instance || w.holder == "" || t >= w.leaseEnd)
		if isGranted || w.careless {
			isGranted = true
			if w.holder != instance && w.takenAt == 0 && t >= v.sim.plan.Watch {
				w.takenAt = t
			}
			w.holder = instance
			w.term = max(w.term, term)
			w.leaseEnd = t + ttl
			w.tasksEnd = t + DefaultTaskLeaseTTL
		}
		e := LeaseResult{
			Worker: workerName(i), Granted: isGranted, RequestTerm: term, HeldBy: w.holder,
			Term: w.term, RemainingTTL: max(0, w.leaseEnd-t), SentAt: sent,
		}
		v.sendResponse(i, func() {
			if v.sim.defects.leaseFromResponse {
				e.SentAt = v.now()
			}
			v.apply(e)
		})
	})
}

// holdsLease reports whether the instance believes that it holds the lease on
// a worker.
func (v *simVM) holdsLease(i int) bool {
	w := v.machine.leases.workers[workerName(i)]
	return w != nil && w.wasGranted && v.now() < w.expiresAt
}

// applyInventory updates the workers of the tasks from an inventory.
// Responses to older requests are ignored.
func (v *simVM) applyInventory(i int, tasks map[int]bool, sent time.Duration) {
	if sent < v.inventorySentAt[i] {
		return
	}
	v.inventorySentAt[i] = sent
	v.inventories[i] = tasks
	for task, worker := range v.taskWorkers {
		if worker == i && !tasks[task] && sent > v.taskStartedAt[task]+DefaultMargin {
			delete(v.taskWorkers, task)
		}
	}
}

// applyStartOwning adopts the tasks that run on leased workers.
func (v *simVM) applyStartOwning(a StartOwning) {
	if v.sim.trueTime >= v.sim.plan.Watch {
		if v.sim.tasksStartedAt == 0 {
			v.sim.tasksStartedAt = v.sim.trueTime
		}
		if !a.Limited && v.sim.unlimitedAt == 0 {
			v.sim.unlimitedAt = v.sim.trueTime
		}
	}
	if a.Limited {
		v.sim.limitedOwners++
		return
	}
	if a.Term&maxRound != 0 {
		v.sim.interimOwners++
	}
	for i := range simWorkers {
		if !v.holdsLease(i) || v.sim.defects.noInventory {
			continue
		}
		for task := range v.inventories[i] {
			v.taskWorkers[task] = i
		}
	}
}

// startTasks starts inherited tasks that run nowhere.
func (v *simVM) startTasks() {
	if a := v.machine.Authority(v.now()); !a.MayStartTasks || a.Limited {
		return
	}
	for task := range simTasks {
		worker, isPlaced := v.taskWorkers[task]
		if isPlaced && (v.holdsLease(worker) || v.now() < v.leaseSentAt[worker]+DefaultTaskLeaseTTL+2*DefaultMargin) {
			continue
		}
		delete(v.taskWorkers, task)
		firstWorker := v.sim.rng.IntN(simWorkers)
		for k := range simWorkers {
			if i := (firstWorker + k) % simWorkers; v.holdsLease(i) {
				v.taskWorkers[task] = i
				v.taskStartedAt[task] = v.now()
				v.runOnInstance(v.sim.trueTime+v.sim.randomDelay(5*time.Millisecond), func() { v.startTask(task, i) })
				if v.pauseAtStart > 0 {
					v.pauseEnd = v.sim.trueTime + v.pauseAtStart
					v.pauseAtStart = 0
				}
				break
			}
		}
	}
}

func (v *simVM) startTask(task, i int) {
	a := v.machine.Authority(v.now())
	if !v.sim.defects.noSendCheck && (!a.MayStartTasks || a.Limited || !v.holdsLease(i)) {
		delete(v.taskWorkers, task)
		return
	}
	sent := v.now()
	v.taskStartedAt[task] = sent
	instance := v.instance
	v.sendRequest(i, func(w *simWorker) {
		if !w.careless && w.holder != instance || v.sim.trueTime >= w.leaseEnd {
			v.sendResponse(i, func() {
				if v.taskStartedAt[task] == sent {
					delete(v.taskWorkers, task)
				}
			})
			return
		}
		for j, other := range v.sim.workers {
			other.expireTasks(v.sim.trueTime)
			if j != i && other.tasks[task] {
				v.sim.recordFailure("task %d started by %s on %s while it runs on %s", task, instance, workerName(i), workerName(j))
			}
		}
		w.tasks[task] = true
		v.sim.taskStarts++
	})
}
