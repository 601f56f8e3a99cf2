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

// Filter is a step of the policy that rules out workers. It is asked about
// workers that have enough free capacity.
type Filter interface {
	// Allows reports whether the task may run on w.
	Allows(r *PlacementRequest, w *WorkerState) bool
}

// Scorer is a step of the policy that rates workers. The worker with the
// highest sum of the scores is used.
type Scorer interface {
	// Score returns the rating of w for the task. Higher is better.
	Score(r *PlacementRequest, w *WorkerState) float64
}

// Reserver is a step of the policy for an evaluation that does not fit.
type Reserver interface {
	// Reserve reserves capacity for e and reports whether e has to wait for
	// nothing else; otherwise the next Reserver is asked.
	Reserve(s *Scheduler, e *Evaluation) bool
	// WakeAt returns the earliest time at which the step may apply to the
	// evaluation.
	WakeAt(e *Evaluation) time.Duration
}

// Policy holds the steps that decide on placements, each kind in the order in
// which it is asked.
type Policy struct {
	Filters   []Filter
	Scorers   []Scorer
	Reservers []Reserver
}

// DefaultPolicy returns the policy that meets the targets of the design page.
func DefaultPolicy() *Policy {
	return &Policy{
		Filters:   []Filter{probeFilter{}},
		Scorers:   []Scorer{packScorer{}, spreadScorer{}, avoidScorer{}},
		Reservers: []Reserver{preemptReserver{}, drainReserver{}},
	}
}

// probeFilter keeps urgent tasks off quarantined workers, which take tasks only
// as probes. Late tasks are allowed there: there may be no other worker for
// them.
type probeFilter struct{}

func (probeFilter) Allows(r *PlacementRequest, w *WorkerState) bool {
	return !r.Urgent || r.Late || !w.health.isQuarantined
}

// packScorer prefers workers that the task leaves full, with CPU and memory
// used up evenly. CPU or memory that is left alone can hold no further task, so
// the imbalance counts more at a higher utilization. In an empty data centre it
// would spread the work over all workers.
type packScorer struct{}

// imbalanceWeight is the smallest of 2, 6, 12, 24 and 48 with which the policy
// packs each of 16 generated mixes to 95 % of the bound.
const imbalanceWeight = 24

func (packScorer) Score(r *PlacementRequest, w *WorkerState) float64 {
	cpu := float64(w.available.MilliCPU-r.Need.MilliCPU) * w.invCPU
	mem := float64(w.available.MemoryMB-r.Need.MemoryMB) * w.invMem
	return -(cpu + mem + imbalanceWeight*r.utilization*math.Abs(cpu-mem))
}

// spreadScorer spreads the tasks of a service over racks.
type spreadScorer struct{}

const (
	rackPenalty         = 1000
	failedWorkerPenalty = 100_000
)

func (spreadScorer) Score(r *PlacementRequest, w *WorkerState) float64 {
	if !r.Service {
		return 0
	}
	return -rackPenalty * float64(r.liveByRack[w.rack])
}

// avoidScorer retries a failed task on another worker if there is one.
type avoidScorer struct{}

func (avoidScorer) Score(r *PlacementRequest, w *WorkerState) float64 {
	if r.AvoidWorker != "" && r.AvoidWorker == w.ID {
		return -failedWorkerPenalty
	}
	return 0
}
