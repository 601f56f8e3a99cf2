package ownership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// maxRosters bounds the earlier lists of workers that are remembered.
const maxRosters = 8

// unlimited is a time that never comes.
const unlimited = time.Duration(math.MaxInt64)

// lease is what the instance knows about the lease on one worker. All times are
// on its own clock.
type lease struct {
	// until is when the lease ends, counted from the sending of the request
	// and less the margin.
	until time.Duration
	// next is when the next request is due.
	next time.Duration
	// silent is when the first request was sent to which no answer came, never
	// if the last one was answered.
	silent time.Duration
	// sent is when the last request was sent.
	sent time.Duration
	// held is true if the last answer was a grant.
	held bool
	// first and asked are when the inventory was first and last asked for, and
	// known is when the question was sent that gave the last answer.
	first time.Duration
	asked time.Duration
	known time.Duration
}

// roster is one list of the workers of the data centre.
type roster struct {
	workers []string
	seen    time.Duration
	// counted is true once a majority of this list is needed.
	counted bool
	// replaced is when a later list was counted, unlimited if none was.
	replaced time.Duration
}

// leases keeps the leases on workers and their majority.
type leases struct {
	opt     *Options
	workers map[string]*lease
	// order lists the workers of all rosters, for a fixed order of actions.
	order   []string
	rosters []roster
	// until is when the majority ends. It is at most the true time.
	until time.Duration
	// stale means that until may be too late, grown that it may be too early.
	stale bool
	grown bool
}

func newLeases(opt *Options) leases {
	return leases{opt: opt, workers: map[string]*lease{}}
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
	l.rosters = append(l.rosters, roster{workers: sorted, seen: now, counted: first, replaced: unlimited})
	if len(l.rosters) > maxRosters {
		l.rosters = slices.Delete(l.rosters, 0, 1)
		l.rosters[0].counted = true
	}
	l.rebuild()
}

// rebuild derives the set of workers from the rosters.
func (l *leases) rebuild() {
	l.stale = true
	known := map[string]bool{}
	l.order = l.order[:0]
	for _, r := range l.rosters {
		for _, w := range r.workers {
			if known[w] {
				continue
			}
			known[w] = true
			l.order = append(l.order, w)
			if l.workers[w] == nil {
				l.workers[w] = &lease{silent: never, sent: never, asked: -1, known: -1}
			}
		}
	}
	for w := range l.workers {
		if !known[w] {
			delete(l.workers, w)
		}
	}
	slices.Sort(l.order)
}

// majorityOf returns until when a majority of the workers is leased. There is no
// majority of no workers, since two instances would both have it.
func (l *leases) majorityOf(workers []string) time.Duration {
	if len(workers) == 0 {
		return 0
	}
	until := make([]time.Duration, len(workers))
	for i, w := range workers {
		until[i] = l.workers[w].until
	}
	slices.Sort(until)
	need := len(until)/2 + 1
	return until[len(until)-need]
}

// update recomputes the majority. Grants only extend it, so that the last value
// stays a safe bound; it is computed again when half a lease is left.
func (l *leases) update(now time.Duration) {
	l.count(now)
	early := l.grown && now+l.opt.LeaseTTL/2 >= l.until
	if !l.stale && !early {
		return
	}
	l.stale = false
	l.grown = false
	l.until = l.majorityOf(l.current())
	for _, r := range l.rosters {
		if r.counted && len(r.workers) > 0 {
			l.until = min(l.until, l.majorityOf(r.workers))
		}
	}
}

// count lets new lists count and forgets old ones. A list counts once its
// majority is leased, at the latest after one lease duration.
func (l *leases) count(now time.Duration) {
	changed := false
	for i := range l.rosters {
		r := &l.rosters[i]
		if r.counted || (now < r.seen+l.opt.LeaseTTL && l.majorityOf(r.workers) <= now) {
			continue
		}
		r.counted = true
		changed = true
	}
	if last := len(l.rosters) - 1; changed && l.rosters[last].counted {
		for i := range l.rosters[:last] {
			l.rosters[i].replaced = min(l.rosters[i].replaced, now)
		}
	}
	keep := func(r roster) bool { return r.replaced == unlimited || now < r.replaced+l.opt.RosterRetention }
	for len(l.rosters) > 1 && !keep(l.rosters[0]) {
		l.rosters = slices.Delete(l.rosters, 0, 1)
		changed = true
	}
	if changed {
		l.rebuild()
	}
}

