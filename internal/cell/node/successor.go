package node

import (
	"time"

	"gypsumwinch/internal/cell/cellpb"
)

// standbyFresh is how long a greeting counts for the choice of a successor.
const standbyFresh = 4 * greetEvery

// noteStandby remembers a VM that could take over.
func (c *control) noteStandby(g greeting) {
	if !g.follows {
		delete(c.standbys, g.addr)
		return
	}
	c.standbys[g.addr] = g
}

// chooseSuccessor returns the VM that is to take over when the owner stops: the
// one that was started last, since VMs that are restarted in turn come to it
// last. It returns nil if none is known.
func chooseSuccessor(standbys map[string]greeting, now time.Duration) cellpb.Cell {
	var best *greeting
	for _, g := range standbys {
		if now-g.at > standbyFresh {
			continue
		}
		if best == nil || g.age < best.age || g.age == best.age && g.addr < best.addr {
			best = &g
		}
	}
	if best == nil {
		return nil
	}
	return best.client
}
