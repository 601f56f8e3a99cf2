package dispatch

import "time"

const (
	// demandInterval is the least time between two reports of the demand while
	// no urgent request waits for a slot.
	demandInterval = 50 * time.Millisecond
	// minSlotDemand is the local demand of a VM without requests, so that the
	// first request does not wait for the broker.
	minSlotDemand = 4
	// demandGrowthFraction and minDemandStep let a non-urgent class demand more
	// slots than its targets need, so that its queue uses idle slots. The demand
	// rises in steps, so that a long queue at one VM does not take the slots that
	// other VMs need.
	demandGrowthFraction = 0.25
	minDemandStep        = 8
)

// dataCentre is a data centre as this VM uses it.
type dataCentre struct {
	name  string
	inUse int
	// lastDemand is the demand of the last SlotDemand action.
	lastDemand int
}

func (d *Dispatcher) findOrAddDataCentre(name string) *dataCentre {
	for _, c := range d.dataCentres {
		if c.name == name {
			return c
		}
	}
	c := &dataCentre{name: name}
	d.dataCentres = append(d.dataCentres, c)
	return c
}

// updateSlotDemand emits a SlotDemand for each data centre whose demand has
// changed: every demandInterval, or every TickInterval while an urgent request
// waits for a slot.
func (d *Dispatcher) updateSlotDemand(now time.Duration) {
	interval := demandInterval
	if d.isUrgentWaiting() {
		interval = TickInterval
	}
	if d.demandCheckedAt > 0 && now-d.demandCheckedAt < interval {
		return
	}
	d.demandCheckedAt = now
	local, remote := d.additionalSlots(now)
	slack := d.minSlack(now)
	for i, c := range d.dataCentres {
		demand := c.inUse + remote
		if i == 0 {
			demand = max(d.minLocalDemand(now), c.inUse+local)
		}
		if demand == c.lastDemand {
			continue
		}
		c.lastDemand = demand
		d.emit(SlotDemand{DataCentre: c.name, Slots: demand, MinSlack: slack})
	}
}

// minLocalDemand is the least demand for local slots. It is higher in the learning
// period.
func (d *Dispatcher) minLocalDemand(now time.Duration) int {
	total := d.localSlots()
	if now-d.startedAt >= learningPeriod || total == 0 {
		return minSlotDemand
	}
	return max(minSlotDemand, int(learningReserveFraction*float64(total)))
}

func (d *Dispatcher) isUrgentWaiting() bool {
	for _, c := range d.classes {
		if c.isUrgent() && len(c.readyQueue) > 0 {
			return true
		}
	}
	return false
}

// additionalSlots returns the slots that queued and expected requests could use
// beyond those in use: local ones, and in each of the other data centres.
func (d *Dispatcher) additionalSlots(now time.Duration) (local, remote int) {
	expectedSlots := 0.0
	reserve := 0
	nonUrgent, running := 0, 0
	for _, c := range d.classes {
		remote += d.countLate(now, c)
		if !c.isUrgent() {
			nonUrgent += c.nonUrgentDemand(now)
			running += c.runningCount
			continue
		}
		local += c.queuedCount()
		expectedSlots += c.expectedSlots
		reserve -= c.runningCount - c.stragglerCount + c.queuedCount()
	}
	if expectedSlots > 0 {
		reserve += reserveSize(expectedSlots)
	}
	// A demand for more slots than the data centre has would only lower the share
	// of the VMs with fewer requests.
	if total := d.localSlots(); total > 0 {
		nonUrgent = min(nonUrgent, max(0, total-running))
	}
	local += max(0, reserve) + nonUrgent
	if remote == 0 {
		return local, 0
	}
	slots := d.countSlots(now)
	return local, min(remote, max(0, remoteLimit(slots)-slots.inUseRemote))
}

// localSlots is the number of slots on the live local servers, for all VMs
// together, 0 if it is unknown.
func (d *Dispatcher) localSlots() int {
	total := 0
	for _, s := range d.serverList {
		if s.isLocal && s.health == HealthLive {
			total += s.totalSlots
		}
	}
	return total
}

// nonUrgentDemand returns the number of slots beyond those in use that a
// non-urgent class demands for its queue: twice what its targets need, but at
// least one step of growth, and no more than there are queued requests.
func (c *class) nonUrgentDemand(now time.Duration) int {
	demand := minDemandStep + int(demandGrowthFraction*float64(c.runningCount))
	if len(c.readyQueue) > 0 {
		left := max(c.slack(now)/2, c.StartTarget/10, time.Millisecond)
		needed := float64(c.queuedCount()) * c.meanRunTime.Seconds() / left.Seconds()
		demand = max(demand, int(2*needed)-c.runningCount)
	}
	return min(demand, c.queuedCount())
}

// minSlack is the least slack of the queued requests, at most maxRetryAfter. An
// urgent class with recent arrivals counts with its start target although none of
// its requests is queued, because the slots that are kept free for it are as urgent
// as its requests.
func (d *Dispatcher) minSlack(now time.Duration) time.Duration {
	least := maxRetryAfter
	for _, c := range d.classes {
		if len(c.readyQueue) > 0 {
			least = min(least, c.slack(now))
		}
		if c.isUrgent() && c.expectedSlots > 0 {
			least = min(least, c.StartTarget)
		}
	}
	return least
}
