package daemon

import (
	"testing"

	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"

	"gypsumwinch/internal/ownership"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/scheduler"
	"gypsumwinch/internal/structs"
	"gypsumwinch/internal/workerclient"
	"gypsumwinch/standin/worker"
)

func (vm *testVM) setWorkerState(id string, state structs.VMState) {
	w := vm.c.workers[id]
	w.vm.State = state
	vm.c.handleWorkerChange(w)
}

// isSettled reports whether no attempt waits for a confirmation of its start,
// stop or end.
func (vm *testVM) isSettled() bool {
	return len(vm.c.pendingStarts)+len(vm.c.pendingStops)+len(vm.c.pendingEnds) == 0
}

// startWithoutRecord starts the task of a new job during an outage of the log.
func (vm *testVM) startWithoutRecord() structs.Attempt {
	vm.t.Helper()
	vm.storesRecord = func(r records.Record) bool { return r.TaskStart == nil }
	vm.submitJob(false)
	vm.flushAppends()
	vm.storesRecord = nil
	logReadFailed{stream: records.StreamOwners, err: errPlatformUnavailable}.apply(vm.c)
	for _, w := range vm.c.workers {
		w.firstListedAt = vm.c.now() - ownership.DefaultRosterRetention
	}
	var a structs.Attempt
	for a = range vm.c.pendingStarts {
		taskStartNotLogged{attempt: a, epoch: vm.c.schedulerEpoch}.apply(vm.c)
	}
	vm.handleEvents()
	if vm.runCount() != 1 {
		vm.t.Fatal("the task did not start without the log")
	}
	return a
}

// Guards against an attempt that started during an outage of the log and whose
// start record is refused afterwards, here because of a cancellation. Its end
// waited for the record, so its capacity was never freed and the worker's
// results were never acknowledged.
func TestRefusedRecordOfRunningAttempt(t *testing.T) {
	is := is.New(t)
	vm := newTestVM(t, "w1")
	vm.becomeOwner()
	vm.startWithoutRecord()
	vm.storeAndRead(vm.jobsStream(), records.Record{JobCancelled: &records.JobCancelled{Job: testJobID}})
	vm.stepUntil("the attempt is forgotten", vm.isSettled)
	is.Equal(vm.workers["w1"].Observed().(worker.Observed).Intervals[0].Result, workerclient.ResultStopped)
}

// Guards against the same fault if the worker dies before the attempt was
// stopped.
func TestRefusedRecordOfAttemptOnDeadWorker(t *testing.T) {
	is := is.New(t)
	vm := newTestVM(t, "w1", "w2", "w3")
	vm.becomeOwner()
	vm.setWorkerState("w2", structs.VMLeaving)
	vm.setWorkerState("w3", structs.VMLeaving)
	a := vm.startWithoutRecord()
	is.Equal(a.Worker, "w1")
	vm.setFaults("w1", `{"dead":true}`)
	vm.storeAndRead(vm.jobsStream(), records.Record{JobCancelled: &records.JobCancelled{Job: testJobID}})
	vm.stepUntil("the attempt is forgotten", vm.isSettled)
	is.True(vm.c.scheduler != nil)
}

// Guards against a task that waits forever for the end of an attempt that has
// to be stopped, because the worker died before the stop.
func TestStopOnDeadWorkerEnds(t *testing.T) {
	is := is.New(t)
	vm := newTestVM(t, "w1", "w2", "w3")
	vm.becomeOwner()
	vm.setWorkerState("w1", structs.VMLeaving)
	vm.setWorkerState("w2", structs.VMLeaving)
	vm.setWorkerState("w3", structs.VMLeaving)
	vm.submitJob(false)
	a := structs.Attempt{Task: structs.TaskID{Job: testJobID}, Number: 1, Worker: "w1"}
	vm.c.applySchedulerEvent(scheduler.WorkerInventory{Worker: "w1", Running: []structs.Attempt{a}})
	vm.storeAndRead(vm.jobsStream(),
		records.Record{TaskStart: &records.TaskStart{Attempt: a, Term: vm.c.term}},
		records.Record{TaskEnd: &records.TaskEnd{Attempt: a, Result: records.TaskLost, Term: vm.c.term}})
	vm.setFaults("w1", `{"dead":true}`)
	vm.c.applySchedulerEvent(scheduler.WorkerInventory{Worker: "w1", Running: []structs.Attempt{a}})
	is.True(vm.c.pendingStops[a] != nil)
	vm.setWorkerState("w2", structs.VMLive)
	vm.stepUntil("the task runs on the other worker", vm.isRunning)
	vm.stepUntil("the attempt is forgotten", vm.isSettled)
}

