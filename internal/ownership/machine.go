package ownership

import (
	"math/rand/v2"
	"time"

	"gypsumwinch/internal/records"
)

// minTime is a time before every other.
const minTime = time.Duration(-1 << 62)

// role is the way in which an instance owns or seeks to own a data centre.
type role int

const (
	// follower doesn't own.
	follower role = iota
	// logOwner has read its own claim as the one in force.
	logOwner
	// candidate seeks leases on a majority of the workers without the log.
	candidate
	// interimOwner holds such a majority and owns without the log.
	interimOwner
)

// predecessor tells what is known about the owner before a claim.
type predecessor int

const (
	// predecessorMayAct may still have authority or leases.
	predecessorMayAct predecessor = iota
	// predecessorReleased has stopped before the claim was written.
	predecessorReleased
	// noPredecessor means that no instance ever owned the data centre.
	noPredecessor
)

// Machine decides about the ownership of one data centre for one instance.
type Machine struct {
	opt     Options
	rng     *rand.Rand
	logView logView
	leases  leases

	// endReadSentAt is when the last read that reached the end was sent, and readAt
	// when it was answered. upSince is when such reads began to succeed without
	// a gap.
	endReadSentAt     time.Duration
	endReadAnsweredAt time.Duration
	logReachableSince time.Duration
	startedAt         time.Duration
	hasStarted        bool
	isShuttingDown    bool
	// logTime is the log's time of the last record, read at logTimeAt.
	logTime       time.Time
	logTimeReadAt time.Duration

	// isLogUnreachable is true if the last answer to a read was a failure. A log that
	// answers late is not out of reach: a later claim may be on it.
	isLogUnreachable bool

	// maxTerm is the highest term heard of, from log, peers and workers.
	maxTerm   int64
	peerOwner Owner

	// term is the term with which the instance acts, leaseTerm the one in its
	// requests to workers. The latter grows when a worker has seen a higher
	// round of the same claim.
	term        int64
	leaseTerm   int64
	role        role
	predecessor predecessor
	ownedSince  time.Duration
	// isClaimConfirmed is true once a read reached the end after the claim.
	isClaimConfirmed bool
	// majoritySince is since when a majority is held, never if it isn't.
	majoritySince time.Duration
	// reliesOnMajority means that the instance stops when it loses the majority, and that
	// tasks of former owners are known or ended.
	reliesOnMajority bool
	slotsStarted     bool
	tasksStarted     bool
	isLimited        bool
	// minInventoryTime is the time before which an inventory says too little.
	minInventoryTime time.Duration
	// unreachedTasksUntil is when tasks have ended on workers that are out of reach.
	// Before, tasks start only if every worker said what runs there.
	unreachedTasksUntil time.Duration

	// mayInheritTasks means that the tasks of former owners may be taken over without
	// the log: the last owner known stops when it loses the majority.
	mayInheritTasks bool

	// ownerLastSeen is when the last sign of the owner was read on the log.
	ownerLastSeen time.Duration
	nextClaimAt   time.Duration
	noClaimBefore time.Duration
	nextAttemptAt time.Duration
	candidacyEnd  time.Duration
	// isProbing is true while workers are asked, from probeFrom to probeEnd, who
	// holds their leases: first a sample, then all. asked holds those that have
	// not answered and free those that nobody holds.
	isProbing        bool
	isProbingAll     bool
	probeStart       time.Duration
	probeEnd         time.Duration
	unansweredProbes map[string]bool
	freeWorkers      map[string]bool
	nextHeartbeatAt  time.Duration
	pendingRelease   *records.Release
	nextReleaseAt    time.Duration
}

// New returns a Machine that knows nothing.
func New(opt Options) *Machine {
	m := &Machine{
		opt:               opt.withDefaults(),
		rng:               rand.New(rand.NewPCG(opt.Seed, 0x6f776e)),
		logView:           newLogView(opt.DataCentre),
		endReadSentAt:     minTime,
		endReadAnsweredAt: minTime,
		majoritySince:     minTime,
		maxTerm:           NoTerm,
		peerOwner:         Owner{Term: NoTerm},
		nextClaimAt:       minTime,
	}
	m.leases = newLeases(&m.opt)
	m.resetOwnership()
	return m
}

// resetOwnership forgets the ownership.
func (m *Machine) resetOwnership() {
	m.term = NoTerm
	m.leaseTerm = NoTerm
	m.role = follower
	m.isClaimConfirmed = false
	m.reliesOnMajority = false
	m.slotsStarted = false
	m.tasksStarted = false
	m.isLimited = false
	m.isProbing = false
	m.majoritySince = minTime
	m.leases.reset()
}

