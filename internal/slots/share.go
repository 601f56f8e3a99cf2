package slots

import (
	"slices"
	"time"
)

// urgentSlack is the slack below which work counts for more in the division of
// slots. It is the time of a few syncs: work with more slack can wait for the
// next ones.
const urgentSlack = time.Second

// urgencyDecay is the factor by which urgency falls with each sync.
const urgencyDecay = 0.9

// shares divides the slots among the holders. A holder's share is its target,
// which it reaches as slots become free.
func (b *Broker) shares() {
	capacity := 0
	for _, s := range b.servers {
		capacity += s.capacity()
	}
	var home, remote []*holder
	wanted := 0
	for _, id := range b.order {
		h := b.holders[id]
		h.target = 0
		if h.remote {
			remote = append(remote, h)
			continue
		}
		home = append(home, h)
		wanted += h.wanted
	}
	divide(home, capacity)
	spare := max(0, capacity-wanted)
	b.remoteCap = capacity * b.opt.RemotePercent / 100
	divide(remote, min(spare, b.remoteCap))
	for _, h := range remote {
		spare -= h.target
	}
	// Half of the rest is spread, so that a holder whose demand rises has slots
	// before its next sync. The other half is free for the next one that asks.
	for _, h := range home {
		h.target += spare / (2 * len(home))
	}
}

// divide shares slots in proportion to what is wanted, urgent work counting up
// to twice. Every holder that wants any gets one while there are enough.
func divide(holders []*holder, slots int) {
	var short []*holder
	for _, h := range holders {
		if h.wanted > 0 && slots > 0 {
			h.target = 1
			slots--
		}
		if h.wanted > h.target {
			short = append(short, h)
		}
	}
	for slots > 0 && len(short) > 0 {
		total := 0.0
		for _, h := range short {
			total += h.weight()
		}
		given := 0
		for _, h := range short {
			n := int(float64(slots) * h.weight() / total)
			n = min(n, h.wanted-h.target)
			h.target += n
			given += n
		}
		if given == 0 {
			given = onePerHolder(short, slots)
		}
		slots -= given
		short = slices.DeleteFunc(short, func(h *holder) bool { return h.target >= h.wanted })
	}
}

// onePerHolder gives the rest of a division, the largest weight first.
func onePerHolder(short []*holder, slots int) int {
	slices.SortStableFunc(short, func(a, b *holder) int {
		switch {
		case a.weight() > b.weight():
			return -1
		case a.weight() < b.weight():
			return 1
		}
		return 0
	})
	n := min(slots, len(short))
	for _, h := range short[:n] {
		h.target++
	}
	return n
}

// weight is what a holder wants, up to doubled by urgency.
func (h *holder) weight() float64 {
	return float64(h.wanted) * (1 + h.urgency)
}

// hurry sets the urgency, from 0 to 1. It rises at once and falls over about ten
// syncs: slots that move with every change of slack are out of use while they
// move.
func (h *holder) hurry(slack time.Duration) {
	slack = min(max(slack, 0), urgentSlack)
	h.urgency = max(1-float64(slack)/float64(urgentSlack), h.urgency*urgencyDecay)
}
