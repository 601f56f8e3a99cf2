package ownership

import (
	"math/rand/v2"
	"time"

	"gypsumwinch/internal/records"
)

// never is a time before every other.
const never = time.Duration(-1 << 62)

// phase is the way in which an instance owns or seeks to own a data centre.
type phase int

const (
	// follower doesn't own.
	follower phase = iota
	// claimant has read its own claim as the one in force.
	claimant
	// candidate seeks leases on a majority of the workers without the log.
	candidate
	// deputy holds such a majority and owns without the log.
	deputy
)

// predecessor tells what is known about the owner before a claim.
type predecessor int

const (
	// crashed may still have authority or leases.
	crashed predecessor = iota
	// released has stopped before the claim was written.
	released
	// none means that no instance ever owned the data centre.
	none
)

// Machine decides about the ownership of one data centre for one instance.
type Machine struct {
	opt    Options
	rng    *rand.Rand
	view   view
	leases leases

	// lastEnd is when the last read that reached the end was sent, and readAt
	// when it was answered. upSince is when such reads began to succeed without
	// a gap.
	lastEnd time.Duration
	readAt  time.Duration
	upSince time.Duration
	born    time.Duration
	started bool
	closing bool
	// logTime is the log's time of the last record, read at logTimeAt.
	logTime   time.Time
	logTimeAt time.Duration

	// unreachable is true if the last answer to a read was a failure. A log that
	// answers late is not out of reach: a later claim may be on it.
	unreachable bool

	// maxTerm is the highest term heard of, from log, peers and workers.
	maxTerm int64
	peer    Owner

	// term is the term with which the instance acts, leaseTerm the one in its
	// requests to workers. The latter grows when a worker has seen a higher
	// round of the same claim.
	term      int64
	leaseTerm int64
	phase     phase
	before    predecessor
	since     time.Duration
	// settled is true once a read reached the end after the claim.
	settled bool
	// majSince is since when a majority is held, never if it isn't.
	majSince time.Duration
	// full means that the instance stops when it loses the majority, and that
	// tasks of former owners are known or ended.
	full    bool
	slots   bool
	tasks   bool
	limited bool
	// floor is the time before which an inventory says too little.
	floor time.Duration
	// unreachedUntil is when tasks have ended on workers that are out of reach.
	// Before, tasks start only if every worker said what runs there.
	unreachedUntil time.Duration

	// inherits means that the tasks of former owners may be taken over without
	// the log: the last owner known stops when it loses the majority.
	inherits bool

	// quietSince is when the last sign of the owner was read on the log.
	quietSince time.Duration
	claimAt    time.Duration
	notBefore  time.Duration
	attemptAt  time.Duration
	giveUpAt   time.Duration
	// probing is true while workers are asked, from probeFrom to probeEnd, who
	// holds their leases: first a sample, then all. asked holds those that have
	// not answered and free those that nobody holds.
	probing   bool
	probeAll  bool
	probeFrom time.Duration
	probeEnd  time.Duration
	asked     map[string]bool
	free      map[string]bool
	beatAt    time.Duration
	release   *records.Release
	releaseAt time.Duration
}

// New returns a Machine that knows nothing.
func New(opt Options) *Machine {
	m := &Machine{
		opt:      opt.withDefaults(),
		rng:      rand.New(rand.NewPCG(opt.Seed, 0x6f776e)),
		view:     newView(opt.DataCentre),
		lastEnd:  never,
		readAt:   never,
		majSince: never,
		maxTerm:  NoTerm,
		peer:     Owner{Term: NoTerm},
		claimAt:  never,
	}
	m.leases = newLeases(&m.opt)
	m.clear()
	return m
}

// clear forgets the ownership.
func (m *Machine) clear() {
	m.term = NoTerm
	m.leaseTerm = NoTerm
	m.phase = follower
	m.settled = false
	m.full = false
	m.slots = false
	m.tasks = false
	m.limited = false
	m.probing = false
	m.majSince = never
	m.leases.drop()
}

