package ownership

import "time"

// candidacy is how long an attempt to lease a majority without the log may
// take. Workers answer within milliseconds.
const candidacy = 2 * time.Second

// probes is the number of workers that an instance without the log asks before
// it asks all. One that is held shows that there is an owner.
const probes = 3

// maxRound is the last takeover without the log that a term can count.
const maxRound = 1<<roundBits - 1

// tick asks for what is due.
func (m *Machine) tick(now time.Duration) []Action {
	out := m.claim(now)
	out = append(out, m.heartbeat(now)...)
	out = append(out, m.releases(now)...)
	out = append(out, m.attempt(now)...)
	return append(out, m.lease(now)...)
}

// lease asks workers for leases that are due.
func (m *Machine) lease(now time.Duration) []Action {
	if m.term == NoTerm || !m.MayLease(now, m.leaseTerm) {
		return nil
	}
	// An inventory is asked for every Margin until then.
	overdue := m.opt.LeaseTTL
	renewable := func(w *lease) bool {
		// A worker that doesn't say what runs on it is left to lapse, since
		// renewals would keep its tasks alive.
		return w.known >= m.floor || w.asked < m.floor || now < w.first+overdue
	}
	return m.leases.requests(now, m.leaseTerm, m.rng, renewable)
}

// attempt begins a takeover without the log. Workers are asked without a lease
// request, since one would keep tasks alive on workers that the owner can't reach
// and counts as ended.
func (m *Machine) attempt(now time.Duration) []Action {
	silent := now >= m.lastLog()+m.opt.HeartbeatTimeout
	if m.closing || m.phase != follower || !silent || now < m.attemptAt || m.probing || now >= m.isolationEnd() {
		return nil
	}
	workers := m.leases.current()
	if m.maxTerm == NoTerm || m.maxTerm&maxRound == maxRound || len(workers) == 0 {
		return nil
	}
	sample := make([]string, 0, probes)
	for _, i := range m.rng.Perm(len(workers))[:min(probes, len(workers))] {
		sample = append(sample, workers[i])
	}
	out := m.probe(now, sample)
	m.probeAll = false
	return out
}

// probe asks workers who holds their leases.
func (m *Machine) probe(now time.Duration, workers []string) []Action {
	m.probing = true
	m.probeAll = true
	m.probeFrom = now
	m.probeEnd = now + m.opt.Margin
	m.asked = map[string]bool{}
	m.free = map[string]bool{}
	out := make([]Action, 0, len(workers))
	for _, w := range workers {
		m.asked[w] = true
		out = append(out, AskInventory{Worker: w})
	}
	return out
}

// probed handles the answer to a probe. In the sample, one lease that is held
// shows that there is an owner. Of all workers, a majority must be free: an owner
// that holds a majority then has none of its tasks kept alive by a candidate.
func (m *Machine) probed(now time.Duration, e WorkerInventory) []Action {
	m.maxTerm = max(m.maxTerm, e.Term)
	if !m.probing || e.SentAt < m.probeFrom || !m.asked[e.Worker] {
		return nil
	}
	delete(m.asked, e.Worker)
	held := e.HeldBy != "" && e.HeldBy != m.opt.Instance && e.RemainingTTL > 0
	switch {
	case !held:
		m.free[e.Worker] = true
	case !m.probeAll:
		m.abandon(now)
		// The owner may die at any time, so workers are asked again as soon as
		// this lease can have lapsed.
		rest := min(max(e.RemainingTTL, m.opt.Margin), m.opt.LeaseTTL)
		m.attemptAt = now + rest + m.jitter(m.opt.ClaimJitter)
		return nil
	}
	switch {
	case m.probeAll && m.leases.mostOf(m.free):
		m.seek(now)
	case len(m.asked) > 0:
	case m.probeAll:
		m.abandon(now)
		m.attemptAt = now + m.opt.RenewInterval + m.jitter(m.opt.ClaimJitter)
	default:
		return m.probe(now, m.leases.current())
	}
	return nil
}

// answer handles the answer of a worker to a lease request.
func (m *Machine) answer(now time.Duration, e LeaseResult) []Action {
	if m.phase == follower || e.RequestTerm < m.term {
		m.maxTerm = max(m.maxTerm, e.Term)
		return nil
	}
	mine := e.Granted && e.HeldBy == m.opt.Instance
	if mine {
		m.leases.granted(now, e.SentAt, e.Worker)
	} else {
		m.leases.refused(now, e.Worker, e.RemainingTTL)
	}
	out := m.sawTerm(now, e.Term, "a worker knows a later claim")
	if m.phase != follower && e.Term > m.leaseTerm && e.Term&maxRound < maxRound {
		m.leaseTerm = e.Term + 1
	}
	return out
}

