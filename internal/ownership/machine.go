package ownership

import (
	"math/rand/v2"
	"time"

	"gypsumwinch/internal/records"
)

// minTime is earlier than every time. A field with this value has no time:
// what it describes has not happened or is not planned.
const minTime = time.Duration(-1 << 62)

// role is how an instance owns a data centre or tries to own it.
type role int

const (
	// follower owns nothing.
	follower role = iota
	// logOwner has read its own claim as the one in force.
	logOwner
	// candidate requests leases on a majority of the workers without the log.
	candidate
	// interimOwner holds such a majority and owns without the log.
	interimOwner
)

// predecessor is what is known about the owner before a claim.
type predecessor int

const (
	// predecessorMayAct may still have authority or leases.
	predecessorMayAct predecessor = iota
	// predecessorReleased stopped before the claim was written.
	predecessorReleased
	// noPredecessor means that no instance ever owned the data centre.
	noPredecessor
)

// Machine decides about the ownership of one data centre for one instance. It
// is not safe for concurrent use. All times are on the monotonic clock of the
// instance, except those of type time.Time, which are timestamps of the log.
type Machine struct {
	opt     Options
	rng     *rand.Rand
	logView logView
	leases  leases

	// endReadSentAt and endReadReturnedAt are when the last read that reached
	// the end of the log was sent and returned. logReachableSince is when such
	// reads began to succeed without a gap.
	endReadSentAt     time.Duration
	endReadReturnedAt time.Duration
	logReachableSince time.Duration
	startedAt         time.Duration
	hasStarted        bool
	isShuttingDown    bool
	// logTime is the log's timestamp of the last record, which was read at
	// logTimeReadAt.
	logTime       time.Time
	logTimeReadAt time.Duration

	// isLogUnreachable is true from a failed read until a read reaches the end
	// of the log. A log that responds late is not unreachable: it may contain a
	// later claim.
	isLogUnreachable bool

	// maxTerm is the highest term seen on the log, from peers and from
	// workers.
	maxTerm   int64
	peerOwner Owner

	// term is the term with which the instance acts, leaseTerm the one in its
	// requests to workers. leaseTerm grows when a worker has received a higher
	// round of the same claim.
	term        int64
	leaseTerm   int64
	role        role
	predecessor predecessor
	ownedSince  time.Duration
	// isClaimConfirmed is true once the read that returned the claim, or a
	// later one, has reached the end of the log.
	isClaimConfirmed bool
	// majoritySince is when the instance began to hold leases on a majority of
	// the workers, minTime if it holds none.
	majoritySince time.Duration
	// reliesOnMajority means that the instance stops when it loses the
	// majority, and that the tasks of former owners are known or ended. Such
	// an owner may continue without the log.
	reliesOnMajority bool
	slotsStarted     bool
	tasksStarted     bool
	isLimited        bool
	// minInventoryTime is the earliest sending time of an inventory request
	// whose response counts. Former owners may start tasks before it.
	minInventoryTime time.Duration
	// unreachedTasksUntil is when tasks on unreachable workers have ended.
	// Before, tasks start only if every worker has reported what runs on it.
	unreachedTasksUntil time.Duration

	// mayInheritTasks means that the tasks of former owners may be taken over
	// without the log, since the last known owner stops when it loses the
	// majority.
	mayInheritTasks bool

	// ownerLastSeen is when the last claim, heartbeat or release of the owner
	// was read on the log.
	ownerLastSeen time.Duration
	nextClaimAt   time.Duration
	noClaimBefore time.Duration
	nextAttemptAt time.Duration
	candidacyEnd  time.Duration
	// isProbing is true while workers are asked, from probeStart to probeEnd,
	// who holds their leases: first a sample, then all (isProbingAll).
	// unansweredProbes contains the workers that have not responded,
	// freeWorkers those whose lease nobody else holds.
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

// New returns a Machine that knows no owner and no workers. The daemon
// creates one when it starts.
func New(opt Options) *Machine {
	m := &Machine{
		opt:               opt.withDefaults(),
		rng:               rand.New(rand.NewPCG(opt.Seed, 0x6f776e)),
		logView:           newLogView(opt.DataCentre),
		endReadSentAt:     minTime,
		endReadReturnedAt: minTime,
		majoritySince:     minTime,
		maxTerm:           NoTerm,
		peerOwner:         Owner{Term: NoTerm},
		nextClaimAt:       minTime,
	}
	m.leases = newLeases(&m.opt)
	m.resetOwnership()
	return m
}

// resetOwnership makes the instance a follower without a term or leases: in
// New, at shutdown, and when it stops owning or abandons an attempt.
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

// Owner returns the owner that the instance knows: itself, else the one with
// the higher term of the claim in force on the log and peerOwner, which peers
// report in heartbeats (event PeerOwner). The term is NoTerm if there is none
// of them, or if peerOwner is not later and the claim on the log is released or
// is one of this instance, which no longer owns the data centre. The daemon
// calls it after each event.
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

// Authority returns what the instance may do at now. Call it at the moment
// of sending. The daemon calls it before it starts tasks or grants slots,
// and for the status command.
func (m *Machine) Authority(now time.Duration) Authority {
	a := Authority{Term: m.term, ClaimOffset: ClaimOffset(m.term), Limited: m.isLimited, OwnedSince: m.ownedSince}
	a.ExpiresAt = m.authorityEnd()
	valid := now < a.ExpiresAt
	a.MayStartTasks = valid && m.tasksStarted
	a.MayGrantSlots = valid && m.slotsStarted
	return a
}

// MayLease reports whether a lease request with the term may still be sent.
// Call it at the moment of sending, since a late renewal would keep tasks
// running that a successor considers ended.
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
// It is computed after each event and for each call of Authority and
// MayLease.
//
// The authority of an interim owner ends with its majority or at
// isolationEnd. That of a log owner begins when its claim is confirmed, and
// lasts as long as the last read to the end of the log is valid. If it
// relies on its majority, its authority also ends readValidity after the
// loss of the majority, before a new interim owner acts, which waits for
// longer. While the log is unreachable, the authority of such a log owner
// lasts as long as that of an interim owner, if this is later.
func (m *Machine) authorityEnd() time.Duration {
	isolatedEnd := min(m.leases.majorityUntil, m.isolationEnd())
	switch m.role {
	case interimOwner:
		return isolatedEnd
	case logOwner:
		readEnd := m.endReadSentAt + m.readValidity()
		if !m.isClaimConfirmed {
			return minTime
		}
		if !m.reliesOnMajority {
			return readEnd
		}
		sharedEnd := min(readEnd, m.leases.majorityUntil+m.readValidity())
		if !m.isLogUnreachable {
			// Faulty workers grant a lease to any instance, also while this one
			// holds it. Leases on them don't prove that there is no later claim,
			// so authority does not extend beyond the validity of the last read
			// while the next one is in flight.
			return sharedEnd
		}
		return max(sharedEnd, isolatedEnd)
	}
	return minTime
}

// readValidity is how long after its sending a read proves that there is no
// later claim.
func (m *Machine) readValidity() time.Duration { return m.opt.AuthorityPeriod - m.opt.Margin }

// lastLogContact is when the last read that reached the end of the log was
// sent, or when the machine started if that is later.
func (m *Machine) lastLogContact() time.Duration { return max(m.endReadSentAt, m.startedAt) }

// isolationEnd returns when the isolation limit has passed. From then on an
// owner without the log has no authority, and no takeover without the log is
// attempted. The limit counts from lastLogContact. It counts from the claim
// in force, if that is earlier, when the claim is that of another instance
// without a majority. That owner starts inherited tasks some time after the
// limit has passed since its claim; see formerOwnersExpired. By then no
// other instance may keep these tasks running. If the time of the claim is
// not known, the limit counts as passed.
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

// isLogCurrent reports whether a recent read reached the end of the log.
func (m *Machine) isLogCurrent(now time.Duration) bool { return now < m.endReadSentAt+m.readValidity() }

// Apply handles an event and returns the actions to carry out. The daemon
// calls it for every event. First it ends what has expired, last it starts
// what leases and time permit. now must not decrease.
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
		out = append(out, m.applyProbeResponse(now, e)...)
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

// jitter returns a random delay below limit, for claims and attempts, so
// that instances do not act at the same time.
func (m *Machine) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(limit)))
}

