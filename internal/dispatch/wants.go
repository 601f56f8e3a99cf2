package dispatch

import "time"

const (
	// wantsInterval is how often a change of demand is told to the broker.
	wantsInterval = 50 * time.Millisecond
	// minWanted keeps some slots at a VM without demand, so that the first
	// request does not wait for the broker.
	minWanted = 4
	// wantedGrowth and wantedStep let patient work that waits ask for more than
	// its targets need, so that it uses idle slots, in steps, so that a long
	// queue at one VM does not take the slots that others need.
	wantedGrowth = 0.25
	wantedStep   = 8
)

// centre is a data centre as this VM uses it.
type centre struct {
	name  string
	inUse int
	// wanted is what the broker was told last.
	wanted int
}

func (d *Dispatcher) centre(name string) *centre {
	for _, c := range d.centres {
		if c.name == name {
			return c
		}
	}
	c := &centre{name: name}
	d.centres = append(d.centres, c)
	return c
}

// updateWants tells the brokers of the data centres how many slots this VM could
// use, at intervals, and sooner while urgent work waits for a slot.
func (d *Dispatcher) updateWants(now time.Duration) {
	interval := wantsInterval
	if d.urgentWaits() {
		interval = TickInterval
	}
	if d.wantsCheckedAt > 0 && now-d.wantsCheckedAt < interval {
		return
	}
	d.wantsCheckedAt = now
	home, away := d.additional(now)
	slack := d.minSlack(now)
	for i, c := range d.centres {
		wanted := c.inUse + away
		if i == 0 {
			wanted = max(d.leastWanted(now), c.inUse+home)
		}
		if wanted == c.wanted {
			continue
		}
		c.wanted = wanted
		d.emit(SlotDemand{DataCentre: c.name, Slots: wanted, MinSlack: slack})
	}
}

// leastWanted is what this VM asks for without demand: some slots, and more while
// it has learned nothing.
func (d *Dispatcher) leastWanted(now time.Duration) int {
	total := d.homeSlots()
	if now-d.startedAt >= learningPeriod || total == 0 {
		return minWanted
	}
	return max(minWanted, int(learningShare*float64(total)))
}

func (d *Dispatcher) urgentWaits() bool {
	for _, c := range d.classes {
		if c.urgent() && len(c.ready) > 0 {
			return true
		}
	}
	return false
}

// additional returns the slots that queued and expected work could use beyond
// those in use: in the own data centre, and in each of the others.
func (d *Dispatcher) additional(now time.Duration) (home, away int) {
	load := 0.0
	expected := 0
	patient, running := 0, 0
	for _, c := range d.classes {
		away += d.surplus(now, c)
		if !c.urgent() {
			patient += c.patientWants(now)
			running += c.running
			continue
		}
		home += c.queued()
		load += c.load
		expected -= c.running - c.stuck + c.queued()
	}
	if load > 0 {
		expected += reserveFor(load)
	}
	// A queue that asks for more slots than there are would only lower the part
	// of the VMs with less work.
	if total := d.homeSlots(); total > 0 {
		patient = min(patient, max(0, total-running))
	}
	home += max(0, expected) + patient
	if away == 0 {
		return home, 0
	}
	slots := d.capacity(now)
	return home, min(away, max(0, awayCap(slots)-slots.inUseAway))
}

// homeSlots is the number of slots in the own data centre, 0 if it is unknown.
func (d *Dispatcher) homeSlots() int {
	total := 0
	for _, s := range d.order {
		if s.home && s.health == HealthLive {
			total += s.slots
		}
	}
	return total
}

// patientWants returns the slots beyond those in use that the queue of a patient
// class could use: twice what its targets need, and some more.
func (c *class) patientWants(now time.Duration) int {
	wanted := wantedStep + int(wantedGrowth*float64(c.running))
	if len(c.ready) > 0 {
		left := max(c.slack(now)/2, c.StartTarget/10, time.Millisecond)
		need := float64(c.queued()) * c.mean.Seconds() / left.Seconds()
		wanted = max(wanted, int(2*need)-c.running)
	}
	return min(wanted, c.queued())
}

// minSlack is the least slack of the queued work, or of the urgent classes that
// have work at all if nothing urgent is queued: slots that are kept free for
// them are as urgent as they are.
func (d *Dispatcher) minSlack(now time.Duration) time.Duration {
	least := maxRetryAfter
	for _, c := range d.classes {
		if len(c.ready) > 0 {
			least = min(least, c.slack(now))
		}
		if c.urgent() && c.load > 0 {
			least = min(least, c.StartTarget)
		}
	}
	return least
}