// seek asks all workers for leases, after probes showed that most are free.
func (m *Machine) seek(now time.Duration) {
	if m.maxTerm&maxRound == maxRound {
		m.abandon(now)
		return
	}
	m.probing = false
	m.phase = candidate
	m.leaseTerm = m.maxTerm + 1
	m.term = m.leaseTerm
	m.giveUpAt = now + candidacy
}

// progress moves on what time and leases allow. Workers are looked through on
// ticks and reads only, since lease answers are frequent.
func (m *Machine) progress(now time.Duration, event Event) []Action {
	held := m.leases.until > now
	if !held {
		m.majSince = never
	} else if m.majSince == never {
		m.majSince = now
	}
	if m.phase == candidate && held && len(m.leases.current()) > 0 {
		m.depute(now)
	}
	if (m.phase != deputy && m.phase != claimant) || now >= m.until() {
		return nil
	}
	out := m.startSlots(now)
	switch event.(type) {
	case Tick, LogRead:
		out = append(out, m.startTasks(now, held)...)
	}
	return out
}

// depute takes over without the log, on a majority of the workers. The tasks of
// the last owner that the log showed may be inherited if that owner stops when
// it loses the majority, or if it was this instance and started nothing.
func (m *Machine) depute(now time.Duration) {
	known := m.view.anchored && m.view.claim == ClaimOffset(m.term)
	idle := m.view.instance == m.opt.Instance && m.inherits
	m.inherits = known && (m.view.majority || idle)
	m.phase = deputy
	m.since = now
	m.before = crashed
	m.waitFor(now, m.opt.quietWait())
}

// waitFor sets the time from which on inventories count, and the time at which
// the tasks have ended that no inventory shows.
func (m *Machine) waitFor(now, quiet time.Duration) {
	m.floor = now + quiet
	m.unreachedUntil = now
	if m.before == crashed {
		m.unreachedUntil = now + m.opt.successorWait()
	}
}

// startSlots lets slots be granted once the former owner can't grant any more.
func (m *Machine) startSlots(now time.Duration) []Action {
	ended := m.since
	if m.before == crashed {
		ended += m.opt.AuthorityPeriod
	}
	if m.slots || now < ended {
		return nil
	}
	m.slots = true
	quiet := ended + m.opt.SlotLeaseTTL + m.opt.Margin
	if m.before == none {
		quiet = now
	}
	return []Action{StartSlots{Term: m.term, QuietUntil: quiet}}
}

// startTasks lets tasks be started, and lifts the limit when it may.
func (m *Machine) startTasks(now time.Duration, held bool) []Action {
	if now < m.floor {
		return nil
	}
	m.raiseFloor(now, held)
	ask, pending, hidden, all := m.leases.inventories(now, m.floor)
	if m.full || (pending && m.before != none) || (!all && now < m.unreachedUntil) {
		return ask
	}
	full := held && m.mayBeFull(now, hidden, all)
	limited := !full && (hidden || !m.limitPassed(now))
	if m.phase == deputy {
		full = full && m.inherits
		limited = !full
	}
	changed := !m.tasks || limited != m.limited
	m.tasks = true
	m.limited = limited
	if m.phase == claimant && !m.full {
		m.inherits = false
	}
	if full {
		m.full = true
		m.beatAt = now
	}
	if !changed {
		return ask
	}
	return append(ask, StartOwning{Term: m.term, Limited: limited})
}

// raiseFloor asks for inventories again after a majority was reached late. A
// former owner without the log may have started tasks until then.
func (m *Machine) raiseFloor(now time.Duration, held bool) {
	if m.before == none || m.full || !held {
		return
	}
	for _, wait := range []time.Duration{m.opt.quietWait(), m.opt.successorWait()} {
		since := m.majSince + wait
		if m.floor < since && now >= since {
			m.floor = since
		}
	}
}

// mayBeFull reports whether the tasks of all former owners are known or ended.
func (m *Machine) mayBeFull(now time.Duration, hidden, all bool) bool {
	switch {
	case m.before == none:
		return true
	case hidden:
		return false
	case m.before == released && all:
		return true
	case all:
		// A former owner without the log stopped when it lost the majority.
		return now >= max(m.since, m.majSince)+m.opt.quietWait()
	}
	return now >= max(m.since, m.majSince)+m.opt.successorWait()
}

// limitPassed reports whether no former owner can have authority any more. Others
// know the time of the claim only as exactly as they read the log.
func (m *Machine) limitPassed(now time.Duration) bool {
	return m.before == none || now >= m.since+m.opt.IsolationLimit+m.opt.successorWait()+m.opt.HeartbeatTimeout
}