// mostOf reports whether a set has most workers of the newest list and of each
// list that counts.
func (l *leases) mostOf(set map[string]bool) bool {
	for i, r := range l.rosters {
		n := 0
		for _, w := range r.workers {
			if set[w] {
				n++
			}
		}
		if needed := r.counted || i == len(l.rosters)-1; needed && n <= len(r.workers)/2 {
			return false
		}
	}
	return len(l.current()) > 0
}

// current returns the newest list of workers.
func (l *leases) current() []string {
	if len(l.rosters) == 0 {
		return nil
	}
	return l.rosters[len(l.rosters)-1].workers
}

// drop forgets all leases. Those that workers still count lapse there.
func (l *leases) drop() {
	for _, w := range l.workers {
		*w = lease{silent: never, sent: never, asked: -1, known: -1}
	}
	l.stale = true
}

// requests returns the requests that are due, with a term.
func (l *leases) requests(now time.Duration, term int64, rng *rand.Rand, renewable func(*lease) bool) []Action {
	var out []Action
	for _, id := range l.order {
		w := l.workers[id]
		if now < w.next {
			continue
		}
		held := w.held && w.until > now
		switch {
		case held && !renewable(w):
			// Its tasks end before it is asked again, so that inherited tasks
			// don't wait for ever for its inventory.
			w.next = l.nextWindow(w.sent + l.opt.kept())
			continue
		case !held && w.silent != never && now >= w.silent+l.opt.RenewInterval:
			// The requests may arrive and only the answers be lost. They would
			// keep tasks alive that nobody knows of, so a pause lets them end.
			w.silent = never
			w.next = l.nextWindow(now + l.opt.Margin + l.opt.kept())
			continue
		}
		if w.silent == never {
			w.silent = now
		}
		w.sent = now
		w.next = now + l.opt.Margin
		if !held {
			out = append(out, AcquireLease{Worker: id, Term: term, TTL: l.opt.LeaseTTL})
			continue
		}
		w.next += time.Duration(rng.Int64N(int64(l.opt.Margin / 4)))
		out = append(out, RenewLease{Worker: id, Term: term, TTL: l.opt.LeaseTTL})
	}
	return out
}

// nextWindow returns the first time from the given one on at which workers that
// don't answer are asked again. All are asked at the same times, so that there
// are times at which no request can keep tasks alive on any of them.
func (l *leases) nextWindow(from time.Duration) time.Duration {
	period := l.opt.RenewInterval + l.opt.kept() + 2*l.opt.Margin
	return (from + period - 1) / period * period
}

// granted notes a grant for a request sent at the given time.
func (l *leases) granted(now, sent time.Duration, worker string) {
	w := l.workers[worker]
	if w == nil {
		return
	}
	if w.until <= now || !w.held {
		// Another holder may have used the worker: its inventory is unknown.
		w.asked = -1
		w.known = -1
	}
	w.silent = never
	w.held = true
	w.until = max(w.until, sent+l.opt.LeaseTTL-l.opt.Margin)
	w.next = max(w.next, sent+l.opt.RenewInterval)
	l.grown = true
}

// refused notes a refusal.
func (l *leases) refused(now time.Duration, worker string, remaining time.Duration) {
	w := l.workers[worker]
	if w == nil {
		return
	}
	w.silent = never
	w.held = false
	w.until = 0
	w.next = now + min(max(remaining, l.opt.Margin/4), l.opt.RenewInterval)
	l.stale = true
}

// inventories returns the questions that are due: one for each leased worker
// whose inventory was not asked for since floor. pending is true while an answer
// is missing. hidden is true while tasks may run on a worker that is not leased
// and known, kept alive by requests whose answers were lost. all is true if every
// worker of the current list is leased and known.
func (l *leases) inventories(now, floor time.Duration) (ask []Action, pending, hidden, all bool) {
	known := 0
	for _, id := range l.order {
		w := l.workers[id]
		leased := w.held && w.until > now
		if leased && w.known >= floor {
			known++
			continue
		}
		hidden = hidden || now < w.sent+l.opt.kept()
		if !leased {
			continue
		}
		pending = true
		if w.asked < floor {
			w.first = now
		}
		if w.asked < floor || now >= w.asked+l.opt.Margin {
			w.asked = now
			ask = append(ask, AskInventory{Worker: id})
		}
	}
	return ask, pending, hidden, known == len(l.order)
}
