package scheduler

import (
	"math"
	"time"

	"gypsumwinch/internal/structs"
)

// PlacementRequest describes a task for which a worker is searched.
type PlacementRequest struct {
	Need    structs.Resources
	Urgent  bool
	Service bool
	// Late means that the start deadline of the task has passed.
	Late bool
	// AvoidWorker is the worker on which the last attempt failed, empty if none
	// did.
	AvoidWorker string
	// liveByRack counts the live tasks of the service by rack.
	liveByRack map[*rack]int
	// utilization is the used part of the capacity of the data centre, from 0
	// to 1.
	utilization float64
}

// Filter is a step of the policy that rules out workers. For each task to place
// it is called for candidate workers, which have enough free capacity.
type Filter interface {
	// Allows reports whether the task may run on w.
	Allows(r *PlacementRequest, w *WorkerState) bool
}

// Scorer is a step of the policy that rates workers. For each task to place it
// is called for the candidates that no Filter has ruled out. The worker with
// the highest sum of the scores is used.
type Scorer interface {
	// Score returns the rating of w for the task. Higher is better.
	Score(r *PlacementRequest, w *WorkerState) float64
}

// Reserver is a step of the policy that reserves capacity. It is called in a
// scheduling cycle for an evaluation that does not fit.
type Reserver interface {
	// Reserve reserves capacity for e and reports whether e has to wait for
	// nothing else. If not, the next Reserver is called.
	Reserve(s *Scheduler, e *Evaluation) bool
	// WakeAt returns the earliest time at which the step may apply to the
	// evaluation. It is called when the evaluation is blocked, to set the time
	// of the next try.
	WakeAt(e *Evaluation) time.Duration
}

// Policy holds the steps that decide on placements, each kind in the order in
// which it is called.
type Policy struct {
	Filters   []Filter
	Scorers   []Scorer
	Reservers []Reserver
}

// DefaultPolicy returns the policy that meets the targets of the design page.
// New uses it.
func DefaultPolicy() *Policy {
	return &Policy{
		Filters:   []Filter{probeFilter{}},
		Scorers:   []Scorer{packScorer{}, spreadScorer{}, avoidScorer{}},
		Reservers: []Reserver{preemptReserver{}, drainReserver{}},
	}
}

// probeFilter excludes quarantined workers, which take tasks only as probes,
// for urgent tasks. Late tasks are allowed there: there may be no other worker
// for them.
type probeFilter struct{}

func (probeFilter) Allows(r *PlacementRequest, w *WorkerState) bool {
	return !r.Urgent || r.Late || !w.health.isQuarantined
}

// packScorer prefers workers that the task leaves full, with CPU and memory
// used up evenly. If only one of the two is left on a worker, no further task
// fits, so the imbalance counts more at a higher utilization. In an empty data
// centre this weight would spread the work over all workers.
type packScorer struct{}

// imbalanceWeight is the smallest of 2, 6, 12, 24 and 48 with which the policy
// packs each of 16 generated mixes to 95 % of the bound.
const imbalanceWeight = 24

// Score rates a candidate by the CPU and memory that the task would leave free
// there and by the difference between the two.
func (packScorer) Score(r *PlacementRequest, w *WorkerState) float64 {
	cpu := float64(w.free.MilliCPU-r.Need.MilliCPU) * w.invCPU
	mem := float64(w.free.MemoryMB-r.Need.MemoryMB) * w.invMem
	return -(cpu + mem + imbalanceWeight*r.utilization*math.Abs(cpu-mem))
}

// spreadScorer spreads the tasks of a service over racks.
type spreadScorer struct{}

const (
	rackPenalty         = 1000
	failedWorkerPenalty = 100_000
)

// Score rates a candidate for a task of a service by the number of live tasks
// of its group in the rack; it is zero for other tasks.
func (spreadScorer) Score(r *PlacementRequest, w *WorkerState) float64 {
	if !r.Service {
		return 0
	}
	return -rackPenalty * float64(r.liveByRack[w.rack])
}

// avoidScorer retries a failed task on another worker if there is one.
type avoidScorer struct{}

// Score rates the worker low on which the last attempt of the task failed, and
// all other candidates zero.
func (avoidScorer) Score(r *PlacementRequest, w *WorkerState) float64 {
	if r.AvoidWorker != "" && r.AvoidWorker == w.ID {
		return -failedWorkerPenalty
	}
	return 0
}
