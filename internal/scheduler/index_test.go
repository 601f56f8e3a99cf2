package scheduler

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gypsumwinch/internal/structs"
)

// Guards against an index that misses a worker with enough free capacity, so
// that a task waits although it fits, or that returns a worker without it.
// Workers change their level when their used capacity changes.
func TestIndexFindsTheSameAsAScan(t *testing.T) {
	draw := func(t *rapid.T, maxAmount int64) structs.Resources {
		return structs.Resources{
			MilliCPU:     rapid.Int64Range(0, maxAmount).Draw(t, "cpu"),
			MemoryMB:     rapid.Int64Range(0, 2*maxAmount).Draw(t, "mem"),
			Accelerators: rapid.Int64Range(0, 3).Draw(t, "acc"),
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		c := NewCache()
		for i := range rapid.IntRange(1, 20).Draw(t, "workers") {
			w := c.upsertWorker(Worker{ID: fmt.Sprint(i), Capacity: draw(t, 9000)})
			w.isUp = true
			c.refreshWorker(w)
			w.used = structs.Resources{MilliCPU: rapid.Int64Range(0, w.Capacity.MilliCPU).Draw(t, "used")}
			c.refreshWorker(w)
		}
		need := draw(t, 5000)
		found := map[string]bool{}
		c.index.visitFitting(need, func(w *WorkerState) bool {
			found[w.ID] = true
			return true
		}, func() bool { return true })
		for _, w := range c.workerList {
			if found[w.ID] != need.Fits(w.available) {
				t.Fatalf("need %v, worker with %v free: found %v", need, w.available, found[w.ID])
			}
		}
	})
}

// Guards against levels that decrease as the amount grows, or exceed the grid.
// The index would then skip workers with enough free capacity.
func TestLevelIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.Int64Range(0, 1<<22).Draw(t, "a")
		b := rapid.Int64Range(a, 1<<22).Draw(t, "b")
		if capacityLevel(a) > capacityLevel(b) || capacityLevel(b) >= levelCount {
			t.Fatalf("level(%d) = %d, level(%d) = %d", a, capacityLevel(a), b, capacityLevel(b))
		}
	})
}
