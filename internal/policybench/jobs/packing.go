package jobs

import (
	"time"

	"gypsumwinch/internal/scheduler"
	"gypsumwinch/internal/structs"
)

// totalCapacity returns the sum of the capacities of the workers.
func totalCapacity(workers []scheduler.Worker) structs.Resources {
	var sum structs.Resources
	for _, w := range workers {
		sum = sum.Add(w.Capacity)
	}
	return sum
}

// prefixBoundMilliCPU returns the thousandths of a core of the longest prefix of
// the list whose total fits into the total capacity of the workers. No policy
// that places the tasks in this order can use more before the first task that
// does not fit.
func prefixBoundMilliCPU(list []DeclaredTask, workers []scheduler.Worker) int64 {
	capacity := totalCapacity(workers)
	var sum structs.Resources
	for _, d := range list {
		next := sum.Add(d.Resources)
		if !next.Fits(capacity) {
			break
		}
		sum = next
	}
	return sum.MilliCPU
}

// milliCPUAtFirstMiss places the list in order and returns the thousandths of a
// core in use when the first task does not fit.
func milliCPUAtFirstMiss(p placer, list []DeclaredTask) int64 {
	var used int64
	for _, d := range list {
		if !p.place(d) {
			break
		}
		used += d.Resources.MilliCPU
	}
	return used
}

// workersLowerBound returns the smallest number of workers whose total capacity
// holds the list.
func workersLowerBound(list []DeclaredTask) int {
	var sum structs.Resources
	for _, d := range list {
		sum = sum.Add(d.Resources)
	}
	n := 1
	for !sum.Fits(totalCapacity(cellWorkers(n))) {
		n++
	}
	return n
}

// workersNeeded returns the smallest number of workers, starting from the lower
// bound, on which the policy places the whole list.
func workersNeeded(list []DeclaredTask, build func(workers int) placer) int {
	for n := workersLowerBound(list); ; n++ {
		if placesAll(build(n), list) {
			return n
		}
	}
}

// placesAll reports whether the policy places the whole list.
func placesAll(p placer, list []DeclaredTask) bool {
	for _, d := range list {
		if !p.place(d) {
			return false
		}
	}
	return true
}

// preemptionWait is the virtual time that the policy gets to end the work that
// it preempts.
const preemptionWait = 10 * time.Second

// strandedAccelerators places the list, skipping tasks that do not fit. It
// returns the stranded and all free accelerators. Accelerators are stranded if
// their worker lacks the processors or memory for a waiting task that needs no
// more accelerators than are free there.
func strandedAccelerators(p placer, list []DeclaredTask) (stranded, free int64) {
	var waiting []DeclaredTask
	for _, d := range list {
		if !p.place(d) && d.Resources.Accelerators > 0 {
			waiting = append(waiting, d)
		}
	}
	if policy, ok := p.(*policyPlacer); ok {
		policy.cell.Advance(preemptionWait)
		waiting = policy.waitingTasks(list)
	}
	for _, w := range p.freeCapacity() {
		free += w.Accelerators
		if w.Accelerators > 0 && hasTaskFor(w, waiting) {
			stranded += w.Accelerators
		}
	}
	return stranded, free
}

// hasTaskFor reports whether the free accelerators of a worker would suffice for
// a waiting task, whatever its processors and memory.
func hasTaskFor(free structs.Resources, waiting []DeclaredTask) bool {
	for _, d := range waiting {
		if d.Resources.Accelerators <= free.Accelerators {
			return true
		}
	}
	return false
}

// waitingTasks returns the tasks of the list that need accelerators and are not
// running. strandedAccelerators calls it after preempted work has ended.
func (p *policyPlacer) waitingTasks(list []DeclaredTask) []DeclaredTask {
	var out []DeclaredTask
	for i, d := range list {
		if d.Resources.Accelerators == 0 {
			continue
		}
		if _, live := p.cell.Live(structs.TaskID{Job: jobID(i)}); !live {
			out = append(out, d)
		}
	}
	return out
}
