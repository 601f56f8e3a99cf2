package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

// testRetention is how long the log of a test retains records.
const testRetention = 30 * time.Second

// countSnapshots counts the snapshots of the jobs that reach the log from now on.
func (vm *testVM) countSnapshots() *int {
	count := new(int)
	vm.storesRecord = func(r records.Record) bool {
		if r.JobSnapshot != nil {
			*count++
		}
		return true
	}
	return count
}

// Guards against a job that runs for longer than the log retains records and is lost with the next owner, since nothing was written about it for that long.
func TestQuietJobsAreKeptOnTheLog(t *testing.T) {
	is := is.New(t)
	vm := newTestVM(t, "w1")
	vm.d.settings.Platform.LogRetention = Duration(testRetention)
	snapshots := vm.countSnapshots()
	vm.becomeOwner()
	vm.submitJob(false)
	vm.stepUntil("the task runs", vm.isRunning)
	vm.stepUntil("the first snapshot", func() bool { return *snapshots == 1 })
	since := vm.c.now()
	vm.stepUntil("the next snapshot", func() bool { return *snapshots == 2 })
	is.True(vm.c.now()-since < testRetention) // the first one is then still on the log
}

// Guards against records that the log drops without a snapshot, since each owner's process runs for less than a third of the retention time.
func TestOldRecordsAreCoveredBySnapshots(t *testing.T) {
	vm := newTestVM(t, "w1")
	vm.d.settings.Platform.LogRetention = Duration(testRetention)
	snapshots := vm.countSnapshots()
	job := records.Record{JobAccepted: &records.JobAccepted{Job: structs.Job{
		ID: testJobID, Class: "batch", DataCentre: "krk-a", AcceptedAt: time.Now(),
		Groups: []structs.TaskGroup{{Count: 1, RunTime: time.Hour, Payload: []byte(`{"run_ms":3600000}`)}},
	}}}
	logBatch{stream: vm.jobsStream(), entries: []logEntry{{storedAt: time.Now().Add(-testRetention / 2), record: job}}, next: 1, atEnd: true}.apply(vm.c)
	vm.nextOffset[vm.jobsStream()] = 1
	vm.becomeOwner()
	for range 20 {
		vm.step()
	}
	if *snapshots == 0 {
		t.Fatal("no snapshot follows a record that is half as old as the retention time")
	}
}

// Guards against jobs that are accepted and never run, after the log has dropped all records of a data centre that wrote none for the retention time.
func TestJobsRunAfterAllRecordsWereDropped(t *testing.T) {
	vm := newTestVM(t, "w1")
	vm.nextOffset[vm.jobsStream()] = 1000
	vm.storeAndRead(vm.jobsStream())
	vm.becomeOwner()
	vm.submitJob(false)
	vm.stepUntil("the task runs", vm.isRunning)
}
