package ownership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// maxRosters bounds the number of rosters stored.
const maxRosters = 8

// maxTime is later than every time. A field with this value has no time.
const maxTime = time.Duration(math.MaxInt64)

// workerLease is what the instance knows about its lease on one worker and
// about the inventory of that worker. All times are on the clock of the
// instance.
type workerLease struct {
	// expiresAt is when the lease ends, counted from the sending of the
	// request and less the margin.
	expiresAt time.Duration
	// nextRequestAt is when the next lease request is due.
	nextRequestAt time.Duration
	// unansweredSince is when the first of the unanswered lease requests was
	// sent, minTime if the last one was answered.
	unansweredSince time.Duration
	// lastRequestAt is when the last lease request was sent.
	lastRequestAt time.Duration
	// wasGranted is true if the last response was a grant.
	wasGranted bool
	// inventoryRequestedSince and inventoryRequestedAt are when the inventory
	// was requested first and last. inventoryAsOf is when the request was sent
	// that got the newest response. The last two are -1 if there is none.
	inventoryRequestedSince time.Duration
	inventoryRequestedAt    time.Duration
	inventoryAsOf           time.Duration
}

// roster is one list of the workers of the data centre.
type roster struct {
	workers    []string
	receivedAt time.Duration
	// isRequired is true once ownership needs a majority of this roster.
	isRequired bool
	// replacedAt is when a later roster became required, maxTime if none did.
	replacedAt time.Duration
}

// leases manages the leases on workers and computes until when they are a
// majority.
type leases struct {
	opt     *Options
	workers map[string]*workerLease
	// workerIDs lists the workers of all rosters in sorted order, so that the
	// order of actions is deterministic.
	workerIDs []string
	rosters   []roster
	// majorityUntil is when the majority ends. It is never later than the true
	// time.
	majorityUntil time.Duration
	// mayHaveShrunk means that majorityUntil may be too late, mayHaveGrown
	// that it may be too early.
	mayHaveShrunk bool
	mayHaveGrown  bool
}

func newLeases(opt *Options) leases {
	return leases{opt: opt, workers: map[string]*workerLease{}}
}

// setRoster adds a roster, on RosterChanged. Earlier rosters are required
// until RosterRetention after a later one has become required.
func (l *leases) setRoster(now time.Duration, workers []string) {
	sorted := slices.Clone(workers)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	if n := len(l.rosters); n > 0 && slices.Equal(l.rosters[n-1].workers, sorted) {
		return
	}
	isFirst := len(l.rosters) == 0
	l.rosters = append(l.rosters, roster{workers: sorted, receivedAt: now, isRequired: isFirst, replacedAt: maxTime})
	if len(l.rosters) > maxRosters {
		l.rosters = slices.Delete(l.rosters, 0, 1)
		l.rosters[0].isRequired = true
	}
	l.rebuildWorkers()
}

// rebuildWorkers derives the set of workers from the rosters, when one was
// added, removed or became required.
func (l *leases) rebuildWorkers() {
	l.mayHaveShrunk = true
	known := map[string]bool{}
	l.workerIDs = l.workerIDs[:0]
	for _, r := range l.rosters {
		for _, w := range r.workers {
			if known[w] {
				continue
			}
			known[w] = true
			l.workerIDs = append(l.workerIDs, w)
			if l.workers[w] == nil {
				l.workers[w] = &workerLease{unansweredSince: minTime, lastRequestAt: minTime, inventoryRequestedAt: -1, inventoryAsOf: -1}
			}
		}
	}
	for w := range l.workers {
		if !known[w] {
			delete(l.workers, w)
		}
	}
	slices.Sort(l.workerIDs)
}

// majorityEnd returns until when a majority of the workers is leased. An
// empty roster has no majority, since two instances would both have it.
// updateMajority and updateRosters call it for each roster.
func (l *leases) majorityEnd(workers []string) time.Duration {
	if len(workers) == 0 {
		return 0
	}
	ends := make([]time.Duration, len(workers))
	for i, w := range workers {
		ends[i] = l.workers[w].expiresAt
	}
	slices.Sort(ends)
	majority := len(ends)/2 + 1
	return ends[len(ends)-majority]
}

