package ownership

import "time"

// candidacyTimeout is how long an attempt to lease a majority without the log may
// take. Workers answer within milliseconds.
const candidacyTimeout = 2 * time.Second

// probeSampleSize is the number of workers that an instance without the log asks before
// it asks all. One that is held shows that there is an owner.
const probeSampleSize = 3

// maxRound is the last takeover without the log that a term can count.
const maxRound = 1<<roundBits - 1

// tick asks for what is due.
func (m *Machine) tick(now time.Duration) []Action {
	out := m.claimIfDue(now)
	out = append(out, m.heartbeatIfDue(now)...)
	out = append(out, m.releaseIfDue(now)...)
	out = append(out, m.startAttempt(now)...)
	return append(out, m.requestLeases(now)...)
}

// requestLeases asks workers for leases that are due.
func (m *Machine) requestLeases(now time.Duration) []Action {
	if m.term == NoTerm || !m.MayLease(now, m.leaseTerm) {
		return nil
	}
	// An inventory is asked for every Margin until then.
	overdue := m.opt.LeaseTTL
	renewable := func(w *workerLease) bool {
		// A worker that doesn't say what runs on it is left to lapse, since
		// renewals would keep its tasks alive.
		return w.inventoryAsOf >= m.minInventoryTime || w.inventoryRequestedAt < m.minInventoryTime || now < w.inventoryRequestedSince+overdue
	}
	return m.leases.dueRequests(now, m.leaseTerm, m.rng, renewable)
}

// startAttempt begins a takeover without the log. Workers are asked without a lease
// request, since one would keep tasks alive on workers that the owner can't reach
// and counts as ended.
func (m *Machine) startAttempt(now time.Duration) []Action {
	silent := now >= m.lastLogContact()+m.opt.HeartbeatTimeout
	if m.isShuttingDown || m.role != follower || !silent || now < m.nextAttemptAt || m.isProbing || now >= m.isolationEnd() {
		return nil
	}
	workers := m.leases.currentWorkers()
	if m.maxTerm == NoTerm || m.maxTerm&maxRound == maxRound || len(workers) == 0 {
		return nil
	}
	sample := make([]string, 0, probeSampleSize)
	for _, i := range m.rng.Perm(len(workers))[:min(probeSampleSize, len(workers))] {
		sample = append(sample, workers[i])
	}
	out := m.probeWorkers(now, sample)
	m.isProbingAll = false
	return out
}

// probeWorkers asks workers who holds their leases.
func (m *Machine) probeWorkers(now time.Duration, workers []string) []Action {
	m.isProbing = true
	m.isProbingAll = true
	m.probeStart = now
	m.probeEnd = now + m.opt.Margin
	m.unansweredProbes = map[string]bool{}
	m.freeWorkers = map[string]bool{}
	out := make([]Action, 0, len(workers))
	for _, w := range workers {
		m.unansweredProbes[w] = true
		out = append(out, AskInventory{Worker: w})
	}
	return out
}

// applyProbeAnswer handles the answer to a probe. In the sample, one lease that is held
// shows that there is an owner. Of all workers, a majority must be free: an owner
// that holds a majority then has none of its tasks kept alive by a candidate.
func (m *Machine) applyProbeAnswer(now time.Duration, e WorkerInventory) []Action {
	m.maxTerm = max(m.maxTerm, e.Term)
	if !m.isProbing || e.SentAt < m.probeStart || !m.unansweredProbes[e.Worker] {
		return nil
	}
	delete(m.unansweredProbes, e.Worker)
	held := e.HeldBy != "" && e.HeldBy != m.opt.Instance && e.RemainingTTL > 0
	switch {
	case !held:
		m.freeWorkers[e.Worker] = true
	case !m.isProbingAll:
		m.abandonAttempt(now)
		// The owner may die at any time, so workers are asked again as soon as
		// this lease can have lapsed.
		rest := min(max(e.RemainingTTL, m.opt.Margin), m.opt.LeaseTTL)
		m.nextAttemptAt = now + rest + m.jitter(m.opt.ClaimJitter)
		return nil
	}
	switch {
	case m.isProbingAll && m.leases.isMajority(m.freeWorkers):
		m.startCandidacy(now)
	case len(m.unansweredProbes) > 0:
	case m.isProbingAll:
		m.abandonAttempt(now)
		m.nextAttemptAt = now + m.opt.RenewInterval + m.jitter(m.opt.ClaimJitter)
	default:
		return m.probeWorkers(now, m.leases.currentWorkers())
	}
	return nil
}

// applyLeaseResult handles the applyLeaseResult of a worker to a lease request.
func (m *Machine) applyLeaseResult(now time.Duration, e LeaseResult) []Action {
	if m.role == follower || e.RequestTerm < m.term {
		m.maxTerm = max(m.maxTerm, e.Term)
		return nil
	}
	mine := e.Granted && e.HeldBy == m.opt.Instance
	if mine {
		m.leases.recordGrant(now, e.SentAt, e.Worker)
	} else {
		m.leases.recordRefusal(now, e.Worker, e.RemainingTTL)
	}
	out := m.observeTerm(now, e.Term, "a worker knows a later claim")
	if m.role != follower && e.Term > m.leaseTerm && e.Term&maxRound < maxRound {
		m.leaseTerm = e.Term + 1
	}
	return out
}

