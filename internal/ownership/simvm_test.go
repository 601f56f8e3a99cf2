package ownership

import (
	"cmp"
	"fmt"
	"maps"
	"time"

	"gypsumwinch/internal/records"
)

// simVM is an entry VM: a Machine and the parts of the daemon around it.
type simVM struct {
	s    *sim
	id   int
	gen  int
	inst string
	m    *Machine
	// off is the difference of its monotonic clock from the true time.
	off time.Duration

	// Each is the end of a fault.
	paused, logCut, appendCut, lostAnswer, slowRead time.Duration
	peerOut, peerIn, slowAnswer                     time.Duration
	requestCut, answerCut, inventoryCut             [simWorkers]time.Duration

	// pauseAtStart is the length of a pause just before the next start is sent.
	pauseAtStart time.Duration
	noWorkers    bool
	// waived is the term of which the waiting time was removed.
	waived int64

	next      int64
	inventory [simWorkers]map[int]bool
	asked     [simWorkers]time.Duration
	// place is where the owner believes a task to run.
	place     map[int]int
	startedAt map[int]time.Duration
	renewed   [simWorkers]time.Duration
}

func workerName(i int) string { return fmt.Sprintf("w%d", i) }

func workerIndex(name string) int { return int(name[1] - '0') }

func (v *simVM) now() time.Duration { return v.s.t + v.off }

// on runs do on this instance, after a pause if there is one.
func (v *simVM) on(at time.Duration, do func()) {
	gen := v.gen
	v.s.at(at, func() {
		switch {
		case v.gen != gen:
		case v.s.t < v.paused:
			v.on(v.paused, do)
		default:
			do()
		}
	})
}

func (v *simVM) boot() {
	if v.m != nil {
		return
	}
	v.gen++
	v.inst = fmt.Sprintf("vm%d-%d", v.id, v.gen)
	opt := Options{
		VM:              fmt.Sprintf("vm%d", v.id),
		Instance:        v.inst,
		DataCentre:      "krk-a",
		Addr:            v.inst,
		Seed:            v.s.rng.Uint64(),
		IsolationLimit:  cmp.Or(v.s.plan.Isolation, 45*time.Second),
		RosterRetention: 5 * time.Second,
	}
	if v.s.broken.shortTasks {
		opt.TaskLeaseTTL = DefaultLeaseTTL
	}
	v.m = New(opt)
	v.next = 0
	v.waived = NoTerm
	v.place = map[int]int{}
	v.startedAt = map[int]time.Duration{}
	v.inventory = [simWorkers]map[int]bool{}
	var roster []string
	for i := range simWorkers {
		if !v.noWorkers && (!v.s.broken.noMajority || i%simVMs == v.id) {
			roster = append(roster, workerName(i))
		}
	}
	v.apply(RosterChanged{Workers: roster})
	v.tick()
	v.read()
	v.gossip()
	v.report()
}

// report learns what runs on leased workers in reach, so that a lost start is
// noticed.
func (v *simVM) report() {
	for i, w := range v.s.workers {
		if v.leased(i) && v.s.t >= max(v.requestCut[i], v.answerCut[i]) {
			w.lapse(v.s.t)
			v.learn(i, maps.Clone(w.tasks), v.now())
		}
	}
	v.on(v.s.t+5*time.Second, v.report)
}

func (v *simVM) tick() {
	if v.s.broken.noSilence {
		for _, w := range v.m.leases.workers {
			w.silent = never
			w.sent = never
		}
	}
	if v.s.broken.lateIsolation {
		v.m.view.claimTime = v.m.logTime
	}
	v.apply(Tick{})
	v.schedule()
	v.on(v.s.t+200*time.Millisecond, v.tick)
}

func (v *simVM) apply(e Event) {
	if v.m == nil {
		return
	}
	actions := v.m.Apply(v.now(), e)
	if v.s.broken.noWait && v.waived != v.m.term && (v.m.phase == claimant || v.m.phase == deputy) {
		// The ownership seems to have begun a minute ago.
		v.waived = v.m.term
		v.m.since -= time.Minute
		v.m.floor -= time.Minute
		v.m.unreachedUntil -= time.Minute
	}
	if v.s.broken.noWait && v.m.majSince != never {
		v.m.majSince = min(v.m.majSince, v.m.since)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case StartOwning:
			v.started(a)
		case StopOwning:
			v.place = map[int]int{}
		default:
			v.on(v.s.t+v.s.delay(5*time.Millisecond), func() { v.send(a) })
		}
	}
}

