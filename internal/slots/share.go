package slots

import (
	"slices"
	"time"
)

// maxUrgentSlack is the slack below which the demand of a holder has more weight in
// the division of the slots. It is the time of a few syncs: requests with more slack
// can wait for the next ones.
const maxUrgentSlack = time.Second

// urgencyDecayFactor is the factor by which urgency falls with each sync.
const urgencyDecayFactor = 0.9

// computeTargets divides the slots among the holders. A holder reaches its target as
// slots become free.
func (b *Broker) computeTargets() {
	capacity := 0
	for _, s := range b.serversByID {
		capacity += s.capacity()
	}
	var local, remote []*holderAccount
	localDemand := 0
	for _, id := range b.instanceIDs {
		h := b.accounts[id]
		h.targetSlots = 0
		if h.isRemote {
			remote = append(remote, h)
			continue
		}
		local = append(local, h)
		localDemand += h.demand
	}
	divide(local, capacity)
	spare := max(0, capacity-localDemand)
	b.maxRemoteSlots = capacity * b.opts.RemotePercent / 100
	divide(remote, min(spare, b.maxRemoteSlots))
	for _, h := range remote {
		spare -= h.targetSlots
	}
	// Half of the spare slots are spread over the local holders, so that a holder
	// whose demand rises has slots before its next sync. The other half stays
	// free for the next request.
	for _, h := range local {
		h.targetSlots += spare / (2 * len(local))
	}
}

// divide sets the targets of the holders in proportion to their weights, up to their
// demand. Every holder with a demand gets one slot while there are enough.
func divide(holders []*holderAccount, slots int) {
	var unsatisfied []*holderAccount
	for _, h := range holders {
		if h.demand > 0 && slots > 0 {
			h.targetSlots = 1
			slots--
		}
		if h.demand > h.targetSlots {
			unsatisfied = append(unsatisfied, h)
		}
	}
	for slots > 0 && len(unsatisfied) > 0 {
		total := 0.0
		for _, h := range unsatisfied {
			total += h.weight()
		}
		given := 0
		for _, h := range unsatisfied {
			n := int(float64(slots) * h.weight() / total)
			n = min(n, h.demand-h.targetSlots)
			h.targetSlots += n
			given += n
		}
		if given == 0 {
			given = giveOneEach(unsatisfied, slots)
		}
		slots -= given
		unsatisfied = slices.DeleteFunc(unsatisfied, func(h *holderAccount) bool { return h.targetSlots >= h.demand })
	}
}

// giveOneEach gives the remainder of a division, one slot for each holder, to those
// with the largest weight first. It returns the number of slots given.
func giveOneEach(unsatisfied []*holderAccount, slots int) int {
	slices.SortStableFunc(unsatisfied, func(a, b *holderAccount) int {
		switch {
		case a.weight() > b.weight():
			return -1
		case a.weight() < b.weight():
			return 1
		}
		return 0
	})
	n := min(slots, len(unsatisfied))
	for _, h := range unsatisfied[:n] {
		h.targetSlots++
	}
	return n
}

// weight is the demand of the holder, up to doubled by its urgency.
func (h *holderAccount) weight() float64 {
	return float64(h.demand) * (1 + h.urgency)
}

// updateUrgency sets the urgency, from 0 to 1, by the slack of the most urgent
// request. It rises at once but falls over about ten syncs, because slots are out of
// use while they move to another holder, and would move with every change of slack.
func (h *holderAccount) updateUrgency(slack time.Duration) {
	slack = min(max(slack, 0), maxUrgentSlack)
	h.urgency = max(1-float64(slack)/float64(maxUrgentSlack), h.urgency*urgencyDecayFactor)
}