// Owner returns the owner that the instance knows.
func (m *Machine) Owner() Owner {
	if m.role == interimOwner || m.role == logOwner {
		return Owner{Term: m.term, Instance: m.opt.Instance, Addr: m.opt.Addr}
	}
	logged := Owner{Term: MakeTerm(m.logView.claimOffset, 0), Instance: m.logView.instance, Addr: m.logView.addr}
	if m.peerOwner.Term > logged.Term {
		return m.peerOwner
	}
	if m.logView.isReleased || m.logView.instance == m.opt.Instance {
		return Owner{Term: NoTerm}
	}
	return logged
}

// Authority returns what the instance may do at now. It is to be called at the
// moment of sending.
func (m *Machine) Authority(now time.Duration) Authority {
	a := Authority{Term: m.term, ClaimOffset: ClaimOffset(m.term), Limited: m.isLimited, OwnedSince: m.ownedSince}
	a.ExpiresAt = m.authorityEnd()
	valid := now < a.ExpiresAt
	a.MayStartTasks = valid && m.tasksStarted
	a.MayGrantSlots = valid && m.slotsStarted
	return a
}

// MayLease reports whether a lease request with the term may still be sent. It
// is to be called at the moment of sending, since a late renewal would keep
// tasks alive that a successor considers ended.
func (m *Machine) MayLease(now time.Duration, term int64) bool {
	if term < m.term || term > m.leaseTerm {
		return false
	}
	switch m.role {
	case candidate:
		return now < m.candidacyEnd
	case logOwner, interimOwner:
		return now < m.authorityEnd()
	}
	return false
}

// authorityEnd returns when the authority ends, whether or not it has begun.
func (m *Machine) authorityEnd() time.Duration {
	isolated := min(m.leases.majorityUntil, m.isolationEnd())
	switch m.role {
	case interimOwner:
		return isolated
	case logOwner:
		fresh := m.endReadSentAt + m.readValidity()
		if !m.isClaimConfirmed {
			return minTime
		}
		if !m.reliesOnMajority {
			return fresh
		}
		shared := min(fresh, m.leases.majorityUntil+m.readValidity())
		if !m.isLogUnreachable {
			// Leases prove nothing at workers that refuse nobody, so a read that
			// is still under way is waited for.
			return shared
		}
		return max(shared, isolated)
	}
	return minTime
}

// readValidity is how long after its sending a read shows that there is no later claim.
func (m *Machine) readValidity() time.Duration { return m.opt.AuthorityPeriod - m.opt.Margin }

// lastLogContact is when the log was last read to its end, at the earliest the start.
func (m *Machine) lastLogContact() time.Duration { return max(m.endReadSentAt, m.startedAt) }

// isolationEnd is when the instance may no longer lease workers without the log.
// If the last owner known had no majority, it starts the tasks of former owners
// when the isolation limit has passed since its claim, so that nobody may keep
// them alive for longer.
func (m *Machine) isolationEnd() time.Duration {
	end := m.lastLogContact() + m.opt.IsolationLimit
	v := &m.logView
	if !v.isClaimKnown || v.claimOffset == records.NoTerm || v.hasMajority || v.instance == m.opt.Instance {
		return end
	}
	if v.claimTime.IsZero() {
		return minTime
	}
	return min(end, m.logTimeReadAt-m.logTime.Sub(v.claimTime)+m.opt.IsolationLimit)
}

// isLogCurrent reports whether the log was read to its end just now.
func (m *Machine) isLogCurrent(now time.Duration) bool { return now < m.endReadSentAt+m.readValidity() }

// Apply handles an event and returns what is to be done.
func (m *Machine) Apply(now time.Duration, event Event) []Action {
	if !m.hasStarted {
		m.hasStarted = true
		m.startedAt = now
		m.nextAttemptAt = now + m.opt.HeartbeatTimeout + m.jitter(m.opt.ClaimJitter)
	}
	out := m.expire(now)
	switch e := event.(type) {
	case LogRecord:
		out = append(out, m.applyRecord(now, e)...)
	case LogRead:
		out = append(out, m.applyRead(now, e)...)
	case LogUnreachable:
		m.isLogUnreachable = true
	case AppendResult:
	case LeaseResult:
		out = append(out, m.applyLeaseResult(now, e)...)
	case RosterChanged:
		m.leases.setRoster(now, e.Workers)
	case WorkerInventory:
		if w := m.leases.workers[e.Worker]; w != nil {
			w.inventoryAsOf = max(w.inventoryAsOf, e.SentAt)
		}
		out = append(out, m.applyProbeAnswer(now, e)...)
	case PeerOwner:
		out = append(out, m.applyPeerOwner(now, e)...)
	case Shutdown:
		out = append(out, m.shutdown(now)...)
	case Tick:
		out = append(out, m.tick(now)...)
	}
	m.leases.updateMajority(now)
	return append(out, m.progress(now, event)...)
}

