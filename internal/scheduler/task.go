package scheduler

import (
	"time"

	"gypsumwinch/internal/jobstate"
	"gypsumwinch/internal/structs"
)

type taskState uint8

const (
	// taskIdle waits for something other than capacity: the end of an attempt
	// that has to be stopped, its release, or the rest of its gang.
	taskIdle taskState = iota
	// taskQueued is in the pending list of an evaluation.
	taskQueued
	// taskReserved waits for its claim on a worker.
	taskReserved
	// taskDelayed waits for the end of its retry delay.
	taskDelayed
	taskLive
	taskDone
)

// task is one task with its live attempt, if any.
type task struct {
	job      *job
	index    int32
	group    int32
	attempts int32
	failures int32
	state    taskState
	// hasStarted is set when the worker has confirmed the attempt.
	hasStarted bool
	// isOverrun is set when the attempt runs far longer than expected.
	isOverrun bool
	// usesBorrowedQuota is set if the attempt went above the quota of the team when it was
	// placed. Only such attempts are taken back: the team could take the
	// capacity of others in turn.
	usesBorrowedQuota bool
	// wasStraggler is set after an attempt was ended as a straggler. Further attempts
	// are not: a task whose declared run time is far too short would never
	// finish.
	wasStraggler bool
	// isStopRequested is set when a stop, not only a checkpoint, was asked for.
	isStopRequested bool
	workerPos       int
	worker          *WorkerState
	allocated       structs.Resources
	startedAt       time.Duration
	// startDeadline is the latest start that meets the targets. It is set when the
	// task is first queued and kept, so that the order of tasks is stable.
	startDeadline time.Duration
	// isTerminating is set while the attempt is told to end, which it was at
	// endingSince.
	isTerminating    bool
	terminatingSince time.Duration
	// throttledAt is when the attempt was last throttled, zero if it never was.
	throttledAt time.Duration
	// peakUse is the highest use reported, minSize the size that the next attempt
	// needs at least.
	peakUse, minSize structs.Resources
	// avoidWorker is the worker on which the last attempt failed.
	avoidWorker string
	// orphanCount counts attempts that have to end before the next start.
	orphanCount int
}

// job is a job with its tasks.
type job struct {
	spec        structs.Job
	class       *class
	team        *team
	acceptedAt  time.Duration
	isCancelled bool
	tasks       []task
	// openTasks is the number of tasks that are not done, liveTasks of those that run.
	openTasks, liveTasks int
	budget               jobstate.FailureBudget
	evals                []*Evaluation
	// failureWorkers holds the workers on whose record the job has put a failure.
	failureWorkers []*WorkerState
	// liveByRack counts the live tasks of each service group by rack.
	liveByRack []map[*rack]int
	gangs      []*gang
	// checkedShapesVersion is the version of the worker shapes for which never holds.
	checkedShapesVersion int
	// infeasibleReason tells why the job can infeasibleReason run.
	infeasibleReason string
	// hasExplanation is set while the last Explain of the job has a reason.
	hasExplanation bool
}

// gang is a set of tasks that start all at once.
type gang struct {
	members []int32
	// busyMembers counts members that are told to end or wait for a retry.
	busyMembers int
	// isIncomplete is set while a part of the gang waits and the rest runs, which is
	// so since brokenSince.
	isIncomplete    bool
	incompleteSince time.Duration
	eval            *Evaluation
}

func (t *task) id() structs.TaskID {
	return structs.TaskID{Job: t.job.spec.ID, Index: int(t.index)}
}

func (t *task) attempt() structs.Attempt {
	return structs.Attempt{Task: t.id(), Number: int(t.attempts), Worker: t.worker.ID}
}

func (t *task) spec() *structs.TaskGroup { return &t.job.spec.Groups[t.group] }

func (t *task) gang() *gang { return t.job.gangs[t.group] }

func (t *task) isService() bool {
	return t.spec().Service || t.job.class.Kind == structs.KindService
}

// isPreemptible reports whether the live attempt may be told to end for others.
// Work that must run at most once is never ended early.
func (t *task) isPreemptible() bool {
	return !t.isTerminating && !t.job.isNonIdempotent()
}

func (t *task) preemptionKey() preemptionKey {
	return preemptionKey{t.job.class, t.job.team, t.gang() != nil, t.allocated.Accelerators == 0, t.usesBorrowedQuota, t.isOverrun}
}

// maxResources returns the greater amount in each dimension.
func maxResources(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func (j *job) isNonIdempotent() bool {
	return j.spec.NonIdempotent || j.class.NonIdempotent
}

// newJob lays out the tasks and gangs of a job.
func newJob(spec structs.Job, c *class, tm *team, accepted time.Duration) *job {
	j := &job{spec: spec, class: c, team: tm, acceptedAt: accepted}
	j.tasks = make([]task, spec.TaskCount())
	j.gangs = make([]*gang, len(spec.Groups))
	j.openTasks = len(j.tasks)
	var whole *gang
	if c.Kind == structs.KindGang {
		whole = &gang{}
	}
	index := 0
	for g, group := range spec.Groups {
		j.gangs[g] = whole
		if whole == nil && group.Gang {
			j.gangs[g] = &gang{}
		}
		for range group.Count {
			t := &j.tasks[index]
			t.job, t.index, t.group = j, int32(index), int32(g)
			if j.gangs[g] != nil {
				j.gangs[g].members = append(j.gangs[g].members, t.index)
			}
			index++
		}
	}
	return j
}
