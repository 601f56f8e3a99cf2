package ownership

import (
	"time"

	"gypsumwinch/internal/records"
)

// applyRecord handles a record of stream "owners", as it is read: a claim in
// force changes the owner, after a heartbeat or release of the owner the
// next claim of this instance is planned anew. If records before it were
// dropped, an ownership ends.
func (m *Machine) applyRecord(now time.Duration, e LogRecord) []Action {
	old := m.logView
	change, gap := m.logView.apply(e)
	m.logTime = e.Time
	m.logTimeReadAt = now
	var out []Action
	if gap && m.role != follower {
		out = m.stopAfterGap(now)
	}
	switch change {
	case newClaim:
		out = append(out, m.applyClaim(now, old, e)...)
	case ownerHeartbeat, newRelease:
		m.ownerLastSeen = now
		m.nextClaimAt = minTime
	}
	return out
}

// stopAfterGap ends the ownership, or abandons the candidacy, when the log
// has dropped records before they were read, since a later claim may be
// among them.
func (m *Machine) stopAfterGap(now time.Duration) []Action {
	if m.role == candidate {
		m.abandonAttempt(now)
		return nil
	}
	return m.stopOwning(now, "records of the log were dropped before they were read")
}

// applyClaim handles a claim that has come into force. If it is the claim of
// this instance, which is not shutting down, the instance becomes the owner
// with its term; else it stops owning. old is the view of the log before the
// claim.
func (m *Machine) applyClaim(now time.Duration, old logView, e LogRecord) []Action {
	m.ownerLastSeen = now
	m.nextClaimAt = minTime
	m.pendingRelease = nil
	term := MakeTerm(m.logView.claimOffset, 0)
	m.maxTerm = max(m.maxTerm, term)
	isOwnClaim := m.logView.instance == m.opt.Instance && m.logView.claimOffset == e.Offset
	if !isOwnClaim || m.isShuttingDown {
		return m.stopSuperseded(now)
	}
	if m.role == interimOwner && m.reliesOnMajority && ClaimOffset(m.term) == old.claimOffset {
		// The majority has been held since before the claim, so this instance
		// inherits no tasks.
		m.role = logOwner
		m.term = term
		m.leaseTerm = term
		m.isClaimConfirmed = false
		return []Action{StartSlots{Term: term, QuietUntil: now}, StartOwning{Term: term}}
	}
	out := m.stopSuperseded(now)
	m.mayInheritTasks = old.isClaimKnown && old.hasMajority
	m.role = logOwner
	m.term = term
	m.leaseTerm = term
	m.ownedSince = now
	m.predecessor = m.classifyPredecessor(old)
	m.setPredecessorWaits(now, m.opt.predecessorSendPeriod())
	switch m.predecessor {
	case noPredecessor:
		m.setPredecessorWaits(now, 0)
	case predecessorReleased:
		// A start request that the predecessor sent just before its release
		// may be in flight.
		m.setPredecessorWaits(now, m.opt.Margin)
	}
	return out
}

// stopSuperseded ends the ownership, or abandons the candidacy, when a later
// claim is in force. applyClaim calls it for each claim that does not
// continue the ownership of this instance.
func (m *Machine) stopSuperseded(now time.Duration) []Action {
	switch m.role {
	case logOwner, interimOwner:
		return m.stopOwning(now, "a later claim is on the log")
	case candidate:
		m.abandonAttempt(now)
	}
	return nil
}

// classifyPredecessor returns what a claim of this instance has to wait for,
// when the claim comes into force. Without any earlier claim there was no
// owner, with or without the log, since a takeover without the log needs the
// term of an earlier claim. An owner that released while it held a majority
// is known to be the only one.
func (m *Machine) classifyPredecessor(old logView) predecessor {
	switch {
	case old.isClaimKnown && old.claimOffset == records.NoTerm && m.maxTerm <= m.term:
		return noPredecessor
	case old.isClaimKnown && old.isReleased && old.hasMajority:
		return predecessorReleased
	}
	return predecessorMayAct
}

