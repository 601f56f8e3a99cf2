package daemon

import (
	"time"

	"gypsumwinch/internal/ownership"
)

const (
	// slotReturnTimeout bounds the wait for brokers to take back this VM's
	// slots.
	slotReturnTimeout = 2 * time.Second
	// releaseTimeout bounds the wait for the release record to be on the log.
	releaseTimeout = 3 * time.Second
)

// drainState is the progress of a shutdown.
type drainState struct {
	idleSince  time.Duration
	isReleased bool
	releasedAt time.Duration
}

// advanceDrain advances a shutdown and reports whether it is complete: no
// request is active, the slots are returned and ownership is released.
// publishView calls it on the control loop at each new view after
// shutdownRequested.
func (c *control) advanceDrain() bool {
	if len(c.activeRequests) > 0 {
		return false
	}
	now := c.now()
	if c.idleSince == 0 {
		c.idleSince = now
	}
	if !c.isReleased {
		if c.hasSlots() && now-c.idleSince < slotReturnTimeout {
			return false
		}
		c.isReleased = true
		c.releasedAt = now
		c.applyOwnershipEvent(ownership.Shutdown{})
	}
	return c.ownerAppendsInFlight == 0 || now-c.releasedAt > releaseTimeout
}

// hasSlots reports whether any broker has granted slots to this VM. publishView
// calls it to decide whether the VM is ready, and advanceDrain to wait for the
// return of the slots.
func (c *control) hasSlots() bool {
	for _, s := range c.slotSyncs {
		if s.hasSlots() {
			return true
		}
	}
	return false
}
