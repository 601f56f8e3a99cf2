package scheduler

import (
	"math/bits"

	"gypsumwinch/internal/structs"
)

// The free capacity of a worker is put into levelCount, four per power of two from
// 32 units on, so that a level spans at most a quarter of its lower end.
const (
	levelCount        = 64
	levelsPerDoubling = 4
	minLevelExponent  = 5
)

// capacityLevel returns the capacityLevel of an amount. It grows with the amount.
func capacityLevel(x int64) int {
	if x < 1<<minLevelExponent {
		return 0
	}
	step := bits.Len64(uint64(x)) - 1
	part := int(x>>(step-2)) & (levelsPerDoubling - 1)
	return min(levelsPerDoubling*(step-minLevelExponent)+part, levelCount-1)
}

// grid holds workers by the levels of their free processors and memory. Bit m
// of cols[c] is set if cells[c][m] is not empty; bit c of rows is set if cols[c]
// is not zero.
type grid struct {
	cpuLevels uint64
	memLevels [levelCount]uint64
	buckets   [levelCount][levelCount][]*WorkerState
}

func (g *grid) add(w *WorkerState, c, m int) {
	w.cpuLevel, w.memLevel = c, m
	w.bucketPos = len(g.buckets[c][m])
	g.buckets[c][m] = append(g.buckets[c][m], w)
	g.memLevels[c] |= 1 << m
	g.cpuLevels |= 1 << c
}

func (g *grid) remove(w *WorkerState) {
	c, m := w.cpuLevel, w.memLevel
	cell := g.buckets[c][m]
	last := cell[len(cell)-1]
	cell[w.bucketPos] = last
	last.bucketPos = w.bucketPos
	cell[len(cell)-1] = nil
	g.buckets[c][m] = cell[:len(cell)-1]
	if len(cell) > 1 {
		return
	}
	g.memLevels[c] &^= 1 << m
	if g.memLevels[c] == 0 {
		g.cpuLevels &^= 1 << c
	}
}

// visitFitting calls yield for the workers with room for need, those with the fewest
// free processors first, until yield returns false. It reports whether it went
// through all.
func (g *grid) visitFitting(need structs.Resources, yield func(*WorkerState) bool) bool {
	minMem := ^uint64(0) << capacityLevel(need.MemoryMB)
	for rows := g.cpuLevels & (^uint64(0) << capacityLevel(need.MilliCPU)); rows != 0; rows &= rows - 1 {
		c := bits.TrailingZeros64(rows)
		for cols := g.memLevels[c] & minMem; cols != 0; cols &= cols - 1 {
			for _, w := range g.buckets[c][bits.TrailingZeros64(cols)] {
				if need.Fits(w.available) && !yield(w) {
					return false
				}
			}
		}
	}
	return true
}

// index finds workers by free capacity without a scan of all workers.
type index struct {
	// withoutAccelerators holds the workers that have no accelerators.
	withoutAccelerators *grid
	// byFreeAccelerators holds the others by the number of their free accelerators.
	byFreeAccelerators []*grid
}

func newIndex() index {
	return index{withoutAccelerators: &grid{}}
}

func (x *index) gridFor(w *WorkerState) *grid {
	if w.Capacity.Accelerators == 0 {
		return x.withoutAccelerators
	}
	n := int(max(w.available.Accelerators, 0))
	for len(x.byFreeAccelerators) <= n {
		x.byFreeAccelerators = append(x.byFreeAccelerators, &grid{})
	}
	return x.byFreeAccelerators[n]
}

// update brings the entry of a worker up to date with its free capacity.
func (x *index) update(w *WorkerState) {
	g := x.gridFor(w)
	c, m := capacityLevel(w.available.MilliCPU), capacityLevel(w.available.MemoryMB)
	if w.grid == g && w.cpuLevel == c && w.memLevel == m {
		return
	}
	x.remove(w)
	g.add(w, c, m)
	w.grid = g
}

func (x *index) remove(w *WorkerState) {
	if w.grid != nil {
		w.grid.remove(w)
		w.grid = nil
	}
}

// visitFitting calls yield for the workers with room for need, in stages: workers
// without accelerators first, then those with the fewest free ones. After each
// stage more decides whether the next one is needed.
func (x *index) visitFitting(need structs.Resources, yield func(*WorkerState) bool, more func() bool) {
	if need.Accelerators == 0 {
		if !x.withoutAccelerators.visitFitting(need, yield) || !more() {
			return
		}
	}
	for n := int(need.Accelerators); n < len(x.byFreeAccelerators); n++ {
		if !x.byFreeAccelerators[n].visitFitting(need, yield) || !more() {
			return
		}
	}
}