// applyRead handles a LogRead. A read that did not reach the end of the
// log is ignored: a later claim may follow the records that it returned, so
// it proves nothing. A read that reached the end shows that there is no
// later claim. It extends the authority from the time when the read was
// sent, confirms a claim of this instance, postpones attempts to take over
// without the log, and marks the log as reachable. If it shows that records
// were dropped unread, an ownership ends. A read that was sent no later than
// the last read that took effect, or that ended before the records read so
// far, changes nothing else.
func (m *Machine) applyRead(now time.Duration, e LogRead) []Action {
	if !e.AtEnd {
		return nil
	}
	var out []Action
	if m.logView.applyEnd(e.NextOffset) && m.role != follower {
		out = m.stopAfterGap(now)
	}
	if e.SentAt <= m.endReadSentAt || e.NextOffset < m.logView.nextOffset {
		return out
	}
	if now >= m.endReadReturnedAt+m.readValidity() {
		m.logReachableSince = now
	}
	m.endReadSentAt = e.SentAt
	m.endReadReturnedAt = now
	m.isLogUnreachable = false
	m.nextAttemptAt = max(m.nextAttemptAt, now+m.opt.HeartbeatTimeout+m.jitter(m.opt.ClaimJitter))
	if m.role == logOwner {
		m.isClaimConfirmed = true
	}
	return out
}

// claimIfDue appends a claim when the log shows no owner or no recent record
// of it. An interim owner claims as soon as it can read the log again. It
// runs on each Tick.
func (m *Machine) claimIfDue(now time.Duration) []Action {
	isInterim := m.role == interimOwner
	if m.isShuttingDown || !m.isLogCurrent(now) || (!isInterim && (m.role != follower || now < m.noClaimBefore)) {
		return nil
	}
	base, due := m.claimBase(isInterim)
	if m.nextClaimAt == minTime {
		m.nextClaimAt = max(due, now)
		if !isInterim {
			m.nextClaimAt += m.jitter(m.claimJitter())
		}
	}
	if now < m.nextClaimAt || now < due {
		return nil
	}
	m.nextClaimAt = now + m.readValidity() + m.jitter(m.opt.ClaimJitter)
	return []Action{AppendClaim{Claim: records.Claim{
		DataCentre: m.opt.DataCentre,
		VM:         m.opt.VM,
		Instance:   m.opt.Instance,
		Addr:       m.opt.Addr,
		Base:       base,
	}}}
}

// isVacant reports whether the log shows that there is no owner to wait for.
// A claim is then due at once, after a short jitter.
func (m *Machine) isVacant() bool {
	if m.logView.isClaimKnown {
		return m.logView.claimOffset == records.NoTerm || m.logView.isReleased
	}
	return m.logView.lastRecordTime.IsZero()
}

// claimJitter is the bound of the random delay before the next claim.
// claimIfDue delays a claim by it, except that of an interim owner.
func (m *Machine) claimJitter() time.Duration {
	if m.isVacant() {
		return m.opt.VacantClaimJitter
	}
	return m.opt.ClaimJitter
}

// claimBase returns the base of the next claim and when it is due, for
// claimIfDue. A claim without a base, written while the claim in force is
// not known, is due only after baselessClaimSilence.
func (m *Machine) claimBase(isInterim bool) (base int64, due time.Duration) {
	switch {
	case isInterim || m.isVacant():
		return m.logView.claimOffset, m.logReachableSince
	case !m.logView.isClaimKnown:
		return records.NoTerm, max(m.ownerLastSeen, m.logReachableSince) + baselessClaimSilence
	}
	return m.logView.claimOffset, max(m.ownerLastSeen, m.logReachableSince) + m.opt.HeartbeatTimeout
}

// heartbeatIfDue appends a heartbeat, which keeps other VMs from claiming.
// It runs on each Tick and returns one every HeartbeatInterval while this
// instance is the log owner, its claim is confirmed (a read that returned the
// claim, or a later one, has reached the end of the log) and the log is current
// (a recent read has reached its end).
func (m *Machine) heartbeatIfDue(now time.Duration) []Action {
	if m.role != logOwner || !m.isClaimConfirmed || !m.isLogCurrent(now) || now < m.nextHeartbeatAt {
		return nil
	}
	m.nextHeartbeatAt = now + m.opt.HeartbeatInterval
	return []Action{AppendHeartbeat{Heartbeat: records.Heartbeat{
		DataCentre: m.opt.DataCentre,
		Instance:   m.opt.Instance,
		Term:       ClaimOffset(m.term),
		Majority:   m.reliesOnMajority,
	}}}
}

// releaseIfDue appends the release of an ended claim, and repeats it every
// Margin until the release is read on the log. It runs on each Tick and at
// shutdown.
func (m *Machine) releaseIfDue(now time.Duration) []Action {
	if m.pendingRelease == nil || now < m.nextReleaseAt || m.logView.claimOffset != m.pendingRelease.Term || m.logView.isReleased {
		return nil
	}
	m.nextReleaseAt = now + m.opt.Margin
	return []Action{AppendRelease{Release: *m.pendingRelease}}
}