// send carries out an action, after the checks at the moment of sending.
func (v *simVM) send(a Action) {
	switch a := a.(type) {
	case AppendClaim:
		v.append(records.Record{Claim: &a.Claim})
	case AppendHeartbeat:
		a.Heartbeat.Majority = a.Heartbeat.Majority || v.s.broken.alwaysMajority
		v.append(records.Record{Heartbeat: &a.Heartbeat})
	case AppendRelease:
		v.append(records.Record{Release: &a.Release})
	case AcquireLease:
		v.lease(workerIndex(a.Worker), a.Term, a.TTL)
	case RenewLease:
		v.lease(workerIndex(a.Worker), a.Term, a.TTL)
	case ReleaseLease:
		inst := v.inst
		v.request(workerIndex(a.Worker), func(w *simWorker) {
			if w.holder == inst {
				w.holder = ""
			}
		})
	case AskInventory:
		sent := v.now()
		i := workerIndex(a.Worker)
		probe := v.m.phase == follower && v.s.broken.leaseProbe
		v.request(i, func(w *simWorker) {
			if probe && v.s.t >= w.until {
				w.holder = v.inst
				w.until = v.s.t + DefaultLeaseTTL
				w.tasksUntil = v.s.t + DefaultTaskLeaseTTL
			}
			tasks := maps.Clone(w.tasks)
			e := WorkerInventory{
				Worker: a.Worker, SentAt: sent, HeldBy: w.holder, Term: w.term, RemainingTTL: max(0, w.until-v.s.t),
			}
			if v.s.t < v.inventoryCut[i] {
				return
			}
			v.answer(i, func() {
				v.learn(i, tasks, sent)
				v.apply(e)
			})
		})
	}
}

// append reaches the log late, or not at all, or without an answer.
func (v *simVM) append(r records.Record) {
	s := v.s
	limit := 100 * time.Millisecond
	if s.t < s.slowLog {
		limit = 5 * time.Second
	}
	s.at(s.t+s.delay(limit), func() {
		if s.t < s.logDown || s.t < v.logCut || s.t < v.appendCut {
			return
		}
		s.append(r)
		lost := s.t < v.lostAnswer
		v.on(s.t+s.delay(limit), func() { v.apply(AppendResult{Failed: lost}) })
	})
}

// read reads the log in a loop.
func (v *simVM) read() {
	s := v.s
	sent := v.now()
	again := func() { v.on(s.t+200*time.Millisecond, v.read) }
	limit := 100 * time.Millisecond
	if s.t < s.slowLog {
		limit = 4 * time.Second
	}
	s.at(s.t+s.delay(limit), func() {
		if s.t < s.logDown || s.t < v.logCut {
			v.on(s.t+time.Second, func() { v.apply(LogUnreachable{}); again() })
			return
		}
		from := min(v.next, int64(len(s.log)))
		got := s.log[from:]
		end := len(got) < 2 || s.rng.IntN(4) > 0
		if !end {
			got = got[:len(got)/2]
		}
		wait := s.delay(limit)
		if s.t < v.slowRead {
			// With the time between two reads, this is just below the time after
			// which the log counts as out of reach.
			wait = DefaultHeartbeatTimeout - 500*time.Millisecond
		}
		v.on(s.t+wait, func() {
			for _, r := range got {
				v.apply(r)
				v.next = r.Offset + 1
			}
			if s.broken.readFromAnswer {
				sent = v.now()
			}
			v.apply(LogRead{SentAt: sent, AtEnd: end, NextOffset: v.next})
			again()
		})
	})
}

func (v *simVM) gossip() {
	o := v.m.Owner()
	for _, peer := range v.s.vms {
		if peer == v || o.Term == NoTerm || v.s.t < v.peerOut {
			continue
		}
		v.s.at(v.s.t+v.s.delay(inFlight), func() {
			if v.s.t >= peer.peerIn {
				peer.on(v.s.t, func() { peer.apply(PeerOwner(o)) })
			}
		})
	}
	v.on(v.s.t+500*time.Millisecond, v.gossip)
}

// request takes a message to a worker.
func (v *simVM) request(i int, do func(*simWorker)) {
	v.s.at(v.s.t+v.s.delay(inFlight), func() {
		if v.s.t < v.requestCut[i] {
			return
		}
		w := v.s.workers[i]
		w.lapse(v.s.t)
		do(w)
	})
}

