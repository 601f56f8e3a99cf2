// Package cellpb holds the messages between the entry VMs of one cell.
package cellpb

//go:generate bash generate.sh
