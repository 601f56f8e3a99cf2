package scheduler

import "gypsumwinch/internal/structs"

// allocationFor returns the size to allocate for a task: the declared size,
// raised to what was learned about its class and its earlier attempts. The
// raise makes no task too large for every worker that its declared size fits,
// and no gang too large for all workers. It is computed when the task is queued
// and again before each decision on it.
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
	largestShape := structs.Resources{}
	for shape := range c.shapeCounts {
		if need.Fits(shape) {
			return need
		}
		if declared.Fits(shape) && isLargerShape(shape, largestShape) {
			largestShape = shape
		}
	}
	if largestShape.IsZero() {
		return declared
	}
	return structs.Resources{
		MilliCPU:     min(need.MilliCPU, largestShape.MilliCPU),
		MemoryMB:     min(need.MemoryMB, largestShape.MemoryMB),
		Accelerators: min(need.Accelerators, largestShape.Accelerators),
	}
}

// maxConcurrentTasks returns how many tasks of a size the known workers hold
// when nothing else runs, counting at most limit per worker. It is used to find
// infeasible jobs, and by allocationFor for gangs.
func (c *Cache) maxConcurrentTasks(size structs.Resources, limit int) int {
	total := 0
	for shape, n := range c.shapeCounts {
		total += n * fitCount(size, shape, limit)
	}
	return total
}

// isLargerShape reports whether shape a is larger than b: by CPU, then by
// memory, then by accelerators. If the size that allocationFor would allocate
// fits no worker, allocationFor limits it to the largest shape that holds the
// declared size. The order makes that choice independent of the iteration order
// of shapeCounts, which is a map.
func isLargerShape(a, b structs.Resources) bool {
	switch {
	case a.MilliCPU != b.MilliCPU:
		return a.MilliCPU > b.MilliCPU
	case a.MemoryMB != b.MemoryMB:
		return a.MemoryMB > b.MemoryMB
	}
	return a.Accelerators > b.Accelerators
}
