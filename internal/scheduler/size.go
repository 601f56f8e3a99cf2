package scheduler

import "gypsumwinch/internal/structs"

// allocationFor returns the size to allocate for a task: the declared size,
// raised to what was learned about its class and its earlier attempts. The
// raise makes no task too large for every worker that its declared size fits,
// and no gang too large for all workers.
func (c *Cache) allocationFor(j *job, index int32) structs.Resources {
	t := &j.tasks[index]
	declared := t.spec().Resources
	need := maxResources(j.class.learnedSize(declared), t.minSize)
	if need == declared {
		return need
	}
	if g := t.gang(); g != nil && c.maxConcurrentTasks(need, len(g.members)) < len(g.members) {
		return declared
	}
	best := structs.Resources{}
	for shape := range c.shapeCounts {
		if need.Fits(shape) {
			return need
		}
		if declared.Fits(shape) && isLargerShape(shape, best) {
			best = shape
		}
	}
	if best.IsZero() {
		return declared
	}
	return structs.Resources{
		MilliCPU:     min(need.MilliCPU, best.MilliCPU),
		MemoryMB:     min(need.MemoryMB, best.MemoryMB),
		Accelerators: min(need.Accelerators, best.Accelerators),
	}
}

// maxConcurrentTasks returns how many tasks of a size the known workers hold
// when nothing else runs, counting at most limit per worker.
func (c *Cache) maxConcurrentTasks(size structs.Resources, limit int) int {
	total := 0
	for shape, n := range c.shapeCounts {
		total += n * fitCount(size, shape, limit)
	}
	return total
}

// isLargerShape orders shapes, so that the choice of one does not depend on the
// iteration order of a map.
func isLargerShape(a, b structs.Resources) bool {
	switch {
	case a.MilliCPU != b.MilliCPU:
		return a.MilliCPU > b.MilliCPU
	case a.MemoryMB != b.MemoryMB:
		return a.MemoryMB > b.MemoryMB
	}
	return a.Accelerators > b.Accelerators
}
