// Package peerpb is the generated protocol between entry VMs. generate.sh
// makes it from peer.proto.
package peerpb

//go:generate bash generate.sh