// updateMajority recomputes majorityUntil, before and after each event is
// handled. Grants only extend it, so the last value stays a safe bound;
// after grants it is computed again when half a lease is left.
func (l *leases) updateMajority(now time.Duration) {
	l.updateRosters(now)
	expiresSoon := l.mayHaveGrown && now+l.opt.LeaseTTL/2 >= l.majorityUntil
	if !l.mayHaveShrunk && !expiresSoon {
		return
	}
	l.mayHaveShrunk = false
	l.mayHaveGrown = false
	l.majorityUntil = l.majorityEnd(l.currentWorkers())
	for _, r := range l.rosters {
		if r.isRequired && len(r.workers) > 0 {
			l.majorityUntil = min(l.majorityUntil, l.majorityEnd(r.workers))
		}
	}
}

// updateRosters marks new rosters as required and removes old ones, each
// time updateMajority runs. A roster is required once a majority of it is
// leased, at the latest after one lease duration.
func (l *leases) updateRosters(now time.Duration) {
	changed := false
	for i := range l.rosters {
		r := &l.rosters[i]
		if r.isRequired || (now < r.receivedAt+l.opt.LeaseTTL && l.majorityEnd(r.workers) <= now) {
			continue
		}
		r.isRequired = true
		changed = true
	}
	if last := len(l.rosters) - 1; changed && l.rosters[last].isRequired {
		for i := range l.rosters[:last] {
			l.rosters[i].replacedAt = min(l.rosters[i].replacedAt, now)
		}
	}
	isNeeded := func(r roster) bool { return r.replacedAt == maxTime || now < r.replacedAt+l.opt.RosterRetention }
	for len(l.rosters) > 1 && !isNeeded(l.rosters[0]) {
		l.rosters = slices.Delete(l.rosters, 0, 1)
		changed = true
	}
	if changed {
		l.rebuildWorkers()
	}
}

// isMajority reports whether a set contains a majority of the newest roster
// and of each required one. applyProbeResponse asks it about the workers
// whose lease nobody else holds.
func (l *leases) isMajority(set map[string]bool) bool {
	for i, r := range l.rosters {
		n := 0
		for _, w := range r.workers {
			if set[w] {
				n++
			}
		}
		if required := r.isRequired || i == len(l.rosters)-1; required && n <= len(r.workers)/2 {
			return false
		}
	}
	return len(l.currentWorkers()) > 0
}

// currentWorkers returns the workers of the newest roster, nil before the
// first.
func (l *leases) currentWorkers() []string {
	if len(l.rosters) == 0 {
		return nil
	}
	return l.rosters[len(l.rosters)-1].workers
}

// reset removes all leases, when the instance becomes a follower. Those that
// workers still hold expire there.
func (l *leases) reset() {
	for _, w := range l.workers {
		*w = workerLease{unansweredSince: minTime, lastRequestAt: minTime, inventoryRequestedAt: -1, inventoryAsOf: -1}
	}
	l.mayHaveShrunk = true
}

// dueRequests returns the lease requests that are due, with the given term:
// renewals of leases that are held, and requests for the others.
// requestLeases calls it on each Tick while the instance may lease. A lease
// for which renewable is false, because the worker does not report its
// inventory, is left to expire, and a worker that does not respond is given
// a pause, so that the tasks there end and inherited tasks do not wait for
// that worker indefinitely.
func (l *leases) dueRequests(now time.Duration, term int64, rng *rand.Rand, renewable func(*workerLease) bool) []Action {
	var out []Action
	for _, id := range l.workerIDs {
		w := l.workers[id]
		if now < w.nextRequestAt {
			continue
		}
		held := w.wasGranted && w.expiresAt > now
		switch {
		case held && !renewable(w):
			// Its tasks end before the next request, so that inherited tasks do
			// not wait for its inventory indefinitely.
			w.nextRequestAt = l.nextRetryTime(w.lastRequestAt + l.opt.maxTaskLifetime())
			continue
		case !held && w.unansweredSince != minTime && now >= w.unansweredSince+l.opt.RenewInterval:
			// The requests may arrive and only the responses be lost. They would
			// keep tasks running that nobody knows of, so a pause lets these
			// end.
			w.unansweredSince = minTime
			w.nextRequestAt = l.nextRetryTime(now + l.opt.Margin + l.opt.maxTaskLifetime())
			continue
		}
		if w.unansweredSince == minTime {
			w.unansweredSince = now
		}
		w.lastRequestAt = now
		w.nextRequestAt = now + l.opt.Margin
		if !held {
			out = append(out, AcquireLease{Worker: id, Term: term, TTL: l.opt.LeaseTTL})
			continue
		}
		w.nextRequestAt += time.Duration(rng.Int64N(int64(l.opt.Margin / 4)))
		out = append(out, RenewLease{Worker: id, Term: term, TTL: l.opt.LeaseTTL})
	}
	return out
}