// Guards against a task that hangs because a start record of a former owner
// reaches the log after the successor's scheduler started. An append can be
// delayed for as long as a process is paused.
func TestLateStartOfFormerOwner(t *testing.T) {
	is := is.New(t)
	vm := newTestVM(t, "w1")
	vm.becomeOwner()
	vm.setWorkerState("w1", structs.VMLeaving)
	vm.submitJob(false)
	vm.storeStart(structs.Attempt{Task: structs.TaskID{Job: testJobID}, Number: 1, Worker: "w1"})
	vm.setWorkerState("w1", structs.VMLive)
	vm.stepUntil("the task runs", func() bool { return vm.isRunning() && vm.runCount() == 1 })
	a, _ := vm.liveAttempt()
	is.Equal(a.Number, 2)
}

// Guards against the same fault if the successor's own start record is in
// flight at that time.
func TestLateStartOfFormerOwnerBeforeOwnStart(t *testing.T) {
	for _, ended := range []bool{false, true} {
		is := is.New(t)
		vm := newTestVM(t, "w1", "w2")
		vm.becomeOwner()
		vm.submitJob(false)
		other := map[string]string{"w1": "w2", "w2": "w1"}
		for own := range vm.c.pendingStarts {
			late := structs.Attempt{Task: own.Task, Number: 1, Worker: other[own.Worker]}
			vm.storeStart(late)
			if ended {
				vm.storeAndRead(vm.jobsStream(), records.Record{TaskEnd: &records.TaskEnd{
					Attempt: late, Result: records.TaskNotStarted, Term: vm.c.term,
				}})
			}
		}
		vm.stepUntil("the task runs", func() bool { return vm.isRunning() && vm.runCount() == 1 })
		a, _ := vm.liveAttempt()
		is.Equal(a.Number, 2)
	}
}

func (vm *testVM) storeStart(a structs.Attempt) {
	vm.storeAndRead(vm.jobsStream(), records.Record{TaskStart: &records.TaskStart{Attempt: a, Term: vm.c.term}})
}

// Guards against a job that hangs because its worker died and left the VM list
// while there was no owner, so that no worker known to the new owner holds the
// task.
func TestTaskOnUnlistedWorkerStartsAgain(t *testing.T) {
	is := is.New(t)
	vm := newTestVM(t, "w1")
	vm.storeAndRead(records.StreamOwners, records.Record{Claim: &records.Claim{
		DataCentre: "krk-a", VM: "e0", Instance: "e0-" + ulid.Make().String(), Addr: "127.0.0.1:2", Base: records.NoTerm,
	}})
	vm.submitJob(false)
	a := structs.Attempt{Task: structs.TaskID{Job: testJobID}, Number: 1, Worker: "w9"}
	vm.storeAndRead(vm.jobsStream(), records.Record{TaskStart: &records.TaskStart{Attempt: a, Term: 0}})
	vm.becomeOwner()
	is.True(!vm.c.isLimited)
	ownedAt := vm.c.now()
	vm.stepUntil("the task runs", func() bool { return vm.isRunning() && vm.runCount() == 1 })
	// The former owner's last lease renewal may have kept the task alive until
	// then.
	is.True(vm.c.now()-ownedAt >= ownership.DefaultTaskLeaseTTL)
}

// Guards against a task that runs twice. A successor whose VM list lacks a
// worker does not request its inventory, and a start without a record is
// visible nowhere else.
func TestNoUnloggedStartOnNewWorker(t *testing.T) {
	is := is.New(t)
	vm := newTestVM(t, "w1")
	vm.becomeOwner()
	vm.storesRecord = func(r records.Record) bool { return r.TaskStart == nil }
	vm.submitJob(false)
	vm.flushAppends()
	logReadFailed{stream: records.StreamOwners, err: errPlatformUnavailable}.apply(vm.c)
	for a := range vm.c.pendingStarts {
		vm.c.workers[a.Worker].firstListedAt = vm.c.now()
		taskStartNotLogged{attempt: a, epoch: vm.c.schedulerEpoch}.apply(vm.c)
	}
	vm.handleEvents()
	is.Equal(vm.runCount(), 0)
}
