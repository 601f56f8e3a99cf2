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

// freeSlots returns the number of slots that may be used for new attempts now.
func (s *server) freeSlots(now time.Duration) int {
	if s.health != HealthLive || now < s.cooldownEnd || now >= s.leaseExpiry-ExpiryMargin {
		return 0
	}
	return max(0, s.heldSlots-s.inUse)
}

// usableSlots returns the number of slots under a lease that still allows
// sending, free or not.
func (s *server) usableSlots(now time.Duration) int {
	if s.health != HealthLive || now >= s.leaseExpiry-ExpiryMargin {
		return 0
	}
	return s.heldSlots
}

// recordFault starts the cooldown after a refused, failed or lost attempt.
func (s *server) recordFault(now time.Duration) {
	pause := min(minCooldown<<min(s.consecutiveFaults, 10), maxCooldown)
	s.consecutiveFaults++
	s.cooldownEnd = now + pause
}

// recordAnswer ends the cooldown.
func (s *server) recordAnswer() {
	s.consecutiveFaults = 0
	s.cooldownEnd = 0
}

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

// Holdings returns the servers on which this VM holds or uses slots.
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
// attempt is live.
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
// slot is free. Among the servers with a free slot it picks the one with the
// fewest attempts of this VM, so that a slow server delays few of them; ties are
// broken at random. It picks avoid, the server of the previous attempt, only if no
// other server has a free slot.
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
