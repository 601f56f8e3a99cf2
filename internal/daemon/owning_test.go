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

func (b *bench) setState(id string, state structs.VMState) {
	w := b.c.workers[id]
	w.vm.State = state
	b.c.handleWorkerChange(w)
}

// settled reports whether no attempt is between decision and confirmation.
func (b *bench) settled() bool {
	return len(b.c.pendingStarts)+len(b.c.pendingStops)+len(b.c.pendingEnds) == 0
}

// startUnlogged lets the task of a new job start during an outage of the log.
func (b *bench) startUnlogged() structs.Attempt {
	b.t.Helper()
	b.keep = func(r records.Record) bool { return r.TaskStart == nil }
	b.submit(false)
	b.pump()
	b.keep = nil
	logFailed{stream: records.StreamOwners, err: errNoPlatform}.apply(b.c)
	for _, w := range b.c.workers {
		w.firstListedAt = b.c.now() - ownership.DefaultRosterRetention
	}
	var a structs.Attempt
	for a = range b.c.pendingStarts {
		taskStartNotLogged{attempt: a, epoch: b.c.schedulerEpoch}.apply(b.c)
	}
	b.drain()
	if b.runs() != 1 {
		b.t.Fatal("the task did not start without the log")
	}
	return a
}

// Guards against an attempt that started during an outage of the log and whose
// record is refused afterwards, here by a cancellation. Its end was kept back
// for the record, so that its capacity was never free again and the worker's
// results were never acknowledged.
func TestRefusedRecordOfRunningAttempt(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "w1")
	b.own()
	b.startUnlogged()
	b.put(b.jobsStream(), records.Record{JobCancelled: &records.JobCancelled{Job: benchJob}})
	b.until("the attempt is forgotten", b.settled)
	is.Equal(b.workers["w1"].Observed().(worker.Observed).Intervals[0].Result, workerclient.ResultStopped)
}

// Guards against the same hang if the worker dies before it was stopped.
func TestRefusedRecordOfLapsedAttempt(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "w1", "w2", "w3")
	b.own()
	b.setState("w2", structs.VMLeaving)
	b.setState("w3", structs.VMLeaving)
	a := b.startUnlogged()
	is.Equal(a.Worker, "w1")
	b.setFaults("w1", `{"dead":true}`)
	b.put(b.jobsStream(), records.Record{JobCancelled: &records.JobCancelled{Job: benchJob}})
	b.until("the attempt is forgotten", b.settled)
	is.True(b.c.scheduler != nil)
}

// Guards against a task that waits for ever for the end of an attempt that has
// to be stopped, on a worker that died before it was.
func TestStopOnLapsedWorkerEnds(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "w1", "w2", "w3")
	b.own()
	b.setState("w1", structs.VMLeaving)
	b.setState("w2", structs.VMLeaving)
	b.setState("w3", structs.VMLeaving)
	b.submit(false)
	a := structs.Attempt{Task: structs.TaskID{Job: benchJob}, Number: 1, Worker: "w1"}
	b.c.applySchedulerEvent(scheduler.WorkerInventory{Worker: "w1", Running: []structs.Attempt{a}})
	b.put(b.jobsStream(),
		records.Record{TaskStart: &records.TaskStart{Attempt: a, Term: b.c.term}},
		records.Record{TaskEnd: &records.TaskEnd{Attempt: a, Result: records.TaskLost, Term: b.c.term}})
	b.setFaults("w1", `{"dead":true}`)
	b.c.applySchedulerEvent(scheduler.WorkerInventory{Worker: "w1", Running: []structs.Attempt{a}})
	is.True(b.c.pendingStops[a] != nil)
	b.setState("w2", structs.VMLive)
	b.until("the task runs on the other worker", b.running)
	b.until("the attempt is forgotten", b.settled)
}

// Guards against a task that hangs because a start record of a former owner
// reaches the log after its successor's scheduler began: an append can be late
// by as long as a process is paused.
func TestLateStartOfFormerOwner(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "w1")
	b.own()
	b.setState("w1", structs.VMLeaving)
	b.submit(false)
	b.putStart(structs.Attempt{Task: structs.TaskID{Job: benchJob}, Number: 1, Worker: "w1"})
	b.setState("w1", structs.VMLive)
	b.until("the task runs", func() bool { return b.running() && b.runs() == 1 })
	a, _ := b.live()
	is.Equal(a.Number, 2)
}

// Guards against the same hang if the successor's own start is on its way then.
func TestLateStartOfFormerOwnerBeforeOwnStart(t *testing.T) {
	for _, ended := range []bool{false, true} {
		is := is.New(t)
		b := newBench(t, "w1", "w2")
		b.own()
		b.submit(false)
		other := map[string]string{"w1": "w2", "w2": "w1"}
		for own := range b.c.pendingStarts {
			late := structs.Attempt{Task: own.Task, Number: 1, Worker: other[own.Worker]}
			b.putStart(late)
			if ended {
				b.put(b.jobsStream(), records.Record{TaskEnd: &records.TaskEnd{
					Attempt: late, Result: records.TaskNotStarted, Term: b.c.term,
				}})
			}
		}
		b.until("the task runs", func() bool { return b.running() && b.runs() == 1 })
		a, _ := b.live()
		is.Equal(a.Number, 2)
	}
}

func (b *bench) putStart(a structs.Attempt) {
	b.put(b.jobsStream(), records.Record{TaskStart: &records.TaskStart{Attempt: a, Term: b.c.term}})
}

// Guards against a job that hangs because its worker died and left the list
// while there was no owner: no worker that the new owner knows holds the task.
func TestTaskOnUnlistedWorkerStartsAgain(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "w1")
	b.put(records.StreamOwners, records.Record{Claim: &records.Claim{
		DataCentre: "krk-a", VM: "e0", Instance: "e0-" + ulid.Make().String(), Addr: "127.0.0.1:2", Base: records.NoTerm,
	}})
	b.submit(false)
	a := structs.Attempt{Task: structs.TaskID{Job: benchJob}, Number: 1, Worker: "w9"}
	b.put(b.jobsStream(), records.Record{TaskStart: &records.TaskStart{Attempt: a, Term: 0}})
	b.own()
	is.True(!b.c.isLimited)
	owned := b.c.now()
	b.until("the task runs", func() bool { return b.running() && b.runs() == 1 })
	// The former owner's last renewal may have kept the task alive until then.
	is.True(b.c.now()-owned >= ownership.DefaultTaskLeaseTTL)
}

// Guards against a task that runs twice: a successor whose list lacks a worker
// does not ask it what runs there, and a start without a record tells nobody.
func TestNoUnloggedStartOnNewWorker(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "w1")
	b.own()
	b.keep = func(r records.Record) bool { return r.TaskStart == nil }
	b.submit(false)
	b.pump()
	logFailed{stream: records.StreamOwners, err: errNoPlatform}.apply(b.c)
	for a := range b.c.pendingStarts {
		b.c.workers[a.Worker].firstListedAt = b.c.now()
		taskStartNotLogged{attempt: a, epoch: b.c.schedulerEpoch}.apply(b.c)
	}
	b.drain()
	is.Equal(b.runs(), 0)
}
