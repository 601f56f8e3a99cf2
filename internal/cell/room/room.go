// Package room decides which capacity of the workers is held for a gang until all its members
// fit at the same time. It is pure: it reads no clock and does no I/O.
package room

import (
	"cmp"
	"slices"
	"time"
)

// Worker is a worker on which members of a gang may start.
type Worker struct {
	// FitsAt has the times from which one, two and more members are expected to fit, in
	// ascending order. A time that is not after the present means that they fit now.
	FitsAt []time.Duration
}

// place is the expected time at which one member fits on a worker.
type place struct {
	at     time.Duration
	worker int
}

// Hold selects the places on which all members of a gang fit the soonest, and returns the number
// of members by index of the worker. It returns nil if there are fewer places than members: a
// part of a gang's capacity serves nobody. Places that are free now are selected first, so that
// repeated calls keep what earlier ones have held.
func Hold(workers []Worker, members int) []int {
	var places []place
	for i, w := range workers {
		for _, at := range w.FitsAt {
			places = append(places, place{at, i})
		}
	}
	if members <= 0 || len(places) < members {
		return nil
	}
	slices.SortStableFunc(places, func(a, b place) int { return cmp.Compare(a.at, b.at) })
	held := make([]int, len(workers))
	for _, p := range places[:members] {
		held[p.worker]++
	}
	return held
}