// answer takes an answer back, lost, late or twice.
func (v *simVM) answer(i int, do func()) {
	if v.s.t < v.answerCut[i] {
		return
	}
	if v.s.t < v.slowAnswer {
		v.on(v.s.t+time.Duration(v.s.rng.Int64N(int64(30*time.Second))), do)
		return
	}
	v.on(v.s.t+v.s.delay(inFlight), do)
	if v.s.rng.IntN(10) == 0 {
		v.on(v.s.t+v.s.delay(10*time.Second), do)
	}
}

func (v *simVM) lease(i int, term int64, ttl time.Duration) {
	if !v.s.broken.noSendCheck && !v.m.MayLease(v.now(), term) {
		return
	}
	sent := v.now()
	inst := v.inst
	v.renewed[i] = sent
	v.request(i, func(w *simWorker) {
		t := v.s.t
		ok := term >= w.term && (w.holder == inst || w.holder == "" || t >= w.until)
		if ok || w.careless {
			ok = true
			if w.holder != inst && w.taken == 0 && t >= v.s.plan.Watch {
				w.taken = t
			}
			w.holder = inst
			w.term = max(w.term, term)
			w.until = t + ttl
			w.tasksUntil = t + DefaultTaskLeaseTTL
		}
		e := LeaseResult{
			Worker: workerName(i), Granted: ok, RequestTerm: term, HeldBy: w.holder,
			Term: w.term, RemainingTTL: max(0, w.until-t), SentAt: sent,
		}
		v.answer(i, func() {
			if v.s.broken.leaseFromAnswer {
				e.SentAt = v.now()
			}
			v.apply(e)
		})
	})
}

// leased reports whether the instance counts on its lease of a worker.
func (v *simVM) leased(i int) bool {
	w := v.m.leases.workers[workerName(i)]
	return w != nil && w.held && v.now() < w.until
}

// learn uses an inventory for the tasks that the owner follows.
func (v *simVM) learn(i int, tasks map[int]bool, sent time.Duration) {
	if sent < v.asked[i] {
		return
	}
	v.asked[i] = sent
	v.inventory[i] = tasks
	for task, place := range v.place {
		if place == i && !tasks[task] && sent > v.startedAt[task]+DefaultMargin {
			delete(v.place, task)
		}
	}
}

// started takes over the tasks that run on leased workers.
func (v *simVM) started(a StartOwning) {
	if v.s.t >= v.s.plan.Watch {
		if v.s.owned == 0 {
			v.s.owned = v.s.t
		}
		if !a.Limited && v.s.full == 0 {
			v.s.full = v.s.t
		}
	}
	if a.Limited {
		v.s.limited++
		return
	}
	if a.Term&maxRound != 0 {
		v.s.deputed++
	}
	for i := range simWorkers {
		if !v.leased(i) || v.s.broken.noInventory {
			continue
		}
		for task := range v.inventory[i] {
			v.place[task] = i
		}
	}
}

// schedule starts inherited tasks that run nowhere.
func (v *simVM) schedule() {
	if a := v.m.Authority(v.now()); !a.MayStartTasks || a.Limited {
		return
	}
	for task := range simTasks {
		place, ok := v.place[task]
		if ok && (v.leased(place) || v.now() < v.renewed[place]+DefaultTaskLeaseTTL+2*DefaultMargin) {
			continue
		}
		delete(v.place, task)
		first := v.s.rng.IntN(simWorkers)
		for k := range simWorkers {
			if i := (first + k) % simWorkers; v.leased(i) {
				v.place[task] = i
				v.startedAt[task] = v.now()
				v.on(v.s.t+v.s.delay(5*time.Millisecond), func() { v.start(task, i) })
				if v.pauseAtStart > 0 {
					v.paused = v.s.t + v.pauseAtStart
					v.pauseAtStart = 0
				}
				break
			}
		}
	}
}

func (v *simVM) start(task, i int) {
	a := v.m.Authority(v.now())
	if !v.s.broken.noSendCheck && (!a.MayStartTasks || a.Limited || !v.leased(i)) {
		delete(v.place, task)
		return
	}
	sent := v.now()
	v.startedAt[task] = sent
	inst := v.inst
	v.request(i, func(w *simWorker) {
		if !w.careless && w.holder != inst || v.s.t >= w.until {
			v.answer(i, func() {
				if v.startedAt[task] == sent {
					delete(v.place, task)
				}
			})
			return
		}
		for j, other := range v.s.workers {
			other.lapse(v.s.t)
			if j != i && other.tasks[task] {
				v.s.fail("task %d started by %s on %s while it runs on %s", task, inst, workerName(i), workerName(j))
			}
		}
		w.tasks[task] = true
		v.s.starts++
	})
}
