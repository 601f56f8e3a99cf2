package ownership

import (
	"time"

	"gypsumwinch/internal/records"
)

// record folds a record of stream "owners".
func (m *Machine) record(now time.Duration, e LogRecord) []Action {
	old := m.view
	change, lost := m.view.apply(e)
	m.logTime = e.Time
	m.logTimeAt = now
	var out []Action
	if lost && m.phase != follower {
		out = m.lostRecords(now)
	}
	switch change {
	case newClaim:
		out = append(out, m.claimed(now, old, e)...)
	case ownHeartbeat, newRelease:
		m.quietSince = now
		m.claimAt = never
	}
	return out
}

// lostRecords ends the ownership when the log has dropped records unread, since
// a later claim may be among them.
func (m *Machine) lostRecords(now time.Duration) []Action {
	if m.phase == candidate {
		m.abandon(now)
		return nil
	}
	return m.stop(now, "records of the log were dropped before they were read")
}

// claimed handles a claim that has come into force.
func (m *Machine) claimed(now time.Duration, old view, e LogRecord) []Action {
	m.quietSince = now
	m.claimAt = never
	m.release = nil
	term := MakeTerm(m.view.claim, 0)
	m.maxTerm = max(m.maxTerm, term)
	mine := m.view.instance == m.opt.Instance && m.view.claim == e.Offset
	if !mine || m.closing {
		return m.superseded(now)
	}
	if m.phase == deputy && m.full && ClaimOffset(m.term) == old.claim {
		// The majority is held since before the claim: nothing is inherited.
		m.phase = claimant
		m.term = term
		m.leaseTerm = term
		m.settled = false
		return []Action{StartSlots{Term: term, QuietUntil: now}, StartOwning{Term: term}}
	}
	out := m.superseded(now)
	m.inherits = old.anchored && old.majority
	m.phase = claimant
	m.term = term
	m.leaseTerm = term
	m.since = now
	m.before = m.judge(old)
	m.waitFor(now, m.opt.quietWait())
	switch m.before {
	case none:
		m.waitFor(now, 0)
	case released:
		// A start that the former owner sent just before may be in flight.
		m.waitFor(now, m.opt.Margin)
	}
	return out
}

// superseded ends the ownership when a later claim is in force.
func (m *Machine) superseded(now time.Duration) []Action {
	switch m.phase {
	case claimant, deputy:
		return m.stop(now, "a later claim is on the log")
	case candidate:
		m.abandon(now)
	}
	return nil
}

// judge tells what a claim has to wait for. Without any earlier claim there was
// no owner, with or without the log, since a takeover without the log needs the
// term of an earlier claim. An owner that released while it held a majority is
// known to be the only one.
func (m *Machine) judge(old view) predecessor {
	switch {
	case old.anchored && old.claim == records.NoTerm && m.maxTerm <= m.term:
		return none
	case old.anchored && old.released && old.majority:
		return released
	}
	return crashed
}

// read notes a successful read.
func (m *Machine) read(now time.Duration, e LogRead) []Action {
	if !e.AtEnd {
		return nil
	}
	var out []Action
	if m.view.end(e.NextOffset) && m.phase != follower {
		out = m.lostRecords(now)
	}
	if e.SentAt <= m.lastEnd || e.NextOffset < m.view.next {
		return out
	}
	if now >= m.readAt+m.fresh() {
		m.upSince = now
	}
	m.lastEnd = e.SentAt
	m.readAt = now
	m.unreachable = false
	m.attemptAt = max(m.attemptAt, now+m.opt.HeartbeatTimeout+m.jitter(m.opt.ClaimJitter))
	if m.phase == claimant {
		m.settled = true
	}
	return out
}

// claim asks for ownership on the log when there is no owner or it is silent.
func (m *Machine) claim(now time.Duration) []Action {
	rejoin := m.phase == deputy
	if m.closing || !m.logFresh(now) || (!rejoin && (m.phase != follower || now < m.notBefore)) {
		return nil
	}
	base, due := m.claimBase(rejoin)
	if m.claimAt == never {
		m.claimAt = max(due, now)
		if !rejoin {
			m.claimAt += m.jitter(m.claimJitter())
		}
	}
	if now < m.claimAt || now < due {
		return nil
	}
	m.claimAt = now + m.fresh() + m.jitter(m.opt.ClaimJitter)
	return []Action{AppendClaim{Claim: records.Claim{
		DataCentre: m.opt.DataCentre,
		VM:         m.opt.VM,
		Instance:   m.opt.Instance,
		Addr:       m.opt.Addr,
		Base:       base,
	}}}
}

// vacant reports whether the log shows that there is no owner to wait for.
func (m *Machine) vacant() bool {
	if m.view.anchored {
		return m.view.claim == records.NoTerm || m.view.released
	}
	return m.view.lastAny.IsZero()
}

func (m *Machine) claimJitter() time.Duration {
	if m.vacant() {
		return m.opt.VacantClaimJitter
	}
	return m.opt.ClaimJitter
}

// claimBase returns the base of the next claim and when it is due.
func (m *Machine) claimBase(rejoin bool) (base int64, due time.Duration) {
	switch {
	case rejoin || m.vacant():
		return m.view.claim, m.upSince
	case !m.view.anchored:
		return records.NoTerm, max(m.quietSince, m.upSince) + refoundAfter
	}
	return m.view.claim, max(m.quietSince, m.upSince) + m.opt.HeartbeatTimeout
}

// heartbeat keeps other VMs from claiming.
func (m *Machine) heartbeat(now time.Duration) []Action {
	if m.phase != claimant || !m.settled || !m.logFresh(now) || now < m.beatAt {
		return nil
	}
	m.beatAt = now + m.opt.HeartbeatInterval
	return []Action{AppendHeartbeat{Heartbeat: records.Heartbeat{
		DataCentre: m.opt.DataCentre,
		Instance:   m.opt.Instance,
		Term:       ClaimOffset(m.term),
		Majority:   m.full,
	}}}
}

// releases appends the release of an ended claim until it is read.
func (m *Machine) releases(now time.Duration) []Action {
	if m.release == nil || now < m.releaseAt || m.view.claim != m.release.Term || m.view.released {
		return nil
	}
	m.releaseAt = now + m.opt.Margin
	return []Action{AppendRelease{Release: *m.release}}
}
