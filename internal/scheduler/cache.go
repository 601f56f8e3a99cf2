package scheduler

import (
	"time"

	"gypsumwinch/internal/structs"
)

// WorkerState is a worker with what runs on it.
type WorkerState struct {
	Worker
	// isUp is false while the worker does not answer.
	isUp      bool
	downSince time.Duration
	// used is what live attempts and orphans hold, terminating the part of it
	// that terminating attempts hold, and reserved what reservations hold.
	// available is the rest of the capacity; reservations count only as far as
	// they exceed terminating.
	used, terminating, reserved, available structs.Resources
	invCPU, invMem                         float64

	tasks        []*task
	preemptible  []preemptibleSum
	reservations []*reservation
	// drainedFor is the evaluation for which the worker is drained.
	drainedFor *Evaluation
	// orphans are attempts that have to be stopped and are not the live attempt
	// of a task. While the size of one is unknown, nothing is placed here.
	orphans        map[structs.Attempt]orphan
	unsizedOrphans int
	// pausedUntil keeps a worker that refused a start from new starts.
	pausedUntil time.Duration
	health      health

	rack      *rack
	rackPos   int
	listPos   int
	grid      *grid
	cpuLevel  int
	memLevel  int
	bucketPos int
	// countedFree and countedCapacity are the part of the worker in the totals
	// of the cache.
	countedFree, countedCapacity structs.Resources
}

type orphan struct {
	size structs.Resources
	task *task
}

// Free returns the capacity that is neither used nor reserved.
func (w *WorkerState) Free() structs.Resources { return w.available }

// preemptibleSum sums the attempts on a worker with the same preemptionKey.
type preemptibleSum struct {
	preemptionKey
	sum       structs.Resources
	taskCount int
}

// preemptionKey holds what decides whether an attempt may be preempted.
type preemptionKey struct {
	class  *class
	team   *team
	inGang bool
	// hasNoAccelerators means that the attempts hold no accelerators.
	hasNoAccelerators bool
	// usesBorrowedQuota means that the team was above its quota once the
	// attempts were placed.
	usesBorrowedQuota bool
	isOverrun         bool
}

type rack struct {
	name    string
	workers []*WorkerState
}

// team is a team with what its live attempts hold.
type team struct {
	name         string
	quota        structs.Resources
	isConfigured bool
	// hasChanged means that the last change of configuration changed the team.
	hasChanged bool
	used       structs.Resources
	// terminating is the part of used that terminating attempts hold.
	terminating structs.Resources
}

// isBorrowing reports whether the team holds more than its quota, not counting
// terminating attempts.
func (t *team) isBorrowing() bool {
	return t.isConfigured && !t.used.Sub(t.terminating).Fits(t.quota)
}

// wouldExceedQuota reports whether the team holds more than its quota after
// adding more.
func (t *team) wouldExceedQuota(more structs.Resources) bool {
	return t.isConfigured && !t.used.Add(more).Fits(t.quota)
}

// Cache holds the workers of a data centre, their capacity and what runs where.
// Each change is applied at once; nothing is recomputed from all workers.
type Cache struct {
	// now is the time of the last event.
	now         time.Duration
	workers     map[string]*WorkerState
	workerList  []*WorkerState
	racks       []*rack
	racksByName map[string]*rack
	index       index
	// freeTotal is the sum of the free capacity of the workers that take all
	// tasks.
	freeTotal structs.Resources
	// capacityTotal is the sum of the capacity of the same workers.
	capacityTotal structs.Resources
	// shapeCounts counts the known workers by capacity; shapesVersion changes
	// with it.
	shapeCounts   map[structs.Resources]int
	shapesVersion int
	// rackCursor and preemptCursor rotate the start of bounded scans.
	rackCursor    int
	preemptCursor int
}

// NewCache returns a cache without workers.
func NewCache() *Cache {
	return &Cache{
		workers: map[string]*WorkerState{}, racksByName: map[string]*rack{}, index: newIndex(),
		shapeCounts: map[structs.Resources]int{},
	}
}

// upsertWorker adds a worker or changes its capacity, rack and leaving flag.
// The caller refreshes the worker.
func (c *Cache) upsertWorker(worker Worker) *WorkerState {
	w := c.workers[worker.ID]
	if w == nil {
		w = &WorkerState{listPos: len(c.workerList)}
		c.workers[worker.ID] = w
		c.workerList = append(c.workerList, w)
		c.countShape(worker.Capacity, 1)
		c.addToRack(w, worker.Rack)
	} else {
		if w.Capacity != worker.Capacity {
			c.countShape(w.Capacity, -1)
			c.countShape(worker.Capacity, 1)
		}
		if w.Rack != worker.Rack {
			c.removeFromRack(w)
			c.addToRack(w, worker.Rack)
		}
	}
	w.Worker = worker
	w.invCPU = 1 / float64(max(worker.Capacity.MilliCPU, 1))
	w.invMem = 1 / float64(max(worker.Capacity.MemoryMB, 1))
	return w
}

// removeWorker removes a worker on which nothing runs.
func (c *Cache) removeWorker(w *WorkerState) {
	c.index.remove(w)
	c.removeFromTotals(w)
	c.removeFromRack(w)
	last := c.workerList[len(c.workerList)-1]
	c.workerList[w.listPos] = last
	last.listPos = w.listPos
	c.workerList = c.workerList[:len(c.workerList)-1]
	delete(c.workers, w.ID)
	c.countShape(w.Capacity, -1)
}