func (m *Machine) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(limit)))
}

// expire ends what has lapsed since the last event, before the event is used.
func (m *Machine) expire(now time.Duration) []Action {
	m.leases.updateMajority(now)
	held := m.leases.majorityUntil > now
	if !held {
		m.majoritySince = minTime
	}
	switch {
	case m.role == interimOwner && now >= m.authorityEnd():
		return m.stopOwning(now, "leases on a majority of the workers lapsed")
	case m.role == logOwner && m.reliesOnMajority && !held && now >= m.leases.majorityUntil+m.readValidity():
		return m.stopOwning(now, "leases on a majority of the workers lapsed")
	case m.role == logOwner && m.reliesOnMajority && now >= m.isolationEnd():
		return m.stopOwning(now, "isolation limit passed")
	case m.role == logOwner && !m.reliesOnMajority && now >= m.lastLogContact()+m.opt.HeartbeatTimeout:
		out := m.stopOwning(now, "log out of reach")
		// Its leases keep others out, so it is the one to go on without the log.
		m.nextAttemptAt = now + m.jitter(m.opt.ClaimJitter)
		return out
	case m.role == candidate && now >= m.candidacyEnd && !held:
		m.abandonAttempt(now)
	case m.isProbing && now >= m.probeEnd:
		if m.isProbingAll || len(m.freeWorkers) == 0 || now >= m.probeEnd+m.opt.Margin {
			m.abandonAttempt(now)
			m.nextAttemptAt = now + m.opt.Margin + m.jitter(m.opt.ClaimJitter)
			break
		}
		return m.probeWorkers(now, m.leases.currentWorkers())
	}
	return nil
}

// stopOwning ends the ownership. A claim that ends by itself is released on the log,
// so that a VM which reaches more workers can follow at once.
func (m *Machine) stopOwning(now time.Duration, reason string) []Action {
	out := []Action{StopOwning{Term: m.term, Reason: reason}}
	if m.logView.claimOffset == ClaimOffset(m.term) && m.logView.instance == m.opt.Instance && !m.logView.isReleased {
		m.pendingRelease = &records.Release{DataCentre: m.opt.DataCentre, Instance: m.opt.Instance, Term: m.logView.claimOffset}
		m.nextReleaseAt = now
	}
	m.resetOwnership()
	m.noClaimBefore = now + m.opt.HeartbeatTimeout + m.jitter(m.opt.HeartbeatTimeout)
	m.nextAttemptAt = now + m.attemptBackoff()
	return out
}

// attemptBackoff is the time between two attempts to take over without the log. Leases
// of a failed attempt lapse before the next, so that two instances don't block
// each other for ever. It is below the task lease, so that the second attempt
// comes before the tasks end whose workers the first one has leased.
func (m *Machine) attemptBackoff() time.Duration {
	return m.opt.LeaseTTL + m.opt.Margin + m.jitter(m.opt.LeaseTTL)
}

func (m *Machine) abandonAttempt(now time.Duration) {
	m.resetOwnership()
	m.nextAttemptAt = now + m.attemptBackoff()
}

// applyPeerOwner notes what a peer says about the owner.
func (m *Machine) applyPeerOwner(now time.Duration, e PeerOwner) []Action {
	if e.Term > m.peerOwner.Term && e.Instance != m.opt.Instance {
		m.peerOwner = Owner(e)
	}
	return m.observeTerm(now, e.Term, "a peer knows a later claim")
}

// observeTerm notes a term and ends the ownership if it is based on a later claim.
// A later round of the same claim needs the majority and so ends it by itself.
func (m *Machine) observeTerm(now time.Duration, term int64, reason string) []Action {
	m.maxTerm = max(m.maxTerm, term)
	if m.role == follower || ClaimOffset(term) <= ClaimOffset(m.term) {
		return nil
	}
	if m.role == candidate {
		m.abandonAttempt(now)
		return nil
	}
	return m.stopOwning(now, reason)
}

// shutdown gives up the ownership for good.
func (m *Machine) shutdown(now time.Duration) []Action {
	m.isShuttingDown = true
	if m.role == candidate || m.role == follower {
		m.resetOwnership()
		return nil
	}
	handOver := m.role == logOwner && m.isLogCurrent(now)
	var give []Action
	for _, id := range m.leases.workerIDs {
		if handOver && m.leases.workers[id].wasGranted {
			give = append(give, ReleaseLease{Worker: id, Term: m.leaseTerm})
		}
	}
	out := append(m.stopOwning(now, "shutdown"), give...)
	return append(out, m.tick(now)...)
}
