package jobs

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gypsumwinch/internal/scheduler"
	"gypsumwinch/internal/structs"
)

// placer places tasks on a fixed set of workers.
type placer interface {
	// place places a task and reports whether it fitted.
	place(d DeclaredTask) bool
	// freeCapacity returns the free capacity of each worker.
	freeCapacity() []structs.Resources
}

// acceleratorsOf returns the number of accelerators of the i-th worker of a
// cell: eight on every seventh worker, which is close to 1,600 on 1,300 workers.
func acceleratorsOf(i int) int64 {
	if i%7 == 6 {
		return 8
	}
	return 0
}

// cellWorkers returns n workers with 32 cores and 64 GB each, eight per rack.
func cellWorkers(n int) []scheduler.Worker {
	workers := make([]scheduler.Worker, n)
	for i := range workers {
		workers[i] = scheduler.Worker{
			ID: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("rack%03d", i/8),
			Capacity: structs.Resources{MilliCPU: 32_000, MemoryMB: 65_536, Accelerators: acceleratorsOf(i)},
		}
	}
	return workers
}

// policyPlacer places tasks with the scheduler of the product.
type policyPlacer struct {
	cell           *Cell
	submittedCount int
}

// newPolicyPlacer returns a placer whose attempts run until they are stopped.
func newPolicyPlacer(workers []scheduler.Worker) *policyPlacer {
	cell := NewCell(benchmarkConfig())
	cell.Behaviour.RunTime = func(structs.Attempt) time.Duration { return 0 }
	for _, w := range workers {
		cell.AddWorker(w)
	}
	return &policyPlacer{cell: cell}
}

// place submits the task as a job of its own and reports whether it started at
// once.
func (p *policyPlacer) place(d DeclaredTask) bool {
	id := jobID(p.submittedCount)
	p.submittedCount++
	p.cell.Submit(d.job(id))
	_, live := p.cell.Live(structs.TaskID{Job: id})
	return live
}

func jobID(n int) string { return fmt.Sprintf("j%06d", n) }

func (p *policyPlacer) freeCapacity() []structs.Resources { return p.cell.free() }

// capacityTracker holds the free capacity of each worker for the baselines.
type capacityTracker struct {
	workers []structs.Resources
}

// newCapacityTracker returns a tracker of workers without tasks.
func newCapacityTracker(workers []scheduler.Worker) capacityTracker {
	var l capacityTracker
	for _, w := range workers {
		l.workers = append(l.workers, w.Capacity)
	}
	return l
}

func (l *capacityTracker) freeCapacity() []structs.Resources { return l.workers }

// allocate takes the resources from the i-th worker and reports whether they
// fitted.
func (l *capacityTracker) allocate(i int, need structs.Resources) bool {
	if !need.Fits(l.workers[i]) {
		return false
	}
	l.workers[i] = l.workers[i].Sub(need)
	return true
}

// firstFit is the baseline that uses the first worker with enough free capacity.
type firstFit struct{ capacityTracker }

// place implements placer.
func (f *firstFit) place(d DeclaredTask) bool {
	for i := range f.workers {
		if f.allocate(i, d.Resources) {
			return true
		}
	}
	return false
}

// randomFit is the baseline that uses a random worker with enough free capacity.
type randomFit struct {
	capacityTracker
	rng *rand.Rand
}

// place implements placer.
func (r *randomFit) place(d DeclaredTask) bool {
	for _, i := range r.rng.Perm(len(r.workers)) {
		if r.allocate(i, d.Resources) {
			return true
		}
	}
	return false
}

// policies lists the compared placers in the order of the report.
var policies = []struct {
	name  string
	build func(workers []scheduler.Worker, seed uint64) placer
}{
	{"gypsumwinch", func(w []scheduler.Worker, _ uint64) placer { return newPolicyPlacer(w) }},
	{"first fit", func(w []scheduler.Worker, _ uint64) placer { return &firstFit{newCapacityTracker(w)} }},
	{"random", func(w []scheduler.Worker, seed uint64) placer {
		return &randomFit{newCapacityTracker(w), rand.New(rand.NewPCG(seed, seed))}
	}},
}