// countShape adds n to the number of workers of a capacity. Workers of unknown
// capacity, which is zero, do not count.
func (c *Cache) countShape(shape structs.Resources, n int) {
	if shape.IsZero() {
		return
	}
	c.shapeCounts[shape] += n
	if c.shapeCounts[shape] == 0 {
		delete(c.shapeCounts, shape)
	}
	c.shapesVersion++
}

func (c *Cache) addToRack(w *WorkerState, name string) {
	r := c.racksByName[name]
	if r == nil {
		r = &rack{name: name}
		c.racksByName[name] = r
		c.racks = append(c.racks, r)
	}
	w.rack = r
	w.rackPos = len(r.workers)
	r.workers = append(r.workers, w)
}

func (c *Cache) removeFromRack(w *WorkerState) {
	r := w.rack
	last := r.workers[len(r.workers)-1]
	r.workers[w.rackPos] = last
	last.rackPos = w.rackPos
	r.workers = r.workers[:len(r.workers)-1]
}

// acceptsAllTasks reports whether a worker takes tasks other than those it is
// drained for or has reservations of.
func (w *WorkerState) acceptsAllTasks() bool {
	return w.isSchedulable() && w.drainedFor == nil
}

// isSchedulable reports whether a worker takes tasks. If it is drained, these
// are the tasks of one evaluation.
func (w *WorkerState) isSchedulable() bool {
	return w.canStartTasks() && w.isHealthy()
}

// canStartTasks reports whether a worker takes the tasks that have a
// reservation on it, whatever its health.
func (w *WorkerState) canStartTasks() bool {
	return w.isUp && !w.Leaving && w.unsizedOrphans == 0 && w.pausedUntil == 0
}

// refreshWorker recomputes the free capacity of a worker, its place in the
// index and its part of the totals after a change.
func (c *Cache) refreshWorker(w *WorkerState) {
	uncovered := maxResources(w.reserved.Sub(w.terminating), structs.Resources{})
	w.available = w.Capacity.Sub(w.used).Sub(uncovered)
	c.removeFromTotals(w)
	if !w.acceptsAllTasks() {
		c.index.remove(w)
		return
	}
	c.index.update(w)
	w.countedFree, w.countedCapacity = w.available, w.Capacity
	c.freeTotal = c.freeTotal.Add(w.countedFree)
	c.capacityTotal = c.capacityTotal.Add(w.countedCapacity)
}

// removeFromTotals takes a worker out of the totals of the cache.
func (c *Cache) removeFromTotals(w *WorkerState) {
	c.freeTotal = c.freeTotal.Sub(w.countedFree)
	c.capacityTotal = c.capacityTotal.Sub(w.countedCapacity)
	w.countedFree, w.countedCapacity = structs.Resources{}, structs.Resources{}
}

// utilization returns the used part of the CPU or of the memory, whichever is
// greater, from 0 to 1.
func (c *Cache) utilization() float64 {
	cpu := float64(c.freeTotal.MilliCPU) / float64(max(c.capacityTotal.MilliCPU, 1))
	mem := float64(c.freeTotal.MemoryMB) / float64(max(c.capacityTotal.MemoryMB, 1))
	return 1 - min(cpu, mem)
}

// allocate assigns a task to a worker.
func (c *Cache) allocate(t *task, w *WorkerState, size structs.Resources) {
	t.worker = w
	t.startedAt = c.now
	t.allocated = size
	t.workerPos = len(w.tasks)
	w.tasks = append(w.tasks, t)
	w.used = w.used.Add(size)
	t.job.team.used = t.job.team.used.Add(size)
	t.usesBorrowedQuota = t.job.team.wouldExceedQuota(structs.Resources{})
	w.countPreemptible(t, 1)
	c.refreshWorker(w)
}

// release removes a task from its worker.
func (c *Cache) release(t *task) {
	w := t.worker
	w.countPreemptible(t, -1)
	last := w.tasks[len(w.tasks)-1]
	w.tasks[t.workerPos] = last
	last.workerPos = t.workerPos
	w.tasks[len(w.tasks)-1] = nil
	w.tasks = w.tasks[:len(w.tasks)-1]
	w.used = w.used.Sub(t.allocated)
	t.job.team.used = t.job.team.used.Sub(t.allocated)
	t.worker = nil
	c.refreshWorker(w)
}

// countPreemptible adds a task to the sums of preemptible work (n is 1), or
// takes it out (n is -1).
func (w *WorkerState) countPreemptible(t *task, n int) {
	if !t.isPreemptible() {
		return
	}
	key := t.preemptionKey()
	amount := t.allocated.Times(int64(n))
	for i := range w.preemptible {
		preemptible := &w.preemptible[i]
		if preemptible.preemptionKey != key {
			continue
		}
		preemptible.sum = preemptible.sum.Add(amount)
		preemptible.taskCount += n
		if preemptible.taskCount == 0 {
			w.preemptible[i] = w.preemptible[len(w.preemptible)-1]
			w.preemptible = w.preemptible[:len(w.preemptible)-1]
		}
		return
	}
	w.preemptible = append(w.preemptible, preemptibleSum{key, amount, n})
}
