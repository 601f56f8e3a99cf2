package dispatch

import "time"

const (
	// maxClassFraction bounds the part of the local slots that a non-urgent class
	// uses while another class waits, so that stragglers, or requests that run
	// longer than estimated, leave slots to the other classes.
	maxClassFraction = 0.75
	// maxRemoteFraction bounds the slots in use in other data centres, as a part
	// of the local slots, so that a burst here does not overload them.
	maxRemoteFraction = 0.25
	// minRemoteLimit is the least value of this bound, also without any local
	// slot.
	minRemoteLimit = 4
	// maxReserveFraction bounds the part of the local slots that is reserved for
	// urgent classes; the rest is always open to the other classes.
	maxReserveFraction = 0.875
	// learningPeriod is the time after the start in which a VM, without estimates
	// of rates and run times, reserves at least learningReserveFraction of its
	// local slots for urgent classes.
	learningPeriod          = 10 * time.Second
	learningReserveFraction = 0.125
)

// mayUseLocal reports whether class c may use one more local slot.
func (d *Dispatcher) mayUseLocal(now time.Duration, c *class, slots slotCounts) bool {
	if slots.freeLocal == 0 || slots.freeLocal-1 < d.unusedReserve(now, c, slots) {
		return false
	}
	limit := int(maxClassFraction * float64(slots.usableLocal))
	return c.isUrgent() || c.runningCount < limit || !d.isOtherClassWaiting(c)
}

// unusedReserve is the number of slots that c must leave free for urgent classes:
// its reservation less the slots that these classes use. Slots used by stragglers
// are not subtracted, because they will not be free when the next request arrives.
func (d *Dispatcher) unusedReserve(now time.Duration, c *class, slots slotCounts) int {
	if len(c.reservesFor) == 0 {
		return 0
	}
	reserve := c.reservedSlots
	if now-d.startedAt < learningPeriod {
		reserve = max(reserve, int(learningReserveFraction*float64(slots.usableLocal)))
	}
	for _, o := range c.reservesFor {
		reserve -= max(0, o.runningCount-o.stragglerCount)
	}
	return max(0, min(reserve, int(maxReserveFraction*float64(slots.usableLocal))))
}

func (d *Dispatcher) isOtherClassWaiting(c *class) bool {
	for _, o := range d.classes {
		if o != c && len(o.readyQueue) > 0 {
			return true
		}
	}
	return false
}

// mayUseRemote reports whether class c may use a slot in another data centre: one
// is free within the limit, and a request would miss its targets if it waited for
// a local slot.
func (d *Dispatcher) mayUseRemote(now time.Duration, c *class, slots slotCounts) bool {
	if slots.freeRemote == 0 || slots.inUseRemote >= remoteLimit(slots) {
		return false
	}
	return d.countLate(now, c) > 0
}

// remoteLimit is the number of slots that this VM may use in other data centres.
func remoteLimit(slots slotCounts) int {
	return max(minRemoteLimit, int(maxRemoteFraction*float64(slots.usableLocal)))
}

// countLate is the number of requests of class c that would miss their targets if
// they waited for local slots. It assumes that slots become free at the estimated
// rate, and that classes with a shorter start target use them first.
func (d *Dispatcher) countLate(now time.Duration, c *class) int {
	if len(c.readyQueue) == 0 {
		return 0
	}
	slack := c.slack(now)
	aheadCount := 0
	for _, o := range d.classes {
		if o == c || len(o.readyQueue) == 0 {
			continue
		}
		if o.StartTarget < c.StartTarget {
			aheadCount += len(o.readyQueue)
		}
	}
	inTime := d.slotReleaseRate()*slack.Seconds()/2 - float64(aheadCount)
	return max(0, len(c.readyQueue)-int(max(0, inTime)))
}
