package slots

import "time"

// server is the account of one server's slots.
type server struct {
	Server
	// leased counts the slots of all holders, up to when they give them back
	// or their leases lapse.
	leased int
	// reserve counts slots without a lease on which requests of lapsed holders
	// may still run. Only a status sent after since can lower it.
	reserve int
	since   time.Duration
	// statusAt is when the last status was sent, inUse what it said.
	statusAt time.Duration
	hasState bool
	inUse    int

	draining   bool
	drainEnd   time.Duration
	drainAgain time.Duration
	// emptyAt is when the last lease ended during a drain, -1 before.
	emptyAt time.Duration
}

// hold adds slots of lapsed leases to the reserve.
func (s *server) hold(now time.Duration, slots int) {
	s.reserve = min(s.reserve+slots, s.Slots)
	s.since = now
}

// status uses what the server says. What lapsed holders have running only
// decreases and is part of what runs.
func (s *server) status(st ServerStatus) {
	if s.hasState && st.SentAt < s.statusAt {
		return
	}
	s.hasState = true
	s.statusAt = st.SentAt
	s.inUse = st.InUse
	if st.SentAt >= s.since {
		s.reserve = min(s.reserve, st.InUse)
	}
}

// usable reports whether the server may receive work.
func (s *server) usable() bool {
	return s.State == ServerLive && !s.draining
}

// free returns the number of slots that may be granted.
func (s *server) free(now, maxAge time.Duration, limited bool) int {
	if !s.usable() || !s.hasState || now > s.statusAt+maxAge {
		return 0
	}
	taken := s.reserve
	if limited {
		// Another owner may have granted what runs beyond the own leases.
		taken = max(taken, s.inUse-s.leased)
	}
	return max(0, s.Slots-s.leased-taken)
}

// capacity returns the number of slots that holders can have together.
func (s *server) capacity() int {
	if s.State != ServerLive {
		return 0
	}
	return max(0, s.Slots-s.reserve)
}

// drain begins and ends the revocation of all leases on a busy server whose
// reserve can't be told from the work of the holders. busy reports whether
// another server is being drained.
func (s *server) drain(now time.Duration, busy bool) {
	if s.draining {
		if s.leased == 0 && s.emptyAt < 0 {
			s.emptyAt = now
		}
		seen := s.emptyAt >= 0 && s.statusAt >= s.emptyAt
		if seen || s.reserve == 0 || now >= s.drainEnd {
			s.draining = false
			s.drainAgain = now + drainPause
		}
		return
	}
	stuck := s.reserve > 0 && s.leased > 0 && now >= s.since+drainAfter
	if busy || !stuck || now < s.drainAgain || s.State != ServerLive {
		return
	}
	s.draining = true
	s.drainEnd = now + drainFor
	s.emptyAt = -1
}
