package daemon

import (
	"testing"

	"github.com/matryer/is"

	"gypsumwinch/internal/ownership"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
	"gypsumwinch/internal/workerclient"
)

// Guards against a job that a VM reports as accepted although it does not know the jobs, so that it may be refused.
func TestJobIsNotAcceptedBeforeTheJobsAreKnown(t *testing.T) {
	is := is.New(t)
	vm := newTestVM(t, "w1")
	vm.storeAndRead(records.StreamRequests)
	vm.nextOffset[vm.jobsStream()] = 5
	vm.storeAndRead(vm.jobsStream(), records.Record{JobCancelled: &records.JobCancelled{Job: "another"}})
	is.True(!vm.c.jobs.Complete())
	reply := make(chan structs.Outcome, 1)
	jobSubmitted{job: structs.Job{ID: testJobID}, reply: reply}.apply(vm.c)
	select {
	case out := <-reply:
		is.Equal(out.Status, structs.StatusNotRun)
	default:
		t.Fatal("a submission is not refused")
	}
	vm.c.jobWaiters[acceptKey(testJobID)] = append(vm.c.jobWaiters[acceptKey(testJobID)], reply)
	vm.submitJob(false)
	is.Equal(len(reply), 0) // the outcome is not known
}

// Guards against attempts that are given up while they run, since the list of a former ownership of this VM does not have them.
func TestInventoryOfAFormerOwnershipIsNotUsed(t *testing.T) {
	is := is.New(t)
	vm := newTestVM(t, "w1")
	vm.becomeOwner()
	sentAt := vm.c.now()
	vm.c.stopOwning(ownership.StopOwning{Term: vm.c.term})
	inventoryAnswered{worker: "w1", sentAt: sentAt, inventory: workerclient.Inventory{}}.apply(vm.c)
	is.True(vm.c.workers["w1"].inventory == nil)
}

// Guards against an id that can never be used again after its request was answered as not run, since its start record came on the log only after its outcome.
func TestLateStartRecordDoesNotBlockItsID(t *testing.T) {
	is := is.New(t)
	vm := newTestVM(t)
	vm.storeAndRead(records.StreamRequests)
	start := &records.RequestStart{ID: testJobID, Instance: vm.d.instance, Number: 1}
	vm.storeAndRead(records.StreamRequests, records.Record{RequestOutcome: &records.RequestOutcome{
		ID: testJobID, Instance: vm.d.instance, Number: 1, Status: structs.StatusNotRun,
	}}, records.Record{RequestStart: start})
	is.True(vm.c.refuseNonIdempotent(testJobID) != nil)
	vm.flushAppends()
	is.True(vm.c.refuseNonIdempotent(testJobID) == nil)
}
