package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// labelledWorker returns the entry of worker w, whose process of that start time has a label.
func labelledWorker(born int64, label string) cell.Worker {
	info := restartedWorker(born)
	info.Labels = []string{label, "r0"}
	return info
}

// newLabelFixture returns a fixture whose worker has label a, and a step of one task that needs it.
func newLabelFixture(t *testing.T) (*fixture, cell.Step) {
	t.Helper()
	f := newFixture(t, 1000)
	f.apply(WorkersListed{Workers: []cell.Worker{labelledWorker(1, "a")}})
	step := newStep(1, 500)
	step.Label = "a"
	f.clearActions()
	return f, step
}

// TestRestartedWorkerIsUsedOnceItsEntryIsRead guards against tasks on a worker of the wrong kind: an answer to a renewal
// shows that it has restarted, and its labels and capacity were taken to be those of the former process.
func TestRestartedWorkerIsUsedOnceItsEntryIsRead(t *testing.T) {
	is := is.New(t)
	f, step := newLabelFixture(t)
	f.answerRenewalAs(2)
	f.apply(JobSubmitted{Job: newJob("j", step)})
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 0)
	f.apply(WorkersListed{Workers: []cell.Worker{labelledWorker(2, "b")}})
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 0)
	f.answerRenewalAs(3)
	f.apply(WorkersListed{Workers: []cell.Worker{labelledWorker(3, "a")}})
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 1)
}

// TestRestartedWorkerHasTheCapacityOfItsEntry is the same for a worker that comes back smaller.
func TestRestartedWorkerHasTheCapacityOfItsEntry(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.answerRenewalAs(2)
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500))})
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 0)
	smaller := restartedWorker(2)
	smaller.Capacity.MilliCPU = 400
	f.apply(WorkersListed{Workers: []cell.Worker{smaller}})
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 0)
}

// TestEntryOfAFormerProcessChangesNothing guards against an entry that is read late, or was written by another
// program without a start time: its labels, address and state are not those of the process that answers.
func TestEntryOfAFormerProcessChangesNothing(t *testing.T) {
	for _, born := range []int64{0, 1} {
		is := is.New(t)
		f, step := newLabelFixture(t)
		f.apply(WorkersListed{Workers: []cell.Worker{labelledWorker(2, "b")}})
		f.answerRenewalAs(2)
		former := labelledWorker(born, "a")
		former.Draining = true
		f.apply(WorkersListed{Workers: []cell.Worker{former}})
		f.apply(JobSubmitted{Job: newJob("j", step)})
		f.scheduleAndRecord()
		is.Equal(len(actionsOf[SendStart](f)), 0)
		is.Equal(f.m.workers["w"].info.Labels[0], "b")
		is.True(!f.m.workers["w"].info.Draining)
		f.apply(WorkersListed{Workers: []cell.Worker{labelledWorker(2, "b")}}) // the next heartbeat
		is.True(f.m.isUsable(f.m.workers["w"]))
	}
}

// TestEntryReadBeforeTheAnswerDescribesTheWorker guards against a worker that is never used again: its clock was set
// back before it restarted, so that its entry, which is read first, seems to be that of an earlier process.
func TestEntryReadBeforeTheAnswerDescribesTheWorker(t *testing.T) {
	is := is.New(t)
	f, step := newLabelFixture(t)
	f.answerRenewalAs(9)
	f.apply(WorkersListed{Workers: []cell.Worker{labelledWorker(9, "b")}})
	f.apply(WorkersListed{Workers: []cell.Worker{labelledWorker(5, "a")}})
	is.True(!f.m.isUsable(f.m.workers["w"]))
	f.answerRenewalAs(5)
	f.apply(JobSubmitted{Job: newJob("j", step)})
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 1)
}

// TestSilentWorkerIsCalledAtItsEarlierEntry is the same for a worker that restarts at another address.
func TestSilentWorkerIsCalledAtItsEarlierEntry(t *testing.T) {
	is := is.New(t)
	f, _ := newLabelFixture(t)
	f.apply(WorkersListed{Workers: []cell.Worker{labelledWorker(9, "a")}})
	f.answerRenewalAs(9)
	moved := labelledWorker(5, "b")
	moved.Addr = "w:2"
	f.apply(WorkersListed{Workers: []cell.Worker{moved}})
	is.Equal(f.m.workers["w"].info.Addr, "w:1") // the process there answers
	for range silentRenewals {
		f.now += time.Second
		f.apply(Tick{})
		f.apply(RenewResult{Worker: "w", SentAt: f.now, Err: errNoAnswer})
	}
	f.now += time.Second
	f.clearActions()
	f.apply(Tick{})
	is.Equal(actionsOf[Renew](f)[0].Renewal.Addr, "w:2")
	f.answerRenewalAs(5)
	is.True(f.m.isUsable(f.m.workers["w"]))
}
