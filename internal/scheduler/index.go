package scheduler

import (
	"math/bits"

	"gypsumwinch/internal/structs"
)

// Amounts of free capacity are mapped to levels, four per power of two from 32
// units on, so that a level spans at most a quarter of its lower end.
const (
	levelCount        = 64
	levelsPerDoubling = 4
	minLevelExponent  = 5
)

// capacityLevel returns the level of an amount. It grows with the amount. It is
// computed when the free capacity of a worker changes, and for the size of a
// task in each search.
func capacityLevel(x int64) int {
	if x < 1<<minLevelExponent {
		return 0
	}
	exponent := bits.Len64(uint64(x)) - 1
	quarter := int(x>>(exponent-2)) & (levelsPerDoubling - 1)
	return min(levelsPerDoubling*(exponent-minLevelExponent)+quarter, levelCount-1)
}

// grid holds workers in buckets by the levels of their free CPU and memory. The
// bit masks show which buckets have workers, so that a search skips the empty
// ones: bit m of
// memLevels[c] is set if buckets[c][m] is not empty; bit c of cpuLevels is set
// if memLevels[c] is not zero.
type grid struct {
	cpuLevels uint64
	memLevels [levelCount]uint64
	buckets   [levelCount][levelCount][]*WorkerState
}

// add adds a worker to the bucket of CPU level c and memory level m.
// index.update calls it when the levels of the worker have changed or it takes
// tasks again.
func (g *grid) add(w *WorkerState, c, m int) {
	w.cpuLevel, w.memLevel = c, m
	w.bucketPos = len(g.buckets[c][m])
	g.buckets[c][m] = append(g.buckets[c][m], w)
	g.memLevels[c] |= 1 << m
	g.cpuLevels |= 1 << c
}

// remove removes a worker from its bucket. index.remove calls it before the
// worker is added elsewhere, or when it stops taking all tasks.
func (g *grid) remove(w *WorkerState) {
	c, m := w.cpuLevel, w.memLevel
	bucket := g.buckets[c][m]
	last := bucket[len(bucket)-1]
	bucket[w.bucketPos] = last
	last.bucketPos = w.bucketPos
	bucket[len(bucket)-1] = nil
	g.buckets[c][m] = bucket[:len(bucket)-1]
	if len(bucket) > 1 {
		return
	}
	g.memLevels[c] &^= 1 << m
	if g.memLevels[c] == 0 {
		g.cpuLevels &^= 1 << c
	}
}

// visitFitting calls yield for the workers whose free capacity holds need,
// those with the least free CPU first, until yield returns false. It reports
// whether it visited all. index.visitFitting calls it for one grid after the
// other.
func (g *grid) visitFitting(need structs.Resources, yield func(*WorkerState) bool) bool {
	memMask := ^uint64(0) << capacityLevel(need.MemoryMB)
	for cpuBits := g.cpuLevels & (^uint64(0) << capacityLevel(need.MilliCPU)); cpuBits != 0; cpuBits &= cpuBits - 1 {
		c := bits.TrailingZeros64(cpuBits)
		for memBits := g.memLevels[c] & memMask; memBits != 0; memBits &= memBits - 1 {
			for _, w := range g.buckets[c][bits.TrailingZeros64(memBits)] {
				if need.Fits(w.free) && !yield(w) {
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
	// byFreeAccelerators holds the others by the number of their free
	// accelerators.
	byFreeAccelerators []*grid
}

func newIndex() index {
	return index{withoutAccelerators: &grid{}}
}

// gridFor returns the grid that a worker belongs to: withoutAccelerators if its
// capacity has no accelerators, else the one for its present number of free
// accelerators, which it adds if missing. update calls it on each change of a
// worker that takes all tasks.
func (x *index) gridFor(w *WorkerState) *grid {
	if w.Capacity.Accelerators == 0 {
		return x.withoutAccelerators
	}
	n := int(max(w.free.Accelerators, 0))
	for len(x.byFreeAccelerators) <= n {
		x.byFreeAccelerators = append(x.byFreeAccelerators, &grid{})
	}
	return x.byFreeAccelerators[n]
}

// update brings the entry of a worker up to date with its free capacity.
// refreshWorker calls it after each change of a worker that takes all tasks.
func (x *index) update(w *WorkerState) {
	g := x.gridFor(w)
	c, m := capacityLevel(w.free.MilliCPU), capacityLevel(w.free.MemoryMB)
	if w.grid == g && w.cpuLevel == c && w.memLevel == m {
		return
	}
	x.remove(w)
	g.add(w, c, m)
	w.grid = g
}

// remove removes the entry of a worker, if it has one. It is called when the
// worker does not take all tasks or is removed, and by update when the entry
// moves.
func (x *index) remove(w *WorkerState) {
	if w.grid != nil {
		w.grid.remove(w)
		w.grid = nil
	}
}

// visitFitting calls yield for the workers whose free capacity holds need, in
// stages: workers without accelerators first, then those with the fewest free
// ones. After each stage needMore decides whether the next one is visited.
// findWorker calls it for each task to place.
func (x *index) visitFitting(need structs.Resources, yield func(*WorkerState) bool, needMore func() bool) {
	if need.Accelerators == 0 {
		if !x.withoutAccelerators.visitFitting(need, yield) || !needMore() {
			return
		}
	}
	for n := int(need.Accelerators); n < len(x.byFreeAccelerators); n++ {
		if !x.byFreeAccelerators[n].visitFitting(need, yield) || !needMore() {
			return
		}
	}
}
