package node

import (
	"gypsumwinch/internal/cell/election"
	"gypsumwinch/internal/cell/owner"
)

// statedLeases returns what the next heartbeat records about the leases of workers that do
// not answer, and its version; 0 before the control loop runs. The election calls it for
// each heartbeat and resignation.
func (n *Node) statedLeases() (bounds []election.LeaseBound, version int64) {
	s := n.leaseStatement.Load()
	if s == nil {
		return nil, 0
	}
	for _, b := range s.Bounds {
		bounds = append(bounds, election.LeaseBound(b))
	}
	return bounds, s.Version
}

// formerLeaseBounds returns the bounds that the former owner recorded. takeOver calls it
// after it has read them.
func (n *Node) formerLeaseBounds() []owner.LeaseBound {
	var bounds []owner.LeaseBound
	for _, b := range n.election.FormerLeases() {
		bounds = append(bounds, owner.LeaseBound(b))
	}
	return bounds
}

// leaseStatementAccepted reports to the control loop that the store has accepted a heartbeat
// with a statement. The election calls it for each such heartbeat.
func (n *Node) leaseStatementAccepted(version int64) {
	c := n.activeLoop()
	if c == nil {
		return
	}
	select {
	case c.events <- owner.LeaseStatementStored{Version: version}:
	default:
		// The loop is behind. The next heartbeat follows within 0.4 s.
	}
}
