// Package peer is the client of the protocol between entry VMs: heartbeats, slot
// leases, configuration and job status. The protocol is defined in package peerpb and
// served by package daemon. Package peer adds no retries and does not choose peers.
// Read Client first.
package peer
