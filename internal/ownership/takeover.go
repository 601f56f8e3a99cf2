package ownership

import "time"

// candidacyTimeout is how long an attempt to lease a majority without the log
// may take. Workers respond within milliseconds.
const candidacyTimeout = 2 * time.Second

// probeSampleSize is the number of workers that an instance without the log
// probes before it probes all. One whose lease is held shows that there is an
// owner.
const probeSampleSize = 3

// maxRound is the highest number of takeovers without the log that a term can
// count.
const maxRound = 1<<roundBits - 1

// tick returns the claims, heartbeats, releases, probes and lease requests
// that are due.
func (m *Machine) tick(now time.Duration) []Action {
	out := m.claimIfDue(now)
	out = append(out, m.heartbeatIfDue(now)...)
	out = append(out, m.releaseIfDue(now)...)
	out = append(out, m.startAttempt(now)...)
	return append(out, m.requestLeases(now)...)
}

// requestLeases returns the lease requests that are due.
func (m *Machine) requestLeases(now time.Duration) []Action {
	if m.term == NoTerm || !m.MayLease(now, m.leaseTerm) {
		return nil
	}
	// Until a requested inventory is overdue, it is requested every Margin.
	overdue := m.opt.LeaseTTL
	renewable := func(w *workerLease) bool {
		// The lease on a worker that does not report what runs on it is left to
		// expire, since renewals would keep its tasks running.
		return w.inventoryAsOf >= m.minInventoryTime || w.inventoryRequestedAt < m.minInventoryTime || now < w.inventoryRequestedSince+overdue
	}
	return m.leases.dueRequests(now, m.leaseTerm, m.rng, renewable)
}