// Owner returns the owner that the instance knows.
func (m *Machine) Owner() Owner {
	if m.phase == deputy || m.phase == claimant {
		return Owner{Term: m.term, Instance: m.opt.Instance, Addr: m.opt.Addr}
	}
	logged := Owner{Term: MakeTerm(m.view.claim, 0), Instance: m.view.instance, Addr: m.view.addr}
	if m.peer.Term > logged.Term {
		return m.peer
	}
	if m.view.released || m.view.instance == m.opt.Instance {
		return Owner{Term: NoTerm}
	}
	return logged
}

// Authority returns what the instance may do at now. It is to be called at the
// moment of sending.
func (m *Machine) Authority(now time.Duration) Authority {
	a := Authority{Term: m.term, ClaimOffset: ClaimOffset(m.term), Limited: m.limited, OwnedSince: m.since}
	a.ExpiresAt = m.until()
	valid := now < a.ExpiresAt
	a.MayStartTasks = valid && m.tasks
	a.MayGrantSlots = valid && m.slots
	return a
}

// MayLease reports whether a lease request with the term may still be sent. It
// is to be called at the moment of sending, since a late renewal would keep
// tasks alive that a successor considers ended.
func (m *Machine) MayLease(now time.Duration, term int64) bool {
	if term < m.term || term > m.leaseTerm {
		return false
	}
	switch m.phase {
	case candidate:
		return now < m.giveUpAt
	case claimant, deputy:
		return now < m.until()
	}
	return false
}

// until returns when the authority ends, whether or not it has begun.
func (m *Machine) until() time.Duration {
	isolated := min(m.leases.until, m.isolationEnd())
	switch m.phase {
	case deputy:
		return isolated
	case claimant:
		fresh := m.lastEnd + m.fresh()
		if !m.settled {
			return never
		}
		if !m.full {
			return fresh
		}
		shared := min(fresh, m.leases.until+m.fresh())
		if !m.unreachable {
			// Leases prove nothing at workers that refuse nobody, so a read that
			// is still under way is waited for.
			return shared
		}
		return max(shared, isolated)
	}
	return never
}

// fresh is how long after its sending a read shows that there is no later claim.
func (m *Machine) fresh() time.Duration { return m.opt.AuthorityPeriod - m.opt.Margin }

// lastLog is when the log was last read to its end, at the earliest the start.
func (m *Machine) lastLog() time.Duration { return max(m.lastEnd, m.born) }

// isolationEnd is when the instance may no longer lease workers without the log.
// If the last owner known had no majority, it starts the tasks of former owners
// when the isolation limit has passed since its claim, so that nobody may keep
// them alive for longer.
func (m *Machine) isolationEnd() time.Duration {
	end := m.lastLog() + m.opt.IsolationLimit
	v := &m.view
	if !v.anchored || v.claim == records.NoTerm || v.majority || v.instance == m.opt.Instance {
		return end
	}
	if v.claimTime.IsZero() {
		return never
	}
	return min(end, m.logTimeAt-m.logTime.Sub(v.claimTime)+m.opt.IsolationLimit)
}

// logFresh reports whether the log was read to its end just now.
func (m *Machine) logFresh(now time.Duration) bool { return now < m.lastEnd+m.fresh() }

// Apply handles an event and returns what is to be done.
func (m *Machine) Apply(now time.Duration, event Event) []Action {
	if !m.started {
		m.started = true
		m.born = now
		m.attemptAt = now + m.opt.HeartbeatTimeout + m.jitter(m.opt.ClaimJitter)
	}
	out := m.advance(now)
	switch e := event.(type) {
	case LogRecord:
		out = append(out, m.record(now, e)...)
	case LogRead:
		out = append(out, m.read(now, e)...)
	case LogUnreachable:
		m.unreachable = true
	case AppendResult:
	case LeaseResult:
		out = append(out, m.answer(now, e)...)
	case RosterChanged:
		m.leases.setRoster(now, e.Workers)
	case WorkerInventory:
		if w := m.leases.workers[e.Worker]; w != nil {
			w.known = max(w.known, e.SentAt)
		}
		out = append(out, m.probed(now, e)...)
	case PeerOwner:
		out = append(out, m.heard(now, e)...)
	case Shutdown:
		out = append(out, m.shutdown(now)...)
	case Tick:
		out = append(out, m.tick(now)...)
	}
	m.leases.update(now)
	return append(out, m.progress(now, event)...)
}

