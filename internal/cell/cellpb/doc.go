// Package cellpb holds the messages and the Twirp client and server of service Cell,
// through which the entry VMs of one cell call each other. All code but this file is
// generated from cell.proto; what the calls do is in package node. Read the service
// Cell in cell.proto first.
package cellpb

//go:generate bash generate.sh
