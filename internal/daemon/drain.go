package daemon

import (
	"time"

	"gypsumwinch/internal/ownership"
)

const (
	// slotReturnWait bounds the wait for brokers to take slots back.
	slotReturnWait = 2 * time.Second
	// releaseWait bounds the wait for the release to be on the log.
	releaseWait = 3 * time.Second
)

// drainState is the progress of a shutdown.
type drainState struct {
	idleSince  time.Duration
	released   bool
	releasedAt time.Duration
}

// drained advances a shutdown and reports whether it is complete: no request is
// live, the slots are returned and the data centre is released.
func (c *control) drained() bool {
	if len(c.live) > 0 {
		return false
	}
	now := c.now()
	if c.idleSince == 0 {
		c.idleSince = now
	}
	if !c.released {
		if c.holdsSlots() && now-c.idleSince < slotReturnWait {
			return false
		}
		c.released = true
		c.releasedAt = now
		c.applyOwnershipEvent(ownership.Shutdown{})
	}
	return c.ownerAppendsInFlight == 0 || now-c.releasedAt > releaseWait
}

func (c *control) holdsSlots() bool {
	for _, s := range c.slotSyncs {
		if s.holds() {
			return true
		}
	}
	return false
}
