package ownership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// maxRosters bounds the earlier lists of workers that are remembered.
const maxRosters = 8

// maxTime is a time that never comes.
const maxTime = time.Duration(math.MaxInt64)

// workerLease is what the instance knows about the workerLease on one worker. All times are
// on its own clock.
type workerLease struct {
	// expiresAt is when the lease ends, counted from the sending of the request
	// and less the margin.
	expiresAt time.Duration
	// nextRequestAt is when the nextRequestAt request is due.
	nextRequestAt time.Duration
	// unansweredSince is when the first request was sent to which no answer came, never
	// if the last one was answered.
	unansweredSince time.Duration
	// lastRequestAt is when the last request was lastRequestAt.
	lastRequestAt time.Duration
	// wasGranted is true if the last answer was a grant.
	wasGranted bool
	// inventoryRequestedSince and asked are when the inventory was inventoryRequestedSince and last asked for, and
	// known is when the question was sent that gave the last answer.
	inventoryRequestedSince time.Duration
	inventoryRequestedAt    time.Duration
	inventoryAsOf           time.Duration
}

// roster is one list of the workers of the data centre.
type roster struct {
	workers    []string
	receivedAt time.Duration
	// isRequired is true once a majority of this list is needed.
	isRequired bool
	// replacedAt is when a later list was counted, unlimited if none was.
	replacedAt time.Duration
}

// leases keeps the leases on workers and their majority.
type leases struct {
	opt     *Options
	workers map[string]*workerLease
	// workerIDs lists the workers of all rosters, for a fixed workerIDs of actions.
	workerIDs []string
	rosters   []roster
	// majorityUntil is when the majority ends. It is at most the true time.
	majorityUntil time.Duration
	// mayHaveShrunk means that until may be too late, grown that it may be too early.
	mayHaveShrunk bool
	mayHaveGrown  bool
}

func newLeases(opt *Options) leases {
	return leases{opt: opt, workers: map[string]*workerLease{}}
}

// setRoster adds a list of workers. Earlier lists count for RosterMemory.
func (l *leases) setRoster(now time.Duration, workers []string) {
	sorted := slices.Clone(workers)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	if n := len(l.rosters); n > 0 && slices.Equal(l.rosters[n-1].workers, sorted) {
		return
	}
	first := len(l.rosters) == 0
	l.rosters = append(l.rosters, roster{workers: sorted, receivedAt: now, isRequired: first, replacedAt: maxTime})
	if len(l.rosters) > maxRosters {
		l.rosters = slices.Delete(l.rosters, 0, 1)
		l.rosters[0].isRequired = true
	}
	l.rebuildWorkers()
}

// rebuildWorkers derives the set of workers from the rosters.
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

// majorityEnd returns until when a majority of the workers is leased. There is no
// majority of no workers, since two instances would both have it.
func (l *leases) majorityEnd(workers []string) time.Duration {
	if len(workers) == 0 {
		return 0
	}
	until := make([]time.Duration, len(workers))
	for i, w := range workers {
		until[i] = l.workers[w].expiresAt
	}
	slices.Sort(until)
	need := len(until)/2 + 1
	return until[len(until)-need]
}

