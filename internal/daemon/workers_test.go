package daemon

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/jobstate"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
	"gypsumwinch/internal/workerclient"
)

func (vm *testVM) restartWorker(id string) {
	vm.t.Helper()
	vm.setFaults(id, `{"dead":true}`)
	vm.setFaults(id, `{}`)
}

func (vm *testVM) setFaults(id, faults string) {
	vm.t.Helper()
	if err := vm.workers[id].SetFaults(json.RawMessage(faults)); err != nil {
		vm.t.Fatal(err)
	}
}

// Guards against tasks that hang forever after their worker restarted within
// its lease: the lease is renewed as before, but the tasks have ended without a
// report.
func TestRestartedWorkerLosesItsTasks(t *testing.T) {
	is := is.New(t)
	vm := newTestVM(t, "w1")
	vm.becomeOwner()
	vm.submitJob(false)
	vm.stepUntil("the task runs", vm.isRunning)
	vm.restartWorker("w1")
	vm.stepUntil("the task runs again", func() bool {
		a, ok := vm.liveAttempt()
		return ok && a.Number == 2 && vm.isRunning()
	})
	is.Equal(vm.runCount(), 2)
}

// Guards against requests that carry the term of the owner's claim to a worker
// that was leased with a later round, after another VM tried to take over. The
// worker refuses them, so its tasks would neither start nor stop.
func TestOperationsUseTheTermOfTheLease(t *testing.T) {
	is := is.New(t)
	vm := newTestVM(t, "w1", "w2", "w3")
	vm.becomeOwner()
	round := vm.c.term + 1
	w := vm.c.workers["w1"]
	vm.restartWorker("w1")
	_, err := vm.d.workers.Lease(t.Context(), w.vm.Addr, "other", round, time.Millisecond, time.Millisecond, workerclient.Ack{})
	is.NoErr(err)
	vm.stepUntil("w1 is leased with a later round", func() bool { return w.isUp && w.leaseTerm > round })
	for _, id := range []string{"w2", "w3"} {
		vm.c.workers[id].vm.State = "leaving"
		vm.c.handleWorkerChange(vm.c.workers[id])
	}
	vm.submitJob(false)
	vm.stepUntil("the task runs", vm.isRunning)
	for range 50 {
		vm.step()
		is.True(vm.c.ownershipMachine.Authority(vm.c.now()).MayStartTasks)
		is.True(w.isUp)
	}
	is.Equal(vm.runCount(), 1)
}

// Guards against a second run of a non-idempotent task: the start request is
// sent again to a worker that ran the task and restarted before it answered.
func TestNonIdempotentStartIsNotRepeated(t *testing.T) {
	is := is.New(t)
	vm := newTestVM(t, "w1")
	vm.becomeOwner()
	vm.setFaults("w1", `{"lose_start_answers":true}`)
	vm.submitJob(true)
	vm.stepUntil("the task was sent", func() bool { return vm.runCount() == 1 })
	vm.restartWorker("w1")
	// Makes the start due again before the restart is noticed.
	for _, s := range vm.c.pendingStarts {
		s.sentAt -= resendInterval
	}
	vm.c.resendDue()
	vm.stepUntil("the task ended", func() bool {
		status, _ := vm.c.jobs.Status(testJobID)
		return status.Finished
	})
	status, _ := vm.c.jobs.Status(testJobID)
	is.Equal(status.Tasks[0].State, jobstate.Failed)
	is.Equal(vm.runCount(), 1)
}

// Guards against a non-idempotent task that is stopped although its worker
// reports that it runs, only because the response to its start request was
// lost.
func TestLostStartAnswerIsReplacedByReport(t *testing.T) {
	vm := newTestVM(t, "w1")
	vm.becomeOwner()
	vm.setFaults("w1", `{"lose_start_answers":true}`)
	vm.submitJob(true)
	vm.stepUntil("the task runs", vm.isRunning)
}

// Guards against a result that is lost because it was acknowledged before the
// record of its start was read. A new owner leases workers before it has read
// the jobs stream.
func TestNoAcknowledgementBeforeScheduling(t *testing.T) {
	is := is.New(t)
	vm := newTestVM(t, "w1")
	w := vm.c.workers["w1"]
	a := structs.Attempt{Task: structs.TaskID{Job: testJobID}, Number: 1, Worker: "w1"}
	report := workerclient.Report{Incarnation: "i", Finished: []workerclient.FinishedAttempt{{Seq: 7, Attempt: a}}}
	vm.c.handleReport(w, report)
	is.Equal(vm.c.acknowledgement(w).Seq, int64(0))
	vm.becomeOwner()
	vm.c.handleReport(w, report)
	is.Equal(vm.c.acknowledgement(w).Seq, int64(7)) // no job knows it
}

// Guards against memory that grows with each replaced peer: peers that were
// never listed here can send heartbeats, too.
func TestUnlistedPeersAreForgotten(t *testing.T) {
	is := is.New(t)
	vm := newTestVM(t)
	heartbeatReceived{dataCentre: "kat-a", addr: "127.0.0.1:3", configVersion: records.NoVersion, ownerTerm: records.NoTerm}.apply(vm.c)
	vmsListed{at: time.Now()}.apply(vm.c)
	is.Equal(len(vm.c.peerLastSeen), 0)
}
