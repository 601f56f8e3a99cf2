package node

import (
	"time"

	"gypsumwinch/internal/cell/cellpb"
)

// followerHelloTTL is how long a hello message makes its sender a possible
// successor.
const followerHelloTTL = 4 * helloInterval

// updateFollower records whether a VM can take over. The control loop calls it
// for each hello message.
func (c *controlLoop) updateFollower(h helloMessage) {
	if !h.canTakeOver {
		delete(c.followers, h.addr)
		return
	}
	c.followers[h.addr] = h
}

// chooseSuccessor returns the VM that takes over when the owner stops: the one
// that started last, because a rolling restart reaches it last. It returns nil
// if no VM can take over. The control loop calls it when its context ends.
func chooseSuccessor(followers map[string]helloMessage, now time.Duration) cellpb.Cell {
	var best *helloMessage
	for _, h := range followers {
		if now-h.receivedAt > followerHelloTTL {
			continue
		}
		if best == nil || h.processAge < best.processAge || h.processAge == best.processAge && h.addr < best.addr {
			best = &h
		}
	}
	if best == nil {
		return nil
	}
	return best.client
}