// updateMajority recomputes the majority. Grants only extend it, so that the last value
// stays a safe bound; it is computed again when half a lease is left.
func (l *leases) updateMajority(now time.Duration) {
	l.updateRosters(now)
	early := l.mayHaveGrown && now+l.opt.LeaseTTL/2 >= l.majorityUntil
	if !l.mayHaveShrunk && !early {
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

// updateRosters lets new lists updateRosters and forgets old ones. A list counts once its
// majority is leased, at the latest after one lease duration.
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
	keep := func(r roster) bool { return r.replacedAt == maxTime || now < r.replacedAt+l.opt.RosterRetention }
	for len(l.rosters) > 1 && !keep(l.rosters[0]) {
		l.rosters = slices.Delete(l.rosters, 0, 1)
		changed = true
	}
	if changed {
		l.rebuildWorkers()
	}
}

// isMajority reports whether a set has most workers of the newest list and of each
// list that counts.
func (l *leases) isMajority(set map[string]bool) bool {
	for i, r := range l.rosters {
		n := 0
		for _, w := range r.workers {
			if set[w] {
				n++
			}
		}
		if needed := r.isRequired || i == len(l.rosters)-1; needed && n <= len(r.workers)/2 {
			return false
		}
	}
	return len(l.currentWorkers()) > 0
}

// currentWorkers returns the newest list of workers.
func (l *leases) currentWorkers() []string {
	if len(l.rosters) == 0 {
		return nil
	}
	return l.rosters[len(l.rosters)-1].workers
}

// reset forgets all leases. Those that workers still count lapse there.
func (l *leases) reset() {
	for _, w := range l.workers {
		*w = workerLease{unansweredSince: minTime, lastRequestAt: minTime, inventoryRequestedAt: -1, inventoryAsOf: -1}
	}
	l.mayHaveShrunk = true
}

// dueRequests returns the dueRequests that are due, with a term.
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
			// Its tasks end before it is asked again, so that inherited tasks
			// don't wait for ever for its inventory.
			w.nextRequestAt = l.nextRetryTime(w.lastRequestAt + l.opt.maxTaskLifetime())
			continue
		case !held && w.unansweredSince != minTime && now >= w.unansweredSince+l.opt.RenewInterval:
			// The requests may arrive and only the answers be lost. They would
			// keep tasks alive that nobody knows of, so a pause lets them end.
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

// nextRetryTime returns the first time from the given one on at which workers that
// don't answer are asked again. All are asked at the same times, so that there
// are times at which no request can keep tasks alive on any of them.
func (l *leases) nextRetryTime(from time.Duration) time.Duration {
	period := l.opt.RenewInterval + l.opt.maxTaskLifetime() + 2*l.opt.Margin
	return (from + period - 1) / period * period
}

// recordGrant notes a grant for a request sent at the given time.
func (l *leases) recordGrant(now, sent time.Duration, worker string) {
	w := l.workers[worker]
	if w == nil {
		return
	}
	if w.expiresAt <= now || !w.wasGranted {
		// Another holder may have used the worker: its inventory is unknown.
		w.inventoryRequestedAt = -1
		w.inventoryAsOf = -1
	}
	w.unansweredSince = minTime
	w.wasGranted = true
	w.expiresAt = max(w.expiresAt, sent+l.opt.LeaseTTL-l.opt.Margin)
	w.nextRequestAt = max(w.nextRequestAt, sent+l.opt.RenewInterval)
	l.mayHaveGrown = true
}

// recordRefusal notes a refusal.
func (l *leases) recordRefusal(now time.Duration, worker string, remaining time.Duration) {
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

// dueInventories returns the questions that are due: one for each leased worker
// whose inventory was not asked for since floor. pending is true while an answer
// is missing. hidden is true while tasks may run on a worker that is not leased
// and known, kept alive by requests whose answers were lost. all is true if every
// worker of the current list is leased and known.
func (l *leases) dueInventories(now, floor time.Duration) (ask []Action, pending, hidden, all bool) {
	known := 0
	for _, id := range l.workerIDs {
		w := l.workers[id]
		leased := w.wasGranted && w.expiresAt > now
		if leased && w.inventoryAsOf >= floor {
			known++
			continue
		}
		hidden = hidden || now < w.lastRequestAt+l.opt.maxTaskLifetime()
		if !leased {
			continue
		}
		pending = true
		if w.inventoryRequestedAt < floor {
			w.inventoryRequestedSince = now
		}
		if w.inventoryRequestedAt < floor || now >= w.inventoryRequestedAt+l.opt.Margin {
			w.inventoryRequestedAt = now
			ask = append(ask, AskInventory{Worker: id})
		}
	}
	return ask, pending, hidden, known == len(l.workerIDs)
}
