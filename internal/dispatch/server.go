package dispatch

import "time"

const (
	// minCooldown is the pause after an attempt was refused, failed or lost. It
	// doubles with each in a row, up to maxCooldown.
	minCooldown = 50 * time.Millisecond
	maxCooldown = 5 * time.Second
)

type server struct {
	id     string
	centre *centre
	home   bool
	// slots is the server's total for all VMs, 0 if unknown.
	slots   int
	held    int
	expires time.Duration
	inUse   int
	health  Health
	// faults counts attempts in a row that were refused, failed or lost.
	faults    int
	coolUntil time.Duration
}

// free returns the number of slots that may be used for new work now.
func (s *server) free(now time.Duration) int {
	if s.health != HealthLive || now < s.coolUntil || now >= s.expires-ExpiryMargin {
		return 0
	}
	return max(0, s.held-s.inUse)
}

// usable returns the number of slots under lease, free or not.
func (s *server) usable(now time.Duration) int {
	if s.health != HealthLive || now >= s.expires-ExpiryMargin {
		return 0
	}
	return s.held
}

func (s *server) faulted(now time.Duration) {
	pause := min(minCooldown<<min(s.faults, 10), maxCooldown)
	s.faults++
	s.coolUntil = now + pause
}

func (s *server) answered() {
	s.faults = 0
	s.coolUntil = 0
}

func (d *Dispatcher) server(id, dataCentre string) *server {
	s := d.servers[id]
	if s == nil {
		s = &server{
			id:     id,
			centre: d.centre(dataCentre),
			home:   dataCentre == d.opts.DataCentre,
			health: HealthLive,
		}
		d.servers[id] = s
		d.order = append(d.order, s)
	}
	return s
}

// Holding is the use of one server's slots by this VM.
type Holding struct {
	Server     string
	DataCentre string
	// Held is the number of slots under an unexpired lease.
	Held int
	// InUse is the number of attempts that are live on the server. It exceeds
	// Held when the lease has lapsed or was reduced under running work.
	InUse int
}

// Holdings returns the servers on which this VM holds or uses slots.
func (d *Dispatcher) Holdings(now time.Duration) []Holding {
	var out []Holding
	for _, s := range d.order {
		h := Holding{Server: s.id, DataCentre: s.centre.name, InUse: s.inUse}
		if now < s.expires {
			h.Held = s.held
		}
		if h.Held > 0 || h.InUse > 0 {
			out = append(out, h)
		}
	}
	return out
}

// forgetGone drops servers that no longer exist and run nothing.
func (d *Dispatcher) forgetGone() {
	kept := d.order[:0]
	for _, s := range d.order {
		if s.health == HealthRemoved && s.inUse == 0 {
			delete(d.servers, s.id)
			continue
		}
		kept = append(kept, s)
	}
	clear(d.order[len(kept):])
	d.order = kept
}

// capacity counts slots by location.
type capacity struct {
	freeHome, freeAway int
	usableHome         int
	inUseAway          int
}

func (d *Dispatcher) capacity(now time.Duration) capacity {
	var c capacity
	for _, s := range d.order {
		if s.home {
			c.freeHome += s.free(now)
			c.usableHome += s.usable(now)
			continue
		}
		c.freeAway += s.free(now)
		c.inUseAway += s.inUse
	}
	return c
}

// pick returns the server for the next attempt, nil if no slot is free. Among
// the servers with a free slot it takes the one with the fewest attempts of this
// VM, so that a slow server holds up few of them; ties are broken at random. A
// retry avoids the server of the previous attempt if another one is free.
func (d *Dispatcher) pick(now time.Duration, home bool, avoid *server) *server {
	var best *server
	ties := 0
	for _, s := range d.order {
		if s.home != home || s.free(now) == 0 || s == avoid {
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
	if best == nil && avoid != nil && avoid.home == home && avoid.free(now) > 0 {
		return avoid
	}
	return best
}
