package dispatch

import "time"

const (
	// minCooldown is the time without new attempts on a server after an attempt
	// there was refused, failed or lost. It doubles with each further one in a
	// row, up to maxCooldown.
	minCooldown = 50 * time.Millisecond
	maxCooldown = 5 * time.Second
)

// server is a backend server as this VM uses it.
type server struct {
	id         string
	dataCentre *dataCentre
	isLocal    bool
	// totalSlots is the number of slots for all VMs together, 0 if unknown.
	totalSlots  int
	heldSlots   int
	leaseExpiry time.Duration
	inUse       int
	health      Health
	// consecutiveFaults counts the attempts that were refused, failed or lost
	// since the last answer.
	consecutiveFaults int
	cooldownEnd       time.Duration
}

// freeSlots returns the number of slots that may be used for new attempts now:
// none while the server is not live or in cooldown, or its lease is about to end.
// It is computed after every event with a request ready to be sent.
func (s *server) freeSlots(now time.Duration) int {
	if s.health != HealthLive || now < s.cooldownEnd || now >= s.leaseExpiry-ExpiryMargin {
		return 0
	}
	return max(0, s.heldSlots-s.inUse)
}

// usableSlots returns the number of slots, free or in use, on a live server under
// a lease that still allows sending. Unlike freeSlots it counts a server in
// cooldown. countSlots calls it for each local server: the sum is the capacity of
// which the class limits, the reserves and the limit on remote slots are fractions.
func (s *server) usableSlots(now time.Duration) int {
	if s.health != HealthLive || now >= s.leaseExpiry-ExpiryMargin {
		return 0
	}
	return s.heldSlots
}

// recordFault starts the cooldown after a refused, failed or lost attempt. Each
// further one in a row doubles it, up to maxCooldown.
func (s *server) recordFault(now time.Duration) {
	pause := min(minCooldown<<min(s.consecutiveFaults, 10), maxCooldown)
	s.consecutiveFaults++
	s.cooldownEnd = now + pause
}

// recordAnswer ends the cooldown, on each attempt that ends with an answer.
func (s *server) recordAnswer() {
	s.consecutiveFaults = 0
	s.cooldownEnd = 0
}

// findOrAddServer returns the server with an ID, and adds it as live if it is
// new, on SlotsChanged and ServerChanged.
func (d *Dispatcher) findOrAddServer(id, dataCentre string) *server {
	s := d.servers[id]
	if s == nil {
		s = &server{
			id:         id,
			dataCentre: d.findOrAddDataCentre(dataCentre),
			isLocal:    dataCentre == d.opts.DataCentre,
			health:     HealthLive,
		}
		d.servers[id] = s
		d.serverList = append(d.serverList, s)
	}
	return s
}

// Holding is the use of one server's slots by this VM.
type Holding struct {
	Server     string
	DataCentre string
	// Held is the number of slots under an unexpired lease.
	Held int
	// InUse is the number of live attempts on the server. It exceeds Held when
	// the lease has expired, or was reduced, while attempts run.
	InUse int
}

// Holdings returns the servers on which this VM holds or uses slots, with both
// numbers. Tests inspect the dispatcher with it; the daemon does not call it.
// slots.Holder.Slots is the grant alone, from the last lease of one data centre,
// without the slots in use.
func (d *Dispatcher) Holdings(now time.Duration) []Holding {
	var out []Holding
	for _, s := range d.serverList {
		h := Holding{Server: s.id, DataCentre: s.dataCentre.name, InUse: s.inUse}
		if now < s.leaseExpiry {
			h.Held = s.heldSlots
		}
		if h.Held > 0 || h.InUse > 0 {
			out = append(out, h)
		}
	}
	return out
}

// forgetRemovedServers drops the servers that no longer exist and on which no
// attempt is live. It runs on a Tick once per estimateInterval.
func (d *Dispatcher) forgetRemovedServers() {
	retained := d.serverList[:0]
	for _, s := range d.serverList {
		if s.health == HealthRemoved && s.inUse == 0 {
			delete(d.servers, s.id)
			continue
		}
		retained = append(retained, s)
	}
	clear(d.serverList[len(retained):])
	d.serverList = retained
}

// slotCounts counts the slots on local servers and on remote ones, which belong
// to other data centres.
type slotCounts struct {
	freeLocal, freeRemote int
	usableLocal           int
	inUseRemote           int
}

// countSlots sums up the slots of all servers. It runs before requests are sent,
// when a new urgent request is accepted or rejected, and for the demand for
// remote slots.
func (d *Dispatcher) countSlots(now time.Duration) slotCounts {
	var c slotCounts
	for _, s := range d.serverList {
		if s.isLocal {
			c.freeLocal += s.freeSlots(now)
			c.usableLocal += s.usableSlots(now)
			continue
		}
		c.freeRemote += s.freeSlots(now)
		c.inUseRemote += s.inUse
	}
	return c
}

// pickServer returns the local or remote server for the next attempt, nil if no
// slot is free. sendReady calls it for each send. Among the servers with a free
// slot it picks the one with the fewest attempts of this VM, so that a slow
// server delays few of them; ties are broken at random. It picks avoid, the
// server of the previous attempt, only if no other server has a free slot.
func (d *Dispatcher) pickServer(now time.Duration, isLocal bool, avoid *server) *server {
	var best *server
	ties := 0
	for _, s := range d.serverList {
		if s.isLocal != isLocal || s.freeSlots(now) == 0 || s == avoid {
			continue
		}
		switch {
		case best == nil || s.inUse < best.inUse:
			best, ties = s, 1
		case s.inUse == best.inUse:
			ties++
			if d.random.IntN(ties) == 0 {
				best = s
			}
		}
	}
	if best == nil && avoid != nil && avoid.isLocal == isLocal && avoid.freeSlots(now) > 0 {
		return avoid
	}
	return best
}