// startCandidacy asks all workers for leases, after probes showed that most are free.
func (m *Machine) startCandidacy(now time.Duration) {
	if m.maxTerm&maxRound == maxRound {
		m.abandonAttempt(now)
		return
	}
	m.isProbing = false
	m.role = candidate
	m.leaseTerm = m.maxTerm + 1
	m.term = m.leaseTerm
	m.candidacyEnd = now + candidacyTimeout
}

// progress moves on what time and leases allow. Workers are looked through on
// ticks and reads only, since lease answers are frequent.
func (m *Machine) progress(now time.Duration, event Event) []Action {
	held := m.leases.majorityUntil > now
	if !held {
		m.majoritySince = minTime
	} else if m.majoritySince == minTime {
		m.majoritySince = now
	}
	if m.role == candidate && held && len(m.leases.currentWorkers()) > 0 {
		m.becomeInterimOwner(now)
	}
	if (m.role != interimOwner && m.role != logOwner) || now >= m.authorityEnd() {
		return nil
	}
	out := m.startSlots(now)
	switch event.(type) {
	case Tick, LogRead:
		out = append(out, m.startTasks(now, held)...)
	}
	return out
}

// becomeInterimOwner takes over without the log, on a majority of the workers. The tasks of
// the last owner that the log showed may be inherited if that owner stops when
// it loses the majority, or if it was this instance and started nothing.
func (m *Machine) becomeInterimOwner(now time.Duration) {
	known := m.logView.isClaimKnown && m.logView.claimOffset == ClaimOffset(m.term)
	idle := m.logView.instance == m.opt.Instance && m.mayInheritTasks
	m.mayInheritTasks = known && (m.logView.hasMajority || idle)
	m.role = interimOwner
	m.ownedSince = now
	m.predecessor = predecessorMayAct
	m.setPredecessorWaits(now, m.opt.formerSendPeriod())
}

// setPredecessorWaits sets the time from which on inventories count, and the time at which
// the tasks have ended that no inventory shows.
func (m *Machine) setPredecessorWaits(now, quiet time.Duration) {
	m.minInventoryTime = now + quiet
	m.unreachedTasksUntil = now
	if m.predecessor == predecessorMayAct {
		m.unreachedTasksUntil = now + m.opt.successorWait()
	}
}

// startSlots lets slots be granted once the former owner can't grant any more.
func (m *Machine) startSlots(now time.Duration) []Action {
	ended := m.ownedSince
	if m.predecessor == predecessorMayAct {
		ended += m.opt.AuthorityPeriod
	}
	if m.slotsStarted || now < ended {
		return nil
	}
	m.slotsStarted = true
	quiet := ended + m.opt.SlotLeaseTTL + m.opt.Margin
	if m.predecessor == noPredecessor {
		quiet = now
	}
	return []Action{StartSlots{Term: m.term, QuietUntil: quiet}}
}

// startTasks lets tasks be started, and lifts the limit when it may.
func (m *Machine) startTasks(now time.Duration, held bool) []Action {
	if now < m.minInventoryTime {
		return nil
	}
	m.raiseMinInventoryTime(now, held)
	ask, pending, hidden, all := m.leases.dueInventories(now, m.minInventoryTime)
	if m.reliesOnMajority || (pending && m.predecessor != noPredecessor) || (!all && now < m.unreachedTasksUntil) {
		return ask
	}
	full := held && m.mayRelyOnMajority(now, hidden, all)
	limited := !full && (hidden || !m.formerOwnersExpired(now))
	if m.role == interimOwner {
		full = full && m.mayInheritTasks
		limited = !full
	}
	changed := !m.tasksStarted || limited != m.isLimited
	m.tasksStarted = true
	m.isLimited = limited
	if m.role == logOwner && !m.reliesOnMajority {
		m.mayInheritTasks = false
	}
	if full {
		m.reliesOnMajority = true
		m.nextHeartbeatAt = now
	}
	if !changed {
		return ask
	}
	return append(ask, StartOwning{Term: m.term, Limited: limited})
}

// raiseMinInventoryTime asks for inventories again after a majority was reached late. A
// former owner without the log may have started tasks until then.
func (m *Machine) raiseMinInventoryTime(now time.Duration, held bool) {
	if m.predecessor == noPredecessor || m.reliesOnMajority || !held {
		return
	}
	for _, wait := range []time.Duration{m.opt.formerSendPeriod(), m.opt.successorWait()} {
		since := m.majoritySince + wait
		if m.minInventoryTime < since && now >= since {
			m.minInventoryTime = since
		}
	}
}

// mayRelyOnMajority reports whether the tasks of all former owners are known or ended.
func (m *Machine) mayRelyOnMajority(now time.Duration, hidden, all bool) bool {
	switch {
	case m.predecessor == noPredecessor:
		return true
	case hidden:
		return false
	case m.predecessor == predecessorReleased && all:
		return true
	case all:
		// A former owner without the log stopped when it lost the majority.
		return now >= max(m.ownedSince, m.majoritySince)+m.opt.formerSendPeriod()
	}
	return now >= max(m.ownedSince, m.majoritySince)+m.opt.successorWait()
}

// formerOwnersExpired reports whether no former owner can have authority any more. Others
// know the time of the claim only as exactly as they read the log.
func (m *Machine) formerOwnersExpired(now time.Duration) bool {
	return m.predecessor == noPredecessor || now >= m.ownedSince+m.opt.IsolationLimit+m.opt.successorWait()+m.opt.HeartbeatTimeout
}