// expire ends what has expired since the last event: the ownership, a
// candidacy or a probe of workers. It runs at the start of each Apply,
// before the event is handled.
//
// A log owner that relies on its majority stops readValidity after it has
// lost the majority, or when the isolation limit has passed. Another log
// owner stops when no read has reached the end of the log for
// HeartbeatTimeout.
//
// When the probe of a sample times out, all workers are probed if a worker
// of the sample has responded; its lease is free, since a response with a
// lease held by another instance ends the probe. The attempt is abandoned if
// none has responded, if all workers were being probed, or if the first
// event after probeEnd comes Margin late or later, as after a pause of the
// process, since the responses of the sample may be out of date then. The
// next attempt follows after Margin and a jitter.
func (m *Machine) expire(now time.Duration) []Action {
	m.leases.updateMajority(now)
	held := m.leases.majorityUntil > now
	if !held {
		m.majoritySince = minTime
	}
	switch {
	case m.role == interimOwner && now >= m.authorityEnd():
		return m.stopOwning(now, "leases on a majority of the workers expired")
	case m.role == logOwner && m.reliesOnMajority && !held && now >= m.leases.majorityUntil+m.readValidity():
		return m.stopOwning(now, "leases on a majority of the workers expired")
	case m.role == logOwner && m.reliesOnMajority && now >= m.isolationEnd():
		return m.stopOwning(now, "isolation limit passed")
	case m.role == logOwner && !m.reliesOnMajority && now >= m.lastLogContact()+m.opt.HeartbeatTimeout:
		out := m.stopOwning(now, "log unreachable")
		// The leases of this instance keep other VMs out, so it is the one to
		// take over without the log, without the usual backoff.
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

// stopOwning ends the ownership, when it expires, is superseded or is given
// up. If the claim of this instance is still in force, it is released on the
// log, so that a VM which reaches more workers can take over at once.
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

// attemptBackoff is the time between two attempts to take over without the
// log, after one was abandoned or an ownership has ended. Leases of a failed
// attempt expire before the next, so that two instances do not block each
// other indefinitely. It is below the task lease TTL, so that the second
// attempt comes before the end of the tasks on workers that the first one
// has leased.
func (m *Machine) attemptBackoff() time.Duration {
	return m.opt.LeaseTTL + m.opt.Margin + m.jitter(m.opt.LeaseTTL)
}

// abandonAttempt ends a candidacy or a probe of workers, when it times out,
// another owner is seen or the majority is not free. The next attempt
// follows after attemptBackoff unless the caller sets another time.
func (m *Machine) abandonAttempt(now time.Duration) {
	m.resetOwnership()
	m.nextAttemptAt = now + m.attemptBackoff()
}

// applyPeerOwner handles a PeerOwner event: it records the owner that a peer
// reports in a heartbeat, and ends the ownership if that owner has a later
// claim.
func (m *Machine) applyPeerOwner(now time.Duration, e PeerOwner) []Action {
	if e.Term > m.peerOwner.Term && e.Instance != m.opt.Instance {
		m.peerOwner = Owner(e)
	}
	return m.observeTerm(now, e.Term, "a peer reports a later claim")
}

// observeTerm records a term that a peer or a worker reports, and ends the
// ownership or candidacy if the term is based on a later claim. A later
// round of the same claim, that is, a later takeover without the log, needs
// no check: its owner holds the majority, so this instance loses it and
// stops.
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

// shutdown handles a Shutdown event: it gives up the ownership permanently.
// An owner with a claim and a current log releases its leases on workers,
// too, so that a successor can acquire them at once.
func (m *Machine) shutdown(now time.Duration) []Action {
	m.isShuttingDown = true
	if m.role == candidate || m.role == follower {
		m.resetOwnership()
		return nil
	}
	releasesLeases := m.role == logOwner && m.isLogCurrent(now)
	var releases []Action
	for _, id := range m.leases.workerIDs {
		if releasesLeases && m.leases.workers[id].wasGranted {
			releases = append(releases, ReleaseLease{Worker: id, Term: m.leaseTerm})
		}
	}
	out := append(m.stopOwning(now, "shutdown"), releases...)
	return append(out, m.tick(now)...)
}
