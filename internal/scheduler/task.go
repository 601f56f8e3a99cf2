package scheduler

import (
	"time"

	"gypsumwinch/internal/jobstate"
	"gypsumwinch/internal/structs"
)

type taskState uint8

const (
	// taskIdle waits for something other than capacity: the end of an attempt
	// that has to be stopped, the release of a withheld task, or the rest of
	// its gang.
	taskIdle taskState = iota
	// taskQueued is in pendingTasks of an evaluation.
	taskQueued
	// taskReserved waits until its reservation on a worker is ready.
	taskReserved
	// taskDelayed waits for the end of its retry delay.
	taskDelayed
	taskLive
	taskDone
)

// task is a task of a job with its live attempt, if any.
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
	// usesBorrowedQuota is set if the team was above its quota once the attempt
	// was placed. Only such attempts are reclaimed: otherwise the team could
	// reclaim capacity of others in turn.
	usesBorrowedQuota bool
	// wasStraggler is set after an attempt that overran ended. Further attempts
	// do not count as overrunning: a task whose declared run time is far too
	// short would never finish.
	wasStraggler bool
	// isStopRequested is set when a stop, not only a checkpoint, was requested.
	isStopRequested bool
	workerPos       int
	worker          *WorkerState
	allocated       structs.Resources
	startedAt       time.Duration
	// startDeadline is the latest start that meets the targets. It is set when
	// the task is first queued and retained, so that the order of tasks is
	// stable.
	startDeadline time.Duration
	// isTerminating is set while the attempt is to end early. terminatingSince
	// is when that was decided or a stop was last requested.
	isTerminating    bool
	terminatingSince time.Duration
	// throttledAt is when the attempt was last throttled, zero if it never was.
	throttledAt time.Duration
	// peakUse is the highest use reported, minSize the size that the next
	// attempt needs at least.
	peakUse, minSize structs.Resources
	// avoidWorker is the worker on which the last attempt failed.
	avoidWorker string
	// orphanCount counts attempts that have to end before the next start.
	orphanCount int
}

// job is a job with its tasks and the state of their scheduling.
type job struct {
	spec        structs.Job
	class       *class
	team        *team
	acceptedAt  time.Duration
	isCancelled bool
	tasks       []task
	// openTasks counts the tasks that are not done, liveTasks those that run.
	openTasks, liveTasks int
	budget               jobstate.FailureBudget
	evals                []*Evaluation
	// failureWorkers holds the workers whose health record lists a failure of
	// the job.
	failureWorkers []*WorkerState
	// liveByRack counts the live tasks of each service group by rack.
	liveByRack []map[*rack]int
	gangs      []*gang
	// checkedShapesVersion is the version of the worker shapes for which
	// infeasibleReason holds.
	checkedShapesVersion int
	// infeasibleReason says why the job can never run; it is empty if the job
	// can run.
	infeasibleReason string
	// hasExplanation is set while the last Explain of the job has a reason.
	hasExplanation bool
}

// gang is a set of tasks that start together.
type gang struct {
	members []int32
	// busyMembers counts members that are terminating or wait for a retry.
	busyMembers int
	// isIncomplete is set while some members wait and the others run, which is
	// so since incompleteSince.
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

// isPreemptible reports whether the live attempt may be ended early for other
// work. Work that must run at most once is never ended early.
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

// newJob builds the tasks and gangs of a job. All groups of a job of kind gang
// form one gang.
func newJob(spec structs.Job, c *class, tm *team, acceptedAt time.Duration) *job {
	j := &job{spec: spec, class: c, team: tm, acceptedAt: acceptedAt}
	j.tasks = make([]task, spec.TaskCount())
	j.gangs = make([]*gang, len(spec.Groups))
	j.openTasks = len(j.tasks)
	var jobGang *gang
	if c.Kind == structs.KindGang {
		jobGang = &gang{}
	}
	index := 0
	for g, group := range spec.Groups {
		j.gangs[g] = jobGang
		if jobGang == nil && group.Gang {
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