func (m *Machine) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(limit)))
}

// advance ends what has lapsed since the last event, before the event is used.
func (m *Machine) advance(now time.Duration) []Action {
	m.leases.update(now)
	held := m.leases.until > now
	if !held {
		m.majSince = never
	}
	switch {
	case m.phase == deputy && now >= m.until():
		return m.stop(now, "leases on a majority of the workers lapsed")
	case m.phase == claimant && m.full && !held && now >= m.leases.until+m.fresh():
		return m.stop(now, "leases on a majority of the workers lapsed")
	case m.phase == claimant && m.full && now >= m.isolationEnd():
		return m.stop(now, "isolation limit passed")
	case m.phase == claimant && !m.full && now >= m.lastLog()+m.opt.HeartbeatTimeout:
		out := m.stop(now, "log out of reach")
		// Its leases keep others out, so it is the one to go on without the log.
		m.attemptAt = now + m.jitter(m.opt.ClaimJitter)
		return out
	case m.phase == candidate && now >= m.giveUpAt && !held:
		m.abandon(now)
	case m.probing && now >= m.probeEnd:
		if m.probeAll || len(m.free) == 0 || now >= m.probeEnd+m.opt.Margin {
			m.abandon(now)
			m.attemptAt = now + m.opt.Margin + m.jitter(m.opt.ClaimJitter)
			break
		}
		return m.probe(now, m.leases.current())
	}
	return nil
}

// stop ends the ownership. A claim that ends by itself is released on the log,
// so that a VM which reaches more workers can follow at once.
func (m *Machine) stop(now time.Duration, reason string) []Action {
	out := []Action{StopOwning{Term: m.term, Reason: reason}}
	if m.view.claim == ClaimOffset(m.term) && m.view.instance == m.opt.Instance && !m.view.released {
		m.release = &records.Release{DataCentre: m.opt.DataCentre, Instance: m.opt.Instance, Term: m.view.claim}
		m.releaseAt = now
	}
	m.clear()
	m.notBefore = now + m.opt.HeartbeatTimeout + m.jitter(m.opt.HeartbeatTimeout)
	m.attemptAt = now + m.backoff()
	return out
}

// backoff is the time between two attempts to take over without the log. Leases
// of a failed attempt lapse before the next, so that two instances don't block
// each other for ever. It is below the task lease, so that the second attempt
// comes before the tasks end whose workers the first one has leased.
func (m *Machine) backoff() time.Duration {
	return m.opt.LeaseTTL + m.opt.Margin + m.jitter(m.opt.LeaseTTL)
}

func (m *Machine) abandon(now time.Duration) {
	m.clear()
	m.attemptAt = now + m.backoff()
}

// heard notes what a peer says about the owner.
func (m *Machine) heard(now time.Duration, e PeerOwner) []Action {
	if e.Term > m.peer.Term && e.Instance != m.opt.Instance {
		m.peer = Owner(e)
	}
	return m.sawTerm(now, e.Term, "a peer knows a later claim")
}

// sawTerm notes a term and ends the ownership if it is based on a later claim.
// A later round of the same claim needs the majority and so ends it by itself.
func (m *Machine) sawTerm(now time.Duration, term int64, reason string) []Action {
	m.maxTerm = max(m.maxTerm, term)
	if m.phase == follower || ClaimOffset(term) <= ClaimOffset(m.term) {
		return nil
	}
	if m.phase == candidate {
		m.abandon(now)
		return nil
	}
	return m.stop(now, reason)
}

// shutdown gives up the ownership for good.
func (m *Machine) shutdown(now time.Duration) []Action {
	m.closing = true
	if m.phase == candidate || m.phase == follower {
		m.clear()
		return nil
	}
	handOver := m.phase == claimant && m.logFresh(now)
	var give []Action
	for _, id := range m.leases.order {
		if handOver && m.leases.workers[id].held {
			give = append(give, ReleaseLease{Worker: id, Term: m.leaseTerm})
		}
	}
	out := append(m.stop(now, "shutdown"), give...)
	return append(out, m.tick(now)...)
}