// startAttempt begins a takeover without the log. Workers are probed without
// a lease request, since one would keep tasks running on workers that the
// owner cannot reach and whose tasks it counts as ended.
func (m *Machine) startAttempt(now time.Duration) []Action {
	isLogSilent := now >= m.lastLogContact()+m.opt.HeartbeatTimeout
	if m.isShuttingDown || m.role != follower || !isLogSilent || now < m.nextAttemptAt || m.isProbing || now >= m.isolationEnd() {
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

// applyProbeResponse handles the response to a probe. In the sample, one lease
// that is held shows that there is an owner. Of all workers, a majority must
// be free: if an owner holds a majority, no candidate then sends lease
// requests that would keep the owner's tasks running.
func (m *Machine) applyProbeResponse(now time.Duration, e WorkerInventory) []Action {
	m.maxTerm = max(m.maxTerm, e.Term)
	if !m.isProbing || e.SentAt < m.probeStart || !m.unansweredProbes[e.Worker] {
		return nil
	}
	delete(m.unansweredProbes, e.Worker)
	isHeld := e.HeldBy != "" && e.HeldBy != m.opt.Instance && e.RemainingTTL > 0
	switch {
	case !isHeld:
		m.freeWorkers[e.Worker] = true
	case !m.isProbingAll:
		m.abandonAttempt(now)
		// The owner may fail at any time, so workers are probed again as soon
		// as this lease can have expired.
		remaining := min(max(e.RemainingTTL, m.opt.Margin), m.opt.LeaseTTL)
		m.nextAttemptAt = now + remaining + m.jitter(m.opt.ClaimJitter)
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

// applyLeaseResult handles the response of a worker to a lease request.
func (m *Machine) applyLeaseResult(now time.Duration, e LeaseResult) []Action {
	if m.role == follower || e.RequestTerm < m.term {
		m.maxTerm = max(m.maxTerm, e.Term)
		return nil
	}
	isHolder := e.Granted && e.HeldBy == m.opt.Instance
	if isHolder {
		m.leases.recordGrant(now, e.SentAt, e.Worker)
	} else {
		m.leases.recordRefusal(now, e.Worker, e.RemainingTTL)
	}
	out := m.observeTerm(now, e.Term, "a worker reports a later claim")
	if m.role != follower && e.Term > m.leaseTerm && e.Term&maxRound < maxRound {
		m.leaseTerm = e.Term + 1
	}
	return out
}

// startCandidacy starts to request leases from all workers, after probes
// showed that a majority is free.
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

// progress starts what time and leases permit. Inventories are evaluated on
// ticks and reads only, since lease responses are frequent.
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

// becomeInterimOwner takes over without the log, on a majority of the
// workers. The tasks of the last owner that the log showed may be inherited
// if that owner stops when it loses the majority, or if it was this instance
// and started nothing.
func (m *Machine) becomeInterimOwner(now time.Duration) {
	isClaimCurrent := m.logView.isClaimKnown && m.logView.claimOffset == ClaimOffset(m.term)
	wasOwnIdleClaim := m.logView.instance == m.opt.Instance && m.mayInheritTasks
	m.mayInheritTasks = isClaimCurrent && (m.logView.hasMajority || wasOwnIdleClaim)
	m.role = interimOwner
	m.ownedSince = now
	m.predecessor = predecessorMayAct
	m.setPredecessorWaits(now, m.opt.formerSendPeriod())
}

// setPredecessorWaits sets the time from which on inventories count, which is
// inventoryWait from now, and the time at which the tasks have ended that no
// inventory shows.
func (m *Machine) setPredecessorWaits(now, inventoryWait time.Duration) {
	m.minInventoryTime = now + inventoryWait
	m.unreachedTasksUntil = now
	if m.predecessor == predecessorMayAct {
		m.unreachedTasksUntil = now + m.opt.successorWait()
	}
}

// startSlots allows slots to be granted once the former owner cannot grant
// any more.
func (m *Machine) startSlots(now time.Duration) []Action {
	formerEnd := m.ownedSince
	if m.predecessor == predecessorMayAct {
		formerEnd += m.opt.AuthorityPeriod
	}
	if m.slotsStarted || now < formerEnd {
		return nil
	}
	m.slotsStarted = true
	unknownLeasesUntil := formerEnd + m.opt.SlotLeaseTTL + m.opt.Margin
	if m.predecessor == noPredecessor {
		unknownLeasesUntil = now
	}
	return []Action{StartSlots{Term: m.term, QuietUntil: unknownLeasesUntil}}
}

// startTasks allows tasks to be started, and ends the limit on tasks accepted
// before the claim when that is safe.
func (m *Machine) startTasks(now time.Duration, held bool) []Action {
	if now < m.minInventoryTime {
		return nil
	}
	m.raiseMinInventoryTime(now, held)
	requests, isPending, hasUnknownTasks, isComplete := m.leases.dueInventories(now, m.minInventoryTime)
	if m.reliesOnMajority || (isPending && m.predecessor != noPredecessor) || (!isComplete && now < m.unreachedTasksUntil) {
		return requests
	}
	relies := held && m.mayRelyOnMajority(now, hasUnknownTasks, isComplete)
	isLimited := !relies && (hasUnknownTasks || !m.formerOwnersExpired(now))
	if m.role == interimOwner {
		relies = relies && m.mayInheritTasks
		isLimited = !relies
	}
	hasChanged := !m.tasksStarted || isLimited != m.isLimited
	m.tasksStarted = true
	m.isLimited = isLimited
	if m.role == logOwner && !m.reliesOnMajority {
		m.mayInheritTasks = false
	}
	if relies {
		m.reliesOnMajority = true
		m.nextHeartbeatAt = now
	}
	if !hasChanged {
		return requests
	}
	return append(requests, StartOwning{Term: m.term, Limited: isLimited})
}

// raiseMinInventoryTime causes new inventory requests after a majority was
// reached late. A former owner without the log may have started tasks until
// then.
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

// mayRelyOnMajority reports whether the tasks of all former owners are known
// or ended.
func (m *Machine) mayRelyOnMajority(now time.Duration, hasUnknownTasks, isComplete bool) bool {
	switch {
	case m.predecessor == noPredecessor:
		return true
	case hasUnknownTasks:
		return false
	case m.predecessor == predecessorReleased && isComplete:
		return true
	case isComplete:
		// A former owner without the log stopped when it lost the majority.
		return now >= max(m.ownedSince, m.majoritySince)+m.opt.formerSendPeriod()
	}
	return now >= max(m.ownedSince, m.majoritySince)+m.opt.successorWait()
}

// formerOwnersExpired reports whether no former owner can have authority any
// more. Other VMs know the time of the claim only as exactly as they read the
// log.
func (m *Machine) formerOwnersExpired(now time.Duration) bool {
	return m.predecessor == noPredecessor || now >= m.ownedSince+m.opt.IsolationLimit+m.opt.successorWait()+m.opt.HeartbeatTimeout
}