// nextRetryTime returns the first time, not before from, at which workers
// that do not respond are asked again, for dueRequests. All are asked at the
// same times, so that there are times at which no request can keep tasks
// running on any of them.
func (l *leases) nextRetryTime(from time.Duration) time.Duration {
	period := l.opt.RenewInterval + l.opt.maxTaskLifetime() + 2*l.opt.Margin
	return (from + period - 1) / period * period
}

// applyGrant extends the lease on a worker that granted a request sent at
// the given time, and plans its renewal. applyLeaseResult calls it for each
// LeaseResult that is a grant. The inventory becomes unknown if the lease
// was not held until now.
func (l *leases) applyGrant(now, sent time.Duration, worker string) {
	w := l.workers[worker]
	if w == nil {
		return
	}
	if w.expiresAt <= now || !w.wasGranted {
		// Another holder may have used the worker, so its inventory is unknown.
		w.inventoryRequestedAt = -1
		w.inventoryAsOf = -1
	}
	w.unansweredSince = minTime
	w.wasGranted = true
	w.expiresAt = max(w.expiresAt, sent+l.opt.LeaseTTL-l.opt.Margin)
	w.nextRequestAt = max(w.nextRequestAt, sent+l.opt.RenewInterval)
	l.mayHaveGrown = true
}

// applyRefusal ends the lease on a worker that refused a request, and plans
// the next request. applyLeaseResult calls it for each LeaseResult that is
// no grant. remaining is the time left of the lease of another holder.
func (l *leases) applyRefusal(now time.Duration, worker string, remaining time.Duration) {
	w := l.workers[worker]
	if w == nil {
		return
	}
	w.unansweredSince = minTime
	w.wasGranted = false
	w.expiresAt = 0
	w.nextRequestAt = now + min(max(remaining, l.opt.Margin/4), l.opt.RenewInterval)
	l.mayHaveShrunk = true
}

// dueInventories returns the inventory requests that are due: one for each
// leased worker whose inventory was not requested since notBefore, repeated
// every Margin until a response counts. Only responses to requests that were
// sent at notBefore or later count. startTasks calls it on each Tick and LogRead of an owner. A
// worker is known if it is leased and has responded to such a request.
// isPending is true while the response of a leased worker is missing.
// hasUnknownTasks is true while tasks may be running on a worker that is not
// known, because of a lease request whose response was lost: until
// maxTaskLifetime after lastRequestAt, the sending of the last lease request to
// the worker, whether to acquire or to renew. isComplete is true if
// every worker is known.
func (l *leases) dueInventories(now, notBefore time.Duration) (requests []Action, isPending, hasUnknownTasks, isComplete bool) {
	knownWorkers := 0
	for _, id := range l.workerIDs {
		w := l.workers[id]
		leased := w.wasGranted && w.expiresAt > now
		if leased && w.inventoryAsOf >= notBefore {
			knownWorkers++
			continue
		}
		hasUnknownTasks = hasUnknownTasks || now < w.lastRequestAt+l.opt.maxTaskLifetime()
		if !leased {
			continue
		}
		isPending = true
		if w.inventoryRequestedAt < notBefore {
			w.inventoryRequestedSince = now
		}
		if w.inventoryRequestedAt < notBefore || now >= w.inventoryRequestedAt+l.opt.Margin {
			w.inventoryRequestedAt = now
			requests = append(requests, AskInventory{Worker: id})
		}
	}
	return requests, isPending, hasUnknownTasks, knownWorkers == len(l.workerIDs)
}
