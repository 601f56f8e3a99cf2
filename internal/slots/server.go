package slots

import "time"

// serverAccount is the broker's view of one server's slots.
type serverAccount struct {
	Server
	// leasedSlots counts the slots of all holders until they give them back or
	// their leases expire.
	leasedSlots int
	// orphanedSlots counts the slots without a lease on which requests of expired
	// leases may still run. It is lowered only by a status that was requested at
	// orphanedAt or later.
	orphanedSlots int
	orphanedAt    time.Duration
	// statusAt is when the last status was requested, inUse the number of running
	// requests that it reported.
	statusAt  time.Duration
	hasStatus bool
	inUse     int

	isDraining    bool
	drainDeadline time.Duration
	nextDrainAt   time.Duration
	// leasesEndedAt is when the last lease ended during a drain, -1 before.
	leasesEndedAt time.Duration
}

// addOrphaned adds slots of expired leases to orphanedSlots.
func (s *serverAccount) addOrphaned(now time.Duration, slots int) {
	s.orphanedSlots = min(s.orphanedSlots+slots, s.Slots)
	s.orphanedAt = now
}

// recordStatus takes in a server's status, unless a later one was received. The
// requests of expired leases only become fewer, and are among those that run on the
// server, so that their number is at most the one in the status.
func (s *serverAccount) recordStatus(status ServerStatus) {
	if s.hasStatus && status.SentAt < s.statusAt {
		return
	}
	s.hasStatus = true
	s.statusAt = status.SentAt
	s.inUse = status.InUse
	if status.SentAt >= s.orphanedAt {
		s.orphanedSlots = min(s.orphanedSlots, status.InUse)
	}
}

// isUsable reports whether the server may receive new requests.
func (s *serverAccount) isUsable() bool {
	return s.State == ServerLive && !s.isDraining
}

// freeSlots returns the number of slots that may be granted: none if the last status
// is older than maxStatusAge.
func (s *serverAccount) freeSlots(now, maxStatusAge time.Duration, isLimited bool) int {
	if !s.isUsable() || !s.hasStatus || now > s.statusAt+maxStatusAge {
		return 0
	}
	taken := s.orphanedSlots
	if isLimited {
		// Another owner may have granted the slots of the requests that run
		// beyond this broker's leases.
		taken = max(taken, s.inUse-s.leasedSlots)
	}
	return max(0, s.Slots-s.leasedSlots-taken)
}

// capacity returns the number of slots that all holders together can get.
func (s *serverAccount) capacity() int {
	if s.State != ServerLive {
		return 0
	}
	return max(0, s.Slots-s.orphanedSlots)
}

// updateDrain begins and ends a drain: the revocation of all leases on a server
// whose status doesn't show whether requests run on the orphaned slots, because the
// holders have requests there, too. isOtherDraining is set while another server is
// drained.
func (s *serverAccount) updateDrain(now time.Duration, isOtherDraining bool) {
	if s.isDraining {
		if s.leasedSlots == 0 && s.leasesEndedAt < 0 {
			s.leasesEndedAt = now
		}
		hasNewStatus := s.leasesEndedAt >= 0 && s.statusAt >= s.leasesEndedAt
		if hasNewStatus || s.orphanedSlots == 0 || now >= s.drainDeadline {
			s.isDraining = false
			s.nextDrainAt = now + minDrainInterval
		}
		return
	}
	isDue := s.orphanedSlots > 0 && s.leasedSlots > 0 && now >= s.orphanedAt+orphanTimeout
	if isOtherDraining || !isDue || now < s.nextDrainAt || s.State != ServerLive {
		return
	}
	s.isDraining = true
	s.drainDeadline = now + drainTimeout
	s.leasesEndedAt = -1
}
